"""Datagram sockets of the event loop."""

from agatethread.sockets._datagrams import (
    DatagramHandler,
    close_socket,
    make_reader,
    make_sender,
    open_socket,
    start_reading,
)

__all__ = [
    "DatagramHandler",
    "make_reader",
    "open_socket",
    "make_sender",
    "start_reading",
    "close_socket",
]
