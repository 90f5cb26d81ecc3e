"""Runs the soak test: rounds of faults, each followed by checks in calm."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import asdict, dataclass, field
from pathlib import Path

from soak.addresses import claim_addresses
from soak.backend import BackendServer
from soak.bodies import InvalidBodies
from soak.callers import Caller, Router, Tally
from soak.faults import FaultInjector
from soak.fleet import Fleet
from soak.mesh import Mesh
from soak.open_flows import OpenFlows
from soak.operator import Operator
from soak.promise_monitor import PromiseMonitor
from soak.replacements import ReplacementSeries

#: Time from the last fault of a round to the checks: an instance with a lost disk can
#: vote again by then, and all backend servers have reported again.
_RECOVERY_S = 8.0
_CALM_S = 4.0
#: Minimum share of the requests started in calm that are served.
_MIN_SERVED_SHARE = 0.98
_START_LIMIT_S = 20.0


@dataclass(frozen=True, slots=True)
class RunSize:
    """Numbers of the participants in a run."""

    control_count: int = 3
    entry_count: int = 4
    server_count: int = 6
    caller_count: int = 12
    losses_borne: int = 1
    #: Whether series of replaced control instances follow some rounds.
    has_replacements: bool = True


@dataclass
class Report:
    """Statistics and breaches of a run."""

    seed: int
    rounds: int = 0
    took_s: float = 0.0
    requests: int = 0
    served_share: float = 0.0
    calm_share: float = 1.0
    changes: int = 0
    reads: int = 0
    invalid_bodies: int = 0
    peak_memory_mb: dict[str, int] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    breaches: list[dict] = field(default_factory=list)


class Soak:
    """A run of the soak test with all its participants.

    Parameters
    ----------
    folder : Path
        Directory for logs, settings and disks.
    seed : int
        Seed of the random numbers; the order of events still varies between runs.
    size : RunSize
        Numbers of the participants.
    sources : Path
        Checkout from which the programs are run.
    """

    def __init__(self, folder: Path, seed: int, size: RunSize, sources: Path):
        self._random = random.Random(seed)
        self._movement_random = random.Random(f"movement series {seed}")
        self._size = size
        self.report = Report(seed)
        self.promises = PromiseMonitor()
        addresses = claim_addresses(seed)
        self.fleet = Fleet(
            folder,
            addresses,
            size.control_count,
            size.entry_count,
            size.losses_borne,
            sources,
        )
        self.mesh = Mesh(addresses, seed, self.fleet.find_pid)
        self.operator = Operator(self._control_addresses, self.promises, seed)
        reports_start = random.Random(f"starts {seed}").random() < 0.5
        open_flows = OpenFlows(self.promises)
        self.servers = [
            BackendServer(
                number,
                "beta" if number % 3 == 0 else "alpha",
                addresses,
                self._control_addresses,
                self.operator.can_route,
                self.operator.evacuated_s,
                self.promises,
                open_flows,
                reports_start,
            )
            for number in range(1, size.server_count + 1)
        ]
        self.router = Router(self.fleet)
        self.tally = Tally()
        self.callers = [
            Caller(
                number,
                addresses,
                self.router,
                self.operator.targets,
                open_flows,
                self.promises,
                self.tally,
            )
            for number in range(1, size.caller_count + 1)
        ]
        self.faults = FaultInjector(
            self.fleet, self.mesh, self.servers, self.operator, self.promises, seed
        )
        self.replacements = ReplacementSeries(
            self.fleet, self.mesh, self.promises, seed
        )
        self.bodies = InvalidBodies(self._control_addresses, self.promises, seed)
        self._tasks: list[asyncio.Task] = []

    def _control_addresses(self) -> list[str]:
        numbers = [machine.number for machine in self.fleet.machines_of_role("control")]
        self._random.shuffle(numbers)
        addresses = self.fleet.addresses
        return [f"{addresses.advertised(number)}:{addresses.api}" for number in numbers]

    def _start_task(self, coroutine: Coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def run(self, duration_s: float) -> Report:
        """Run rounds of faults and checks.

        Parameters
        ----------
        duration_s : float
            Minimum duration; the last round is completed.

        Returns
        -------
        Report
            The report, with all breaches.
        """
        self.promises.started_s = asyncio.get_running_loop().time()
        try:
            await self._start()
            while self.promises.now_s() < duration_s:
                await self._run_round()
        finally:
            await self._shut_down()
            self.fleet.addresses.claim.close()
        self._fill_report()
        return self.report

    async def _start(self) -> None:
        self.promises.begin_fault("start")
        await self.mesh.open(list(self.fleet.machines))
        for machine in self.fleet.machines.values():
            self.fleet.start(machine)
        self._start_task(self.fleet.supervise())
        self._start_task(self.fleet.watch_memory())
        self._start_task(self.router.run())
        if not await self.operator.change():
            self.promises.record_breach(
                "it starts", "the first change was not acknowledged"
            )
        for server in self.servers:
            await server.start()
        deadline_s = self.promises.now_s() + _START_LIMIT_S
        while len(self.router.in_rotation()) < self._size.entry_count:
            await asyncio.sleep(0.1)
            if self.promises.now_s() > deadline_s:
                break
        await asyncio.sleep(1.0)
        for caller in self.callers:
            self._start_task(caller.run())
        self._start_task(self.operator.run_reads())
        self.promises.end_fault("start")

    async def _run_round(self) -> None:
        self.report.rounds += 1
        fault_series = [
            self._run_fault_series() for _ in range(self._random.choice((1, 1, 2, 3)))
        ]
        domain, *_ = await asyncio.gather(
            self.faults.evacuate(),
            *fault_series,
            self._run_movements(),
            self.faults.release_servers(),
            self._send_changes(),
            self.faults.send_invalid_reports(),
            self.bodies.send_some(),
        )
        await asyncio.sleep(_RECOVERY_S)
        # Readmitted after the check, because late flows are breaches only in calm.
        await self._check_calm()
        await self.operator.readmit(domain)
        if self._size.has_replacements and self.replacements.is_due():
            await self._run_replacements()

    async def _run_replacements(self) -> None:
        """Replace control instances among changes and invalid bodies."""
        replacing = asyncio.ensure_future(
            self.replacements.run(self._size.losses_borne)
        )
        while not replacing.done():
            await asyncio.gather(self.operator.change_much(), self.bodies.send_some())
        await replacing
        await asyncio.sleep(_RECOVERY_S)
        await self._check_calm()

    async def _run_fault_series(self) -> None:
        for _ in range(self._random.choice((1, 2, 3))):
            await self.faults.inject_random()
            await asyncio.sleep(self._random.choice((0.0, 0.2, 1.0)))

    async def _run_movements(self) -> None:
        # A generator of its own leaves the sequence of the other faults as it is.
        for _ in range(self._movement_random.choice((1, 2, 3))):
            await asyncio.sleep(self._movement_random.uniform(0.0, 2.0))
            await self.faults.inject_movement()

    async def _send_changes(self) -> None:
        for _ in range(self._random.choice((1, 2, 4))):
            await self.operator.change()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))

    async def _check_calm(self) -> None:
        started_s = self.promises.now_s()
        version = await self.operator.change()
        if not version:
            self.promises.record_breach("a change is acknowledged in time", "in calm")
        await asyncio.sleep(_CALM_S)
        read = [
            await self.operator.read(address) for address in self._control_addresses()
        ]
        if not any(read):
            self.promises.record_breach(
                "what is in force can be read", "no instance returned a configuration"
            )
        share, count = self.tally.served_share_between(
            started_s, started_s + _CALM_S - 1
        )
        self.report.calm_share = min(self.report.calm_share, round(share, 4))
        if share < _MIN_SERVED_SHARE or not count:
            detail = f"{share:.3f} of {count}"
            self.promises.record_breach("in calm, requests are served", detail)
        if version:
            await self._check_in_force(version)

    async def _check_in_force(self, version: int) -> None:
        target = self.operator.extra_target(version)
        for number in self.router.in_rotation():
            if not await self.callers[0].can_open_through(number, target):
                detail = f"version {version} at instance {number}"
                self.promises.record_breach("a change is in force everywhere", detail)

    async def _shut_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.fleet.kill_all()
        for server in self.servers:
            server.crash()
        await self.mesh.close()

    def _fill_report(self) -> None:
        report = self.report
        report.took_s = round(self.promises.now_s(), 1)
        share, report.requests = self.tally.served_share_between(0, report.took_s)
        report.served_share = round(share, 4)
        report.changes = self.operator.change_count
        report.reads = self.operator.read_count
        report.invalid_bodies = self.bodies.count
        report.peak_memory_mb = self.fleet.peak_memory_mb
        for detail in self.fleet.memory_excesses():
            self.promises.record_breach("a process keeps to its memory", detail)
        counts = self.faults.counts | self.replacements.counts
        report.faults = dict(sorted(counts.items()))
        for detail in self.fleet.unexpected_exits:
            self.promises.record_breach("no process ends by itself", detail)
        report.breaches = [asdict(breach) for breach in self.promises.breaches]
