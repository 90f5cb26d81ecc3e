"""Places the openings relayed to this instance on its backend servers.

Handles pressure, when a backend server has a free slot for some milliseconds only: a
single dispatcher places all flows of a server and counts its openings and their ends.
Openings without a place wait in a queue by urgency, are handed over to a less busy
dispatcher, also of another failure domain, or are refused if none has room in time.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace

from agatethread.balancing import (
    AdmissionDecision,
    CallerCounts,
    GroupLoad,
    Opening,
    OpeningQueue,
    decide_admission,
    defer_if_over_share,
)
from agatethread.datapath._backend import Backend
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._handover import OtherDispatchers
from agatethread.datapath._load_reports import (
    LIVENESS_INTERVAL_S,
    LOAD_INTERVAL_S,
    LoadReporter,
)
from agatethread.datapath._packets import FlowKey, Packet, pack_flow
from agatethread.datapath._places import PlaceCounts
from agatethread.datapath._placing import choose_backend_with_place
from agatethread.datapath._received_openings import (
    OpeningActions,
    ReceivedOpening,
    make_handover,
)
from agatethread.observability import Counters, Event, Histogram, make_logger
from agatethread.routing import Route
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import (
    RegistryMessage,
    RelayedOpening,
    ReturnedOpening,
    WorkEnded,
)

#: Multiple of the usual place time that is reserved for the answer.
_ANSWER_RESERVE_FACTOR = 2.0
#: Age up to which a repeated packet is a duplicate; callers reuse ports later.
_DUPLICATE_WINDOW_S = 0.15

log = make_logger("dispatcher")


class OpeningDispatcher:
    """Places, queues, hands over or refuses the openings relayed to this instance.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    groups : ServerGroups
        Backend servers of each dispatcher.
    others : OtherDispatchers
        Other dispatchers that may place openings.
    actions : OpeningActions
        Forwards openings and sends messages.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts its decisions.
    policies : Policies, optional
        How servers are chosen.
    """

    def __init__(
        self,
        own_address: bytes,
        groups: ServerGroups,
        others: OtherDispatchers,
        actions: OpeningActions,
        now_s: Callable[[], float],
        counters: Counters,
        policies: Policies = DEFAULT_POLICIES,
    ):
        self._own_address = own_address
        self._groups = groups
        self._others = others
        self._actions = actions
        self._now_s = now_s
        self._counters = counters
        self._policies = policies
        self._queues: dict[str, OpeningQueue[ReceivedOpening]] = {}
        #: By service, to limit each caller to its share.
        self._shares: defaultdict[str, CallerCounts] = defaultdict(CallerCounts)
        self._places = PlaceCounts(now_s)
        self._reporter = LoadReporter(self._load_of, actions.send, now_s)
        #: Time that callers of the placed openings had waited.
        self.waited_s = Histogram()

    def has_server(self, service: str) -> bool:
        """Return whether a server of this dispatcher accepts new flows.

        Parameters
        ----------
        service : str
            Service of the server.

        Returns
        -------
        bool
            Also True if all of them are avoided.
        """
        return bool(self._servers_of(service))

    def waiting_count(self) -> int:
        """Return the number of openings that wait for a place.

        Returns
        -------
        int
            Of all services.
        """
        return sum(len(queue) for queue in self._queues.values())

    def receive(
        self, packet: Packet, route: Route, relayed: RelayedOpening, sender: bytes
    ) -> None:
        """Place, queue, hand over or refuse an opening.

        Parameters
        ----------
        packet : Packet
            The opening.
        route : Route
            Its route.
        relayed : RelayedOpening
            The message that carried it.
        sender : bytes
            Packed address of the instance that relayed it.
        """
        if not self._is_duplicate(packet):
            self._receive(packet, route, relayed, sender)
        if sender != self._own_address:
            self._reply(packet, relayed, sender)

    def _reply(self, packet: Packet, relayed: RelayedOpening, sender: bytes) -> None:
        """Report the load, unless the opening is placed and from the own domain."""
        is_placed = self._places.find(packet.key) is not None
        # Hops are counted from 0 again in another failure domain.
        is_from_other_domain = relayed.crossed and not relayed.hops
        if is_from_other_domain or (relayed.origin and not is_placed):
            self._reporter.report(relayed.service, sender, LOAD_INTERVAL_S)
        elif not is_placed:
            self._reporter.report(relayed.service, sender, LIVENESS_INTERVAL_S)

    def _is_duplicate(self, packet: Packet) -> bool:
        """Return whether a packet duplicates an opening that was just placed."""
        placement = self._places.find(packet.key)
        if placement is None or packet.copy:
            return False
        return self._now_s() - placement.since_s < _DUPLICATE_WINDOW_S

    def _receive(
        self, packet: Packet, route: Route, relayed: RelayedOpening, sender: bytes
    ) -> None:
        if packet.key in self._queue_of(relayed.service):
            # Copies of one opening take one place.
            return
        now_s = self._now_s()
        opening = Opening(
            urgency=route.urgency,
            requested_s=now_s - relayed.waited_ms / 1000,
            # The aim of the placement, which leaves time for the answer.
            aim_s=route.aim_s
            - _ANSWER_RESERVE_FACTOR * self._places.place_time_s(relayed.service),
            timeout_s=route.timeout_s,
            caller=packet.key.caller,
        )
        received = ReceivedOpening(packet, relayed, sender, opening)
        address = self._others.find_dispatcher_with_queue(packet.key, relayed.service)
        if packet.copy and address is not None:
            # Sends the copy to the dispatcher where the opening is queued.
            self._hand_over(received, address)
            return
        self._others.pop_handover(packet.key)
        self._decide(replace(received, tried=self._release_for_copy(packet, now_s)))

    def _release_for_copy(self, packet: Packet, now_s: float) -> tuple[Backend, ...]:
        """Release the place of an opening whose copy arrived; return the tried runs."""
        placement = self._places.release(packet.key)
        if placement is None or not packet.copy:
            # Not a copy, so the port is reused for another flow.
            return ()
        placement.backend.record_failure(placement.since_s, now_s)
        return (*placement.tried, placement.backend)

    def _rank(self, received: ReceivedOpening) -> ReceivedOpening:
        """Rank an opening; it is deferred if its caller exceeds its share."""
        shares, caller = self._shares[received.service], received.opening.caller
        exceeds_share = shares.exceeds_share(caller, self._now_s())
        waiting_count = len(self._queue_of(received.service))
        ranked = defer_if_over_share(received.opening, exceeds_share, waiting_count)
        return replace(received, opening=ranked)

    def _record_share(self, received: ReceivedOpening) -> None:
        """Count an opening towards its caller's share, once for all its copies."""
        if not received.tried:
            shares = self._shares[received.service]
            shares.record(received.opening.caller, self._now_s())

    def _decide(self, received: ReceivedOpening) -> None:
        now_s = self._now_s()
        queue = self._queue_of(received.service)
        received = self._rank(received)
        candidate_dispatchers = frozenset(self._groups.count_slots(received.service))
        # Excludes runs that did not answer the opening.
        load = self._load_of(received.service, received.tried)
        target = self._others.choose_target(
            received.relayed, candidate_dispatchers, not load.place_count
        )
        decision = decide_admission(
            received.opening,
            load,
            queue.count_ahead(received.opening.rank),
            now_s,
            target.alternative if target else None,
        )
        if decision is AdmissionDecision.PLACE and self._place(received):
            self._record_share(received)
            return
        if not load.place_count and target is None and self._place(received):
            # All servers are avoided and no dispatcher is left: one is tried.
            return
        if decision is AdmissionDecision.HAND_OVER and target is not None:
            self._hand_over(received, target.address)
            return
        if decision is AdmissionDecision.REFUSE or not self._enqueue(received):
            self._refuse(received)

    def _enqueue(self, received: ReceivedOpening) -> bool:
        queue = self._queue_of(received.service)
        if not queue.push(
            received.opening, received.packet.key, received, self._now_s()
        ):
            return False
        if not received.opening.is_deferred:
            # Counted when queued, so that the rest of a burst is deferred.
            self._record_share(received)
            self._counters["openings_waiting"] += 1
            return True
        self._counters["openings_behind"] += 1
        flow = str(received.packet.key)
        log.info(Event.OPENING_DEFERRED, flow=flow, service=received.service)
        return True

    def _place(self, received: ReceivedOpening) -> bool:
        now_s = self._now_s()
        backend = choose_backend_with_place(
            self._servers_of(received.service),
            self._places.in_progress,
            now_s,
            received.tried,
            self._policies,
        )
        if backend is None:
            return False
        key = received.packet.key
        self._places.allocate(
            key, backend, received.service, received.tried, received.sender
        )
        waited_s = now_s - received.opening.requested_s
        self.waited_s.record(waited_s)
        self._counters[f"openings_dispatched_urgency_{received.opening.urgency}"] += 1
        backend.start_trial(now_s)
        self._actions.forward(received.packet, backend, received.tried, waited_s)
        return True

    def _refuse(self, received: ReceivedOpening) -> None:
        load = self._load_of(received.service)
        self._counters[f"openings_refused_urgency_{received.opening.urgency}"] += 1
        log.info(
            Event.OPENING_REFUSED,
            flow=str(received.packet.key),
            service=received.service,
            urgency=received.opening.urgency,
            waited_s=round(self._now_s() - received.opening.requested_s, 3),
            waiting=load.waiting_count,
            places=load.place_count,
            place_time_s=round(load.place_time_s, 4),
        )
        returned = ReturnedOpening(opening=received.relayed, refused=True)
        self._actions.send(RegistryMessage(returned=returned), received.origin)

    def _hand_over(self, received: ReceivedOpening, address: bytes) -> None:
        waited_s = self._now_s() - received.opening.requested_s
        crosses = self._others.is_in_other_domain(address)
        self._others.record_handover(received.packet.key, received.service, address)
        self._counters["openings_handed_over"] += 1
        log.info(
            Event.OPENING_HANDED_OVER,
            flow=str(received.packet.key),
            service=received.service,
            dispatcher=address.hex(),
            waited_s=round(waited_s, 3),
            crosses=crosses,
        )
        version = self._actions.table_version()
        relayed = make_handover(received, crosses, waited_s, version)
        self._actions.send(RegistryMessage(relayed=relayed), address)

    def on_end(self, key: FlowKey) -> None:
        """Release the place of an answered request or ended flow, or forward the end.

        Parameters
        ----------
        key : FlowKey
            The flow.
        """
        address = self._others.pop_handover(key)
        if address is not None:
            ended = WorkEnded(flows=[pack_flow(key)])
            self._actions.send(RegistryMessage(ended=ended), address)
            return
        placement = self._places.record_end(key)
        if placement is None:
            self._remove_waiting(key)
            return
        if placement.since_s >= placement.backend.last_unanswered_s:
            # The only evidence of an answer here; ignored if older than a failure.
            placement.backend.record_answer(self._now_s())
        self._place_waiting(placement.service)

    def _remove_waiting(self, key: FlowKey) -> None:
        """Remove the opening of a caller that ended its flow from the queues."""
        for queue in self._queues.values():
            queue.discard(key)

    def _place_waiting(self, service: str) -> None:
        """Place waiting openings while there are free places."""
        queue = self._queue_of(service)
        while queue and self._load_of(service).free_count:
            received = queue.pop(self._now_s())
            if received is None or not self._place(received):
                return
            if received.opening.is_deferred:
                self._record_share(received)

    def tick(self) -> None:
        """Expire places, process queues and send reports, about 20 times a second."""
        now_s = self._now_s()
        for placement in self._places.expire():
            self._counters["places_given_up"] += 1
            placement.backend.record_failure(placement.since_s, now_s)
        for service, queue in list(self._queues.items()):
            for received in queue.pop_expired(now_s):
                self._refuse(received)
            self._place_waiting(service)
            if not self._load_of(service).place_count:
                self._return_waiting(queue)
        for placement in self._places.list_in_age_range(
            LIVENESS_INTERVAL_S, 2 * LIVENESS_INTERVAL_S
        ):
            # Shows senders that this instance is alive, though no answer came.
            self._reporter.report(
                placement.service, placement.sender, LIVENESS_INTERVAL_S
            )
        self._reporter.tick()

    def _return_waiting(self, queue: "OpeningQueue[ReceivedOpening]") -> None:
        """Return waiting openings to their senders if all servers are avoided."""
        while (received := queue.pop(self._now_s())) is not None:
            self._counters["openings_given_back"] += 1
            returned = ReturnedOpening(opening=received.relayed)
            self._actions.send(RegistryMessage(returned=returned), received.sender)

    def reset(self) -> None:
        """Delete all openings after a pause, in which ends may have been lost."""
        self._queues.clear()
        self._places.clear()

    def _queue_of(self, service: str) -> "OpeningQueue[ReceivedOpening]":
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = OpeningQueue()
        return queue

    def _servers_of(self, service: str) -> Sequence[Backend]:
        return self._groups.usable_servers(service, self._own_address)

    def _load_of(self, service: str, tried: Sequence[Backend] = ()) -> GroupLoad:
        servers = [run for run in self._servers_of(service) if run not in tried]
        return self._places.measure_load(service, servers, len(self._queue_of(service)))

    def sweep(self) -> None:
        """Delete outdated handovers and report times, about once a second."""
        self._others.sweep()
        self._reporter.sweep()
