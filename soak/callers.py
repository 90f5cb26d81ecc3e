"""Simulates callers and the routers in front of the entry instances."""

import asyncio
import itertools
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.addresses import Addresses, parse_number
from soak.fleet import Fleet
from soak.flows import Flow, Target
from soak.open_flows import OpenFlows
from soak.promise_monitor import PromiseMonitor
from soak.wire import RST, Segment, call, decode, encode, host_number

#: Probes of the platform's routers.
_PROBE_INTERVAL_S = 0.25
_MAX_FAILED_PROBES = 2
#: Flows that a caller keeps open beside its others, requests on each, and the longest
#: pause between two.
_KEPT_FLOW_COUNT = 8
_KEPT_REQUEST_COUNT = 40
_MAX_KEPT_PAUSE_S = 2.5


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

    def name_of(self, number: int) -> str:
        """Return the name of an instance."""
        machine = self._fleet.machines.get(number)
        return machine.name if machine else str(number)

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
    open_flows : OpenFlows
        Checks resets.
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
        open_flows: OpenFlows,
        promises: PromiseMonitor,
        tally: Tally,
    ):
        self._host = host_number(addresses.caller(number))
        self._number = number
        self._addresses = addresses
        self._router = router
        self._targets = targets
        self._open_flows = open_flows
        self._promises = promises
        self._tally = tally
        self._random = random.Random(number)
        self._local_ports = itertools.cycle(range(1_024, 60_000))
        self._flows: dict[tuple[Target, Target], Flow] = {}
        #: Instances of flows that bypass the router, by the source of the flow.
        self._pinned_instances: dict[Target, int] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """Send requests on short and on kept flows until cancelled."""
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=(
                self._addresses.caller(self._number),
                self._addresses.datagrams,
            ),
        )
        try:
            kept = (self._keep_flows(index) for index in range(_KEPT_FLOW_COUNT))
            await asyncio.gather(self._run_flows(), *kept)
        finally:
            self._transport.close()

    async def _run_flows(self) -> None:
        while True:
            targets = list(self._targets().items())
            target, service = self._random.choice(targets)
            is_long = self._random.random() < 0.5
            await self._run_flow(target, service, 12 if is_long else 1, 0.4)

    async def _keep_flows(self, index: int) -> None:
        """Keep a flow open with pauses; half of them acknowledge answers late."""
        # Not the caller's generator, whose use determines the other flows.
        generator = random.Random(f"kept {self._number} {index}")
        while True:
            target, service = generator.choice(list(self._targets().items()))
            await self._run_flow(
                target, service, _KEPT_REQUEST_COUNT, _MAX_KEPT_PAUSE_S, index % 2 == 0
            )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow, and check a reset."""
        segment = decode(data)
        flow = self._flows.get((segment.target, segment.source))
        if flow is None:
            return
        if segment.flags & RST:
            self._check_reset(flow, addr[0])
        flow.received.put_nowait(segment)

    async def _run_flow(
        self,
        target: Target,
        service: str,
        request_count: int,
        max_pause_s: float,
        acknowledges_late: bool = False,
    ) -> None:
        source = (self._host, next(self._local_ports))
        flow = Flow(source, target, self.transmit, acknowledges_late)
        self._flows[source, target] = flow
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
                await asyncio.sleep(self._random.uniform(0.05, max_pause_s))
            flow.close()
        finally:
            del self._flows[source, target]
            await asyncio.sleep(0.05)

    async def _request(self, flow: Flow, service: str, number: int) -> bool:
        payload = f"request {flow.source[1]} {number}".encode()
        answer = await flow.request(payload)
        if answer is None:
            return False
        if answer.flags & RST:
            return False
        text = answer.payload.decode()
        if not text.startswith(f"{payload.decode()} {service} "):
            self._promises.record_breach("the answer is the request's own", text)
            return False
        return True

    def _check_reset(self, flow: Flow, sender: str) -> None:
        """Check a reset, unless it is of a flow that a configuration drops."""
        if flow.target not in self._targets():
            return
        parties = (
            self._router.name_of(flow.instance),
            self._router.name_of(parse_number(sender)),
        )
        self._open_flows.check_reset((flow.source, flow.target), sender, parties)

    async def can_open_through(self, number: int, target: Target) -> bool:
        """Return whether a flow to a destination can be opened through an instance."""
        source = (self._host, next(self._local_ports))
        flow = Flow(source, target, self.transmit)
        self._flows[source, target] = flow
        self._pinned_instances[source] = number
        try:
            opened = await flow.open()
            flow.close()
            return opened
        finally:
            del self._flows[source, target], self._pinned_instances[source]

    def transmit(self, segment: Segment) -> int:
        """Send a packet through the instance that the router selects; return it."""
        number = self._pinned_instances.get(segment.source) or self._router.select(
            segment.source, segment.target
        )
        address = (self._addresses.advertised(number), self._addresses.datagrams)
        self._transport.sendto(encode(segment), address)
        return number
