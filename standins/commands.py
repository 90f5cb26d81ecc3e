"""Sends commands to running stand-ins: a JSON object per datagram, with a reply."""

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from agatethread.settings import parse_address

_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 5


class _CommandProtocol(asyncio.DatagramProtocol):
    def __init__(self, handler: Callable[[dict[str, Any]], Any]):
        self._handler = handler

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        result = self._handler(json.loads(data))
        self._transport.sendto(json.dumps(result).encode(), addr)


async def serve_commands(
    address: str, handler: Callable[[dict[str, Any]], Any]
) -> None:
    """Serve commands at an address.

    Parameters
    ----------
    address : str
        ``IP:port``.
    handler : callable
        Executes a command and returns the reply.
    """
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: _CommandProtocol(handler), local_addr=parse_address(address)
    )


def send_command(address: str, **command: Any) -> Any:
    """Send a command and return the reply.

    Parameters
    ----------
    address : str
        ``IP:port`` of the stand-in.
    **command
        Fields of the command.

    Returns
    -------
    object
        The reply.

    Raises
    ------
    TimeoutError
        If there is no reply.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(_TIMEOUT_S)
        for _ in range(_MAX_ATTEMPTS):
            sock.sendto(json.dumps(command).encode(), parse_address(address))
            try:
                return json.loads(sock.recv(65_536))
            except TimeoutError:
                continue
    raise TimeoutError(f"{address} does not answer")
