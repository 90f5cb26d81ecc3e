"""Packets, runs and a forwarder for tests of the data path."""

import unittest

from agatethread.datapath import (
    BackendView,
    FlowKey,
    LabelForwarder,
    Packet,
    PacketCodec,
    derive_label,
)
from agatethread.observability import Counters
from agatethread.routing import Route, RouteTable, Target
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import Clock, address

HOST = 0xC6120001


def run(index=1, **fields):
    """Return a run of the service named tab."""
    values = {
        "id": f"i-{index:x}",
        "number": index,
        "service": "tab",
        "address": address(index),
        "failure_domain": "a",
        "slots": 2,
        "sequence": 1,
    }
    return BackendRun(**(values | fields))


def packet(caller_port=1, number=0, **fields):
    """Return a packet of a flow; `number` is that of its run, or 0 for none."""
    values = {
        "label": derive_label(number) if number else 0,
        "key": FlowKey(1, caller_port, HOST, 443),
        "opens": False,
        "copy": 0,
        "closes": False,
        "resets": False,
        "sequence": 100,
        "acknowledged": 500,
        "payload_bytes": 0,
        "data": b"",
    }
    return Packet(**(values | fields))


def opening(caller_port=1, copy=0, **fields):
    """Return the first packet of a flow, or a copy of it."""
    return packet(caller_port, opens=True, copy=copy, acknowledged=copy, **fields)


#: Codec for tests: received datagrams are packets, and sent ones are tuples.
CODEC = PacketCodec(
    decode=lambda data: data,
    encode_for_backend=lambda decoded, label, number: ("forward", number, label),
    encode_reset=lambda decoded: ("reset", decoded.key.caller_port),
    caller_address=lambda decoded: ("caller", decoded.key.caller_port),
)


def table(version=1, service="tab", earlier=(), port=443, idempotent=False):
    """Return a routing table with one route."""
    services = frozenset((service, *earlier))
    route = Route((Target(service, 1),), services, idempotent)
    return RouteTable(version, {(HOST, port): route})


class ForwarderCase(unittest.TestCase):
    """A forwarder with a clock; records what it sends."""

    def setUp(self):
        self.clock = Clock()
        self.counters = Counters()
        self.view = BackendView(self.clock, self.counters)
        self.sent = []
        self.is_view_complete = True
        self.forwarder = self.make_forwarder()
        self.forwarder.apply_table(table())

    def make_forwarder(self):
        return LabelForwarder(
            CODEC,
            self.view,
            "a",
            lambda data, target, *_: self.sent.append((data, target)),
            self.clock,
            self.counters,
            flow_limit_count=1_000,
            is_view_complete=lambda: self.is_view_complete,
        )

    def handle(self, datagram):
        """Handle a packet and return the first two fields of each datagram sent."""
        self.sent.clear()
        self.forwarder.on_datagram(datagram, ("router", 1))
        return [data[:2] for data, _ in self.sent]
