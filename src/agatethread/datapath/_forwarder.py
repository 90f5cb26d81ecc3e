"""Forwards packets, resets their flows or drops them.

A flow is reset if its run is unreachable, or has ended and leaves a request unanswered.
An opening is reset if it has no route, if no run can take it or if a dispatcher refuses
it. Packets are dropped if the instance lacks the state for them, if they go to a
service that their route does not allow, and, for openings, if a run will soon be warm,
or if they are copies; callers send them again.
"""

import random
from collections.abc import Callable

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._lost_flows import LostFlows
from agatethread.datapath._openings import (
    has_run_warm_soon,
    is_late_copy,
    log_placement,
    record_failed_tries,
)
from agatethread.datapath._packets import (
    Address,
    FlowKey,
    Packet,
    PacketCodec,
    make_caller_packet,
)
from agatethread.datapath._placing import choose_service, order_services, place_flow
from agatethread.datapath._resets import FlowResetter
from agatethread.datapath._shared_placing import SharedPlacing
from agatethread.datapath._sightings import SightingExchange
from agatethread.datapath._suspects import SuspectMonitor, find_suspects
from agatethread.observability import Counters, Event, make_logger
from agatethread.routing import (
    NO_ROUTES,
    OpenFlowOutcome,
    Route,
    RouteTable,
    decide_open_flow,
)
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import Sighting

log = make_logger("forwarder")


class LabelForwarder:
    """Forwards callers' packets.

    Parameters
    ----------
    codec : PacketCodec
        Wire format of the packets.
    view : BackendView
        Known runs.
    failure_domain : str
        Failure domain of this instance.
    send : callable
        Sends a datagram to an address; also gets its flow and sequence number.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts packets by outcome.
    flow_limit_count : int
        Maximum number of recorded flows.
    is_view_complete : callable
        Returns whether every reporting run is known.
    policies : Policies, optional
        Policies for placing and resetting flows.
    cold : ColdLimits, optional
        Limits for cold runs; gets the rates of each new routing table.
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
        is_view_complete: Callable[[], bool],
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
        self._resetter = FlowResetter(codec, send, now_s, counters)
        self._is_view_complete = is_view_complete
        self._policies = policies
        #: Set if openings are placed together with other instances.
        self.shared_placing: SharedPlacing | None = None
        self.loads = FlowLoads(flow_limit_count)
        self.sighting_exchange = SightingExchange(now_s)
        self.suspects = SuspectMonitor(view, policies, self.sighting_exchange)
        self._lost_flows = LostFlows(self.loads, self.suspects, now_s())
        self.table: RouteTable = NO_ROUTES

    def apply_table(self, table: RouteTable) -> None:
        """Apply a routing table unless it is older than the current one.

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

        The sender's address is not used, as the packet contains the caller's.

        Parameters
        ----------
        data : bytes
            The datagram.

        Raises
        ------
        DatagramError
            If the datagram is not a valid packet.
        """
        packet = self._codec.decode(data)
        self.tick()
        if packet.opens:
            self._on_opening(packet)
        else:
            self._on_packet(packet)

    def _on_opening(self, packet: Packet) -> None:
        if not self.table.version:
            self._drop(packet, "no_table")
            return
        now_s = self._now_s()
        flow = self.loads.get_flow(packet.key)
        if is_late_copy(flow, now_s) and self._is_allowed(packet, flow.backend):
            if flow.backend.ended:
                self._drop(packet, "late_copy")
                return
            # Another run would answer it too.
            log_placement(packet, flow.backend, (), now_s, self.table.version)
            self._forward(packet, flow.backend)
            self._counters["openings_late"] += 1
            return
        route = self.table.routes.get((packet.key.host, packet.key.port))
        if route is None:
            self._refuse_opening(packet, "no_route")
            return
        service, tried = record_failed_tries(flow, packet, route, now_s)
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
        """Place an opening by the flows that this instance has counted."""
        backend = place_flow(
            order_services(route.targets, service),
            self._view.runs_of_service,
            self._failure_domain,
            now_s,
            tried,
            self._policies,
            self._cold,
        )
        if backend is None:
            self._refuse_or_drop(packet, route, now_s)
            return
        log_placement(packet, backend, tried, now_s, self.table.version)
        backend.start_trial(now_s)
        self._cold.record_flow(backend, now_s)
        self.loads.record_opening(packet.key, backend, now_s)
        self._forward(packet, backend)
        self._counters["flows_placed"] += 1
        if packet.copy:
            self._counters["openings_again"] += 1

    def place_locally(self, packet: Packet) -> None:
        """Place an opening that no dispatcher can place.

        Only the flows that this instance has counted are considered.

        Parameters
        ----------
        packet : Packet
            The opening.
        """
        route = self.table.routes.get((packet.key.host, packet.key.port))
        if route is None:
            self._refuse_opening(packet, "no_route")
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
            Run that gets the opening.
        tried : tuple of Backend
            Runs that did not answer the opening.
        waited_s : float
            Time for which the caller has waited.
        """
        version = self.table.version
        log_placement(packet, backend, tried, self._now_s(), version, waited_s)
        self._forward(packet, backend)

    def refuse(self, packet: Packet, reason: str) -> None:
        """Refuse an opening with a reset, unless its flow is open.

        Parameters
        ----------
        packet : Packet
            The opening.
        reason : str
            Reason for logs and counters.
        """
        if is_late_copy(self.loads.get_flow(packet.key), self._now_s()):
            self._drop(packet, f"{reason}_for_copy")
        else:
            self._reset(packet, reason)

    def _refuse_or_drop(self, packet: Packet, route: Route, now_s: float) -> None:
        """Reset an opening without a run, or drop it if its next copy may get one."""
        if not self._is_view_complete():
            self._drop(packet, "no_backend_known")
            return
        if has_run_warm_soon(route, self._view.runs_of_service, self._cold, now_s):
            # After a reset the caller would retry within milliseconds, while the run is
            # still cold.
            self._drop(packet, "backends_cold")
        else:
            self._refuse_opening(packet, "no_backend")

    def _refuse_opening(self, packet: Packet, reason: str) -> None:
        """Reset an opening, or drop a copy, since the first may have been answered."""
        if packet.copy:
            self._drop(packet, f"{reason}_for_copy")
        else:
            self._reset(packet, reason)

    def _on_packet(self, packet: Packet) -> None:
        backend, now_s = self._view.get_by_label(packet.label), self._now_s()
        outcome = decide_open_flow(
            is_known=backend is not None,
            is_allowed=backend is not None and self._is_allowed(packet, backend),
            # Nothing shows it before a request is unanswered, see below.
            is_gone=False,
        )
        if outcome is OpenFlowOutcome.FORWARD:
            if self.shared_placing:
                self.shared_placing.record_relayed_flow(packet.key, backend, self.loads)
            self.loads.record_packet(packet, backend, now_s)
            if self.shared_placing:
                self._report_relayed_packet(packet.key)
            if self._should_reset_request(packet, backend, now_s):
                self._reset_request(packet, backend)
                return
            self._forward(packet, backend)
        else:
            self._drop(packet, outcome.value)

    def _reset_request(self, packet: Packet, backend: Backend) -> None:
        flow = self.loads.get_flow(packet.key)
        asked_s = flow.asked_s if flow is not None else None
        self._resetter.reset_flow(
            packet,
            "backend_ended" if backend.ended else "backend_unreachable",
            backend,
            None,
            self.table.version,
            asked_s,
        )
        self.loads.delete_flow(packet.key)

    def _report_relayed_packet(self, key: FlowKey) -> None:
        """Report the state of a flow; one without a record counts as over."""
        flow = self.loads.get_flow(key)
        is_busy = flow is not None and flow.busy
        self.shared_placing.on_packet(key, is_busy, is_over=flow is None)

    def _should_reset_request(
        self, packet: Packet, backend: Backend, now_s: float
    ) -> bool:
        """Return whether to reset the flow of a request, so that its caller retries it.

        Only on idempotent routes; on others the caller waits for a late answer.
        """
        if not packet.payload_bytes or packet.closes:
            return False
        route = self.table.routes[packet.key.host, packet.key.port]
        if not route.idempotent:
            return False
        return self._lost_flows.should_reset_request(packet.key, backend, now_s)

    def reset_flows_of_lost_runs(self) -> None:
        """Reset the open flows of runs that are unreachable.

        Called several times a second, so that an idle flow is reset before its caller
        sends the next request on it.
        """
        lost = self._lost_flows.find_at_unreachable_runs(
            self._find_suspects(), self.table, self._now_s()
        )
        if not self._policies.resets_idle_flows:
            return
        for key, flow in lost:
            self.loads.delete_flow(key)
            packet = make_caller_packet(key, flow.backend.label, flow.acknowledged)
            self._resetter.reset_flow(
                packet,
                "backend_unreachable",
                flow.backend,
                flow,
                self.table.version,
            )

    def sightings(self) -> list[Sighting]:
        """Return the sightings for other entry instances; see `_sightings`.

        Returns
        -------
        list of Sighting
            Usually empty.
        """
        return self.sighting_exchange.make_sightings(self._find_suspects())

    def _find_suspects(self) -> set[Backend]:
        return find_suspects(self.loads, self._view, self.sighting_exchange)

    def tick(self) -> None:
        """Detect a suspension of the process; called by timers and per datagram."""
        self._lost_flows.tick(self._now_s())

    def _is_allowed(self, packet: Packet, backend: Backend) -> bool:
        route = self.table.routes.get((packet.key.host, packet.key.port))
        return route is not None and backend.service in route.services

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
        self._resetter.refuse_opening(packet, reason, self.table.version)
