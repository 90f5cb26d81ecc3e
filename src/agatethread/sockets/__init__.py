"""Datagram sockets of the event loop."""

from agatethread.sockets._datagrams import (
    DatagramHandler,
    drain_into,
    open_socket,
    send_or_count,
    start_reading,
    stop_reading,
)

__all__ = [
    "DatagramHandler",
    "drain_into",
    "open_socket",
    "send_or_count",
    "start_reading",
    "stop_reading",
]
