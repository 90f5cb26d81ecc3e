"""Route received datagrams to their handlers in an entry instance."""

from collections.abc import Callable

from agatethread.entry._announcements import AnnouncementHandler
from agatethread.entry._flows import FlowRouter
from agatethread.entry._forwarding import FlowForwarder
from agatethread.entry._gone_endpoints import GoneEndpoints
from agatethread.entry._placement import FlowPlacer
from agatethread.entry._requests import RequestRouter
from agatethread.exceptions import DatagramError
from agatethread.membership import MemberTable, Prober
from agatethread.wire import (
    PEER_PREFIX,
    Envelope,
    Kind,
    MemberRef,
    MemberState,
    Peer,
    Reason,
    Relay,
    Sealer,
    decode_envelope,
    decode_peer,
    pack_address,
)

#: Module-level constants, as enum lookups are slow on the path of open flows.
_CLOSE = Kind.CLOSE
_FLOW_KINDS = frozenset((Kind.DATA, Kind.KEEPALIVE, Kind.CLOSE))
_FLOW_REPLY_KINDS = frozenset((Kind.PUSH, Kind.KEEPALIVE_ACK, Kind.OPENED, Kind.CLOSED))

SocketAddress = tuple[str, int]


class DatagramRouter:
    """Passes each datagram to the handler of its kind.

    Parameters
    ----------
    sealer : Sealer
        Verifies messages of other entry instances.
    members : MemberTable
        Entry instances.
    prober, announcements, forwarder, placer, flow_router, requests, gone_endpoints
        Handlers of the kinds of datagrams.
    send_on_caller_socket : callable
        Sends a datagram from the callers' socket, without splitting it.
    fresh_token : callable
        Seals a token for a service.
    """

    def __init__(
        self,
        sealer: Sealer,
        members: MemberTable,
        prober: Prober,
        announcements: AnnouncementHandler,
        forwarder: FlowForwarder,
        placer: FlowPlacer,
        flow_router: FlowRouter,
        requests: RequestRouter,
        gone_endpoints: GoneEndpoints,
        send_on_caller_socket: Callable[[bytes, SocketAddress], None],
        fresh_token: Callable[[str], bytes],
    ):
        self._sealer = sealer
        self._members = members
        self._prober = prober
        self._announcements = announcements
        self._forwarder = forwarder
        self._placer = placer
        self._flow_router = flow_router
        self._requests = requests
        self._gone_endpoints = gone_endpoints
        self._send_on_caller_socket = send_on_caller_socket
        self._fresh_token = fresh_token

    def on_caller_datagram(self, data: bytes, source: SocketAddress) -> None:
        """Handle a datagram received on the callers' socket.

        Parameters
        ----------
        data : bytes
            Datagram.
        source : tuple of (str, int)
            Source address.

        Raises
        ------
        DatagramError, SealError
            If it is invalid, or a cookie, token or label in it has a wrong seal.
        """
        envelope = decode_envelope(data)
        kind = envelope.kind
        if kind in _FLOW_KINDS:
            forwarded = self._forwarder.forward_to_backend(data, envelope, source)
            if kind == _CLOSE and forwarded:
                self._flow_router.on_close(envelope)
            return
        if kind == Kind.REQUEST:
            self._requests.on_request(envelope, pack_address(source))
            return
        if kind == Kind.OPEN:
            self._flow_router.on_open(envelope, pack_address(source))
            return
        if kind == Kind.CANCEL:
            self._requests.on_cancel(envelope)
            return
        if kind == Kind.MISSING:
            self._requests.on_missing(envelope)
            return
        if kind == Kind.HELLO:
            self._on_hello(envelope, source)
            return
        if kind == Kind.PROBE:
            self._on_probe(envelope, source)
            return
        raise DatagramError("unexpected kind")

    def on_inner_datagram(self, data: bytes, source: SocketAddress) -> None:
        """Handle a datagram received on the inner socket.

        It was sent by a backend server or another entry instance.

        Parameters
        ----------
        data : bytes
            Datagram.
        source : tuple of (str, int)
            Source address.

        Raises
        ------
        DatagramError, SealError
            If it is invalid, or a cookie, token or label in it has a wrong seal.
        """
        if data[:1] == PEER_PREFIX:
            self._on_peer(decode_peer(self._sealer, data))
            return

        envelope = decode_envelope(data)
        kind = envelope.kind
        if kind in _FLOW_REPLY_KINDS:
            label = self._forwarder.forward_to_caller(data, envelope, source)
            if label is not None:
                self._flow_router.on_reply(envelope, label)
            return
        if kind in (Kind.ANSWER, Kind.SHED):
            if self._requests.on_backend_reply(data, envelope, pack_address(source)):
                return
            self._flow_router.on_shed(envelope, pack_address(source))
            return
        if kind == Kind.MISSING:
            self._requests.on_backend_missing(data, envelope)
            return
        if kind == Kind.ANNOUNCE:
            self._announcements.on_announce(envelope, pack_address(source))
            return
        if kind == Kind.PROBE_ACK:
            self._gone_endpoints.on_answer(pack_address(source), envelope)
            return
        raise DatagramError("unexpected kind")

    def _on_peer(self, peer: Peer) -> None:
        body = peer.WhichOneof("body")
        sender = MemberRef(peer.sender, peer.incarnation)
        if body == "ping":
            self._prober.on_ping(sender.address, peer.ping)
        elif body == "ack":
            self._prober.on_ack(peer.ack)
        elif body == "relay":
            self._on_relay(peer.relay)
        elif body == "claim":
            self._requests.standby_claims.on_claim(sender, peer.claim)
        elif body == "claim_reply":
            self._requests.owner.claim_requester.on_reply(peer.claim_reply)
        elif body == "verdict_note":
            self._requests.standby_claims.on_verdict_note(peer.verdict_note)
        elif body == "flow_closed":
            closed = peer.flow_closed
            self._placer.on_closed(closed.service, closed.flow_id, closed.endpoint)
        elif body == "announcement":
            self._announcements.on_forwarded(peer.announcement)

    def _on_relay(self, relay: Relay) -> None:
        envelope = decode_envelope(relay.datagram)
        if envelope.kind == Kind.OPEN:
            self._placer.on_open(envelope, relay.caller)
        elif envelope.kind == Kind.REQUEST:
            self._requests.on_relayed_request(envelope, relay.caller)
        elif envelope.kind == Kind.CANCEL:
            self._requests.on_relayed_cancel(envelope)
        elif envelope.kind == Kind.MISSING and envelope.return_label:
            self._requests.on_backend_missing(relay.datagram, envelope)
        elif envelope.kind == Kind.MISSING:
            self._requests.on_missing(envelope)
        elif envelope.kind in (Kind.ANSWER, Kind.SHED):
            # For replies, `Relay.caller` holds the address of the backend server.
            if not self._requests.on_relayed_reply(envelope, relay.caller):
                self._flow_router.on_shed(envelope, relay.caller)

    def _on_hello(self, envelope: Envelope, source: SocketAddress) -> None:
        welcome = Envelope(
            kind=Kind.WELCOME,
            service=envelope.service,
            flow_id=envelope.flow_id,
            token=self._fresh_token(envelope.service),
        )
        self._send_on_caller_socket(welcome.SerializeToString(), source)

    def _on_probe(self, envelope: Envelope, source: SocketAddress) -> None:
        # Answers a health probe of the network fabric.
        is_leaving = self._members.own_member.state == MemberState.LEAVING
        reply = Envelope(kind=Kind.PROBE_ACK, sequence=envelope.sequence)
        if is_leaving:
            reply.reason = Reason.DRAINING
        self._send_on_caller_socket(reply.SerializeToString(), source)
