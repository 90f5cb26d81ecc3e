"""An entry instance: its sockets, its tasks, and who handles which datagram."""

import secrets
import time
from collections.abc import Callable
from socket import socket

from mode import Service

from agatethread.entry._announcements import AnnouncementDesk
from agatethread.entry._datagrams import DatagramDesk
from agatethread.entry._documents import DocumentBook, DocumentWatcher
from agatethread.entry._dump import dump_entry
from agatethread.entry._flows import FlowDesk
from agatethread.entry._forwarding import Forwarder
from agatethread.entry._placement import FlowPlacer
from agatethread.entry._requests import RequestDesk
from agatethread.membership import Member, MemberTable, Prober
from agatethread.observability import Counters, make_logger
from agatethread.operations import InstanceCallbacks
from agatethread.routing import Endpoint, EndpointTable, FlowTable
from agatethread.settings import EntrySettings, Settings, parse_address
from agatethread.sockets import (
    Handler,
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
    MemberRef,
    MemberState,
    Peer,
    Token,
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
        self._datagrams = DatagramDesk(
            self.sealer,
            self.members,
            self.prober,
            self.announcements,
            self.forwarder,
            self.placer,
            self.flow_desk,
            self.requests,
            self._send_to_caller,
            self.fresh_token,
        )

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
        ports = InstanceCallbacks(
            now_s=self.timers.now_s,
            own_member=lambda: self.members.me.ref,
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
        self._read(self._caller_socket, self._datagrams.on_caller_datagram)
        self._read(self._inner_socket, self._datagrams.on_inner_datagram)
        self.timers.subscribe(_SWEEP_INTERVAL_S, self._sweep)
        self.timers.subscribe(_REPAIR_INTERVAL_S, self.announcements.repair)
        self.add_future(self._warm_up())
        log.info("entry instance started", listen=self.settings.entry.listen)

    def _read(self, opened: socket, handler: Handler) -> None:
        start_reading(opened, drain_into(opened, handler, self.counters))

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

    # -- changes ------------------------------------------------------------------

    def _on_endpoint_changed(self, endpoint: Endpoint) -> None:
        domain = endpoint.announcement.failure_domain
        endpoint.drained = self.book.takes_no_work(
            endpoint.announcement.endpoint_id, domain
        )
        document = self.book.documents.get(endpoint.service)
        if document is not None:
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
        count = len(self.book.documents)
        log.info("documents in force", index=self.book.index, services=count)
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
                    endpoint.inherit_reported_load(now_s)

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
