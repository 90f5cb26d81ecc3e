"""Openings that a dispatcher has received, and the functions that it acts through."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from agatethread.balancing import Opening
from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import Packet
from agatethread.wire.registry_pb2 import RegistryMessage, RelayedOpening


@dataclass(frozen=True, slots=True)
class OpeningActions:
    """Actions of a dispatcher through its instance.

    Attributes
    ----------
    forward : callable
        Sends an opening to a backend server; also receives the runs that did not answer
        it, and the seconds that its caller has waited.
    send : callable
        Sends a registry message to a packed address.
    table_version : callable
        Returns the version of the routing table in force.
    """

    forward: Callable[[Packet, Backend, Sequence[Backend], float], None]
    send: Callable[[RegistryMessage, bytes], None]
    table_version: Callable[[], int]


@dataclass(frozen=True, slots=True)
class ReceivedOpening:
    """An opening that was relayed to this instance."""

    packet: Packet
    relayed: RelayedOpening
    #: Packed address of the instance that relayed it.
    sender: bytes
    #: The urgency and times that decide on its admission.
    opening: Opening
    #: Runs that received the opening before and did not answer.
    tried: tuple[Backend, ...] = ()

    @property
    def service(self) -> str:
        return self.relayed.service

    @property
    def origin(self) -> bytes:
        """Packed address of the instance that receives the caller's packets."""
        return self.relayed.origin or self.sender


def make_handover(
    received: ReceivedOpening, crosses: bool, waited_s: float, table_version: int
) -> RelayedOpening:
    """Return the message that hands an opening over to another dispatcher.

    Parameters
    ----------
    received : ReceivedOpening
        The opening.
    crosses : bool
        Whether that dispatcher is in another failure domain.
    waited_s : float
        Time that its caller has waited.
    table_version : int
        Of the routing table in force.

    Returns
    -------
    RelayedOpening
        The message.
    """
    return RelayedOpening(
        packet=received.packet.data,
        service=received.service,
        table_version=table_version,
        hops=0 if crosses else received.relayed.hops + 1,
        waited_ms=round(1000 * max(0.0, waited_s)),
        origin=received.origin,
        crossed=crosses or received.relayed.crossed,
    )
