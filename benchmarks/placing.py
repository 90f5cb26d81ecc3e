"""What many entry instances lose by placing on their own counts alone.

Entry instances of some failure domains place short flows on servers with two slots and
a queue. Compared are the counts that each instance has itself, counts of all that are
some time old, two choices at random, and chance. Times are virtual; only waiting is
measured.
"""

import argparse
import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import mean

from agatethread.datapath import Backend, choose_backend
from agatethread.wire.registry_pb2 import BackendRun

#: As on the users' platform: what a server works on at once, and what waits there.
_SLOT_COUNT, _QUEUE_COUNT = 2, 8
#: Short requests beside long ones, with the spread of the users' workload.
_WORK_S, _WORK_SPREAD = 0.0236, 0.5
#: How much longer a request takes on a server that has just started, and for how long.
_COLD_FACTOR, _COLD_S = 1.6, 2.0


@dataclass(frozen=True)
class Load:
    """A deployment and its load."""

    domain_count: int
    entries_per_domain: int
    servers_per_domain: int
    requests_per_s: float
    seconds: float = 30.0
    #: Time that a request takes on the mean.
    work_s: float = _WORK_S
    #: Servers that join at a third of the time, as a share of those that are there.
    joining_ratio: float = 0.0


@dataclass(frozen=True)
class Waits:
    """What callers got."""

    mean_ms: float
    p99_ms: float
    most_ms: float
    full_count: int
    #: Requests of a server that joined, over the mean, in its cold time and after it.
    joined_cold_ratio: float
    joined_warm_ratio: float


class Server:
    """A server with slots and a queue, and what it has taken."""

    def __init__(self, number: int, domain: str, started_s: float):
        self.run = BackendRun(
            id=f"i-{number:x}",
            number=number,
            service="tab",
            address=bytes(6),
            failure_domain=domain,
            slots=_SLOT_COUNT,
        )
        self.started_s = started_s
        self.free_s = [started_s] * _SLOT_COUNT
        self.in_progress = 0
        self.taken_s: list[float] = []

    def take(self, now_s: float, work_s: float) -> tuple[float, float]:
        """Take a request; return how long it waits and when it is done."""
        if now_s < self.started_s + _COLD_S and self.started_s > 0.0:
            work_s *= _COLD_FACTOR
        slot = min(range(_SLOT_COUNT), key=self.free_s.__getitem__)
        begins_s = max(now_s, self.free_s[slot])
        self.free_s[slot] = begins_s + work_s
        self.taken_s.append(now_s)
        return begins_s - now_s, self.free_s[slot]


#: Chooses a server's number for an instance: its own records, all servers, the time.
Choose = Callable[[Sequence[Backend], Sequence[Server], str, float], int]


def own_counts(
    records: Sequence[Backend], _: Sequence[Server], domain: str, now_s: float
) -> int:
    """Choose as entry instances do."""
    return records.index(choose_backend(records, domain, now_s))


def two_choices(
    records: Sequence[Backend], _: Sequence[Server], domain: str, now_s: float
) -> int:
    """Choose the better of two at random by the instance's own counts."""
    two = random.sample(range(len(records)), 2)
    chosen = choose_backend([records[number] for number in two], domain, now_s)
    return records.index(chosen)


def by_chance(
    records: Sequence[Backend], _: Sequence[Server], domain: str, now_s: float
) -> int:
    """Choose any server of the own failure domain."""
    near = [n for n, one in enumerate(records) if one.failure_domain == domain]
    return random.choice(near)


def shared_counts(age_s: float) -> Choose:
    """Choose by what all instances have in progress, as it was some time ago."""
    seen: list[int] = []
    seen_s = [-age_s]

    def choose(
        records: Sequence[Backend],
        servers: Sequence[Server],
        domain: str,
        now_s: float,
    ) -> int:
        if now_s - seen_s[0] >= age_s or len(seen) != len(servers):
            seen[:] = [server.in_progress for server in servers]
            seen_s[0] = now_s
        costs = [
            (
                max(known, one.in_flight) + 1.5 * (one.failure_domain != domain),
                random.random(),
                number,
            )
            for number, (one, known) in enumerate(zip(records, seen, strict=True))
        ]
        return min(costs)[2]

    return choose


def play(load: Load, choose: Choose, seed: int = 1) -> Waits:
    """Play a load.

    Parameters
    ----------
    load : Load
        The deployment and its load.
    choose : callable
        Places each request.
    seed : int, optional
        Of the load.

    Returns
    -------
    Waits
        What callers got.
    """
    random.seed(seed)
    domains = [chr(ord("a") + number) for number in range(load.domain_count)]
    servers = [
        Server(1 + number, domains[number % load.domain_count], 0.0)
        for number in range(load.domain_count * load.servers_per_domain)
    ]
    entries = [
        (domain, [Backend(server.run) for server in servers])
        for domain in domains
        for _ in range(load.entries_per_domain)
    ]
    join_s, now_s = load.seconds / 3, 0.0
    done: list[tuple[float, int, Backend, Server]] = []
    waits: list[float] = []
    full_count = 0
    joined: list[Server] = []
    while now_s < load.seconds:
        now_s += random.expovariate(load.requests_per_s)
        while done and done[0][0] <= now_s:
            _, _, record, server = heapq.heappop(done)
            record.in_flight -= 1
            server.in_progress -= 1
        if now_s >= join_s and load.joining_ratio and not joined:
            joined = _join(servers, entries, load.joining_ratio, now_s)
        domain, records = random.choice(entries)
        number = choose(records, servers, domain, now_s)
        server, record = servers[number], records[number]
        if server.in_progress >= _SLOT_COUNT + _QUEUE_COUNT:
            full_count += 1
            continue
        work_s = load.work_s * random.uniform(1 - _WORK_SPREAD, 1 + _WORK_SPREAD)
        wait_s, done_s = server.take(now_s, work_s)
        waits.append(wait_s)
        record.in_flight += 1
        server.in_progress += 1
        heapq.heappush(done, (done_s, len(waits), record, server))
    return _sum_up(waits, full_count, servers, joined)


def _join(
    servers: list[Server],
    entries: list[tuple[str, list[Backend]]],
    ratio: float,
    now_s: float,
) -> list[Server]:
    count = round(ratio * len(servers))
    domains = sorted({domain for domain, _ in entries})
    joined = [
        Server(len(servers) + 1 + number, domains[number % len(domains)], now_s)
        for number in range(count)
    ]
    for _, records in entries:
        for server in joined:
            record = Backend(server.run)
            record.warm_s = now_s + _COLD_S
            records.append(record)
    servers += joined
    return joined


def _sum_up(
    waits: list[float], full_count: int, servers: list[Server], joined: list[Server]
) -> Waits:
    ranked = sorted(waits)
    cold_ratio = warm_ratio = 0.0
    if joined:
        from_s = joined[0].started_s
        cold_ratio = _share(joined, servers, from_s, from_s + _COLD_S)
        warm_ratio = _share(joined, servers, from_s + _COLD_S, from_s + 2 * _COLD_S)
    return Waits(
        1000 * mean(waits),
        1000 * ranked[int(0.99 * len(ranked))],
        1000 * ranked[-1],
        full_count,
        cold_ratio,
        warm_ratio,
    )


def _share(
    joined: list[Server], servers: list[Server], from_s: float, to_s: float
) -> float:
    def taken(some: list[Server]) -> float:
        return mean(
            sum(from_s <= taken_s < to_s for taken_s in server.taken_s)
            for server in some
        )

    return taken(joined) / taken(servers)


_POLICIES: dict[str, Choose] = {
    "own counts (in force)": own_counts,
    "two choices at random": two_choices,
    "counts of all, now": shared_counts(0.0),
    "counts of all, 0.4 s old": shared_counts(0.4),
    "chance": by_chance,
}


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--domains", type=int, default=5)
    parser.add_argument("--entries", type=int, default=39, help="in each domain")
    parser.add_argument("--servers", type=int, default=23, help="in each domain")
    parser.add_argument("--requests-per-s", type=float, default=687.0)
    parser.add_argument("--work-ms", type=float, default=1_000 * _WORK_S)
    parser.add_argument("--factors", type=float, nargs="+", default=[1.0, 3.0, 6.0])
    parser.add_argument("--joining", type=float, default=0.25)
    options = parser.parse_args()
    print("| Load | Policy | Mean ms | p99 ms | Most ms | Full | Joined: cold, warm |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for factor in options.factors:
        load = Load(
            options.domains,
            options.entries,
            options.servers,
            factor * options.requests_per_s,
            work_s=options.work_ms / 1000,
            joining_ratio=options.joining,
        )
        for name, choose in _POLICIES.items():
            got = play(load, choose)
            print(
                f"| {factor:g} | {name} | {got.mean_ms:.2f} | {got.p99_ms:.1f} "
                f"| {got.most_ms:.0f} | {got.full_count} "
                f"| {got.joined_cold_ratio:.2f}, {got.joined_warm_ratio:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    _main()
