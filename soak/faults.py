"""Injects random faults into the fleet and the proxies."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from itertools import product

from soak.backend import BackendServer
from soak.fleet import Fleet, Machine
from soak.mesh import Mesh
from soak.operator import Operator
from soak.promise_monitor import EVERYONE, NOBODY, Disturbance, PromiseMonitor

#: Minimum interval of disk losses: the instance of the first one can vote again.
_MIN_DISK_LOSS_INTERVAL_S = 15.0

#: Planned work among the faults: it ends calm, but excuses no reset.
_PLANNED_FAULTS = {
    "stop",
    "rolling stop",
    "change settings",
    "remove an instance",
    "roll the instances",
    "replace a server",
    "race changes",
    "resend a change",
}
#: Failure domains that can be evacuated; the third has all servers of a service.
_EVACUABLE_DOMAINS = ("domain-1", "domain-2")
#: Restart delay of a supervisor without backoff.
_FAST_RESTART_S = 0.05
#: Invalid values of report fields; an empty string removes the field.
_INVALID_FIELDS: tuple[dict[str, object], ...] = (
    {"state": "gone"},
    {"state": True},
    {"capacity": "2"},
    {"sequence": 1 << 70},
    {"born": 17.5},
    {"born": True},
    {"address": ""},
    {"zone": 7},
    {"service": ["alpha"]},
)

Fault = Callable[[Disturbance], Awaitable[None]]
PlannedWork = Callable[[], Awaitable[None]]


class FaultInjector:
    """Selects and injects faults at random.

    Parameters
    ----------
    fleet : Fleet
        The processes of the instances.
    mesh : Mesh
        The proxies between the instances.
    servers : list of BackendServer
        The backend servers.
    operator : Operator
        Sends changes and evacuations.
    promises : PromiseMonitor
        Receives the start and end of each fault.
    seed : int
        Seed of the random numbers.
    """

    def __init__(
        self,
        fleet: Fleet,
        mesh: Mesh,
        servers: list[BackendServer],
        operator: Operator,
        promises: PromiseMonitor,
        seed: int,
    ):
        self._fleet = fleet
        self._mesh = mesh
        self._servers = servers
        self._operator = operator
        self._promises = promises
        self._random = random.Random(seed)
        #: Separate generators, whose use does not change the sequence of faults.
        self._restart_random = random.Random(f"restarts {seed}")
        self._evacuation_random = random.Random(f"evacuations {seed}")
        self._movement_random = random.Random(f"movements {seed}")
        self._release_random = random.Random(f"releases {seed}")
        #: Whether nothing but planned work is done, so that each reset counts.
        self._has_planned_work_only = self._movement_random.random() < 0.4
        self._disk_lost_s = float("-inf")
        self.counts: dict[str, int] = {}
        self._movements: dict[str, Fault] = {
            "remove an instance": self._remove_instance,
            "roll the instances": self._rolling_stop,
            "stutter": self._stutter,
            "kill everything": self._kill_everything,
            "move a server": self._move_server,
        }
        self._planned_work: dict[str, PlannedWork] = {
            "replace a server": self._replace_server,
            "race changes": self._operator.race,
            "resend a change": self._operator.resend_older,
        }
        self._faults: dict[str, Fault] = {
            "kill": self._kill,
            "kill many": self._kill_many,
            "kill all control": self._kill_all_control,
            "freeze": self._freeze,
            "stop": self._stop,
            "rolling stop": self._rolling_stop,
            "lose a disk": self._lose_disk,
            "full disk": self._fill_disk,
            "cut a domain": self._cut_domain,
            "cut one way": self._cut_one_way,
            "split control": self._split_control,
            "delay": self._delay,
            "lose datagrams": self._lose_datagrams,
            "reset connections": self._reset_connections,
            "change settings": self._change_settings,
            "crash a server": self._crash_server,
        }

    async def inject_random(self) -> None:
        """Inject one random fault and wait until it has ended."""
        name = self._random.choice([*self._faults, *self._planned_work])
        if self._has_planned_work_only and name not in _PLANNED_FAULTS:
            name = self._movement_random.choice(list(self._planned_work))
        self.counts[name] = self.counts.get(name, 0) + 1
        if name in self._planned_work:
            await self._planned_work[name]()
            return
        fault_id = f"{name} {sum(self.counts.values())}"
        await self._run_fault(fault_id, self._faults[name])

    async def _run_fault(self, fault_id: str, fault: Fault) -> None:
        disturbance = self._promises.begin_fault(fault_id)
        try:
            await fault(disturbance)
        finally:
            self._promises.end_fault(fault_id)

    async def inject_movement(self) -> None:
        """Inject a fault that moves callers between instances, or none.

        Drawn apart, so that the sequence of the other faults stays that of the seed.
        """
        name = self._movement_random.choice(list(self._movements))
        if self._has_planned_work_only and name not in _PLANNED_FAULTS:
            name = "remove an instance"
        self.counts[name] = self.counts.get(name, 0) + 1
        await self._run_fault(
            f"{name} {sum(self.counts.values())}", self._movements[name]
        )

    async def _remove_instance(self, disturbance: Disturbance) -> None:
        """Stop an entry instance for some time, as planned work."""
        disturbance.parties = NOBODY
        running = [
            each for each in self._fleet.machines_of_role("entry") if each.should_run
        ]
        if len(running) < 3:
            return
        machine = self._movement_random.choice(running)
        machine.should_run = False
        self._fleet.send_signal(machine, signal.SIGTERM)
        await asyncio.sleep(self._movement_random.uniform(4.0, 8.0))
        machine.should_run = True
        self._fleet.start_if_down(machine)
        await asyncio.sleep(1.0)

    async def _stutter(self, disturbance: Disturbance) -> None:
        """Suspend a process often and briefly, like one short of processor time."""
        machine = self._movement_random.choice(list(self._fleet.machines.values()))
        disturbance.parties = _parties_of(machine)
        for _ in range(12):
            self._fleet.send_signal(machine, signal.SIGSTOP)
            await asyncio.sleep(self._movement_random.uniform(0.05, 0.4))
            self._fleet.resume(machine)
            await asyncio.sleep(self._movement_random.uniform(0.02, 0.2))

    async def _kill_everything(self, _: Disturbance) -> None:
        for machine in self._fleet.machines.values():
            self._fleet.send_signal(machine, signal.SIGKILL)

    def _draw_duration_s(self) -> float:
        return self._random.uniform(0.5, 5.0)

    def _draw_machine(self, role: str = "") -> Machine:
        role = role or self._random.choice(("entry", "control"))
        return self._random.choice(self._fleet.machines_of_role(role))

    async def _kill(self, disturbance: Disturbance) -> None:
        machine = self._draw_machine()
        disturbance.parties = _parties_of(machine)
        self._fleet.send_signal(machine, signal.SIGKILL)

    async def _kill_many(self, _: Disturbance) -> None:
        for machine in self._fleet.machines.values():
            if self._random.random() < 0.6:
                self._fleet.send_signal(machine, signal.SIGKILL)

    async def _kill_all_control(self, _: Disturbance) -> None:
        for machine in self._fleet.machines_of_role("control"):
            self._fleet.send_signal(machine, signal.SIGKILL)

    async def _freeze(self, disturbance: Disturbance) -> None:
        machine = self._draw_machine()
        disturbance.parties = _parties_of(machine)
        self._fleet.send_signal(machine, signal.SIGSTOP)
        await asyncio.sleep(self._draw_duration_s())
        self._fleet.resume(machine)

    async def _stop(self, disturbance: Disturbance) -> None:
        disturbance.parties = NOBODY
        self._fleet.send_signal(self._draw_machine(), signal.SIGTERM)
        await asyncio.sleep(2.0)

    async def _rolling_stop(self, disturbance: Disturbance) -> None:
        disturbance.parties = NOBODY
        for machine in self._fleet.machines_of_role("entry"):
            self._fleet.send_signal(machine, signal.SIGTERM)
            await asyncio.sleep(1.2)
        await asyncio.sleep(3.0)

    async def _change_settings(self, disturbance: Disturbance) -> None:
        disturbance.parties = NOBODY
        self._random.shuffle(self._fleet.seeds)
        for machine in self._fleet.machines.values():
            if self._random.random() < 0.5:
                self._fleet.write_settings(machine)
                self._fleet.send_signal(machine, signal.SIGHUP)

    async def _lose_disk(self, _: Disturbance) -> None:
        elapsed_s = self._promises.now_s() - self._disk_lost_s
        if elapsed_s < _MIN_DISK_LOSS_INTERVAL_S:
            return
        self._disk_lost_s = self._promises.now_s()
        await self._fleet.lose_disk(self._draw_machine("control"))

    async def _fill_disk(self, _: Disturbance) -> None:
        machine = self._draw_machine("control")
        self._fleet.limit_disk(machine, 0)
        await asyncio.sleep(self._draw_duration_s())
        self._fleet.limit_disk(machine, 1 << 40)

    async def _cut(self, pairs: set[tuple[int, int]]) -> None:
        self._mesh.faults.cut |= pairs
        await asyncio.sleep(self._draw_duration_s())
        self._mesh.faults.cut -= pairs

    async def _cut_domain(self, _: Disturbance) -> None:
        domain = self._draw_machine().failure_domain
        machines = self._fleet.machines.values()
        inside = [each.number for each in machines if each.failure_domain == domain]
        outside = [each.number for each in machines if each.failure_domain != domain]
        await self._cut({*product(inside, outside), *product(outside, inside)})

    async def _cut_one_way(self, _: Disturbance) -> None:
        number = self._draw_machine().number
        others = [other for other in self._fleet.machines if other != number]
        await self._cut(set(product([number], others)))

    async def _split_control(self, _: Disturbance) -> None:
        numbers = [
            machine.number for machine in self._fleet.machines_of_role("control")
        ]
        self._random.shuffle(numbers)
        half = len(numbers) // 2
        first, second = numbers[:half], numbers[half:]
        await self._cut({*product(first, second), *product(second, first)})

    async def _delay(self, _: Disturbance) -> None:
        number = self._draw_machine().number
        pairs = [(number, other) for other in self._fleet.machines]
        self._mesh.faults.delay_s.update(dict.fromkeys(pairs, 0.15))
        await asyncio.sleep(self._draw_duration_s())
        for pair in pairs:
            self._mesh.faults.delay_s.pop(pair, None)

    async def _lose_datagrams(self, _: Disturbance) -> None:
        self._mesh.faults.loss_ratio = 0.2
        await asyncio.sleep(self._draw_duration_s())
        self._mesh.faults.loss_ratio = 0.0

    async def _reset_connections(self, _: Disturbance) -> None:
        self._mesh.reset_connections(self._random.choice((0.3, 1.0)))

    async def _crash_server(self, disturbance: Disturbance) -> None:
        server = self._random.choice(self._servers)
        if not server.alive or server.draining:
            return
        disturbance.parties = frozenset({server.name})
        server.crash()
        delay_s = self._draw_duration_s()
        is_fast_restart = self._restart_random.random() < 0.5
        await asyncio.sleep(_FAST_RESTART_S if is_fast_restart else delay_s)
        await server.start(keep_id=self._restart_random.random() < 0.5)

    async def send_invalid_reports(self) -> None:
        """Send invalid reports with a server's id, which must have no effect."""
        server = self._restart_random.choice(self._servers)
        if not server.alive:
            return
        self.counts["foreign reports"] = self.counts.get("foreign reports", 0) + 1
        for fields in _INVALID_FIELDS:
            await server.send_invalid_report(**fields)

    async def evacuate(self) -> str:
        """Evacuate a failure domain as planned work; return its name."""
        domain = self._evacuation_random.choice(_EVACUABLE_DOMAINS)
        self.counts["evacuate"] = self.counts.get("evacuate", 0) + 1
        await asyncio.sleep(self._evacuation_random.uniform(0.0, 2.0))
        await self._operator.evacuate(domain)
        return domain

    async def release_servers(self) -> None:
        """Replace some servers as planned work, each while others still leave."""
        idle = [each for each in self._servers if each.alive and not each.draining]
        count = min(len(idle) // 2, self._release_random.choice((1, 2, 3)))
        leaving = self._release_random.sample(idle, count)
        self.counts["release"] = self.counts.get("release", 0) + count
        await asyncio.gather(
            *(self._release(each, self._release_random) for each in leaving)
        )

    async def _replace_server(self) -> None:
        server = self._random.choice(self._servers)
        await self._release(server, self._random)

    async def _release(self, server: BackendServer, generator: random.Random) -> None:
        if not server.alive or server.draining:
            return
        await server.drain_and_stop(generator.uniform(0.0, 2.0))
        await asyncio.sleep(2.0)
        await server.start()

    async def _move_server(self, disturbance: Disturbance) -> None:
        """Have two servers crash, and each come back at the other's address."""
        idle = [each for each in self._servers if each.alive and not each.draining]
        if len(idle) < 3:
            return
        first, second = self._movement_random.sample(idle, 2)
        disturbance.parties = frozenset({first.name, second.name})
        for server in (first, second):
            server.crash()
        first.swap_address(second)
        await asyncio.sleep(self._movement_random.uniform(2.0, 3.0))
        for server in (first, second):
            await server.start()


def _parties_of(machine: Machine) -> frozenset[str]:
    """Return whom a fault of an instance disturbs; all need the control instances."""
    return frozenset({machine.name}) if machine.role == "entry" else EVERYONE
