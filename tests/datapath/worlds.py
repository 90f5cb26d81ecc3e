"""Packets and backend servers for the tests of the data path."""

from agatethread.datapath import FlowKey, Packet, PacketCodec, label_of
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import address

HOST = 0xC6120001


def run(nth=1, **fields):
    """Backend server number N of the tab service."""
    values = {
        "id": f"i-{nth:x}",
        "number": nth,
        "service": "tab",
        "address": address(nth),
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
    encode_for_backend=lambda one, label, number: ("forward", number, label),
    encode_reset=lambda one: ("reset", one.key.caller_port),
    caller_address=lambda one: ("caller", one.key.caller_port),
)
