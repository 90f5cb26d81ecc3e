"""Client that a caller's program imports."""

from agatethread.client._client import Client, connect
from agatethread.client._stream import Stream

__all__ = ["Client", "Stream", "connect"]
