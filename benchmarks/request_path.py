"""What each step of a request's path costs, at the rates of a busy deployment.

``python -m benchmarks.request_path`` times the steps in one process, without the system
calls, and multiplies them by how often an instance takes them. The fleet is one of 70
entry and 6 control instances with 60 and 15 backend servers; 492 requests a second on
long flows, 244 on a flow each, 42 uploads of 40 kB.
"""

import argparse
import logging
import random
import statistics
import sys
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from agatethread.datapath import (
    Backend,
    BackendView,
    FlowKey,
    LabelForwarder,
    Packet,
    PacketCodec,
    derive_label,
)
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._pacing import PacedSender
from agatethread.datapath._placing import place_flow
from agatethread.observability import Counters
from agatethread.registry import CompressedTable, RegistryPublisher, Report, RunTable
from agatethread.routing import Route, RouteTable, Target, decode_table
from agatethread.wire import pack_address
from agatethread.wire.registry_pb2 import (
    BackendRun,
    Poll,
    RoutingTable,
    TableRoute,
)

_ENTRY_COUNT, _CONTROL_COUNT = 70, 6
_TAB_COUNT, _ARCHIVE_COUNT = 60, 15
_HOST, _TAB_PORT = 0xC6120001, 443
_UPLOAD_BYTES, _PACKET_BYTES = 40_000, 1_200
_STREAM_PER_S, _SETTLE_PER_S, _UPLOAD_PER_S = 492.0, 244.0, 42.2
#: Packets of a request on a long flow: itself, and acknowledgements of the answer.
_STREAM_PACKETS = 3
#: Acknowledgements and the end of a flow that is opened for one request.
_SETTLE_PACKETS = 4
_REPORT_INTERVAL_S, _POLL_INTERVAL_S = 1.2, 0.4
#: Flows of callers are opened anew now and then: seen as 25,000 connections for 49,000
#: requests of a day, which leaves 0.1 for each request on a long flow.
_STREAM_OPENINGS = 0.1


@dataclass(frozen=True)
class Step:
    """One step, and how often an instance takes it."""

    name: str
    role: str
    per_s: float
    run: Callable[[], object]


def _run(nth: int, service: str) -> BackendRun:
    return BackendRun(
        id=f"i-{nth:x}",
        number=nth,
        service=service,
        address=pack_address(("10.128.0.1", nth)),
        failure_domain="abc"[nth % 3],
        slots=2,
        sequence=1,
    )


def _runs() -> list[BackendRun]:
    tab = [_run(nth, "tab") for nth in range(1, _TAB_COUNT + 1)]
    return tab + [_run(1_000 + nth, "archive") for nth in range(_ARCHIVE_COUNT)]


def _packet(port: int, size: int = 0, opens: bool = False, sequence: int = 1) -> Packet:
    key = FlowKey(1, port, _HOST, _TAB_PORT)
    label = 0 if opens else derive_label(port % _TAB_COUNT + 1)
    return Packet(label, key, opens, 0, False, False, sequence, 1, size, b"x" * size)


_CODEC = PacketCodec(
    decode=lambda packet: packet,
    encode_for_backend=lambda packet, label, number: packet.data,
    encode_reset=lambda packet: packet.data,
    caller_address=lambda packet: ("10.0.0.1", 1),
)


def _entry_steps() -> list[Step]:
    view = BackendView(time.monotonic, Counters())
    for run in _runs():
        view.update_run(run)
    sender = PacedSender(
        lambda data, target: None, 1e12, time.monotonic, lambda *_: None, Counters()
    )
    forwarder = LabelForwarder(
        _CODEC, view, "a", sender.send, time.monotonic, Counters(), 10**6, lambda: True
    )
    route = Route((Target("tab", 1),), frozenset({"tab"}), idempotent=True)
    table = RouteTable(1, {(_HOST, _TAB_PORT): route}, {"tab": 0.0})
    forwarder.apply_table(table)
    ports = iter(range(1, 10**9))
    sequences = iter(range(1, 10**9))
    cold = ColdLimits()
    cold.rates_per_s = {"tab": 0.0}
    backends = [Backend(run) for run in _runs()[:_TAB_COUNT]]

    def place(limits: ColdLimits) -> None:
        place_flow(["tab"], lambda _: backends, "a", 1.0, cold=limits)

    def pass_on(size: int) -> None:
        packet = _packet(7, size, sequence=next(sequences) * _PACKET_BYTES)
        forwarder.on_datagram(packet, ("10.0.0.2", 1))

    def open_flow() -> None:
        packet = _packet(next(ports) % 30_000 + 10, opens=True)
        forwarder.on_datagram(packet, ("10.0.0.2", 1))

    def judge() -> None:
        view.update_reporting(lambda run_id, started_ms: True)
        forwarder.reset_flows_of_lost_runs()

    openings = _SETTLE_PER_S + _UPLOAD_PER_S + _STREAM_OPENINGS * _STREAM_PER_S
    packets = _STREAM_PACKETS * _STREAM_PER_S + _SETTLE_PACKETS * _SETTLE_PER_S
    uploads = _UPLOAD_PER_S * _UPLOAD_BYTES / _PACKET_BYTES
    return [
        Step("choose among 60 servers", "entry", 0.0, lambda: place(ColdLimits())),
        Step("the same, cold ones spared", "entry", 0.0, lambda: place(cold)),
        Step("an opening, logged", "entry", openings / _ENTRY_COUNT, open_flow),
        Step(
            "a packet without data", "entry", packets / _ENTRY_COUNT, lambda: pass_on(0)
        ),
        Step(
            "a packet of an upload",
            "entry",
            uploads / _ENTRY_COUNT,
            lambda: pass_on(_PACKET_BYTES),
        ),
        Step("a look at 75 servers", "entry", 5.0, judge),
    ]


def _control_steps() -> list[Step]:
    runs = RunTable(_REPORT_INTERVAL_S, time.monotonic)
    hub = RegistryPublisher(
        runs, "a", lambda *_: None, time.monotonic, lambda: True, lambda: True
    )
    for nth in range(_ENTRY_COUNT):
        hub.on_poll(Poll(failure_domain="abc"[nth % 3]), b"entry%d" % nth)
    sequences = iter(range(1, 10**9))

    def report(**fields: object) -> Report:
        values = {
            "id": "i-1",
            "number": 1,
            "service": "tab",
            "address": pack_address(("10.128.0.1", 1)),
            "failure_domain": "b",
            "slots": 2,
            "sequence": next(sequences),
        }
        return Report(**(values | fields))

    for run in _runs():
        runs.restore([run])

    def tell_change() -> None:
        runs.report(report(warm_up_s=random.random() + next(sequences)))
        hub.flush()

    table = RoutingTable(version=1, services=["tab", "archive"])
    for port in range(240):
        table.routes.append(TableRoute(host=_HOST, port=port + 1))
    versions = iter(range(1, 10**9))

    def offer() -> None:
        compressed = zlib.compress(table.SerializeToString())
        hub.publish_routes(CompressedTable(next(versions), compressed))

    reports = (_TAB_COUNT + _ARCHIVE_COUNT) / _REPORT_INTERVAL_S / _CONTROL_COUNT
    polls = 3 * _ENTRY_COUNT / _POLL_INTERVAL_S / _CONTROL_COUNT
    wanting = Poll(failure_domain="a", wants_reply=True)
    return [
        Step("a report", "control", reports, lambda: runs.report(report())),
        Step("a poll", "control", polls, lambda: hub.on_poll(wanting, b"entry1")),
        Step("a change told to 70", "control", 0.0, tell_change),
        Step("a look for silent runs", "control", 5.0, runs.sweep),
        Step("a round of telling", "control", 10.0, hub.flush),
        Step("a table of 240 routes told to 70", "control", 0.0, offer),
        Step("a table read", "entry", 0.0, lambda: decode_table(table)),
    ]


def _measure_us(step: Step, rounds: int) -> float:
    times_s = []
    for _ in range(9):
        began_s = time.process_time()
        for _ in range(rounds):
            step.run()
        times_s.append((time.process_time() - began_s) / rounds)
    return 1e6 * statistics.median(times_s)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=1_000, help="of each of 9 times")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    with logbook.NullHandler().applicationbound():
        for step in _entry_steps() + _control_steps():
            took_us = _measure_us(step, options.rounds)
            share = took_us * step.per_s / 1e6
            often = f"{step.per_s:6.1f}/s {share:8.4%} of a core" if step.per_s else ""
            sys.stdout.write(
                f"{step.role:8} {step.name:34} {took_us:8.1f} us  {often}\n"
            )


if __name__ == "__main__":
    main()
