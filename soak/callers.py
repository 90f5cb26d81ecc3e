"""Callers and the routers in front of the entry instances."""

import asyncio
import itertools
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.addresses import Addresses
from soak.backend import BackendServer
from soak.fleet import Fleet
from soak.promises import Promises
from soak.wire import ACK, FIN, RST, SYN, Segment, call, decode, encode, host_number

#: As the platform's callers and routers do.
_COPIES_S = (0.2, 0.4, 0.8)
_TIMEOUT_S = 1.5
_PROBE_S = 0.25
_MISSES = 2

Target = tuple[int, int]


class Router:
    """Asks entry instances whether they are ready, and chooses one for each flow.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._missed = {one.number: _MISSES for one in fleet.of_role("entry")}

    async def run(self) -> None:
        """Ask all of them, again and again."""
        while True:
            await asyncio.gather(*(self._ask(number) for number in self._missed))
            await asyncio.sleep(_PROBE_S)

    async def _ask(self, number: int) -> None:
        addresses = self._fleet.addresses
        address = f"{addresses.advertised(number)}:{addresses.readiness}"
        reply = await call(address, "GET", "/api/readyz")
        self._missed[number] = 0 if reply.status == 200 else self._missed[number] + 1

    def in_rotation(self) -> list[int]:
        """List the instances that get packets."""
        ready = [one for one, missed in self._missed.items() if missed < _MISSES]
        return ready or list(self._missed)

    def choose(self, source: Target, target: Target) -> int:
        """Choose the instance for a flow; it changes with the rotation."""
        ready = self.in_rotation()
        return ready[zlib.crc32(repr((source, target)).encode()) % len(ready)]


@dataclass
class Tally:
    """Outcomes of requests, by the second in which they began."""

    served: dict[int, int] = field(default_factory=dict)
    failed: dict[int, int] = field(default_factory=dict)

    def note(self, began_s: float, is_served: bool) -> None:
        """Count one."""
        counts = self.served if is_served else self.failed
        counts[int(began_s)] = counts.get(int(began_s), 0) + 1

    def share_served(self, from_s: float, until_s: float) -> tuple[float, int]:
        """Share of the requests in a time that were served, and their number."""
        seconds = range(int(from_s), int(until_s))
        served = sum(self.served.get(second, 0) for second in seconds)
        failed = sum(self.failed.get(second, 0) for second in seconds)
        return served / max(1, served + failed), served + failed


class Caller(asyncio.DatagramProtocol):
    """Opens flows and sends requests, on long flows and on fresh ones.

    Parameters
    ----------
    number : int
        Of its address.
    addresses : Addresses
        Of entry instances and callers.
    router : Router
        Chooses the instance for each packet.
    targets : callable
        Lists the destinations in force.
    find_run : callable
        Finds the backend server of a run.
    promises : Promises
        Told of breaches.
    tally : Tally
        Counts outcomes.
    """

    def __init__(
        self,
        number: int,
        addresses: Addresses,
        router: Router,
        targets: Callable[[], dict[Target, str]],
        find_run: Callable[[str], BackendServer | None],
        promises: Promises,
        tally: Tally,
    ):
        self._host = host_number(addresses.caller(number))
        self._number = number
        self._addresses = addresses
        self._router = router
        self._targets = targets
        self._find_run = find_run
        self._promises = promises
        self._tally = tally
        self._random = random.Random(number)
        self._local_ports = itertools.cycle(range(1_024, 60_000))
        self._waiting: dict[tuple[Target, Target], asyncio.Queue[Segment]] = {}
        #: Instances that single flows are sent through, by their sources.
        self._fixed: dict[Target, int] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=(
                self._addresses.caller(self._number),
                self._addresses.datagrams,
            ),
        )
        try:
            while True:
                targets = list(self._targets().items())
                target, service = self._random.choice(targets)
                is_long = self._random.random() < 0.5
                await self._use_flow(target, service, 12 if is_long else 1)
        finally:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a packet to its flow."""
        segment = decode(data)
        queue = self._waiting.get((segment.target, segment.source))
        if queue is not None:
            queue.put_nowait(segment)

    # -- one flow -----------------------------------------------------------------

    async def _use_flow(self, target: Target, service: str, request_count: int) -> None:
        source = (self._host, next(self._local_ports))
        flow = _Flow(self, source, target)
        self._waiting[source, target] = flow.received
        began_s = self._promises.now_s()
        try:
            opened = await flow.open()
            if not opened:
                self._tally.note(began_s, False)
                return
            for number in range(request_count):
                began_s = self._promises.now_s()
                is_served = await self._request(flow, service, number)
                self._tally.note(began_s, is_served)
                if not is_served:
                    return
                await asyncio.sleep(self._random.uniform(0.05, 0.4))
            flow.send(FIN | ACK, b"")
        finally:
            del self._waiting[source, target]
            await asyncio.sleep(0.05)

    async def _request(self, flow: "_Flow", service: str, number: int) -> bool:
        payload = f"request {flow.source[1]} {number}".encode()
        answer = await flow.ask(payload)
        if answer is None:
            return False
        if answer.flags & RST:
            self._judge_reset(flow)
            return False
        text = answer.payload.decode()
        if not text.startswith(f"{payload.decode()} {service} "):
            self._promises.broken("the answer is the request's own", text)
            return False
        flow.run_id = text.rpartition(" ")[2]
        return True

    def _judge_reset(self, flow: "_Flow") -> None:
        server = self._find_run(flow.run_id) if flow.run_id else None
        lives = server is not None and server.alive
        is_routed = flow.target in self._targets()
        if lives and is_routed and self._promises.is_calm():
            detail = f"{flow.source} to {flow.run_id}"
            self._promises.broken("an open flow to a live run stays up", detail)

    async def opens_through(self, number: int, target: Target) -> bool:
        """Tell whether a flow to a destination opens through one instance."""
        source = (self._host, next(self._local_ports))
        flow = _Flow(self, source, target)
        self._waiting[source, target] = flow.received
        self._fixed[source] = number
        try:
            opened = await flow.open()
            flow.send(FIN | ACK, b"")
            return opened
        finally:
            del self._waiting[source, target], self._fixed[source]

    def transmit(self, segment: Segment) -> None:
        """Send a packet through whichever instance the router chooses now."""
        number = self._fixed.get(segment.source) or self._router.choose(
            segment.source, segment.target
        )
        place = (self._addresses.advertised(number), self._addresses.datagrams)
        self._transport.sendto(encode(segment), place)


class _Flow:
    """One flow of a caller."""

    def __init__(self, caller: Caller, source: Target, target: Target):
        self._caller = caller
        self.source = source
        self.target = target
        self.received: asyncio.Queue[Segment] = asyncio.Queue()
        self.run_id = ""
        self._label = 0
        self._sequence = 1
        self._acknowledged = 0

    async def open(self) -> bool:
        answer = await self._exchange(SYN, b"")
        if answer is None or answer.flags & RST:
            return False
        self._sequence += 1
        self.send(ACK, b"")
        return True

    async def ask(self, payload: bytes) -> Segment | None:
        answer = await self._exchange(ACK, payload)
        if answer is not None and not answer.flags & RST:
            self._sequence += len(payload)
            self._acknowledged += len(answer.payload)
            self.send(ACK, b"")
        return answer

    async def _exchange(self, flags: int, payload: bytes) -> Segment | None:
        """Send, and again, until something new comes or time is over."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _TIMEOUT_S
        pauses_s = iter((*_COPIES_S, _TIMEOUT_S))
        for copy in itertools.count():
            self.send(flags, payload, copy)
            wait_until_s = min(until_s, loop.time() + next(pauses_s))
            while (left_s := wait_until_s - loop.time()) > 0:
                try:
                    answer = await asyncio.wait_for(self.received.get(), left_s)
                except TimeoutError:
                    break
                if self._is_wanted(answer, flags, payload):
                    self._label = answer.label
                    return answer
            if loop.time() >= until_s:
                return None
        return None

    @staticmethod
    def _is_wanted(answer: Segment, flags: int, payload: bytes) -> bool:
        if answer.flags & RST:
            return True
        if flags & SYN:
            return bool(answer.flags & SYN)
        # Answers to earlier copies of earlier requests come late.
        return answer.payload.startswith(payload + b" ")

    def send(self, flags: int, payload: bytes, copy: int = 0) -> None:
        acknowledged = copy if flags & SYN else self._acknowledged
        self._caller.transmit(
            Segment(
                0 if flags & SYN else self._label,
                self.source,
                self.target,
                flags,
                self._sequence,
                acknowledged,
                payload,
            )
        )
