"""Decides for each packet: forward it, reset its flow, or drop it.

A reset is sent only on knowledge: the run has ended or answers nobody, or no run can
take a new flow. Of what this instance does not know it says nothing; the caller sends
its packet again, and by then it may be known.
"""

import random
from collections.abc import Callable

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._flows import Flow, FlowLoads
from agatethread.datapath._openings import is_warm_soon, judge_earlier, log_placed
from agatethread.datapath._packets import (
    Address,
    FlowKey,
    Packet,
    PacketCodec,
    caller_packet,
)
from agatethread.datapath._placing import choose_service, order_services, place_flow
from agatethread.datapath._shared_placing import SharedPlacing
from agatethread.datapath._sightings import SharedSilence
from agatethread.datapath._silence import ends_with_its_run
from agatethread.datapath._suspects import find_suspects, judge_suspect
from agatethread.observability import Counters, Event, make_logger
from agatethread.routing import (
    NO_ROUTES,
    OpenFlowOutcome,
    Route,
    RouteTable,
    judge_open_flow,
)
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import Sighting

#: A pause in which this instance can't have run: its timers call it each 0.2 s.
_PAUSE_S = 1.0

log = make_logger("forwarder")


class LabelForwarder:
    """Forwards callers' packets.

    Parameters
    ----------
    codec : PacketCodec
        The packets' wire format.
    view : BackendView
        Known backend servers.
    failure_domain : str
        Of this instance.
    send : callable
        Sends a datagram to an address; also gets its flow and place in it.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts packets by what was done with them.
    flow_limit_count : int
        Most flows whose load is counted.
    knows_all : callable
        Tells whether every backend server that reports is known here.
    policies : Policies, optional
        How flows are placed and ended.
    cold : ColdLimits, optional
        What cold backend servers get.
    """

    def __init__(
        self,
        codec: PacketCodec,
        view: BackendView,
        failure_domain: str,
        send: Callable[[bytes, Address, FlowKey, int], None],
        now_s: Callable[[], float],
        counters: Counters,
        flow_limit_count: int,
        knows_all: Callable[[], bool],
        policies: Policies = DEFAULT_POLICIES,
        cold: ColdLimits | None = None,
    ):
        self._cold = cold or ColdLimits()
        self._codec = codec
        self._view = view
        self._failure_domain = failure_domain
        self._send = send
        self._now_s = now_s
        self._counters = counters
        self._knows_all = knows_all
        self._policies = policies
        self._ticked_s = now_s()
        self._awake_since_s = now_s()
        #: Set where openings are placed together with other instances.
        self.shared_placing: SharedPlacing | None = None
        self.loads = FlowLoads(flow_limit_count)
        self.shared = SharedSilence(now_s)
        self.table: RouteTable = NO_ROUTES

    def take_table(self, table: RouteTable) -> None:
        """Put a routing table in force, unless a newer one is.

        Parameters
        ----------
        table : RouteTable
            The table.
        """
        if table.version <= self.table.version:
            return
        log.info(
            Event.TABLE_IN_FORCE,
            version=table.version,
            version_before=self.table.version,
            routes=len(table.routes),
        )
        self.table = table
        if self._policies.spares_cold_backends:
            self._cold.rates_per_s = table.cold_rates_per_s

    def on_datagram(self, data: bytes, _: Address) -> None:
        """Handle one datagram of a caller.

        Parameters
        ----------
        data : bytes
            The datagram.

        Raises
        ------
        DatagramError
            If it is no packet.
        """
        packet = self._codec.decode(data)
        self.tick()
        if packet.opens:
            self._on_opening(packet)
        else:
            self._on_packet(packet)

    # -- openings -----------------------------------------------------------------

    def _on_opening(self, packet: Packet) -> None:
        if not self.table.version:
            self._drop(packet, "no_table")
            return
        route = self.table.routes.get((packet.key.host, packet.key.port))
        if route is None:
            self._reset(packet, "no_route")
            return

        now_s = self._now_s()
        flow = self.loads.find(packet.key)
        service, tried = judge_earlier(flow, packet, route, now_s)
        service = service or choose_service(route.targets, random.random)
        if self.shared_placing and not tried:
            if self.shared_placing.relay(packet, service):
                return
        self._place(packet, route, service, tried, now_s)

    def _place(
        self,
        packet: Packet,
        route: Route,
        service: str,
        tried: tuple[Backend, ...],
        now_s: float,
    ) -> None:
        """Place an opening by this instance's own counts."""
        backend = place_flow(
            order_services(route.targets, service),
            self._view.of_service,
            self._failure_domain,
            now_s,
            tried,
            self._policies,
            self._cold,
        )
        if backend is None:
            self._answer_unplaced(packet, route, now_s)
            return
        log_placed(packet, backend, tried, now_s, self.table.version)
        backend.start_trial(now_s)
        self._cold.note(backend, now_s)
        self.loads.open(packet.key, backend, now_s)
        self._forward(packet, backend)
        self._counters["flows_placed"] += 1
        if packet.copy:
            self._counters["openings_again"] += 1

    def place_here(self, packet: Packet) -> None:
        """Place an opening that nobody else takes, by this instance's own counts.

        Parameters
        ----------
        packet : Packet
            The opening.
        """
        route = self.table.routes.get((packet.key.host, packet.key.port))
        if route is None:
            self._reset(packet, "no_route")
            return
        service = choose_service(route.targets, random.random)
        self._place(packet, route, service, (), self._now_s())

    def forward_opening(
        self,
        packet: Packet,
        backend: Backend,
        tried: tuple[Backend, ...],
        waited_s: float,
    ) -> None:
        """Forward an opening that this instance placed as a dispatcher.

        Parameters
        ----------
        packet : Packet
            The opening.
        backend : Backend
            Where it goes.
        tried : tuple of Backend
            Runs that got it before and did not answer.
        waited_s : float
            How long its caller has waited.
        """
        version = self.table.version
        log_placed(packet, backend, tried, self._now_s(), version, waited_s)
        self._forward(packet, backend)

    def refuse(self, packet: Packet, reason: str) -> None:
        """Tell a caller that its flow is not taken on.

        Parameters
        ----------
        packet : Packet
            Its opening.
        reason : str
            For logs and counters.
        """
        self._reset(packet, reason)

    def _answer_unplaced(self, packet: Packet, route: Route, now_s: float) -> None:
        """Refuse an opening that nobody will take in time; leave others to copies."""
        if not self._knows_all():
            self._drop(packet, "no_backend_known")
            return
        if is_warm_soon(route, self._view.of_service, self._cold, now_s):
            # Refused it would come back within milliseconds, and be refused again.
            self._drop(packet, "backends_cold")
        else:
            self._reset(packet, "no_backend")

    # -- packets of open flows ----------------------------------------------------

    def _on_packet(self, packet: Packet) -> None:
        backend = self._view.find(packet.label)
        outcome = judge_open_flow(
            is_known=backend is not None,
            is_allowed=backend is not None and self._allows(packet, backend),
            has_ended=backend is not None and backend.ended,
        )
        if outcome is OpenFlowOutcome.FORWARD:
            if self.shared_placing:
                self.shared_placing.adopt(packet.key, backend, self.loads)
            self.loads.note(packet, backend, self._now_s())
            if self.shared_placing:
                self._note_relayed(packet.key)
            if self._ends_flow(packet, backend):
                self.loads.forget(packet.key)
                self._reset(packet, "backend_unreachable")
                return
            self._forward(packet, backend)
        elif outcome is OpenFlowOutcome.RESET:
            self._reset(packet, outcome.value)
        else:
            self._drop(packet, outcome.value)

    def _note_relayed(self, key: FlowKey) -> None:
        flow = self.loads.find(key)
        is_over = flow is None
        self.shared_placing.note_packet(key, not is_over and flow.busy, is_over)

    def _ends_flow(self, packet: Packet, backend: Backend) -> bool:
        """Decide whether a request is better sent again on another flow.

        Only where callers may do so; elsewhere an answer may still come, if late.
        """
        if not packet.payload_bytes or packet.closes:
            return False
        route = self.table.routes[packet.key.host, packet.key.port]
        if not route.idempotent:
            return False
        return backend.is_gone(self._now_s())

    def end_flows_of_lost_runs(self) -> None:
        """Find the runs that are gone, and tell the callers of their open flows.

        To be called several times a second: what is told before a caller's next request
        costs nothing, and later a request.
        """
        now_s = self._now_s()
        lost = self._view.take_newly_ended()
        for backend in self._suspects():
            if not backend.is_gone(now_s) and judge_suspect(
                backend,
                self._view,
                self.shared,
                now_s,
                self._awake_since_s,
                self._policies,
            ):
                lost.append(backend)
        if not lost or not self._policies.resets_idle_flows:
            return
        for key, flow in self.loads.of_runs(lost):
            self._end_flow(key, flow)

    def _end_flow(self, key: FlowKey, flow: Flow) -> None:
        route = self.table.routes.get((key.host, key.port))
        is_idempotent = route is not None and route.idempotent
        has_ended = flow.backend.ended
        if ends_with_its_run(flow.busy, is_idempotent, has_ended):
            self.loads.forget(key)
            reason = "backend_ended" if has_ended else "backend_unreachable"
            packet = caller_packet(key, flow.backend.label, flow.acknowledged)
            self._reset(packet, reason)

    def sightings(self) -> list[Sighting]:
        """List what other entry instances should know of silent runs.

        Returns
        -------
        list of Sighting
            Mostly empty.
        """
        return self.shared.observe(self._suspects())

    def _suspects(self) -> set[Backend]:
        return find_suspects(self.loads, self._view, self.shared)

    def tick(self) -> None:
        """Note that this instance runs; to be called several times a second."""
        now_s = self._now_s()
        if now_s - self._ticked_s > _PAUSE_S:
            # What was not answered meanwhile says nothing about the backend servers.
            self._awake_since_s = now_s
        self._ticked_s = now_s

    def _allows(self, packet: Packet, backend: Backend) -> bool:
        route = self.table.routes.get((packet.key.host, packet.key.port))
        return route is not None and backend.service in route.services

    # -- outcomes -----------------------------------------------------------------

    def _forward(self, packet: Packet, backend: Backend) -> None:
        data = self._codec.encode_for_backend(packet, backend.label, backend.number)
        self._send(data, backend.address, packet.key, packet.sequence)
        self._counters["forwarded"] += 1
        if backend.failure_domain != self._failure_domain:
            self._counters["forwarded_away"] += 1
            self._counters["forwarded_bytes_away"] += len(data)

    def _drop(self, packet: Packet, reason: str) -> None:
        self._counters[f"dropped_{reason}"] += 1
        log.info(
            Event.PACKET_DROPPED,
            why=reason,
            flow=str(packet.key),
            label=packet.label,
            table_version=self.table.version,
        )

    def _reset(self, packet: Packet, reason: str) -> None:
        if packet.resets:
            return
        self._counters[f"reset_{reason}"] += 1
        log.info(
            Event.FLOW_RESET,
            why=reason,
            flow=str(packet.key),
            label=packet.label,
            table_version=self.table.version,
        )
        data, target = (
            self._codec.encode_reset(packet),
            self._codec.caller_address(packet),
        )
        self._send(data, target, packet.key, packet.sequence)
