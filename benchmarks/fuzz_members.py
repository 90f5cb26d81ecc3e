"""Fuzz the log with changing members and lost disks against what operators were told.

``python -m benchmarks.fuzz_members --steps 20000 --seed 1`` prints a line of JSON and
exits with 1 if anything was violated.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from agatethread.control._member_name import load_or_create_member_name
from benchmarks.member_world import (
    Claim,
    MemberWorld,
    with_seeded_names,
    without_syncs,
)
from benchmarks.virtual_time import VirtualLoop

#: Steps after which every fault ends and all states are compared.
_ROUND_STEPS = 60
#: Time until everyone has caught up, votes again and agrees, in virtual seconds.
_SETTLE_S = 25.0
_WAITS_S = (0.0, 0.01, 0.05, 0.3, 1.0, 4.0)


@dataclass
class FuzzReport:
    """What a run did and found."""

    seed: int
    losses_borne: int
    steps: int = 0
    rounds: int = 0
    acknowledged: int = 0
    reads: int = 0
    disks_lost: int = 0
    replaced: int = 0
    planned_stops: int = 0
    took_s: float = 0.0
    #: Equal for two runs that sent and drew the same at the same virtual times.
    fingerprint: str = ""
    violations: list[str] | None = None


class MemberFuzzer:
    """Draws faults and changes from a seed.

    Parameters
    ----------
    world : MemberWorld
        Where they happen.
    seed : int
        Of the draws.
    report : FuzzReport
        Counts what was done.
    """

    def __init__(self, world: MemberWorld, seed: int, report: FuzzReport):
        self._world = world
        self._random = random.Random(seed)
        self._report = report
        #: Of its own, so that the sequence of the other draws stays that of the seed.
        self._stop_random = random.Random(f"stops {seed}")
        #: Disks lost since every instance last voted.
        self._lost_count = 0
        self._changes = 0

    async def step(self) -> None:
        """Do one thing, and let some time pass."""
        if self._lost_count and self._world.is_whole():
            self._lost_count = 0
        actions = (
            (30, self._change),
            (20, self._read),
            (8, self._restart),
            (4, self._lose_disk),
            (3, self._replace),
            (6, self._freeze),
            (8, self._thaw),
            (6, self._cut),
            (8, self._end_cuts),
            (4, self._noise),
            (1, self._kill_all),
        )
        weights, choices = zip(*actions, strict=True)
        await self._random.choices(choices, weights)[0]()
        await asyncio.sleep(self._random.choice(_WAITS_S))

    async def _change(self) -> None:
        world = self._world
        for _ in range(self._random.choice((1, 1, 2))):
            self._changes += 1
            world.last_version += self._random.choice((0, 1, 1, 3))
            version = world.last_version - self._random.choice((0, 0, 0, 2))
            world.change(max(1, version), f"change {self._changes}".encode())

    async def _read(self) -> None:
        self._world.read()

    def _one(self) -> str | None:
        return self._random.choice(list(self._world.nodes) or [None])

    async def _restart(self) -> None:
        address = self._one()
        if address is not None:
            await self._stop(address)
            await self._world.start(address)

    async def _stop(self, address: str) -> None:
        """End an instance: by a crash, or as planned with an announcement."""
        if self._stop_random.random() < 0.5 or address in self._world.network.frozen:
            await self._world.kill(address)
            return
        self._report.planned_stops += 1
        await self._world.leave(address)

    def _may_lose(self) -> bool:
        return self._lost_count < self._world.losses_borne

    async def _lose_disk(self) -> None:
        address = self._one()
        if address is None or not self._may_lose():
            return
        self._lost_count += 1
        self._report.disks_lost += 1
        await self._world.kill(address)
        self._world.lose_disk(address)
        await self._world.start(address)

    async def _replace(self) -> None:
        address = self._one()
        if address is None or not self._may_lose():
            return
        self._lost_count += 1
        self._report.replaced += 1
        await self._stop(address)
        await self._world.replace(address)

    async def _freeze(self) -> None:
        address = self._one()
        if address is not None:
            self._world.network.frozen.add(address)

    async def _thaw(self) -> None:
        for address in sorted(self._world.network.frozen):
            self._world.network.thaw(address)

    async def _cut(self) -> None:
        one, other = self._one(), self._one()
        if one is not None:
            self._world.network.cut.add(frozenset((one, other)))

    async def _end_cuts(self) -> None:
        self._world.network.cut.clear()

    async def _noise(self) -> None:
        self._world.network.loss = self._random.choice((0.0, 0.0, 0.2))
        self._world.network.duplicate = self._random.choice((0.0, 0.5))

    async def _kill_all(self) -> None:
        addresses = list(self._world.nodes)
        for address in addresses:
            await self._world.kill(address)
        for address in addresses:
            await self._world.start(address)


async def _play(
    folder: Path, steps: int, report: FuzzReport, claim: Claim
) -> list[str]:
    world = MemberWorld(folder, report.seed, report.losses_borne, claim)
    fuzzer = MemberFuzzer(world, report.seed, report)
    await world.found()
    await asyncio.sleep(3)
    found: list[str] = []
    while report.steps < steps and not found:
        for _ in range(_ROUND_STEPS):
            await fuzzer.step()
            report.steps += 1
        found = world.violations()
        await world.heal()
        await asyncio.sleep(_SETTLE_S)
        found += world.settled_violations()
        report.rounds += 1
    report.acknowledged = world.acknowledged
    report.reads = world.read_count
    report.fingerprint = world.fingerprint()
    await world.close()
    return found


def fuzz(
    seed: int, steps: int, losses_borne: int, claim: Claim = load_or_create_member_name
) -> FuzzReport:
    """Fuzz once.

    Parameters
    ----------
    seed : int
        Of everything.
    steps : int
        Least number of steps.
    losses_borne : int
        Disks that may be lost before all vote again.
    claim : callable, optional
        Names a disk; another one switches the safeguard off.

    Returns
    -------
    FuzzReport
        With all violations.
    """
    report = FuzzReport(seed, losses_borne)
    started_s = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as folder,
        without_syncs(),
        with_seeded_names(seed),
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        work = _play(Path(folder), steps, report, claim)
        report.violations = runner.run(work)
    report.took_s = round(time.monotonic() - started_s, 1)
    return report


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=2_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--losses", type=int, default=1)
    options = parser.parse_args()
    report = fuzz(options.seed, options.steps, options.losses)
    print(json.dumps(asdict(report)))
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    main()
