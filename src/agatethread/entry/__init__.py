"""Entry role: datagrams in from callers, out to backend servers, and back."""

from agatethread.entry._documents import DocumentBook
from agatethread.entry._instance import EntryInstance
from agatethread.entry._requests import RequestDesk

__all__ = ["DocumentBook", "EntryInstance", "RequestDesk"]
