"""Stateless forwarding of packets by a 32-bit label."""

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._departure import Departure
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._forwarder import LabelForwarder
from agatethread.datapath._instance import LabelEntryInstance, LabelEntrySettings
from agatethread.datapath._packets import FlowKey, Packet, PacketCodec
from agatethread.datapath._placing import choose_backend
from agatethread.datapath._readiness import Readiness
from agatethread.registry import derive_label

__all__ = [
    "Backend",
    "BackendView",
    "Departure",
    "FlowKey",
    "FlowLoads",
    "LabelEntryInstance",
    "LabelEntrySettings",
    "LabelForwarder",
    "Packet",
    "PacketCodec",
    "Readiness",
    "choose_backend",
    "derive_label",
]
