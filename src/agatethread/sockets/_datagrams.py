"""Datagram sockets that are drained in batches on each readiness event."""

import asyncio
import socket
from collections.abc import Callable

from agatethread.exceptions import DatagramError, SealError
from agatethread.observability import Counters, Event, make_logger
from agatethread.settings import parse_address

#: Datagrams read before other tasks get their turn.
BATCH_COUNT = 64
_BUFFER_BYTES = 4 << 20
_READ_BYTES = 2_048

Handler = Callable[[bytes, tuple[str, int]], None]

log = make_logger("sockets")


def open_socket(address: str) -> socket.socket:
    """Open a datagram socket.

    Parameters
    ----------
    address : str
        ``IP:port`` to bind.

    Returns
    -------
    socket.socket
        Bound and non-blocking.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind(parse_address(address))
    return opened


def drain_into(
    opened: socket.socket, handler: Handler, counters: Counters
) -> Callable[[], None]:
    """Make the reader of a socket.

    Parameters
    ----------
    opened : socket.socket
        The socket.
    handler : callable
        Called with each datagram and its source.
    counters : Counters
        Counts what the handler rejects, by the kind of fault.

    Returns
    -------
    callable
        To be registered with the event loop.
    """
    receive = opened.recvfrom

    def drain() -> None:
        for _ in range(BATCH_COUNT):
            try:
                data, source = receive(_READ_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            try:
                handler(data, source)
            except DatagramError as error:
                counters[f"dropped_{error}".replace(" ", "_")] += 1
            except SealError:
                counters["dropped_forged"] += 1
            except Exception:
                # One datagram must never end the process, whatever is in it.
                counters["dropped_by_fault"] += 1
                log.exception(Event.DATAGRAM_FAILED)

    return drain


def start_reading(opened: socket.socket, reader: Callable[[], None]) -> None:
    """Register a socket's reader with the running event loop.

    Parameters
    ----------
    opened : socket.socket
        The socket.
    reader : callable
        What `drain_into` made.
    """
    asyncio.get_running_loop().add_reader(opened.fileno(), reader)


def stop_reading(opened: socket.socket) -> None:
    """Unregister and close a socket.

    Parameters
    ----------
    opened : socket.socket
        The socket.
    """
    asyncio.get_running_loop().remove_reader(opened.fileno())
    opened.close()


def send_or_count(
    opened: socket.socket, counters: Counters
) -> Callable[[bytes, tuple[str, int]], None]:
    """Make a function that sends a datagram and counts what the kernel refuses.

    Parameters
    ----------
    opened : socket.socket
        The socket.
    counters : Counters
        Counts ``send_failed``.

    Returns
    -------
    callable
        Takes the datagram and where to send it.
    """
    send_to = opened.sendto

    def send(data: bytes, target: tuple[str, int]) -> None:
        try:
            send_to(data, target)
        except OSError:
            counters["send_failed"] += 1

    return send
