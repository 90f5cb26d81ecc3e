"""Fuzz requests over the real code with faults of every sort, and count what breaks.

Each round is a world of three instances with a seed of its own; kills, freezes, cuts,
loss, duplicates, restarts and wrong suspicions come at random. ``--weaken`` turns one
safeguard off, to show that the oracle would notice.
"""

import argparse
import asyncio
import json
import multiprocessing
import random
import time
from collections import Counter
from unittest import mock

from agatethread.operations import ClaimRequester, StandbyClaims
from agatethread.operations._records import RetainedTable
from benchmarks.operations_world import World
from benchmarks.virtual_time import VirtualLoop

_REQUESTS_IN_ROUND = 200
_QUIET_S = 12.0

FAULTS = (
    "none",
    "kill",
    "restart",
    "freeze",
    "thaw",
    "cut",
    "heal",
    "suspect",
    "trust",
    "loss",
    "duplicate",
    "delay",
    "shed",
    "calm",
)


async def _always(*_args, **_kwargs) -> bool:
    return True


#: What to replace to turn a safeguard off.
WEAKENED = {
    "claims": lambda: mock.patch.object(ClaimRequester, "_ask_standby", _always),
    "fence": lambda: mock.patch.object(StandbyClaims, "_grant", lambda *_: True),
    "copies": lambda: mock.patch.object(RetainedTable, "get", lambda *_: None),
}


def apply_fault(world: World, fault: str, chance: random.Random) -> None:
    """Let one thing go wrong, or right again.

    Parameters
    ----------
    world : World
        Where.
    fault : str
        One of `FAULTS`.
    chance : random.Random
        Picks whom it hits.
    """
    names = sorted(world.nodes)
    name, other = chance.sample(names, 2)
    network = world.network
    if fault == "kill" and len(names) - len(network.dead) > 1:
        world.kill(name)
    elif fault == "restart" and name in network.dead:
        world.restart(name)
    elif fault == "freeze" and name not in network.dead:
        network.frozen.add(name)
    elif fault == "thaw":
        for frozen in list(network.frozen):
            network.thaw(frozen)
    elif fault == "cut":
        network.cut.add(frozenset((name, other)))
    elif fault == "heal":
        network.cut.clear()
    elif fault == "suspect":
        world.suspect(name, other)
    elif fault == "trust":
        world.trust(name, other)
    elif fault == "loss":
        network.loss = chance.choice((0.0, 0.05, 0.3))
    elif fault == "duplicate":
        network.duplicate = chance.choice((0.0, 0.1, 0.5))
    elif fault == "delay":
        network.longest_delay_s = chance.choice((0.004, 0.05, 1.0))
    elif fault == "shed":
        for backend in world.backends.values():
            backend.shed_share = chance.choice((0.0, 0.3))
    elif fault == "calm":
        world.calm()


async def _run_world(seed: int) -> dict:
    chance = random.Random(seed)
    world = World(seed)
    for number in range(_REQUESTS_IN_ROUND):
        if chance.random() < 0.3:
            apply_fault(world, chance.choice(FAULTS), chance)
        sort = chance.choice("nnni")
        label = f"{sort}-{seed}-{number}".encode()
        world.request(label, sort == "i", chance.uniform(0.5, 4.0))
        await asyncio.sleep(chance.expovariate(40.0))
    world.calm()
    await asyncio.sleep(_QUIET_S)
    result = {
        "violations": world.violations(),
        "verdicts": Counter(world.verdicts.values()),
        "without_verdict": world.open_count,
        "over_slots": world.over_slots,
    }
    world.close()
    return result


def run_round(seed: int) -> dict:
    """Run one world.

    Parameters
    ----------
    seed : int
        Its seed.

    Returns
    -------
    dict
        ``violations``, ``verdicts``, ``without_verdict``, ``over_slots``.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_run_world(seed))


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--operations", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--weaken", choices=sorted(WEAKENED))
    options = parser.parse_args()
    rounds = max(1, options.operations // _REQUESTS_IN_ROUND)
    seeds = range(options.seed * 1_000_000, options.seed * 1_000_000 + rounds)
    started_s = time.monotonic()
    if options.weaken:
        WEAKENED[options.weaken]().start()
    total: Counter[str] = Counter()
    violations: list[str] = []
    with multiprocessing.get_context("fork").Pool(options.workers) as pool:
        for result in pool.imap_unordered(run_round, seeds):
            violations += result["violations"]
            total.update(result["verdicts"])
            total["without verdict"] += result["without_verdict"]
            total["over slots"] += result["over_slots"]
    report = {
        "operations": rounds * _REQUESTS_IN_ROUND,
        "seed": options.seed,
        "weakened": options.weaken,
        "counts": dict(total),
        "violation_count": len(violations),
        "violations": sorted(violations)[:10],
        "seconds": round(time.monotonic() - started_s, 1),
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    _main()
