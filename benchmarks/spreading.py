"""Compare ways to spread one change to 7,300 nodes, with some of them failed.

A Monte Carlo calculation of one message's spread, not a simulation of the system: hops
take 1 ms inside a failure domain and 20 ms across (an assumption), messages have the
real codec's size, failed nodes are silent, and a digest round repairs each second what
is missing from a random live peer.
"""

import argparse
import heapq
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict

from agatethread.settings import parse_document
from agatethread.wire.control_pb2 import DocumentRecord, WatchUpdate

NODES = 7_300
DOMAINS = 7
_SOURCES = 18
_NEAR_S, _FAR_S = 0.001, 0.020
_FANOUT = 8
_PARENTS = 3
_REPAIR_S = 1.0
_ACK_TIMEOUT_S = 0.2
_DIGEST_BYTES = 60
_HORIZON_S = 10.0

Neighbours = Callable[[int], Iterable[int]]


def message_bytes() -> int:
    """Size of one change on the wire, with UDP and IPv4 headers."""
    text = '{"service": "tab", "version": 7, "note": "owned by the tab team"}'
    compact = json.dumps(asdict(parse_document("tab", text))).encode()
    record = DocumentRecord(service="tab", version=7, index=10**6, compact=compact)
    return WatchUpdate(index=10**6, documents=[record]).ByteSize() + 28


def _delay_s(one: int, other: int) -> float:
    return _NEAR_S if one % DOMAINS == other % DOMAINS else _FAR_S


def _star(chance: random.Random, parents: int) -> Neighbours:
    """Streams from sources to nodes: `parents` for each node."""
    children: dict[int, list[int]] = {source: [] for source in range(_SOURCES)}
    for node in range(_SOURCES, NODES):
        for source in chance.sample(range(_SOURCES), parents):
            children[source].append(node)
    return lambda node: children.get(node, ())


def _tree(chance: random.Random, parents: int) -> Neighbours:
    """Levels with a fan-out; each node has `parents` in the level above."""
    order = list(range(_SOURCES, NODES))
    chance.shuffle(order)
    children: dict[int, list[int]] = {}
    above, start = list(range(_SOURCES)), 0
    while start < len(order):
        level = order[start : start + len(above) * _FANOUT // parents]
        for position, node in enumerate(level):
            first = above[position * parents // _FANOUT % len(above)]
            others = chance.sample(above, min(parents - 1, len(above)))
            for parent in {first, *others}:
                children.setdefault(parent, []).append(node)
        start += len(level)
        above = level
    return lambda node: children.get(node, ())


def _gossip(chance: random.Random) -> Neighbours:
    return lambda node: chance.sample(range(NODES), _FANOUT)


def spread(
    neighbours: Neighbours,
    failed: set[int],
    chance: random.Random,
    acknowledged: bool,
) -> dict[str, float]:
    """Spread one message.

    Parameters
    ----------
    neighbours : callable
        Whom a node passes the message to when it first has it.
    failed : set of int
        Silent nodes.
    chance : random.Random
        For the repair.
    acknowledged : bool
        Whether a parent hands the children of a silent child over after a timeout.

    Returns
    -------
    dict
        Share reached without repair, seconds to all, bytes of the busiest node.
    """
    size = message_bytes()
    arrived: dict[int, float] = {}
    sent: dict[int, int] = {}
    heap = [(0.0, source) for source in range(_SOURCES) if source not in failed]
    heapq.heapify(heap)
    while heap:
        now_s, node = heapq.heappop(heap)
        if node in arrived:
            continue
        arrived[node] = now_s
        targets = list(neighbours(node))
        sent[node] = sent.get(node, 0) + size * len(targets)
        while targets:
            target = targets.pop()
            if target not in failed:
                heapq.heappush(heap, (now_s + _delay_s(node, target), target))
            elif acknowledged:
                orphans = list(neighbours(target))
                sent[node] += size * len(orphans)
                for orphan in orphans:
                    if orphan not in failed:
                        late_s = now_s + _ACK_TIMEOUT_S + _delay_s(node, orphan)
                        heapq.heappush(heap, (late_s, orphan))
    live = [node for node in range(NODES) if node not in failed]
    direct = len(arrived) / len(live)
    direct_s = max(arrived.values())
    total_s = _repair(arrived, live, chance)
    return {
        "reached_directly": round(direct, 5),
        "direct_s": round(direct_s, 3),
        "all_s": round(total_s, 3),
        "busiest_node_bytes": max(sent.values()),
        "mean_bytes": round(sum(sent.values()) / len(live)),
    }


def _repair(arrived: dict[int, float], live: list[int], chance: random.Random) -> float:
    """Each second every node asks one live peer; return when all have the message."""
    missing = [node for node in live if node not in arrived]
    due_s = {node: chance.uniform(0, _REPAIR_S) for node in missing}
    while missing:
        still = []
        for node in missing:
            peer = live[chance.randrange(len(live))]
            if arrived.get(peer, _HORIZON_S) <= due_s[node]:
                arrived[node] = due_s[node] + 2 * _delay_s(node, peer)
            else:
                due_s[node] += _REPAIR_S
                still.append(node)
        missing = still
    return max(arrived[node] for node in live)


WAYS: dict[str, tuple[Callable[[random.Random], Neighbours], bool]] = {
    "one stream to a control instance": (lambda c: _star(c, 1), False),
    "two streams to control instances": (lambda c: _star(c, 2), False),
    "tree, one parent, acknowledged": (lambda c: _tree(c, 1), True),
    "push gossip": (_gossip, False),
    "forest, three parents": (lambda c: _tree(c, _PARENTS), False),
}


def _failures(chance: random.Random) -> dict[str, set[int]]:
    return {
        "none": set(),
        "5 %": set(chance.sample(range(NODES), NODES // 20)),
        "20 %": set(chance.sample(range(NODES), NODES // 5)),
        "a domain": {node for node in range(NODES) if node % DOMAINS == 3},
    }


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    chance = random.Random(options.seed)
    print(json.dumps({"message_bytes": message_bytes(), "digest": _DIGEST_BYTES}))
    for case, failed in _failures(chance).items():
        for way, (build, acknowledged) in WAYS.items():
            results = [
                spread(build(chance), failed, chance, acknowledged)
                for _ in range(options.rounds)
            ]
            row = {
                name: max(result[name] for result in results)
                for name in ("direct_s", "all_s", "busiest_node_bytes", "mean_bytes")
            }
            row["reached_directly"] = min(r["reached_directly"] for r in results)
            print(json.dumps({"failed": case, "way": way} | row), flush=True)


if __name__ == "__main__":
    _main()
