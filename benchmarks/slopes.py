"""Measure what one more of each thing costs, and work out the size to come from it.

Each slope is fitted to three sizes by least squares; the residual is the largest
deviation from the line, as a share of the largest value.
"""

import argparse
import gc
import itertools
import json
import random
import resource
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

import numpy

from agatethread.control import ReplicatedState
from agatethread.control._replicated_state import check_command
from agatethread.entry._placement import FlowPlacer
from agatethread.membership import Member, MemberTable
from agatethread.observability import Counters
from agatethread.routing import EndpointTable, FlowTable, choose_for_stream
from agatethread.settings import ServiceDocument, parse_document
from agatethread.wire import (
    NO_MEMBER,
    Ack,
    Announcement,
    Claim,
    Cookie,
    Envelope,
    Kind,
    MemberState,
    Peer,
    Ping,
    Sealer,
    Token,
    VerdictNote,
    decode_peer,
    encode_peer,
    pack_address,
    parse_cookie,
    seal_cookie,
    seal_token,
)
from agatethread.wire.control_pb2 import (
    Command,
    DocumentRecord,
    PutDocument,
    WatchUpdate,
)
from benchmarks.size_to_come import print_table

SEALER = Sealer([b"k" * 32])
DOCUMENT = """{
  // shared tabs of the partner banks
  service: "service-%d", version: %d, urgency: 0,
  queue_limit_count: 500, retry_ratio: 0.2, ramp_s: 10, drain_limit_s: 14400,
  domain_weights: {north: 1, south: 1, east: 1}, note: "owned by the tab team"
}"""


def _address(number: int) -> bytes:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return pack_address((host, 7000))


def _announcement(number: int) -> Announcement:
    return Announcement(
        endpoint_id=f"service-{number // 3}-{number % 3}",
        incarnation=number + 1,
        service=f"service-{number // 3}",
        failure_domain="north",
        slots=2,
        connection_limit=2_000,
        lease_ms=30_000,
        sequence=1,
    )


def _member(number: int) -> Member:
    return Member(f"entry-{number}", "north", _address(number), number + 1)


# -- what is built ----------------------------------------------------------------


def build_members(count: int) -> MemberTable:
    """Fill a member table."""
    table = MemberTable(_member(0))
    for number in range(count):
        table.apply(_member(number))
    while table.next_gossip(1_000):
        continue
    return table


def build_endpoints(count: int) -> EndpointTable:
    """Fill an endpoint table."""
    table = EndpointTable()
    for number in range(count):
        table.apply_announcement(_address(number), _announcement(number), 0.0)
    return table


def build_flows(count: int) -> FlowTable:
    """Fill a flow table."""
    table = FlowTable(count + 1)
    endpoint = next(iter(build_endpoints(1).by_address.values()))
    for _ in range(count):
        caller = pack_address.__wrapped__(("10.1.2.3", random.randrange(65_536)))
        table.place(random.getrandbits(64), endpoint, caller)
    return table


def build_documents(count: int) -> dict[str, ServiceDocument]:
    """Parse documents, as an entry instance keeps them."""
    template = parse_document("x", DOCUMENT % (0, 1))
    return {
        f"service-{number}": ServiceDocument(
            f"service-{number}", 1, domain_weights=dict(template.domain_weights)
        )
        for number in range(count)
    }


def build_control_state(count: int) -> ReplicatedState:
    """Apply documents, as a control instance keeps them."""
    state = ReplicatedState()
    for number in range(count):
        text = (DOCUMENT % (number, 1)).encode()
        put = PutDocument(service=f"service-{number}", version=1, text=text)
        command = Command(put_document=put, change_id=f"change-{number:032d}")
        check_command(command)
        state.apply(number + 1, 1, command.SerializeToString())
    return state


BUILDERS: dict[str, tuple[Callable[[int], object], tuple[int, ...]]] = {
    "member": (build_members, (1_000, 3_000, 7_300)),
    "endpoint": (build_endpoints, (2_000, 6_000, 12_429)),
    "counted flow": (build_flows, (5_000, 12_000, 23_288)),
    "document at an entry instance": (build_documents, (2_000, 9_000, 27_000)),
    "document at a control instance": (build_control_state, (200, 500, 1_000)),
}


@dataclass(frozen=True)
class Slope:
    """Bytes for one more, and how well a line fits."""

    bytes_each: float
    residual: float


def measure_memory(name: str) -> Slope:
    """Fit the memory of one kind of record.

    Parameters
    ----------
    name : str
        A name in `BUILDERS`.

    Returns
    -------
    Slope
        Its slope.
    """
    build, sizes = BUILDERS[name]
    build(10)
    used = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    slope, base = numpy.polyfit(sizes, used, 1)
    deviation = numpy.abs(numpy.polyval((slope, base), sizes) - used).max()
    return Slope(float(slope), float(deviation / max(used)))


def measure_time_us(action: Callable[[], object], repeats: int = 3_000) -> float:
    """Measure the median processor time of an action over several runs.

    Parameters
    ----------
    action : callable
        What to do.
    repeats : int
        How often in each run.

    Returns
    -------
    float
        Microseconds.
    """
    runs = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(repeats):
            action()
        runs.append((time.process_time() - started) / repeats * 1e6)
    return sorted(runs)[2]


def _placer() -> tuple[FlowPlacer, FlowTable]:
    endpoints = EndpointTable()
    for number in range(7):
        announcement = _announcement(number)
        announcement.service = "tab"
        announcement.connection_limit = 10_000_000
        endpoints.apply_announcement(_address(number), announcement, 0.0)
    flows = FlowTable(10_000_000)
    placer = FlowPlacer(
        SEALER,
        endpoints,
        flows,
        {"tab": ServiceDocument("tab", 1, ramp_s=0.0)}.get,
        lambda address, data: None,
        lambda address, data: None,
        lambda: 1.0,
        Counters(),
    )
    return placer, flows


def measure_times() -> dict[str, float]:
    """Measure the actions that control and decisions are made of.

    Returns
    -------
    dict of str to float
        Microseconds by action.
    """
    table = build_members(7_300)
    updates = [_member(number).to_update() for number in range(6)]
    ping = encode_peer(
        SEALER, Peer(sender=_address(1), incarnation=1, ping=Ping(updates=updates))
    )
    cookie = seal_cookie(SEALER, Cookie(_address(1), 1, 2, 3))
    placer, _ = _placer()
    caller = _address(9)

    def place() -> None:
        flow_id = random.getrandbits(63)
        envelope = Envelope(kind=Kind.OPEN, service="tab", flow_id=flow_id)
        placer.on_open(envelope, caller)
        placer.on_opened("tab", flow_id)

    def probe() -> None:
        peer = decode_peer(SEALER, ping)
        table.next_gossip(6)
        encode_peer(SEALER, peer)

    endpoints = build_endpoints(1_000)
    sequence = iter(range(2, 10_000_000))

    def refresh() -> None:
        announcement = _announcement(5)
        announcement.sequence = next(sequence)
        endpoints.apply_announcement(_address(5), announcement, 1.0)

    services = iter(range(10_000_000))
    states = itertools.cycle((MemberState.DEAD, MemberState.ALIVE))
    counters = itertools.count(1)
    compact = json.dumps(asdict(parse_document("x", DOCUMENT % (1, 1))))
    candidates = build_endpoints(7)
    seven = list(candidates.by_address.values())

    def change_member() -> None:
        changed = replace(_member(17), counter=next(counters), state=next(states))
        table.apply(changed)
        table.rank(5)

    def choose() -> None:
        choose_for_stream(seven, 1.0, 5.0)

    return {
        "probe or answer": measure_time_us(probe),
        "lease refresh": measure_time_us(refresh),
        "open a cookie": measure_time_us(lambda: parse_cookie(SEALER, cookie)),
        "place a flow": measure_time_us(place, 1_000),
        "rank a service among 7300": measure_time_us(
            lambda: table.rank(next(services) << 40)
        ),
        "change of one member among 7300": measure_time_us(change_member, 50),
        "choose for a stream among 7": measure_time_us(choose),
        "check a document with comments": measure_time_us(
            lambda: parse_document("x", DOCUMENT % (1, 1)), 20
        ),
        "take a compact document": measure_time_us(
            lambda: parse_document("x", compact), 500
        ),
    }


def message_sizes() -> dict[str, int]:
    """Serialize one of each control message.

    Returns
    -------
    dict of str to int
        Bytes.
    """
    updates = [_member(7_000).to_update()]
    compact = json.dumps(asdict(parse_document("x", DOCUMENT % (1, 1)))).encode()
    record = DocumentRecord(
        service="service-1", version=9, compact=compact, index=10**6
    )
    operation_id = seal_token(SEALER, Token(1, NO_MEMBER, NO_MEMBER)) + bytes(16)
    sender = {"sender": _address(1), "incarnation": 2**60}

    def sealed(**body: object) -> int:
        return len(encode_peer(SEALER, Peer(**sender, **body)))

    return {
        "probe without news": sealed(ping=Ping(sequence=10**6)),
        "answer without news": sealed(ack=Ack(sequence=10**6)),
        "one member's news": len(updates[0].SerializeToString()) + 2,
        "announcement relayed": sealed(announcement=_announcement(5)),
        "claim": sealed(
            claim=Claim(
                operation_id=operation_id,
                caller=bytes(6),
                endpoint=bytes(6),
                deadline_ms=5_000,
                service="service-1",
                attempt=1,
            )
        ),
        "claim's answer": sealed(claim=Claim(operation_id=operation_id, attempt=1)),
        "verdict's note": sealed(
            verdict_note=VerdictNote(operation_id=operation_id, datagram=bytes(200))
        ),
        "document to one watcher": len(
            WatchUpdate(index=10**6, documents=[record]).SerializeToString()
        ),
    }


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    random.seed(options.seed)
    started_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    report = {
        "process_mib_before_state": round(started_kib / 1024, 1),
        "memory": {},
        "times_us": {name: round(value, 2) for name, value in measure_times().items()},
        "message_bytes": message_sizes(),
    }
    for name in BUILDERS:
        slope = measure_memory(name)
        report["memory"][name] = {
            "bytes_each": round(slope.bytes_each, 1),
            "residual": round(slope.residual, 4),
        }
    print(json.dumps(report, indent=2))
    print_table(report)


if __name__ == "__main__":
    _main()
