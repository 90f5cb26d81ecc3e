"""Packets and backend servers for the tests of the data path."""

import unittest

from agatethread.datapath import (
    BackendView,
    FlowKey,
    LabelForwarder,
    Packet,
    PacketCodec,
    label_of,
)
from agatethread.observability import Counters
from agatethread.routing import Route, RouteTable, Target
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import Clock, address

HOST = 0xC6120001


def run(index=1, **fields):
    """Return a run of the tab service."""
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
    """Packet of a flow; for an open one `number` names its backend server."""
    values = {
        "label": label_of(number) if number else 0,
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
    """The first packet of a flow, or a copy of it."""
    return packet(caller_port, opens=True, copy=copy, acknowledged=copy, **fields)


#: Hands packets through, and makes tuples in place of datagrams.
CODEC = PacketCodec(
    decode=lambda data: data,
    encode_for_backend=lambda datagram, label, number: ("forward", number, label),
    encode_reset=lambda datagram: ("reset", datagram.key.caller_port),
    caller_address=lambda datagram: ("caller", datagram.key.caller_port),
)


def table(version=1, service="tab", earlier=(), port=443):
    """A table with one route."""
    route = Route((Target(service, 1),), frozenset((service, *earlier)))
    return RouteTable(version, {(HOST, port): route})


class ForwarderCase(unittest.TestCase):
    """One forwarder, what it sends, and a clock."""

    def setUp(self):
        self.clock = Clock()
        self.counters = Counters()
        self.view = BackendView(self.clock, self.counters)
        self.sent = []
        self.is_view_complete = True
        self.forwarder = self.make_forwarder()
        self.forwarder.take_table(table())

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
        """Hand a packet in; return what was sent."""
        self.sent.clear()
        self.forwarder.on_datagram(datagram, ("router", 1))
        return [data[:2] for data, _ in self.sent]
