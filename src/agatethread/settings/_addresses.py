"""Parsing and formatting of addresses as ``IP:port`` text."""

import ipaddress

_MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:port`` text.

    Parameters
    ----------
    text : str
        An IPv4 address, a colon and a port.

    Returns
    -------
    tuple of (str, int)
        Host and port, as used by the socket functions.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address with a port.
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
    """Return a host and a port as ``IP:port`` text.

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
    """Return the address to listen at for an advertised address.

    Parameters
    ----------
    address : str
        Advertised address as ``IP:port``.
    listen_host : str
        IP address to listen at; empty for the advertised one.

    Returns
    -------
    str
        ``IP:port`` with the advertised port.
    """
    host, port = parse_address(address)
    return format_address((listen_host or host, port))
