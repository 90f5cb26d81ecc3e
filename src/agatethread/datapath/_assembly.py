"""Connects shared placing with the other parts of an entry instance."""

from collections.abc import Callable

from agatethread.datapath._backends import BackendView
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._forwarder import LabelForwarder
from agatethread.datapath._packets import PacketCodec
from agatethread.datapath._placing import accepts_new_flows
from agatethread.datapath._received_openings import OpeningActions
from agatethread.datapath._shared_placing import SharedPlacing
from agatethread.observability import Counters
from agatethread.settings import Policies
from agatethread.wire.registry_pb2 import RegistryMessage


def make_shared_placing(
    own_address: bytes,
    failure_domain: str,
    codec: PacketCodec,
    forwarder: LabelForwarder,
    view: BackendView,
    cold: ColdLimits,
    send: Callable[[RegistryMessage, bytes], None],
    now_s: Callable[[], float],
    counters: Counters,
    policies: Policies,
) -> SharedPlacing:
    """Return a SharedPlacing that is connected to a forwarder.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    failure_domain : str
        Of this instance.
    codec : PacketCodec
        The packets' wire format.
    forwarder : LabelForwarder
        Forwards placed openings.
    view : BackendView
        Known backend servers.
    cold : ColdLimits
        Limits of cold backend servers; limited ones receive no relayed openings.
    send : callable
        Sends a registry message to a packed address.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts decisions.
    policies : Policies
        How servers are chosen.

    Returns
    -------
    SharedPlacing
        Without any dispatchers yet.
    """
    actions = OpeningActions(
        forward=forwarder.forward_opening,
        send=send,
        table_version=lambda: forwarder.table.version,
    )
    return SharedPlacing(
        own_address,
        failure_domain,
        view.runs_of_service,
        lambda backend: (
            accepts_new_flows(backend) and not cold.is_limited(backend, now_s())
        ),
        codec.decode,
        lambda: forwarder.table,
        actions,
        forwarder.place_locally,
        forwarder.refuse,
        now_s,
        counters,
        policies,
    )
