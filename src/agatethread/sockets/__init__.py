"""Sockets of the event loop."""

from agatethread.sockets._connections import open_and_close
from agatethread.sockets._datagrams import (
    MAX_RECEIVE_BYTES,
    DatagramHandler,
    close_socket,
    make_reader,
    make_sender,
    open_socket,
    start_reading,
)

__all__ = [
    "MAX_RECEIVE_BYTES",
    "DatagramHandler",
    "close_socket",
    "make_reader",
    "make_sender",
    "open_and_close",
    "open_socket",
    "start_reading",
]
