"""What the log lines of the data path cost beside forwarding.

``python -m benchmarks.log_cost`` sends the packets of some seconds at once and three
times the load of an entry instance through a real forwarder and real sockets: without
logs, with logs that somebody reads, and with a reader that never reads. The three take
turns; figures are medians of processor time for one second of packets.
"""

import argparse
import os
import random
import socket
import statistics
import sys
import threading
import time

import logbook

from agatethread.datapath import (
    BackendView,
    FlowKey,
    LabelForwarder,
    Packet,
    PacketCodec,
    derive_label,
)
from agatethread.observability import Counters, LineRateLimiter, LineWriter
from agatethread.observability._logging import RateLimitedHandler
from agatethread.routing import Route, RouteTable, Target
from agatethread.wire import pack_address
from agatethread.wire.registry_pb2 import BackendRun

#: What an entry instance of the users' busiest standard day sees in a second.
_OPENINGS, _PACKETS_EACH = 30, 8
_HOST = (0xC6120001, 443)
_PAYLOAD = b"x" * 300
_READ_BYTES = 65_536


def _codec(sink: tuple[str, int]) -> PacketCodec:
    def decode(data: bytes) -> Packet:
        port, opens = int.from_bytes(data[:4], "big"), data[4] == 1
        key = FlowKey(1, port, *_HOST)
        size = 0 if opens else len(_PAYLOAD)
        label = 0 if opens else derive_label(port % 7 + 1)
        return Packet(label, key, opens, 0, False, False, port, port, size, data)

    return PacketCodec(
        decode=decode,
        encode_for_backend=lambda packet, label, number: packet.data,
        encode_reset=lambda packet: packet.data,
        caller_address=lambda packet: sink,
    )


class Bench:
    """A forwarder between two sockets."""

    def __init__(self):
        self._sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sink.bind(("127.0.0.1", 0))
        self._source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        place = self._sink.getsockname()
        view = BackendView(time.monotonic, Counters())
        for number in range(1, 8):
            view.update_run(
                BackendRun(
                    id=f"i-{number}",
                    number=number,
                    service="tab",
                    address=pack_address(place),
                    failure_domain="a",
                    slots=2,
                    sequence=1,
                )
            )
        self._forwarder = LabelForwarder(
            _codec(place),
            view,
            "a",
            lambda data, target, key, sequence: self._socket.sendto(data, target),
            time.monotonic,
            Counters(),
            10_000,
            lambda: True,
        )
        route = Route((Target("tab", 1),), frozenset({"tab"}))
        self._forwarder.table = RouteTable(1, {_HOST: route})
        self._port = 0

    def second(self, load: int) -> float:
        """Forward the packets of one second; return the processor time in seconds."""
        spent_s = 0.0
        for _ in range(_OPENINGS * load):
            self._port += 1
            head = self._port.to_bytes(4, "big")
            datagrams = [head + b"\x01"]
            datagrams += [head + b"\x00" + _PAYLOAD] * _PACKETS_EACH
            for datagram in datagrams:
                self._source.sendto(datagram, self._socket.getsockname())
            began_s = time.thread_time()
            for _ in datagrams:
                data, source = self._socket.recvfrom(2_048)
                self._forwarder.on_datagram(data, source)
            spent_s += time.thread_time() - began_s
            for _ in datagrams:
                self._sink.recvfrom(2_048)
        return spent_s


def _handler(is_read: bool) -> RateLimitedHandler:
    reading, writing = os.pipe()
    if is_read:

        def read() -> None:
            while os.read(reading, _READ_BYTES):
                continue

        threading.Thread(target=read, daemon=True).start()
    # A second passes faster here than its packets would take to come, so the bound on
    # lines a second is lifted: this is what they cost at most.
    budget = LineRateLimiter(rate_per_s=1e9, burst=1e9)
    return RateLimitedHandler(
        LineWriter(writing, batch_bytes=4_096), budget, logbook.INFO
    )


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=40, help="of each kind")
    options = parser.parse_args()
    origin = logbook.Processor(
        lambda record: record.extra.update(instance="entry-1", failure_domain="a")
    )
    origin.push_application()
    handlers = {
        "no logs": logbook.NullHandler(),
        "read": _handler(True),
        "never read": _handler(False),
    }
    bench = Bench()
    for load in (0, 1, 3):
        spent = {name: [] for name in handlers}
        for _ in range(options.seconds):
            names = random.sample(sorted(handlers), len(handlers))
            for name in names:
                with handlers[name].applicationbound():
                    spent[name].append(bench.second(load))
        _print(load, spent)


def _print(load: int, spent: dict[str, list[float]]) -> None:
    bare_s = statistics.median(spent["no logs"])
    for name, values in spent.items():
        median_s = statistics.median(values)
        share = median_s / bare_s - 1 if bare_s else 0.0
        sys.stdout.write(
            f"load {load}: {name}: {1000 * median_s:.2f} ms of processor time for a "
            f"second, {100 * share:+.1f} %\n"
        )


if __name__ == "__main__":
    main()
