"""Relays callers' openings to the dispatchers of this instance's failure domain.

Handles many callers that compete for few slots through many entry instances. Under
pressure an instance relays openings to dispatchers, or places them if it is one itself;
answers and later packets of a flow do not pass the dispatcher. The caller's next packet
shows that the opening was placed, and the end of its request is reported to the
dispatcher. If a dispatcher fails, the caller's next copy goes to another one.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf

from agatethread.balancing import PressureGauge
from agatethread.datapath._backend import Backend
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._packets import FlowKey, Packet, pack_flow
from agatethread.observability import Counters, Event, make_logger
from agatethread.wire.registry_pb2 import (
    RegistryMessage,
    RelayedOpening,
    WorkEnded,
)

#: Lost openings after which a dispatcher is suspected; more than one, since a message
#: may be lost.
_MISSES_BEFORE_SUSPICION = 2
#: Time for which a suspected dispatcher is avoided; control instances replace one that
#: has failed within a second.
_SUSPICION_S = 2.0
#: Retention of a relayed flow after its latest opening; longer than that of its place.
_RETENTION_S = 5.0
#: Time after the latest copy in which a relayed opening counts as unplaced; longer than
#: the interval between copies, 0.2 and then 0.4 s. Refused callers send no copy.
_UNPLACED_WINDOW_S = 0.45
#: Age up to which a repeated packet is a duplicate; callers reuse ports later.
_DUPLICATE_WINDOW_S = 0.15
#: Limit of stored flows; more than are relayed in the retention time under overload.
_MAX_FLOWS = 20_000

log = make_logger("relay")


@dataclass(slots=True)
class _RelayedFlow:
    dispatcher: bytes
    service: str
    first_sent_s: float
    last_sent_s: float
    #: Whether a packet of the flow has shown its placement.
    is_placed: bool = False
    #: Whether a request waited for its answer at the latest packet.
    is_busy: bool = False
    #: Whether it is included in the unplaced openings of its service.
    is_counted_unplaced: bool = False


class OpeningRelay:
    """Relays openings, and reports their ends to dispatchers.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    groups : ServerGroups
        The dispatchers and their servers.
    runs_of : callable
        Returns a service's runs.
    send : callable
        Sends a registry message to a packed address, also to this instance itself.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts relayed and returned openings.
    """

    def __init__(
        self,
        own_address: bytes,
        groups: ServerGroups,
        runs_of: Callable[[str], Sequence[Backend]],
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._own_address = own_address
        self._groups = groups
        self._runs_of = runs_of
        self._send = send
        self._now_s = now_s
        self._counters = counters
        self._gauge = PressureGauge()
        self._flows: dict[FlowKey, _RelayedFlow] = {}
        #: Unplaced openings by service, and the recently sent ones, the oldest first.
        self._unplaced_counts: dict[str, int] = {}
        self._recently_sent: deque[tuple[float, _RelayedFlow]] = deque()
        #: Latest time at which each dispatcher is known to have been alive.
        self._last_alive_s: dict[bytes, float] = {}
        #: By suspected dispatcher: time of the lost opening, and end of the suspicion.
        self._suspicions_s: dict[bytes, tuple[float, float]] = {}
        #: Lost openings of each dispatcher since its latest sign of life.
        self._misses: Counter[bytes] = Counter()
        self._services_under_pressure: set[str] = set()
        self._resumed_s = now_s()

    def __len__(self) -> int:
        return len(self._flows)

    def relay(self, packet: Packet, service: str, table_version: int) -> bool:
        """Relay an opening to a dispatcher if its service is under pressure.

        Parameters
        ----------
        packet : Packet
            The opening.
        service : str
            The chosen service.
        table_version : int
            Version of the routing table that names the service.

        Returns
        -------
        bool
            False if this instance has to place it.
        """
        now_s = self._now_s()
        flow = self._flows.get(packet.key)
        if flow is not None and not packet.copy:
            if now_s - flow.first_sent_s < _DUPLICATE_WINDOW_S:
                return True
            # The port is reused for another flow.
            self._delete(packet.key)
            flow = None
        if flow is None and (
            packet.copy or not self._is_under_pressure(service, now_s)
        ):
            return False
        if flow is not None and self._detect_loss(packet, flow, now_s):
            flow = self._reassign(packet.key, flow, now_s)
        elif flow is None:
            flow = self._add(packet.key, service, now_s)
        if flow is None:
            return False
        flow.last_sent_s = now_s
        self._count_unplaced(flow)
        # A copy keeps the service that was drawn for its opening.
        self._send_opening(packet, flow, table_version)
        return True

    def _add(self, key: FlowKey, service: str, now_s: float) -> _RelayedFlow | None:
        dispatcher = self._choose_dispatcher(service, now_s)
        if dispatcher is None or len(self._flows) >= _MAX_FLOWS:
            return None
        flow = self._flows[key] = _RelayedFlow(dispatcher, service, now_s, now_s)
        return flow

    def _reassign(
        self, key: FlowKey, flow: _RelayedFlow, now_s: float
    ) -> _RelayedFlow | None:
        """Assign a lost opening to another dispatcher."""
        self._send_end(key, flow.dispatcher)
        dispatcher = self._choose_dispatcher(flow.service, now_s, flow.dispatcher)
        if dispatcher is None:
            self._delete(key)
            return None
        flow.dispatcher = dispatcher
        return flow

    def _detect_loss(self, packet: Packet, flow: _RelayedFlow, now_s: float) -> bool:
        """Return whether an opening whose copy arrived was lost, and count the loss."""
        if flow.dispatcher == self._own_address:
            return False
        if self._last_alive_s.get(flow.dispatcher, 0.0) >= flow.last_sent_s:
            return False
        if flow.last_sent_s < self._resumed_s:
            # The dispatcher's sign of life may have arrived during a pause.
            return False
        misses = self._misses[flow.dispatcher] = self._misses[flow.dispatcher] + 1
        if misses >= _MISSES_BEFORE_SUSPICION:
            self._suspect(packet, flow, now_s)
        return True

    def _suspect(self, packet: Packet, flow: _RelayedFlow, now_s: float) -> None:
        suspicion_s = (flow.last_sent_s, now_s + _SUSPICION_S)
        self._suspicions_s[flow.dispatcher] = suspicion_s
        self._counters["dispatchers_silent"] += 1
        log.warning(
            Event.DISPATCHER_SILENT,
            dispatcher=flow.dispatcher.hex(),
            flow=str(packet.key),
            waited_s=round(now_s - flow.first_sent_s, 3),
        )

    def _choose_dispatcher(
        self, service: str, now_s: float, excluded: bytes = b""
    ) -> bytes | None:
        """Return this instance itself, else a dispatcher drawn by its slots.

        This instance itself needs no message. Suspected dispatchers are left out if
        more than half of all remain; otherwise None is returned, and this instance
        places by its own counts.
        """
        slots = self._groups.count_slots(service)
        if self._own_address in slots:
            return self._own_address
        trusted = {
            dispatcher: count
            for dispatcher, count in slots.items()
            if dispatcher != excluded and not self._is_suspected(dispatcher, now_s)
        }
        if 2 * len(trusted) <= len(slots):
            return None
        return random.choices(list(trusted), list(trusted.values()))[0]

    def _is_suspected(self, dispatcher: bytes, now_s: float) -> bool:
        _, until_s = self._suspicions_s.get(dispatcher, (now_s, now_s))
        return until_s > now_s

    def _send_opening(
        self, packet: Packet, flow: _RelayedFlow, table_version: int
    ) -> None:
        waited_s = self._now_s() - flow.first_sent_s
        opening = RelayedOpening(
            packet=packet.data,
            service=flow.service,
            table_version=table_version,
            waited_ms=round(1000 * waited_s),
        )
        if flow.dispatcher != self._own_address:
            self._log_relayed(packet, flow, waited_s, table_version)
        self._send(RegistryMessage(relayed=opening), flow.dispatcher)

    def _log_relayed(
        self, packet: Packet, flow: _RelayedFlow, waited_s: float, table_version: int
    ) -> None:
        self._counters["openings_relayed"] += 1
        log.info(
            Event.OPENING_RELAYED,
            flow=str(packet.key),
            copy=packet.copy,
            service=flow.service,
            dispatcher=flow.dispatcher.hex(),
            waited_s=round(waited_s, 3),
            table_version=table_version,
        )

    def _is_under_pressure(self, service: str, now_s: float) -> bool:
        """Update the pressure of a service; return whether its openings are relayed."""
        self._uncount_outdated(now_s)
        in_flight_count = sum(run.in_flight for run in self._runs_of(service))
        is_under_pressure = self._gauge.record_opening(
            service,
            in_flight_count + self._unplaced_counts.get(service, 0),
            self._groups.entry_count,
            sum(self._groups.count_slots(service).values()),
            now_s,
        )
        if is_under_pressure != (service in self._services_under_pressure):
            (
                self._services_under_pressure.add
                if is_under_pressure
                else self._services_under_pressure.discard
            )(service)
            log.info(
                Event.PRESSURE_BEGINS if is_under_pressure else Event.PRESSURE_ENDS,
                service=service,
                in_flight=in_flight_count,
                entries=self._groups.entry_count,
                dispatchers=len(self._groups.dispatchers),
            )
        return is_under_pressure

    def unplaced_sent_s(self, key: FlowKey) -> float | None:
        """Return when a relayed opening, or its latest copy, was sent.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        float or None
            None if it was not relayed, or has been placed.
        """
        flow = self._flows.get(key)
        return flow.last_sent_s if flow is not None and not flow.is_placed else None

    def on_packet(self, key: FlowKey, is_busy: bool, is_over: bool) -> None:
        """Update a relayed flow by a caller's packet; report its end to the dispatcher.

        Parameters
        ----------
        key : FlowKey
            The flow.
        is_busy : bool
            Whether a request waits for its answer.
        is_over : bool
            Whether the flow has ended.
        """
        flow = self._flows.get(key)
        if flow is None:
            return
        if not flow.is_placed:
            flow.is_placed = True
            self._uncount_unplaced(flow)
            self.record_liveness(flow.dispatcher, flow.last_sent_s)
        if is_over or (flow.is_busy and not is_busy):
            self._send_end(key, flow.dispatcher)
            self._delete(key)
        flow.is_busy = is_busy

    def record_liveness(self, dispatcher: bytes, since_s: float) -> None:
        """Record a sign of life of a dispatcher.

        Parameters
        ----------
        dispatcher : bytes
            Its packed address.
        since_s : float
            Latest time at which it was certainly alive.
        """
        self._last_alive_s[dispatcher] = max(
            since_s, self._last_alive_s.get(dispatcher, -inf)
        )
        self._misses.pop(dispatcher, None)
        lost_sent_s, _ = self._suspicions_s.get(dispatcher, (inf, 0.0))
        if since_s >= lost_sent_s:
            del self._suspicions_s[dispatcher]

    def _send_end(self, key: FlowKey, dispatcher: bytes) -> None:
        ended = WorkEnded(flows=[pack_flow(key)])
        self._send(RegistryMessage(ended=ended), dispatcher)

    def on_return(self, key: FlowKey) -> bool:
        """Delete a relayed opening that its dispatcher has returned or refused.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        bool
            False if it has been placed, or returned before.
        """
        flow = self._flows.get(key)
        if flow is None or flow.is_placed:
            return False
        self._counters["openings_returned"] += 1
        self.record_liveness(flow.dispatcher, flow.last_sent_s)
        self._delete(key)
        return True

    def _delete(self, key: FlowKey) -> None:
        self._uncount_unplaced(self._flows.pop(key))

    def _count_unplaced(self, flow: _RelayedFlow) -> None:
        if not flow.is_counted_unplaced:
            flow.is_counted_unplaced = True
            count = self._unplaced_counts.get(flow.service, 0)
            self._unplaced_counts[flow.service] = count + 1
        self._recently_sent.append((flow.last_sent_s, flow))

    def _uncount_unplaced(self, flow: _RelayedFlow) -> None:
        if flow.is_counted_unplaced:
            flow.is_counted_unplaced = False
            self._unplaced_counts[flow.service] -= 1

    def _uncount_outdated(self, now_s: float) -> None:
        """Stop counting lost or refused openings as unplaced."""
        while (
            self._recently_sent
            and now_s - self._recently_sent[0][0] > _UNPLACED_WINDOW_S
        ):
            sent_s, flow = self._recently_sent.popleft()
            if flow.last_sent_s == sent_s:
                self._uncount_unplaced(flow)

    def on_resume(self) -> None:
        """Stop treating openings sent before a pause of this instance as lost."""
        self._resumed_s = self._now_s()

    def sweep(self) -> None:
        """Delete outdated flows; to be called about once a second."""
        self._uncount_outdated(self._now_s())
        min_sent_s = self._now_s() - _RETENTION_S
        for key, flow in list(self._flows.items()):
            if flow.last_sent_s < min_sent_s:
                self._delete(key)
        for dispatcher_records in (
            self._last_alive_s,
            self._suspicions_s,
            self._misses,
        ):
            for dispatcher in set(dispatcher_records) - set(self._groups.dispatchers):
                del dispatcher_records[dispatcher]
