"""Loopback proxies between the instances, which can delay, drop and reset traffic.

The sender of a datagram is known by its source address, that of a connection by the
process that owns the socket.
"""

import asyncio
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.addresses import Addresses, parse_number

_CHUNK_BYTES = 65_536
#: Interval at which a cut connection checks whether the cut has ended.
_CUT_POLL_INTERVAL_S = 0.05

Pair = tuple[int, int]


@dataclass
class LinkFaults:
    """Active network faults; pairs are (sender, receiver)."""

    cut: set[Pair] = field(default_factory=set)
    delay_s: dict[Pair, float] = field(default_factory=dict)
    loss_ratio: float = 0.0

    def clear(self) -> None:
        """Remove all faults."""
        self.cut.clear()
        self.delay_s.clear()
        self.loss_ratio = 0.0


class Mesh:
    """Forwards datagrams and connections between instances.

    Parameters
    ----------
    addresses : Addresses
        Addresses of the run.
    seed : int
        Seed of the random numbers.
    find_pid : callable
        Returns the process id of an instance, or None if it is down.
    """

    def __init__(
        self, addresses: Addresses, seed: int, find_pid: Callable[[int], int | None]
    ):
        self._addresses = addresses
        self._random = random.Random(seed)
        self._find_pid = find_pid
        self._datagrams: dict[int, asyncio.DatagramTransport] = {}
        self._servers: list[asyncio.Server] = []
        self._connections: dict[asyncio.Task, Pair] = {}
        self.faults = LinkFaults()

    async def open(self, numbers: list[int]) -> None:
        """Listen at the advertised addresses of instances."""
        loop = asyncio.get_running_loop()
        for number in numbers:
            host = self._addresses.advertised(number)
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Receiver(self, number),
                local_addr=(host, self._addresses.registry),
            )
            self._datagrams[number] = transport
            server = await asyncio.start_server(
                lambda reader, writer, number=number: self._proxy_connection(
                    number, reader, writer
                ),
                host,
                self._addresses.log,
            )
            self._servers.append(server)

    async def close(self) -> None:
        """Stop forwarding."""
        for transport in self._datagrams.values():
            transport.close()
        for server in self._servers:
            server.close()
        self.reset_connections(1.0)

    def forward(self, data: bytes, source: int, target: int) -> None:
        """Forward a datagram unless a fault drops it."""
        pair = (source, target)
        is_lost = self._random.random() < self.faults.loss_ratio
        if pair in self.faults.cut or is_lost or source not in self._datagrams:
            return
        address = (self._addresses.listening(target), self._addresses.registry)
        send = self._datagrams[source].sendto
        delay_s = self.faults.delay_s.get(pair, 0.0)
        asyncio.get_running_loop().call_later(delay_s, send, data, address)

    def reset_connections(self, ratio: float) -> None:
        """Reset a random share of the open connections."""
        for task in list(self._connections):
            if self._random.random() < ratio:
                task.cancel()

    async def _proxy_connection(
        self, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = self._find_source(writer.get_extra_info("peername"))
        task = asyncio.current_task()
        self._connections[task] = (source, target)
        upstream = None
        try:
            await self._wait_while_cut((source, target))
            upstream = await asyncio.open_connection(
                self._addresses.listening(target), self._addresses.log
            )
            await asyncio.gather(
                self._copy(reader, upstream[1], (source, target)),
                self._copy(upstream[0], writer, (target, source)),
            )
        except (OSError, asyncio.CancelledError, EOFError):
            # An end closed the connection, or a fault resets it.
            pass
        finally:
            self._connections.pop(task, None)
            for each in (writer, upstream[1] if upstream else writer):
                each.transport.abort()

    async def _wait_while_cut(self, pair: Pair) -> None:
        while pair in self.faults.cut:
            await asyncio.sleep(_CUT_POLL_INTERVAL_S)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: Pair
    ) -> None:
        while True:
            data = await reader.read(_CHUNK_BYTES)
            if not data:
                raise EOFError
            await self._wait_while_cut(pair)
            delay_s = self.faults.delay_s.get(pair, 0.0)
            if delay_s:
                await asyncio.sleep(delay_s)
            writer.write(data)
            await writer.drain()

    def _find_source(self, peer: tuple[str, int]) -> int:
        inode = _find_socket_inode(peer)
        for number in self._datagrams:
            pid = self._find_pid(number)
            if pid is not None and _owns_socket(pid, inode):
                return number
        return 0


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, mesh: Mesh, number: int):
        self._mesh = mesh
        self._number = number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._mesh.forward(data, parse_number(addr[0]), self._number)


def _find_socket_inode(address: tuple[str, int]) -> str:
    """Return the inode of a local TCP socket, or an empty string."""
    host = "".join(f"{int(part):02X}" for part in reversed(address[0].split(".")))
    local_address = f"{host}:{address[1]:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        for row in table:
            parts = row.split()
            if len(parts) > 9 and parts[1] == local_address:
                return parts[9]
    return ""


def _owns_socket(pid: int, inode: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False
