"""Replaces control instances and loses disks, each once the loss before is borne."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.fleet import CATCHUP_S, GRACE_S, Fleet, Machine
from soak.mesh import Mesh
from soak.promise_monitor import NOBODY, PromiseMonitor

#: Latest stop after the start of the successor: the next loss comes just afterwards.
_MAX_STOP_DELAY_S = 3.8
#: Latest crash after the start of the successor: there is time left for an election.
_MAX_CRASH_DELAY_S = 1.0
#: Time after which a loss is borne, beyond `CATCHUP_S`.
_MAX_EXTRA_S = 0.3

#: Returns the process that must catch up before the next loss.
Loss = Callable[[Machine], Awaitable[Machine]]


class ReplacementSeries:
    """Runs series of losses of control instances.

    Parameters
    ----------
    fleet : Fleet
        The processes of the instances.
    mesh : Mesh
        The proxies between the instances.
    promises : PromiseMonitor
        Receives the start and end of each loss.
    seed : int
        Seed of the random numbers.
    """

    def __init__(self, fleet: Fleet, mesh: Mesh, promises: PromiseMonitor, seed: int):
        self._fleet = fleet
        self._mesh = mesh
        self._promises = promises
        self._random = random.Random(f"replacements {seed}")
        #: Instances that a series has chosen; another one chooses others.
        self._lost: set[int] = set()
        self.counts: dict[str, int] = {}
        self._losses: dict[str, Loss] = {
            "replace as planned": self._replace_as_planned,
            "replace after a stop": self._replace_after_stop,
            "replace after a crash": self._replace_after_crash,
            "crash after a successor": self._crash_after_successor,
            "lose a disk in time": self._lose_disk,
        }

    def is_due(self) -> bool:
        """Return whether series follow the present round."""
        return self._random.random() < 0.6

    async def run(self, losses_borne: int) -> None:
        """Run as many series side by side as losses are borne."""
        await asyncio.gather(*(self._run_series() for _ in range(losses_borne)))

    async def _run_series(self) -> None:
        for _ in range(self._random.choice((2, 3, 4))):
            name = self._random.choice(list(self._losses))
            self.counts[name] = self.counts.get(name, 0) + 1
            fault = f"{name} {sum(self.counts.values())}"
            disturbance = self._promises.begin_fault(fault)
            if name in ("replace as planned", "replace after a stop"):
                disturbance.parties = NOBODY
            controls = self._fleet.machines_of_role("control")
            lost = self._random.choice(
                [each for each in controls if each.number not in self._lost]
            )
            self._lost.add(lost.number)
            try:
                successor = await self._losses[name](lost)
                await self._wait_for_catch_up(successor)
            finally:
                self._lost.discard(lost.number)
                self._promises.end_fault(fault)

    async def _wait_for_catch_up(self, machine: Machine) -> None:
        extra_s = self._random.uniform(0.05, _MAX_EXTRA_S)
        wait_s = CATCHUP_S + extra_s - machine.age_s
        await asyncio.sleep(max(0.0, wait_s))

    async def _start_successor(self, old: Machine) -> Machine:
        successor = self._fleet.add_control(old.failure_domain)
        self._lost.add(successor.number)
        await self._mesh.open([successor.number])
        self._fleet.start(successor)
        self._lost.discard(successor.number)
        return successor

    async def _stop(self, machine: Machine) -> None:
        machine.should_run = False
        self._fleet.send_signal(machine, signal.SIGTERM)
        await self._fleet.wait_until_down(machine, GRACE_S + 1.0)
        self._fleet.remove(machine)

    async def _crash(self, machine: Machine) -> None:
        machine.should_run = False
        self._fleet.send_signal(machine, signal.SIGKILL)
        await self._fleet.wait_until_down(machine, GRACE_S)
        self._fleet.remove(machine)

    async def _replace_as_planned(self, old: Machine) -> Machine:
        successor = await self._start_successor(old)
        await asyncio.sleep(self._random.uniform(0.0, _MAX_STOP_DELAY_S))
        await self._stop(old)
        return successor

    async def _replace_after_stop(self, old: Machine) -> Machine:
        await self._stop(old)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        return await self._start_successor(old)

    async def _replace_after_crash(self, old: Machine) -> Machine:
        await self._crash(old)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        return await self._start_successor(old)

    async def _crash_after_successor(self, old: Machine) -> Machine:
        successor = await self._start_successor(old)
        await asyncio.sleep(self._random.uniform(0.0, _MAX_CRASH_DELAY_S))
        await self._crash(old)
        return successor

    async def _lose_disk(self, machine: Machine) -> Machine:
        await self._fleet.lose_disk(machine)
        return machine
