"""Simulates callers and the routers in front of the entry instances."""

import asyncio
import itertools
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.addresses import Addresses
from soak.backend import BackendServer
from soak.fleet import Fleet
from soak.promise_monitor import PromiseMonitor
from soak.wire import ACK, FIN, RST, SYN, Segment, call, decode, encode, host_number

#: Retry delays, timeout and probes of the platform's callers and routers.
_RETRY_DELAYS_S = (0.2, 0.4, 0.8)
_TIMEOUT_S = 1.5
_PROBE_INTERVAL_S = 0.25
_MAX_FAILED_PROBES = 2

Target = tuple[int, int]


class Router:
    """Probes the readiness of entry instances and selects one for each flow.

    Parameters
    ----------
    fleet : Fleet
        The fleet whose entry instances are probed.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._failed_probes = {
            machine.number: _MAX_FAILED_PROBES
            for machine in fleet.machines_of_role("entry")
        }

    async def run(self) -> None:
        """Probe all entry instances periodically."""
        while True:
            await asyncio.gather(
                *(self._probe(number) for number in self._failed_probes)
            )
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe(self, number: int) -> None:
        addresses = self._fleet.addresses
        address = f"{addresses.advertised(number)}:{addresses.readiness}"
        reply = await call(address, "GET", "/api/readyz")
        self._failed_probes[number] = (
            0 if reply.status == 200 else self._failed_probes[number] + 1
        )

    def in_rotation(self) -> list[int]:
        """Return the numbers of the instances that receive packets."""
        ready = [
            number
            for number, failed in self._failed_probes.items()
            if failed < _MAX_FAILED_PROBES
        ]
        return ready or list(self._failed_probes)

    def select(self, source: Target, target: Target) -> int:
        """Return the instance for a flow, chosen from those in rotation."""
        ready = self.in_rotation()
        return ready[zlib.crc32(repr((source, target)).encode()) % len(ready)]


@dataclass
class Tally:
    """Counts of served and failed requests per second of their start."""

    served: dict[int, int] = field(default_factory=dict)
    failed: dict[int, int] = field(default_factory=dict)

    def record(self, started_s: float, is_served: bool) -> None:
        """Count the outcome of a request."""
        counts = self.served if is_served else self.failed
        counts[int(started_s)] = counts.get(int(started_s), 0) + 1

    def served_share_between(self, from_s: float, until_s: float) -> tuple[float, int]:
        """Return the share of served requests in a period, and their number."""
        seconds = range(int(from_s), int(until_s))
        served = sum(self.served.get(second, 0) for second in seconds)
        failed = sum(self.failed.get(second, 0) for second in seconds)
        return served / max(1, served + failed), served + failed


class Caller(asyncio.DatagramProtocol):
    """Opens long and short flows and sends requests on them.

    Parameters
    ----------
    number : int
        Number of the caller, which determines its address.
    addresses : Addresses
        Addresses of the run.
    router : Router
        Selects the instance for each packet.
    targets : callable
        Returns the configured destinations and their services.
    find_run : callable
        Returns the backend server of a run.
    promises : PromiseMonitor
        Records breaches.
    tally : Tally
        Counts the outcomes of requests.
    """

    def __init__(
        self,
        number: int,
        addresses: Addresses,
        router: Router,
        targets: Callable[[], dict[Target, str]],
        find_run: Callable[[str], BackendServer | None],
        promises: PromiseMonitor,
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
        self._flow_queues: dict[tuple[Target, Target], asyncio.Queue[Segment]] = {}
        #: Instances of flows that bypass the router, by the source of the flow.
        self._pinned_instances: dict[Target, int] = {}
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
                await self._run_flow(target, service, 12 if is_long else 1)
        finally:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        segment = decode(data)
        queue = self._flow_queues.get((segment.target, segment.source))
        if queue is not None:
            queue.put_nowait(segment)

    async def _run_flow(self, target: Target, service: str, request_count: int) -> None:
        source = (self._host, next(self._local_ports))
        flow = _Flow(self, source, target)
        self._flow_queues[source, target] = flow.received
        started_s = self._promises.now_s()
        try:
            opened = await flow.open()
            if not opened:
                self._tally.record(started_s, False)
                return
            for number in range(request_count):
                started_s = self._promises.now_s()
                is_served = await self._request(flow, service, number)
                self._tally.record(started_s, is_served)
                if not is_served:
                    return
                await asyncio.sleep(self._random.uniform(0.05, 0.4))
            flow.send(FIN | ACK, b"")
        finally:
            del self._flow_queues[source, target]
            await asyncio.sleep(0.05)

    async def _request(self, flow: "_Flow", service: str, number: int) -> bool:
        payload = f"request {flow.source[1]} {number}".encode()
        answer = await flow.request(payload)
        if answer is None:
            return False
        if answer.flags & RST:
            self._check_reset(flow)
            return False
        text = answer.payload.decode()
        if not text.startswith(f"{payload.decode()} {service} "):
            self._promises.record_breach("the answer is the request's own", text)
            return False
        flow.run_id = text.rpartition(" ")[2]
        return True

    def _check_reset(self, flow: "_Flow") -> None:
        server = self._find_run(flow.run_id) if flow.run_id else None
        is_alive = server is not None and server.alive
        is_routed = flow.target in self._targets()
        if is_alive and is_routed and self._promises.is_calm():
            detail = f"{flow.source} to {flow.run_id}"
            self._promises.record_breach("an open flow to a live run stays up", detail)

    async def can_open_through(self, number: int, target: Target) -> bool:
        """Return whether a flow to a destination can be opened through an instance."""
        source = (self._host, next(self._local_ports))
        flow = _Flow(self, source, target)
        self._flow_queues[source, target] = flow.received
        self._pinned_instances[source] = number
        try:
            opened = await flow.open()
            flow.send(FIN | ACK, b"")
            return opened
        finally:
            del self._flow_queues[source, target], self._pinned_instances[source]

    def transmit(self, segment: Segment) -> None:
        """Send a packet through the instance that the router currently selects."""
        number = self._pinned_instances.get(segment.source) or self._router.select(
            segment.source, segment.target
        )
        address = (self._addresses.advertised(number), self._addresses.datagrams)
        self._transport.sendto(encode(segment), address)


class _Flow:
    """A flow of a caller."""

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

    async def request(self, payload: bytes) -> Segment | None:
        answer = await self._exchange(ACK, payload)
        if answer is not None and not answer.flags & RST:
            self._sequence += len(payload)
            self._acknowledged += len(answer.payload)
            self.send(ACK, b"")
        return answer

    async def _exchange(self, flags: int, payload: bytes) -> Segment | None:
        """Send and retry until a matching reply arrives or the timeout expires."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _TIMEOUT_S
        delays_s = iter((*_RETRY_DELAYS_S, _TIMEOUT_S))
        for copy in itertools.count():
            self.send(flags, payload, copy)
            retry_at_s = min(deadline_s, loop.time() + next(delays_s))
            while (remaining_s := retry_at_s - loop.time()) > 0:
                try:
                    answer = await asyncio.wait_for(self.received.get(), remaining_s)
                except TimeoutError:
                    break
                if self._is_reply(answer, flags, payload):
                    self._label = answer.label
                    return answer
            if loop.time() >= deadline_s:
                return None
        return None

    @staticmethod
    def _is_reply(answer: Segment, flags: int, payload: bytes) -> bool:
        if answer.flags & RST:
            return True
        if flags & SYN:
            return bool(answer.flags & SYN)
        # Ignores late replies to earlier requests.
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
