"""One run of the soak: rounds of faults, each followed by calm."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import asdict, dataclass, field
from pathlib import Path

from soak.addresses import draw_addresses
from soak.backend import BackendServer
from soak.callers import Caller, Router, Tally
from soak.faults import FaultMaker
from soak.fleet import Fleet
from soak.mesh import Mesh
from soak.operator import Operator
from soak.promises import Promises

#: After the last fault of a round, before service and changes are measured: an instance
#: with a lost disk votes again, and servers that were silent report again.
_RECOVERY_S = 8.0
_CALM_S = 4.0
#: Share of the requests begun in calm that have to be served.
_LEAST_SERVED = 0.98
_START_LIMIT_S = 20.0


@dataclass(frozen=True, slots=True)
class Size:
    """How much takes part."""

    control_count: int = 3
    entry_count: int = 4
    server_count: int = 6
    caller_count: int = 12
    losses_borne: int = 1


@dataclass
class Report:
    """What a run did and found."""

    seed: int
    rounds: int = 0
    took_s: float = 0.0
    requests: int = 0
    served_share: float = 0.0
    calm_share: float = 1.0
    changes: int = 0
    reads: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    breaches: list[dict] = field(default_factory=list)


class Soak:
    """Everything that takes part in a run.

    Parameters
    ----------
    folder : Path
        For logs, settings and disks.
    seed : int
        Of every draw; the order of events still differs from run to run.
    size : Size
        How much takes part.
    sources : Path
        Checkout that the programs are run from.
    """

    def __init__(self, folder: Path, seed: int, size: Size, sources: Path):
        self._random = random.Random(seed)
        self._size = size
        self.report = Report(seed)
        self.promises = Promises()
        addresses = draw_addresses(seed)
        self.fleet = Fleet(
            folder,
            addresses,
            size.control_count,
            size.entry_count,
            size.losses_borne,
            sources,
        )
        self.mesh = Mesh(addresses, seed, self.fleet.pid_of)
        self.operator = Operator(self._control, self.promises, seed)
        self.servers = [
            BackendServer(
                number,
                "beta" if number % 3 == 0 else "alpha",
                addresses,
                self._control,
                self.operator.allows,
                self.operator.evacuated_s,
                self.promises,
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
                self._find_run,
                self.promises,
                self.tally,
            )
            for number in range(1, size.caller_count + 1)
        ]
        self.faults = FaultMaker(
            self.fleet, self.mesh, self.servers, self.operator, self.promises, seed
        )
        self._tasks: list[asyncio.Task] = []

    def _control(self) -> list[str]:
        numbers = [one.number for one in self.fleet.of_role("control")]
        self._random.shuffle(numbers)
        addresses = self.fleet.addresses
        return [f"{addresses.advertised(one)}:{addresses.api}" for one in numbers]

    def _find_run(self, run_id: str) -> BackendServer | None:
        return next((one for one in self.servers if one.run_id == run_id), None)

    def _spawn(self, work: Coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    # -- a run --------------------------------------------------------------------

    async def play(self, for_s: float) -> Report:
        """Play rounds for some time.

        Parameters
        ----------
        for_s : float
            Least time; the round under way is played to its end.

        Returns
        -------
        Report
            With all breaches.
        """
        self.promises.started_s = asyncio.get_running_loop().time()
        try:
            await self._start()
            while self.promises.now_s() < for_s:
                await self._play_round()
        finally:
            await self._end()
            self.fleet.addresses.claim.close()
        self._fill_report()
        return self.report

    async def _start(self) -> None:
        self.promises.begin("start")
        await self.mesh.open(list(self.fleet.machines))
        for machine in self.fleet.machines.values():
            self.fleet.start(machine)
        self._spawn(self.fleet.watch())
        self._spawn(self.router.run())
        if not await self.operator.change():
            self.promises.broken("it starts", "the first change was not taken")
        for server in self.servers:
            await server.start()
        until_s = self.promises.now_s() + _START_LIMIT_S
        while len(self.router.in_rotation()) < self._size.entry_count:
            await asyncio.sleep(0.1)
            if self.promises.now_s() > until_s:
                break
        await asyncio.sleep(1.0)
        for caller in self.callers:
            self._spawn(caller.run())
        self._spawn(self.operator.run_reads())
        self.promises.end("start")

    async def _play_round(self) -> None:
        self.report.rounds += 1
        series = [self._play_series() for _ in range(self._random.choice((1, 1, 2, 3)))]
        domain, *_ = await asyncio.gather(
            self.faults.evacuate(),
            *series,
            self._change_meanwhile(),
            self.faults.send_foreign(),
        )
        await asyncio.sleep(_RECOVERY_S)
        # Still evacuated: only in calm a late flow is a breach.
        await self._check_calm()
        await self.operator.readmit(domain)

    async def _play_series(self) -> None:
        for _ in range(self._random.choice((1, 2, 3))):
            await self.faults.draw()
            await asyncio.sleep(self._random.choice((0.0, 0.2, 1.0)))

    async def _change_meanwhile(self) -> None:
        for _ in range(self._random.choice((1, 2, 4))):
            await self.operator.change()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))

    async def _check_calm(self) -> None:
        began_s = self.promises.now_s()
        version = await self.operator.change()
        if not version:
            self.promises.broken("a change is acknowledged in time", "in calm")
        await asyncio.sleep(_CALM_S)
        sure = [await self.operator.read(one) for one in self._control()]
        if not any(sure):
            self.promises.broken("what is in force can be read", "nobody was sure")
        share, count = self.tally.share_served(began_s, began_s + _CALM_S - 1)
        self.report.calm_share = min(self.report.calm_share, round(share, 4))
        if share < _LEAST_SERVED or not count:
            detail = f"{share:.3f} of {count}"
            self.promises.broken("in calm, requests are served", detail)
        if version:
            await self._check_in_force(version)

    async def _check_in_force(self, version: int) -> None:
        target = self.operator.extra_target(version)
        for number in self.router.in_rotation():
            if not await self.callers[0].opens_through(number, target):
                detail = f"version {version} at instance {number}"
                self.promises.broken("a change is in force everywhere", detail)

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.fleet.end_all()
        for server in self.servers:
            server.crash()
        await self.mesh.close()

    def _fill_report(self) -> None:
        report = self.report
        report.took_s = round(self.promises.now_s(), 1)
        share, report.requests = self.tally.share_served(0, report.took_s)
        report.served_share = round(share, 4)
        report.changes = self.operator.change_count
        report.reads = self.operator.read_count
        report.faults = dict(sorted(self.faults.counts.items()))
        for detail in self.fleet.exits:
            self.promises.broken("no process ends by itself", detail)
        report.breaches = [asdict(breach) for breach in self.promises.breaches]
