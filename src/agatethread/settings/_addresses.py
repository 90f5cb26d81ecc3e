"""Addresses as ``IP:port`` text."""

import ipaddress

_MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:port`` text.

    Parameters
    ----------
    text : str
        An IPv4 number, a colon and a port.

    Returns
    -------
    tuple of (str, int)
        Host and port as the socket functions take them.

    Raises
    ------
    ValueError
        If the text is not an IPv4 number and a port.
    """
    host, separator, port_text = text.rpartition(":")
    is_number = port_text.isascii() and port_text.isdecimal()
    if not separator or not is_number:
        raise ValueError("no port")

    port = int(port_text)
    if not 0 < port <= _MAX_PORT:
        raise ValueError("port out of range")

    ipaddress.IPv4Address(host)
    return host, port


def format_address(address: tuple[str, int]) -> str:
    """Join a host and a port.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port.

    Returns
    -------
    str
        ``IP:port``.
    """
    return f"{address[0]}:{address[1]}"


def listen_address(address: str, listen_host: str) -> str:
    """Find where to listen for what is sent to an advertised address.

    Parameters
    ----------
    address : str
        ``IP:port`` that others are told.
    listen_host : str
        IP number to listen at; empty where it is the advertised one.

    Returns
    -------
    str
        ``IP:port``, the port unchanged.
    """
    host, port = parse_address(address)
    return format_address((listen_host or host, port))
