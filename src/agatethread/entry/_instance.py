"""An entry instance: its sockets, its tasks, and who handles which datagram."""

import secrets
import time
from collections.abc import Callable

from mode import Service

from agatethread.entry._announcements import AnnouncementDesk
from agatethread.entry._documents import DocumentBook, DocumentWatcher
from agatethread.entry._dump import dump_entry
from agatethread.entry._flows import FlowDesk
from agatethread.entry._forwarding import Forwarder
from agatethread.entry._placement import FlowPlacer
from agatethread.entry._requests import RequestDesk
from agatethread.exceptions import DatagramError
from agatethread.membership import Member, MemberTable, Prober
from agatethread.observability import Counters, make_logger
from agatethread.operations import Ports
from agatethread.routing import Endpoint, EndpointTable, FlowTable
from agatethread.settings import EntrySettings, Settings, parse_address
from agatethread.sockets import (
    drain_into,
    open_socket,
    send_or_count,
    start_reading,
    stop_reading,
)
from agatethread.timing import TimerService
from agatethread.transfer import Outbox, split_datagram
from agatethread.wire import (
    MAX_DATAGRAM_BYTES,
    NO_MEMBER,
    PEER_PREFIX,
    Envelope,
    Kind,
    MemberRef,
    MemberState,
    Peer,
    Reason,
    Relay,
    Token,
    decode_envelope,
    decode_peer,
    encode_peer,
    load_sealer,
    pack_address,
    seal_token,
    service_hash,
    unpack_address,
)

_SWEEP_INTERVAL_S = 0.1
_REPAIR_INTERVAL_S = 1.0
_SECOND_GREETING_S = 3.0
#: Time for the fabric and the peers to learn that this instance is leaving.
_LEAVE_NOTICE_S = 1.0
_STOP_POLL_S = 0.05

#: Looked up once: an enum's attribute costs as much as the rest of the dispatch.
_CLOSE = Kind.CLOSE
_FLOW_KINDS = frozenset((Kind.DATA, Kind.KEEPALIVE, Kind.CLOSE))
_STREAM_REPLIES = frozenset((Kind.PUSH, Kind.KEEPALIVE_ACK, Kind.OPENED, Kind.CLOSED))

Address = tuple[str, int]

log = make_logger("entry")


class EntryInstance(Service):
    """Serves callers and backend servers, together with the other instances.

    Parameters
    ----------
    settings : Settings
        With the settings of the entry role.
    counters : Counters
        The process's counters.
    """

    def __init__(self, settings: Settings, counters: Counters):
        super().__init__()
        self.settings = settings
        self.counters = counters
        entry = settings.entry
        self.timers = self.add_dependency(TimerService())
        self.sealer = load_sealer(entry.seal_key_file)
        self._caller_socket = open_socket(entry.listen)
        self._inner_socket = open_socket(entry.inner)
        self._send_to_caller = send_or_count(self._caller_socket, counters)
        self._send_to_inner = send_or_count(self._inner_socket, counters)
        self._build_state(entry)
        self._build_fleet_parts(entry)
        self._build_flow_parts()
        self._build_request_parts(entry)

    def _build_state(self, entry: EntrySettings) -> None:
        me = Member(
            name=self.settings.name,
            failure_domain=self.settings.failure_domain,
            address=pack_address(parse_address(entry.inner_advertised or entry.inner)),
            incarnation=time.time_ns() // 1_000 << 8 | secrets.randbits(8),
            joining=bool(entry.warm_up_s),
        )
        self.members = MemberTable(me)
        self.endpoints = EndpointTable()
        self.flows = FlowTable(entry.flow_limit_count)
        self.book = DocumentBook()
        self._dispatched: set[str] = set()
        self._stopping = False
        self._outbox = Outbox()
        self._greeted: set[MemberRef] = set()

    def _build_fleet_parts(self, entry: EntrySettings) -> None:
        self.prober = self.add_dependency(
            Prober(
                self.members,
                self.timers,
                self.send_peer,
                [pack_address(parse_address(seed)) for seed in entry.seeds],
                entry.probe_interval_s,
                entry.suspicion_s,
                self.counters,
            )
        )
        self.watcher = self.add_dependency(
            DocumentWatcher(self.settings, self.book, self._on_update, self.counters)
        )
        self.announcements = AnnouncementDesk(
            entry,
            self.members,
            self.endpoints,
            self.send_peer,
            self._send_backend,
            self.timers.now_s,
            self._on_endpoint_changed,
            self._on_endpoint_gone,
            self.counters,
        )
        self.members.subscribe(self._on_member_changed)

    def _build_flow_parts(self) -> None:
        self.forwarder = Forwarder(
            self.sealer,
            self.endpoints,
            self._send_to_inner,
            self._send_to_caller,
            self.counters,
        )
        self.placer = FlowPlacer(
            self.sealer,
            self.endpoints,
            self.flows,
            self.book.documents.get,
            self._send_backend,
            self._send_caller,
            self.timers.now_s,
            self.counters,
        )
        self.flow_desk = FlowDesk(
            self.members, self.placer, self.send_peer, self.counters
        )

    def _build_request_parts(self, entry: EntrySettings) -> None:
        ports = Ports(
            now_s=self.timers.now_s,
            me=lambda: self.members.me.ref,
            is_alive=self.members.is_alive,
            send_peer=self.send_peer,
            send_backend=self._send_backend,
            send_caller=self._send_caller,
            fresh_token=self.fresh_token,
        )
        self.requests = RequestDesk(
            entry,
            ports,
            self.sealer,
            self.members,
            self.endpoints,
            self.book,
            self.add_future,
            self.counters,
        )

    # -- start and stop -----------------------------------------------------------

    async def on_start(self) -> None:
        """Start to read, and to dispatch after the warm-up."""
        start_reading(
            self._caller_socket,
            drain_into(self._caller_socket, self._on_caller_datagram, self.counters),
        )
        start_reading(
            self._inner_socket,
            drain_into(self._inner_socket, self._on_inner_datagram, self.counters),
        )
        self.timers.subscribe(_SWEEP_INTERVAL_S, self._sweep)
        self.timers.subscribe(_REPAIR_INTERVAL_S, self.announcements.repair)
        self.add_future(self._warm_up())
        log.info("entry instance started", listen=self.settings.entry.listen)

    async def _warm_up(self) -> None:
        # Every backend server announces itself in this time, so the new dispatcher
        # knows all of them before the first flow is placed by it.
        await self.sleep(self.settings.entry.warm_up_s)
        if self.members.me.joining:
            self.members.change_me(joining=False)

    async def leave(self) -> None:
        """Stop gracefully: finish every operation, hand over the rest."""
        log.info("leaving", operations=self.requests.running_count)
        self._stopping = True
        self.members.change_me(state=MemberState.LEAVING)
        self.requests.refuse_waiting()
        self.prober.tell_all()

        started_s = self.timers.now_s()
        limit_s = started_s + max(_LEAVE_NOTICE_S, self.settings.entry.stop_limit_s)
        notice_s = started_s + _LEAVE_NOTICE_S
        while self.timers.now_s() < limit_s:
            if not self.requests.running_count and self.timers.now_s() >= notice_s:
                break
            await self.sleep(_STOP_POLL_S)
        log.info("left", operations=self.requests.running_count)

    async def on_stop(self) -> None:
        """Close the sockets."""
        stop_reading(self._caller_socket)
        stop_reading(self._inner_socket)

    # -- sending ------------------------------------------------------------------

    def send_peer(self, address: bytes, peer: Peer) -> None:
        """Send a sealed message to another entry instance.

        Parameters
        ----------
        address : bytes
            Its packed inner address.
        peer : Peer
            The message.
        """
        peer.sender = self.members.me.address
        peer.incarnation = self.members.me.incarnation
        data = encode_peer(self.sealer, peer)
        self.counters["peer_bytes_sent"] += len(data)
        self._send_to_inner(data, unpack_address(address))

    def _send_backend(self, address: bytes, data: bytes) -> None:
        self._send_to_inner(data, unpack_address(address))

    def _send_caller(self, address: bytes, data: bytes) -> None:
        target = unpack_address(address)
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._send_to_caller(data, target)
            return
        self._outbox.send_paced(
            split_datagram(data), lambda part: self._send_to_caller(part, target)
        )

    def fresh_token(self, service: str) -> bytes:
        """Seal a token that names the service's present dispatcher and standby.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        bytes
            The token.
        """
        hashed = service_hash(service)
        ranked = self.members.rank(hashed)
        owner = ranked[0].ref if ranked else NO_MEMBER
        standby = ranked[1].ref if len(ranked) > 1 else NO_MEMBER
        return seal_token(self.sealer, Token(hashed, owner, standby))

    # -- datagrams ----------------------------------------------------------------

    def _on_caller_datagram(self, data: bytes, source: Address) -> None:
        envelope = decode_envelope(data)
        kind = envelope.kind
        if kind in _FLOW_KINDS:
            forwarded = self.forwarder.to_backend(data, envelope, source)
            if kind == _CLOSE and forwarded:
                self.flow_desk.on_close(envelope)
            return
        if kind == Kind.REQUEST:
            self.requests.on_request(envelope, pack_address(source))
            return
        if kind == Kind.OPEN:
            self.flow_desk.on_open(envelope, pack_address(source))
            return
        if kind == Kind.CANCEL:
            self.requests.on_cancel(envelope)
            return
        if kind == Kind.MISSING:
            self.requests.on_missing(envelope)
            return
        if kind == Kind.HELLO:
            self._on_hello(envelope, source)
            return
        if kind == Kind.PROBE:
            self._on_probe(envelope, source)
            return
        raise DatagramError("unexpected kind")

    def _on_inner_datagram(self, data: bytes, source: Address) -> None:
        if data[:1] == PEER_PREFIX:
            self._on_peer(decode_peer(self.sealer, data))
            return

        envelope = decode_envelope(data)
        kind = envelope.kind
        if kind in _STREAM_REPLIES:
            label = self.forwarder.to_caller(data, envelope, source)
            if label is not None:
                self.flow_desk.on_reply(envelope, label)
            return
        if kind in (Kind.ANSWER, Kind.SHED):
            if self.requests.on_backend_reply(data, envelope, pack_address(source)):
                return
            self.flow_desk.on_shed(envelope, pack_address(source))
            return
        if kind == Kind.MISSING:
            self.requests.on_backend_missing(data, envelope)
            return
        if kind == Kind.ANNOUNCE:
            self.announcements.on_announce(envelope, pack_address(source))
            return
        raise DatagramError("unexpected kind")

    def _on_peer(self, peer: Peer) -> None:
        body = peer.WhichOneof("body")
        sender = MemberRef(peer.sender, peer.incarnation)
        if body == "ping":
            self.prober.on_ping(sender.address, peer.ping)
        elif body == "ack":
            self.prober.on_ack(peer.ack)
        elif body == "relay":
            self._on_relay(peer.relay)
        elif body == "claim":
            self.requests.claims.on_claim(sender, peer.claim)
        elif body == "claim_reply":
            self.requests.owner.claims.on_reply(peer.claim_reply)
        elif body == "verdict_note":
            self.requests.claims.on_verdict_note(peer.verdict_note)
        elif body == "flow_closed":
            closed = peer.flow_closed
            self.placer.on_closed(closed.service, closed.flow_id, closed.endpoint)
        elif body == "announcement":
            self.announcements.on_relayed(peer.announcement)

    def _on_relay(self, relay: Relay) -> None:
        envelope = decode_envelope(relay.datagram)
        if envelope.kind == Kind.OPEN:
            self.placer.on_open(envelope, relay.caller)
        elif envelope.kind == Kind.REQUEST:
            self.requests.on_relayed_request(envelope, relay.caller)
        elif envelope.kind == Kind.CANCEL:
            self.requests.on_relayed_cancel(envelope)
        elif envelope.kind == Kind.MISSING and envelope.return_label:
            self.requests.on_backend_missing(relay.datagram, envelope)
        elif envelope.kind == Kind.MISSING:
            self.requests.on_missing(envelope)
        elif envelope.kind in (Kind.ANSWER, Kind.SHED):
            if not self.requests.on_relayed_reply(envelope, relay.caller):
                self.flow_desk.on_shed(envelope, relay.caller)

    def _on_hello(self, envelope: Envelope, source: Address) -> None:
        welcome = Envelope(
            kind=Kind.WELCOME,
            service=envelope.service,
            flow_id=envelope.flow_id,
            token=self.fresh_token(envelope.service),
        )
        self._send_to_caller(welcome.SerializeToString(), source)

    def _on_probe(self, envelope: Envelope, source: Address) -> None:
        leaving = self.members.me.state == MemberState.LEAVING
        answer = Envelope(kind=Kind.PROBE_ACK, sequence=envelope.sequence)
        if leaving:
            answer.reason = Reason.DRAINING
        self._send_to_caller(answer.SerializeToString(), source)

    # -- changes ------------------------------------------------------------------

    def _on_endpoint_changed(self, endpoint: Endpoint) -> None:
        endpoint.drained = endpoint.announcement.endpoint_id in self.book.drained
        document = self.book.documents.get(endpoint.service)
        if document is not None:
            domain = endpoint.announcement.failure_domain
            endpoint.weight = document.domain_weights.get(domain, 1.0)
        self.forwarder.forget_routes()
        self.requests.pump(endpoint.service)

    def _on_endpoint_gone(self, endpoint: Endpoint) -> None:
        log.info(
            "backend server gone",
            endpoint=endpoint.announcement.endpoint_id,
            service=endpoint.service,
        )
        self.forwarder.forget_routes()
        self.requests.owner.on_endpoint_gone(endpoint)
        self.placer.on_endpoint_gone(endpoint)

    def _on_update(self) -> None:
        log.info("documents in force", index=self.book.index)
        for endpoint in self.endpoints.by_address.values():
            self._on_endpoint_changed(endpoint)
        self._follow_own_drain()

    def _follow_own_drain(self) -> None:
        drained = self.settings.name in self.book.drained
        state = self.members.me.state
        if drained and state == MemberState.ALIVE:
            self.members.change_me(state=MemberState.LEAVING)
            self.requests.refuse_waiting()
            self.prober.tell_all()
        elif not drained and state == MemberState.LEAVING and not self._stopping:
            self.members.change_me(state=MemberState.ALIVE)
            self.prober.tell_all()

    async def _greet(self, member: Member) -> None:
        # Again a little later: whoever heard of a backend server in between may not
        # have heard of the newcomer yet.
        self.announcements.tell_newcomer(member)
        await self.sleep(_SECOND_GREETING_S)
        self.announcements.tell_newcomer(member)

    def _on_member_changed(self, member: Member) -> None:
        if member.state == MemberState.ALIVE and member.ref not in self._greeted:
            self._greeted.add(member.ref)
            self.add_future(self._greet(member))
        elif member.state == MemberState.DEAD:
            self._greeted.discard(member.ref)
        now_s = self.timers.now_s()
        for service in self.endpoints.services():
            if not self.is_dispatcher(service):
                self._dispatched.discard(service)
            elif service not in self._dispatched:
                self._dispatched.add(service)
                for endpoint in self.endpoints.of_service(service):
                    endpoint.inherit(now_s)

    def is_dispatcher(self, service: str) -> bool:
        """Tell whether this instance dispatches for a service now.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        bool
            As this instance sees the fleet.
        """
        return self.members.is_dispatcher(service_hash(service))

    def _sweep(self) -> None:
        self.announcements.sweep()
        self.placer.expire_pending()
        self.requests.sweep()

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that read the instance's gauges.

        Returns
        -------
        dict of str to callable
            By name.
        """
        return {
            "flows_counted": lambda: len(self.flows),
            "operations_running": lambda: self.requests.running_count,
            "members_live": lambda: len(self.members.live()),
            "endpoints": lambda: len(self.endpoints.by_address),
            "documents_index": lambda: self.book.index,
        }

    def dump(self) -> dict:
        """Give the instance's whole state, bounded in size.

        Returns
        -------
        dict
            Ready for JSON.
        """
        return dump_entry(self)
