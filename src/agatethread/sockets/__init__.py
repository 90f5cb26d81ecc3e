"""Datagram sockets of the event loop."""

from agatethread.sockets._datagrams import (
    Handler,
    drain_into,
    open_socket,
    send_or_count,
    start_reading,
    stop_reading,
)

__all__ = [
    "Handler",
    "drain_into",
    "open_socket",
    "send_or_count",
    "start_reading",
    "stop_reading",
]
