"""A loopback proxy between the instances: delays, cuts, silence and resets.

Datagrams come from an instance's own address, so their sender is known; of a connection
it is found by the process that holds it.
"""

import asyncio
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.addresses import Addresses, number_of

_CHUNK_BYTES = 65_536
#: How often a silenced connection looks whether it may go on.
_SILENCE_POLL_S = 0.05

Pair = tuple[int, int]


@dataclass
class LinkFaults:
    """What is wrong between instances; pairs are (sender, receiver)."""

    cut: set[Pair] = field(default_factory=set)
    delay_s: dict[Pair, float] = field(default_factory=dict)
    loss_ratio: float = 0.0

    def clear(self) -> None:
        """End every fault."""
        self.cut.clear()
        self.delay_s.clear()
        self.loss_ratio = 0.0


class Mesh:
    """Forwards what instances send to each other.

    Parameters
    ----------
    addresses : Addresses
        Of all instances.
    seed : int
        Of lost datagrams.
    pid_of : callable
        Process of an instance; None while it is down.
    """

    def __init__(
        self, addresses: Addresses, seed: int, pid_of: Callable[[int], int | None]
    ):
        self._addresses = addresses
        self._random = random.Random(seed)
        self._pid_of = pid_of
        self._datagrams: dict[int, asyncio.DatagramTransport] = {}
        self._servers: list[asyncio.Server] = []
        self._connections: dict[asyncio.Task, Pair] = {}
        self.faults = LinkFaults()

    async def open(self, numbers: list[int]) -> None:
        """Listen at the advertised addresses of some instances."""
        loop = asyncio.get_running_loop()
        for number in numbers:
            host = self._addresses.advertised(number)
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Receiver(self, number),
                local_addr=(host, self._addresses.registry),
            )
            self._datagrams[number] = transport
            server = await asyncio.start_server(
                lambda reader, writer, number=number: self._serve(
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

    # -- datagrams ----------------------------------------------------------------

    def forward(self, data: bytes, source: int, target: int) -> None:
        """Send a datagram on, unless a fault holds it."""
        pair = (source, target)
        is_lost = self._random.random() < self.faults.loss_ratio
        if pair in self.faults.cut or is_lost or source not in self._datagrams:
            return
        place = (self._addresses.listening(target), self._addresses.registry)
        send = self._datagrams[source].sendto
        delay_s = self.faults.delay_s.get(pair, 0.0)
        asyncio.get_running_loop().call_later(delay_s, send, data, place)

    # -- connections --------------------------------------------------------------

    def reset_connections(self, ratio: float) -> None:
        """Reset a share of the open connections."""
        for task in list(self._connections):
            if self._random.random() < ratio:
                task.cancel()

    async def _serve(
        self, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = self._find_source(writer.get_extra_info("peername"))
        task = asyncio.current_task()
        self._connections[task] = (source, target)
        onward = None
        try:
            await self._wait_until_open((source, target))
            onward = await asyncio.open_connection(
                self._addresses.listening(target), self._addresses.log
            )
            await asyncio.gather(
                self._pump(reader, onward[1], (source, target)),
                self._pump(onward[0], writer, (target, source)),
            )
        except (OSError, asyncio.CancelledError, EOFError):
            # Either end is gone, or this fault is its end.
            pass
        finally:
            self._connections.pop(task, None)
            for one in (writer, onward[1] if onward else writer):
                one.transport.abort()

    async def _wait_until_open(self, pair: Pair) -> None:
        while pair in self.faults.cut:
            await asyncio.sleep(_SILENCE_POLL_S)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: Pair
    ) -> None:
        while True:
            data = await reader.read(_CHUNK_BYTES)
            if not data:
                raise EOFError
            await self._wait_until_open(pair)
            delay_s = self.faults.delay_s.get(pair, 0.0)
            if delay_s:
                await asyncio.sleep(delay_s)
            writer.write(data)
            await writer.drain()

    def _find_source(self, peer: tuple[str, int]) -> int:
        inode = _inode_of(peer)
        for number in self._datagrams:
            pid = self._pid_of(number)
            if pid is not None and _holds(pid, inode):
                return number
        return 0


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, mesh: Mesh, number: int):
        self._mesh = mesh
        self._number = number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._mesh.forward(data, number_of(addr[0]), self._number)


def _inode_of(local: tuple[str, int]) -> str:
    """Find the socket that a connection was opened with, as Linux lists it."""
    host = "".join(f"{int(part):02X}" for part in reversed(local[0].split(".")))
    wanted = f"{host}:{local[1]:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        for row in table:
            parts = row.split()
            if len(parts) > 9 and parts[1] == wanted:
                return parts[9]
    return ""


def _holds(pid: int, inode: str) -> bool:
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
