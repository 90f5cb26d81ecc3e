"""Datagram sockets that are opened before the rest of a program is loaded.

The load that this answers: a loss of all power. A process needs some tenths of a second
of processor time to load, and callers send a packet again only 0.2, 0.6 and 1.4 s after
the first time. What arrives meanwhile waits in the socket. This module imports next to
nothing, so that it can be used first.
"""

import socket

__all__ = ["open_early", "open_datagram_socket"]

_BUFFER_BYTES = 4 << 20

_opened: dict[tuple[str, int], socket.socket] = {}


def open_early(address: tuple[str, int]) -> None:
    """Open a datagram socket, to be handed out by `open_datagram_socket` later.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to bind.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    _opened[address] = _open(address)


def open_datagram_socket(address: tuple[str, int]) -> socket.socket:
    """Open a datagram socket, or hand out the one that was opened early.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to bind.

    Returns
    -------
    socket.socket
        Bound and non-blocking.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    return _opened.pop(address, None) or _open(address)


def _open(address: tuple[str, int]) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
        opened.setblocking(False)
        opened.bind(address)
    except OSError:
        opened.close()
        raise
    return opened
