"""Entry role: forwards datagrams between callers and backend servers."""

from agatethread.entry._documents import DocumentBook
from agatethread.entry._instance import EntryInstance
from agatethread.entry._requests import RequestDesk

__all__ = ["DocumentBook", "EntryInstance", "RequestDesk"]
