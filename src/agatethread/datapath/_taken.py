"""An opening that was relayed to a dispatcher, and what can be done with it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from agatethread.balancing import Opening
from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import Packet
from agatethread.wire.registry_pb2 import RegistryMessage, RelayedOpening


@dataclass(frozen=True, slots=True)
class Hands:
    """What a dispatcher does through the instance that it is part of.

    Attributes
    ----------
    forward : callable
        Sends an opening to a backend server; also gets the runs that did not answer it,
        and how long its caller has waited.
    send : callable
        Sends a registry message to a packed address.
    table_version : callable
        Tells the version of the routing table in force.
    """

    forward: Callable[[Packet, Backend, Sequence[Backend], float], None]
    send: Callable[[RegistryMessage, bytes], None]
    table_version: Callable[[], int]


@dataclass(frozen=True, slots=True)
class Taken:
    """An opening that was relayed to this instance."""

    packet: Packet
    relayed: RelayedOpening
    #: Packed address of the instance that relayed it.
    sender: bytes
    opening: Opening
    tried: tuple[Backend, ...] = ()

    @property
    def service(self) -> str:
        return self.relayed.service

    @property
    def origin(self) -> bytes:
        """Packed address of the instance that its caller's packets reach."""
        return self.relayed.origin or self.sender


def hand_on(
    taken: Taken, crosses: bool, waited_s: float, table_version: int
) -> RelayedOpening:
    """Write an opening for another dispatcher.

    Parameters
    ----------
    taken : Taken
        The opening.
    crosses : bool
        Whether that one is in another failure domain.
    waited_s : float
        How long its caller has waited.
    table_version : int
        Of the routing table in force.

    Returns
    -------
    RelayedOpening
        The message.
    """
    return RelayedOpening(
        packet=taken.packet.data,
        service=taken.service,
        table_version=table_version,
        hops=0 if crosses else taken.relayed.hops + 1,
        waited_ms=round(1000 * max(0.0, waited_s)),
        origin=taken.origin,
        crossed=crosses or taken.relayed.crossed,
    )
