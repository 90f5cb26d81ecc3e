"""Datagram sockets that are read in batches when they are ready."""

import asyncio
import socket
from collections.abc import Callable

from agatethread.exceptions import DatagramError, SealError
from agatethread.observability import Counters, Event, make_logger
from agatethread.settings import parse_address

#: Limit of datagrams read before other tasks of the loop run.
BATCH_COUNT = 64
_BUFFER_BYTES = 4 << 20
#: Above the size limits of callers' and peers' datagrams, so that oversized datagrams
#: are rejected as such.
_RECEIVE_BYTES = 2_048
#: Any datagram.
MAX_RECEIVE_BYTES = 65_535

DatagramHandler = Callable[[bytes, tuple[str, int]], None]

log = make_logger("sockets")


def open_socket(address: str) -> socket.socket:
    """Return a bound datagram socket.

    Parameters
    ----------
    address : str
        ``IP:port`` to bind.

    Returns
    -------
    socket.socket
        Non-blocking UDP socket.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(parse_address(address))
    return sock


def make_reader(
    sock: socket.socket,
    handler: DatagramHandler,
    counters: Counters,
    receive_bytes: int = _RECEIVE_BYTES,
) -> Callable[[], None]:
    """Return a function that reads the datagrams waiting at a socket.

    Parameters
    ----------
    sock : socket.socket
        Socket to read.
    handler : callable
        Called with each datagram and its source address.
    counters : Counters
        Counts datagrams that the handler rejects, by reason.
    receive_bytes : int, optional
        Bytes of a datagram that are read; the rest is lost.

    Returns
    -------
    callable
        Reader for `start_reading`.
    """
    receive = sock.recvfrom

    def read_batch() -> None:
        for _ in range(BATCH_COUNT):
            try:
                data, source = receive(receive_bytes)
            except (BlockingIOError, ConnectionError):
                # Ends the batch; the event loop calls again while datagrams wait.
                return
            try:
                handler(data, source)
            except DatagramError as error:
                # The text of the error is part of the counter's name.
                counters[f"dropped_{error}".replace(" ", "_")] += 1
            except SealError:
                counters["dropped_forged"] += 1
            except Exception:
                # A fault in handling one datagram must not affect the next ones.
                counters["dropped_by_fault"] += 1
                log.exception(Event.DATAGRAM_FAILED)

    return read_batch


def start_reading(sock: socket.socket, reader: Callable[[], None]) -> None:
    """Register the reader of a socket with the running event loop.

    Parameters
    ----------
    sock : socket.socket
        Socket to read.
    reader : callable
        Function returned by `make_reader`.
    """
    asyncio.get_running_loop().add_reader(sock.fileno(), reader)


def close_socket(sock: socket.socket) -> None:
    """Unregister and close a socket.

    Parameters
    ----------
    sock : socket.socket
        Socket to close.
    """
    asyncio.get_running_loop().remove_reader(sock.fileno())
    sock.close()


def make_sender(
    sock: socket.socket, counters: Counters
) -> Callable[[bytes, tuple[str, int]], None]:
    """Return a function that sends a datagram and counts send errors.

    Parameters
    ----------
    sock : socket.socket
        Socket to send from.
    counters : Counters
        Counts errors as ``send_failed``.

    Returns
    -------
    callable
        Sends a datagram to an address.
    """
    send_to = sock.sendto

    def send(data: bytes, target: tuple[str, int]) -> None:
        try:
            send_to(data, target)
        except OSError:
            counters["send_failed"] += 1

    return send
