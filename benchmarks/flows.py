"""Broken flows and imbalance: ours beside four plain ways, on the same trace.

One trace of opens, closes and changes is replayed for each way. A flow is broken when,
after a change, an instance would send its next packet to another backend server than
its first one, although that one still serves it. Every packet meets a random instance;
changes reach each instance at a time of its own.
"""

import argparse
import json
import random
import statistics
import time
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from agatethread.routing import (
    Endpoint,
    EndpointTable,
    choose_for_request,
)
from agatethread.wire import (
    Announcement,
    pack_address,
)
from benchmarks.flow_ways import (
    HashModulo,
    Maglev,
    Ours,
    RandomChoice,
    RoundRobin,
    View,
)

_CHECKS_EACH = 3
_UNEVEN_S = 0.5


@dataclass(frozen=True)
class Scale:
    """How large an experiment is."""

    flows: int
    endpoints: int
    instances: int
    new_flows_per_s: float


def _changes(scale: Scale, chance: random.Random, end_s: float):
    """Drain and bring back backend servers, two at once, all through the trace."""
    everyone = tuple(range(scale.endpoints))
    changes = [(0.0, everyone)]
    at_s = end_s * 0.3
    while at_s < end_s * 0.9:
        away = chance.sample(everyone, min(2, scale.endpoints - 1))
        changes.append((at_s, tuple(n for n in everyone if n not in away)))
        changes.append((at_s + end_s * 0.05, everyone))
        at_s += end_s * 0.1
    return changes


def replay(name: str, scale: Scale, seed: int) -> dict[str, object]:
    """Replay the trace for one way.

    Parameters
    ----------
    name : str
        A name in `WAYS`.
    scale : Scale
        Its size.
    seed : int
        Of the trace.

    Returns
    -------
    dict
        Broken flows a million, load ratios, decision time.
    """
    chance = random.Random(seed)
    way = WAYS[name](scale)
    open_s = scale.flows / scale.new_flows_per_s
    end_s = 2 * open_s
    changes = _changes(scale, chance, end_s)
    times = [at_s for at_s, _ in changes]
    lags = [chance.uniform(0, _UNEVEN_S) for _ in range(scale.instances)]
    views = [View(active) for _, active in changes]

    def view_at(now_s: float) -> View:
        lag_s = lags[chance.randrange(scale.instances)]
        position = bisect_left(times, max(0.0, now_s - lag_s) + 1e-9) - 1
        return views[max(0, position)]

    first: dict[int, int] = {}
    broken: set[int] = set()
    opened: list[int] = []
    place_s = 0.0
    total = int(scale.new_flows_per_s * end_s)
    for number in range(total):
        now_s = number / scale.new_flows_per_s
        flow = chance.getrandbits(63)
        view = view_at(now_s)
        started_s = time.perf_counter()
        first[flow] = way.place(flow, view, chance)
        place_s += time.perf_counter() - started_s
        opened.append(flow)
        if len(first) > scale.flows:
            position = chance.randrange(len(opened))
            opened[position], opened[-1] = opened[-1], opened[position]
            closed = opened.pop()
            way.closed(closed)
            del first[closed]
        for _ in range(_CHECKS_EACH):
            checked = opened[chance.randrange(len(opened))]
            server = way.route(checked, view_at(now_s), first[checked], chance)
            if server != first[checked]:
                broken.add(checked)
    loads = [0] * scale.endpoints
    for server in first.values():
        loads[server] += 1
    return {
        "way": name,
        "flows": total,
        "broken_per_million": round(len(broken) / total * 1e6),
        "streams_max_over_mean": round(max(loads) * len(loads) / sum(loads), 4),
        "streams_max_over_median": round(max(loads) / statistics.median(loads), 4),
        "placement_us": round(place_s / total * 1e6, 2),
    }


WAYS: dict[str, Callable[[Scale], object]] = {
    "hash modulo": lambda scale: HashModulo(),
    "maglev": lambda scale: Maglev(),
    "random": lambda scale: RandomChoice(scale.instances),
    "round robin": lambda scale: RoundRobin(scale.instances),
    "agatethread": lambda scale: Ours(scale.endpoints, scale.flows),
}


# -- requests ---------------------------------------------------------------------


def _pick_plain(way: str, state: dict, loads: list[int], chance: random.Random) -> int:
    if way == "round robin":
        state["turn"] = state.get("turn", -1) + 1
        return state["turn"] % len(loads)
    if way == "least reported":
        reported = state["reported"]
        return min(range(len(reported)), key=lambda n: (reported[n], chance.random()))
    return chance.randrange(len(loads))


def requests_in_flight(
    way: str, endpoints: int, seed: int, late_s: float = 5.0, seconds: float = 60.0
) -> dict[str, float]:
    """Share requests out while reports are late and one backend server lies.

    Parameters
    ----------
    way : str
        ``agatethread``, ``random``, ``round robin`` or ``least reported``.
    endpoints : int
        Backend servers, with 64 slots each.
    seed : int
        Of the arrivals.
    late_s : float
        How old a report is when it is read.
    seconds : float
        Length of the run.

    Returns
    -------
    dict
        Time-averaged in-flight requests: maximum over mean.
    """
    chance = random.Random(seed)
    table = EndpointTable()
    servers: list[Endpoint] = []
    for number in range(endpoints):
        address = pack_address((f"10.0.0.{number + 1}", 7_000))
        announcement = Announcement(
            endpoint_id=f"e{number}",
            incarnation=1,
            service="tab",
            slots=64,
            connection_limit=1,
            lease_ms=600_000_000,
        )
        table.apply_announcement(address, announcement, 0.0)
        servers.append(table.by_address[address])
    loads = [0] * endpoints
    history: list[tuple[float, list[int]]] = []
    state: dict = {"reported": [0] * endpoints}
    ends: list[tuple[float, int]] = []
    area = [0.0] * endpoints
    now_s = 0.0
    rate = endpoints * 20 / 0.02 / 20
    while now_s < seconds:
        step_s = chance.expovariate(rate)
        for number in range(endpoints):
            area[number] += loads[number] * step_s
        now_s += step_s
        for end_s, number in [pair for pair in ends if pair[0] <= now_s]:
            ends.remove((end_s, number))
            loads[number] -= 1
            servers[number].in_flight -= 1
        if not history or now_s - history[-1][0] > 0.1:
            history.append((now_s, loads.copy()))
            old = [row for at_s, row in history if at_s <= now_s - late_s]
            if old:
                state["reported"] = [0, *old[-1][1:]]
                del history[: max(0, len(old) - 1)]
        if way == "agatethread":
            endpoint = choose_for_request(servers, now_s, 0.0, None)
            if endpoint is None:
                continue
            number = servers.index(endpoint)
            endpoint.last_used_s = now_s
        else:
            number = _pick_plain(way, state, loads, chance)
        loads[number] += 1
        servers[number].in_flight += 1
        ends.append((now_s + chance.uniform(0.01, 0.1), number))
    return {
        "way": way,
        "in_flight_max_over_mean": round(max(area) * endpoints / sum(area), 4),
    }


def _plot(rows: list[dict], path: Path) -> None:
    names = [row["way"] for row in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.bar(names, [row["broken_per_million"] for row in rows])
    left.set_ylabel("broken flows a million opened")
    right.bar(names, [row["streams_max_over_mean"] - 1 for row in rows])
    right.set_ylabel("streams: maximum over mean, less 1")
    for axes in (left, right):
        axes.tick_params(axis="x", rotation=30)
    figure.tight_layout()
    figure.savefig(path)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--flows", type=int, default=100_000)
    parser.add_argument("--endpoints", type=int, default=7)
    parser.add_argument("--instances", type=int, default=7)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", type=Path, help="write a PNG here")
    options = parser.parse_args()
    scale = Scale(options.flows, options.endpoints, options.instances, 1_000.0)
    rows = [replay(name, scale, options.seed) for name in WAYS]
    for row in rows:
        print(json.dumps(row))
    for way in ("random", "round robin", "least reported", "agatethread"):
        print(json.dumps(requests_in_flight(way, options.endpoints, options.seed)))
    if options.plot:
        _plot(rows, options.plot)


if __name__ == "__main__":
    _main()
