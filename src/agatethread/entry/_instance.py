"""Entry instance: sockets, periodic tasks, and the handlers of datagrams."""

import secrets
import time
from collections.abc import Callable
from socket import socket

from mode import Service

from agatethread.entry._announcements import AnnouncementHandler
from agatethread.entry._datagrams import DatagramRouter
from agatethread.entry._documents import DocumentStore, DocumentWatcher
from agatethread.entry._dump import dump_entry
from agatethread.entry._flows import FlowRouter
from agatethread.entry._forwarding import FlowForwarder
from agatethread.entry._gone_endpoints import GoneEndpoints
from agatethread.entry._member_updates import MemberUpdates
from agatethread.entry._placement import FlowPlacer
from agatethread.entry._requests import RequestRouter
from agatethread.membership import Member, MemberTable, Prober
from agatethread.observability import Counters, make_logger
from agatethread.operations import InstanceCallbacks
from agatethread.routing import Endpoint, EndpointTable, FlowTable
from agatethread.settings import EntrySettings, Settings, parse_address
from agatethread.sockets import (
    DatagramHandler,
    close_socket,
    make_reader,
    make_sender,
    open_socket,
    start_reading,
)
from agatethread.timing import TimerService
from agatethread.transfer import FragmentSender, split_datagram
from agatethread.wire import (
    MAX_DATAGRAM_BYTES,
    NO_MEMBER,
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
_STATE_REPAIR_INTERVAL_S = 1.0
#: Time for probes of the network fabric and for gossip to detect that this one leaves.
_LEAVE_PROPAGATION_S = 1.0
_STOP_POLL_S = 0.05

log = make_logger("entry")


class EntryInstance(Service):
    """Entry instance that serves callers and backend servers.

    Parameters
    ----------
    settings : Settings
        Settings of the process, including the entry role.
    counters : Counters
        Counters of the process.
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
        self._send_on_caller_socket = make_sender(self._caller_socket, counters)
        self._send_on_inner_socket = make_sender(self._inner_socket, counters)
        self._build_state(entry)
        self._build_cluster_state_handlers(entry)
        self._build_flow_handlers()
        self._build_request_handlers(entry)
        self._datagram_router = DatagramRouter(
            self.sealer,
            self.members,
            self.prober,
            self.announcements,
            self.forwarder,
            self.placer,
            self.flow_router,
            self.requests,
            self.gone_endpoints,
            self._send_on_caller_socket,
            self.fresh_token,
        )

    def _build_state(self, entry: EntrySettings) -> None:
        own_member = Member(
            name=self.settings.name,
            failure_domain=self.settings.failure_domain,
            address=pack_address(parse_address(entry.inner_advertised or entry.inner)),
            # Microseconds, so that later starts are higher, and random bits for ties.
            incarnation=time.time_ns() // 1_000 << 8 | secrets.randbits(8),
            joining=bool(entry.warm_up_s),
        )
        self.members = MemberTable(own_member)
        self.endpoints = EndpointTable()
        self.flows = FlowTable(entry.flow_limit_count)
        self.document_store = DocumentStore()
        self._is_stopping = False
        self._outbox = FragmentSender()

    def _build_cluster_state_handlers(self, entry: EntrySettings) -> None:
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
            DocumentWatcher(
                self.settings,
                self.document_store,
                self._on_documents_changed,
                self.counters,
            )
        )
        self.announcements = AnnouncementHandler(
            entry,
            self.members,
            self.endpoints,
            self.send_peer,
            self._send_backend,
            self.timers.now_s,
            self._on_endpoint_changed,
            self._on_endpoint_told_gone,
            self._on_endpoint_exited,
            self.counters,
        )
        updates = MemberUpdates(
            self.announcements,
            self.endpoints,
            self.is_dispatcher,
            self.add_future,
            self.timers.now_s,
        )
        self.members.subscribe(updates.on_changed)

    def _build_flow_handlers(self) -> None:
        self.gone_endpoints = GoneEndpoints(
            self.members.has_live_member,
            self._send_backend,
            self.timers.now_s,
            self._on_endpoint_exited,
            self.counters,
        )
        self.forwarder = FlowForwarder(
            self.sealer,
            self.endpoints,
            self.gone_endpoints.ask,
            self._send_on_inner_socket,
            self._send_on_caller_socket,
            self.counters,
        )
        self.placer = FlowPlacer(
            self.sealer,
            self.endpoints,
            self.flows,
            self.document_store.documents.get,
            self._send_backend,
            self._send_caller,
            self.timers.now_s,
            self.counters,
        )
        self.flow_router = FlowRouter(
            self.members, self.placer, self.send_peer, self.counters
        )

    def _build_request_handlers(self, entry: EntrySettings) -> None:
        callbacks = InstanceCallbacks(
            now_s=self.timers.now_s,
            own_member=lambda: self.members.own_member.ref,
            is_alive=self.members.is_alive,
            send_peer=self.send_peer,
            send_backend=self._send_backend,
            send_caller=self._send_caller,
            fresh_token=self.fresh_token,
        )
        self.requests = RequestRouter(
            entry,
            callbacks,
            self.sealer,
            self.members,
            self.endpoints,
            self.document_store,
            self.add_future,
            self.counters,
        )

    async def on_start(self) -> None:
        """Register the sockets, and start the timers and the warm-up."""
        self._read_from(self._caller_socket, self._datagram_router.on_caller_datagram)
        self._read_from(self._inner_socket, self._datagram_router.on_inner_datagram)
        self.timers.subscribe(_SWEEP_INTERVAL_S, self._sweep)
        self.timers.subscribe(
            _STATE_REPAIR_INTERVAL_S, self.announcements.send_random_announcement
        )
        self.add_future(self._warm_up())
        log.info("entry instance started", listen=self.settings.entry.listen)

    def _read_from(self, sock: socket, handler: DatagramHandler) -> None:
        start_reading(sock, make_reader(sock, handler, self.counters))

    async def _warm_up(self) -> None:
        # Gives backend servers time to announce themselves before this instance
        # becomes a dispatcher.
        await self.sleep(self.settings.entry.warm_up_s)
        if self.members.own_member.joining:
            self.members.update_own_member(joining=False)

    async def leave(self) -> None:
        """Refuse queued requests and wait a limited time for running operations."""
        log.info("leaving", operations=self.requests.running_count)
        self._is_stopping = True
        self.members.update_own_member(state=MemberState.LEAVING)
        self.requests.refuse_queued()
        self.prober.send_own_state()

        started_s = self.timers.now_s()
        deadline_s = started_s + max(
            _LEAVE_PROPAGATION_S, self.settings.entry.stop_limit_s
        )
        earliest_end_s = started_s + _LEAVE_PROPAGATION_S
        while self.timers.now_s() < deadline_s:
            if (
                not self.requests.running_count
                and self.timers.now_s() >= earliest_end_s
            ):
                break
            await self.sleep(_STOP_POLL_S)
        log.info("left", operations=self.requests.running_count)

    async def on_stop(self) -> None:
        """Close the sockets."""
        close_socket(self._caller_socket)
        close_socket(self._inner_socket)

    def send_peer(self, address: bytes, peer: Peer) -> None:
        """Send a sealed message to another entry instance.

        Parameters
        ----------
        address : bytes
            Packed inner address of the instance.
        peer : Peer
            Message to send.
        """
        peer.sender = self.members.own_member.address
        peer.incarnation = self.members.own_member.incarnation
        data = encode_peer(self.sealer, peer)
        self.counters["peer_bytes_sent"] += len(data)
        self._send_on_inner_socket(data, unpack_address(address))

    def _send_backend(self, address: bytes, data: bytes) -> None:
        self._send_on_inner_socket(data, unpack_address(address))

    def _send_caller(self, address: bytes, data: bytes) -> None:
        target = unpack_address(address)
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._send_on_caller_socket(data, target)
            return
        self._outbox.send_paced(
            split_datagram(data),
            lambda fragment: self._send_on_caller_socket(fragment, target),
        )

    def fresh_token(self, service: str) -> bytes:
        """Return a sealed token with the current dispatcher and standby of a service.

        Parameters
        ----------
        service : str
            Service name.

        Returns
        -------
        bytes
            Sealed token.
        """
        # The dispatcher becomes the owner of operations with this token.
        hashed_service = service_hash(service)
        ranked = self.members.rank(hashed_service)
        owner = ranked[0].ref if ranked else NO_MEMBER
        standby = ranked[1].ref if len(ranked) > 1 else NO_MEMBER
        return seal_token(self.sealer, Token(hashed_service, owner, standby))

    def _on_endpoint_changed(self, endpoint: Endpoint) -> None:
        domain = endpoint.announcement.failure_domain
        endpoint.drained = self.document_store.is_drained_or_evacuated(
            endpoint.announcement.endpoint_id, domain
        )
        document = self.document_store.documents.get(endpoint.service)
        if document is not None:
            endpoint.weight = document.domain_weights.get(domain, 1.0)
        self.forwarder.clear_routes()
        self.requests.grant_waiting(endpoint.service)

    def _on_endpoint_told_gone(self, endpoint: Endpoint) -> None:
        log.info(
            "backend server told to be gone",
            endpoint=endpoint.announcement.endpoint_id,
            service=endpoint.service,
        )
        has_claim = self.requests.standby_claims.has_claim_at(endpoint.address)
        if endpoint.streams or endpoint.in_flight or has_claim:
            self.gone_endpoints.ask(endpoint)

    def _on_endpoint_exited(self, endpoint: Endpoint) -> None:
        log.info(
            "backend server gone",
            endpoint=endpoint.announcement.endpoint_id,
            service=endpoint.service,
        )
        self.forwarder.clear_routes()
        self.requests.owner.on_endpoint_gone(endpoint)
        self.placer.on_endpoint_gone(endpoint)

    def _on_documents_changed(self) -> None:
        count = len(self.document_store.documents)
        log.info(
            "service documents applied", index=self.document_store.index, services=count
        )
        for endpoint in self.endpoints.by_address.values():
            self._on_endpoint_changed(endpoint)
        self._apply_own_drain()

    def _apply_own_drain(self) -> None:
        drained = self.settings.name in self.document_store.drained
        state = self.members.own_member.state
        if drained and state == MemberState.ALIVE:
            self.members.update_own_member(state=MemberState.LEAVING)
            self.requests.refuse_queued()
            self.prober.send_own_state()
        elif not drained and state == MemberState.LEAVING and not self._is_stopping:
            self.members.update_own_member(state=MemberState.ALIVE)
            self.prober.send_own_state()

    def is_dispatcher(self, service: str) -> bool:
        """Return whether this instance is the dispatcher of a service.

        Parameters
        ----------
        service : str
            Service name.

        Returns
        -------
        bool
            True if it is first in the ranking by its own member table.
        """
        return self.members.is_dispatcher(service_hash(service))

    def _sweep(self) -> None:
        self.announcements.sweep()
        self.gone_endpoints.tick()
        self.placer.expire_pending()
        self.requests.sweep()

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the functions that read the gauges of the instance.

        Returns
        -------
        dict of str to callable
            Functions by the name of the gauge.
        """
        return {
            "flows_counted": lambda: len(self.flows),
            "operations_running": lambda: self.requests.running_count,
            "members_live": lambda: len(self.members.list_live()),
            "endpoints": lambda: len(self.endpoints.by_address),
            "documents_index": lambda: self.document_store.index,
        }

    def dump(self) -> dict:
        """Return the state of the instance, limited in size.

        Returns
        -------
        dict
            JSON data.
        """
        return dump_entry(self)
