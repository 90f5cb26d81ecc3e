"""Client library for callers: requests and streams to services."""

from agatethread.client._client import Client, connect
from agatethread.client._stream import Stream

__all__ = ["Client", "Stream", "connect"]
