"""Connections that only show whether an address accepts any."""

import asyncio
import socket


async def open_and_close(address: tuple[str, int]) -> None:
    """Open a connection to an address and close it at once.

    Parameters
    ----------
    address : tuple of (str, int)
        Host, as an IP address, and port.

    Raises
    ------
    OSError
        If the connection is not accepted, or this host lacks the resources for it.
    """
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
