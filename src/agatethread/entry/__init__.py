"""Entry role: datagrams in from callers, out to backend servers, and back."""

from agatethread.entry._instance import EntryInstance

__all__ = ["EntryInstance"]
