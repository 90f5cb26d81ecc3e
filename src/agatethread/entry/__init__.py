"""Entry role: forwards datagrams between callers and backend servers."""

from agatethread.entry._documents import DocumentStore
from agatethread.entry._instance import EntryInstance
from agatethread.entry._requests import RequestRouter

__all__ = ["DocumentStore", "EntryInstance", "RequestRouter"]
