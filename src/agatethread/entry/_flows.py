"""Route openings and ends of flows to the dispatcher of their service."""

from collections.abc import Callable

from agatethread.entry._placement import FlowPlacer
from agatethread.membership import MemberTable
from agatethread.observability import Counters
from agatethread.wire import (
    Envelope,
    FlowClosed,
    Kind,
    Peer,
    Relay,
    StreamLabel,
    service_hash,
)


class FlowRouter:
    """Routes messages about the placement of flows.

    Parameters
    ----------
    members : MemberTable
        Entry instances.
    placer : FlowPlacer
        Places flows of the services that this instance dispatches for.
    send_peer : callable
        Sends a message to an instance's packed address.
    counters : Counters
        Counts relayed openings.
    """

    def __init__(
        self,
        members: MemberTable,
        placer: FlowPlacer,
        send_peer: Callable[[bytes, Peer], None],
        counters: Counters,
    ):
        self._members = members
        self._placer = placer
        self._send_peer = send_peer
        self._counters = counters

    def on_open(self, envelope: Envelope, caller: bytes) -> None:
        """Place a flow, or relay its opening to the dispatcher.

        Parameters
        ----------
        envelope : Envelope
            Opening sent by the caller.
        caller : bytes
            Packed address of the caller.
        """
        ranked = self._members.rank(service_hash(envelope.service))
        if not ranked or ranked[0].name == self._members.own_member.name:
            self._placer.on_open(envelope, caller)
            return
        relay = Relay(caller=caller, datagram=envelope.SerializeToString())
        self._counters["open_relayed"] += 1
        self._send_peer(ranked[0].address, Peer(relay=relay))

    def on_reply(self, envelope: Envelope, label: StreamLabel) -> None:
        """Update the placement of a flow if its backend server opened or closed it.

        Parameters
        ----------
        envelope : Envelope
            Reply that was forwarded to the caller; other kinds are ignored.
        label : StreamLabel
            Label of the reply.
        """
        if envelope.kind == Kind.OPENED:
            self._placer.on_opened(envelope.service, envelope.flow_id)
        elif envelope.kind == Kind.CLOSED:
            self._send_closed_to_dispatcher(
                envelope.service, envelope.flow_id, label.endpoint
            )

    def on_shed(self, envelope: Envelope, address: bytes) -> None:
        """Place a refused flow again, here or at the dispatcher of its service.

        Parameters
        ----------
        envelope : Envelope
            Reply of the backend server.
        address : bytes
            Packed address of the backend server.
        """
        service, flow_id = envelope.service, envelope.flow_id
        if self._members.is_dispatcher(
            service_hash(service)
        ) or self._placer.is_pending(service, flow_id):
            self._placer.on_shed(service, flow_id, address)
            return
        ranked = self._members.rank(service_hash(service))
        if ranked:
            # For replies, `Relay.caller` holds the address of the backend server.
            relay = Relay(caller=address, datagram=envelope.SerializeToString())
            self._send_peer(ranked[0].address, Peer(relay=relay))

    def on_close(self, envelope: Envelope) -> None:
        """Record that a caller closed a flow.

        Parameters
        ----------
        envelope : Envelope
            Datagram of the caller with a verified cookie.
        """
        endpoint = envelope.cookie[:6]
        self._send_closed_to_dispatcher(envelope.service, envelope.flow_id, endpoint)

    def _send_closed_to_dispatcher(
        self, service: str, flow_id: int, endpoint: bytes
    ) -> None:
        ranked = self._members.rank(service_hash(service))
        if not ranked or ranked[0].name == self._members.own_member.name:
            self._placer.on_closed(service, flow_id, endpoint)
            return
        closed = FlowClosed(service=service, flow_id=flow_id, endpoint=endpoint)
        self._send_peer(ranked[0].address, Peer(flow_closed=closed))
