"""Places the openings of a failure domain on some of its backend servers.

The load that this answers: under pressure a backend server has a slot free for some
milliseconds only, and none of dozens of instances knows when. One that places all
flows of a server knows: it counts what it gave out and what it was told to have ended.
What finds no place waits here, the more urgent first; it goes to another dispatcher,
also of another failure domain, where that is clearly less busy, and is refused at once
if nobody takes it in time.

Nothing here has to survive: what an instance that starts does not know of ends within
some usual answers, and callers' copies find another way.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace

from agatethread.balancing import (
    CallerShares,
    GroupLoad,
    Opening,
    Verdict,
    WaitingLine,
    judge_opening,
    rank_opening,
)
from agatethread.datapath._backend import Backend
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._handing_over import OtherDispatchers
from agatethread.datapath._packets import FlowKey, Packet, pack_flow
from agatethread.datapath._places import PlaceCounts
from agatethread.datapath._placing import choose_place
from agatethread.datapath._taken import Hands, Taken, hand_on
from agatethread.datapath._telling import LOAD_PAUSE_S, SIGN_PAUSE_S, LoadTeller
from agatethread.observability import Counters, Event, Histogram, make_logger
from agatethread.routing import Route
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import (
    RegistryMessage,
    RelayedOpening,
    ReturnedOpening,
    WorkEnded,
)

#: Usual times that an answer may take: most take less than twice as long.
_ANSWER_TIMES = 2.0
#: What comes again sooner than this is the same packet: a caller sends its first copy
#: after 0.2 s, and uses its port anew later than that.
_SAME_PACKET_S = 0.15

log = make_logger("dispatcher")


class OpeningDispatcher:
    """Counts, lines and decisions of one dispatcher.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    groups : ServerGroups
        Which servers are its own.
    others : OtherDispatchers
        Where else openings may be placed.
    hands : Hands
        What it does with an opening.
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
        hands: Hands,
        now_s: Callable[[], float],
        counters: Counters,
        policies: Policies = DEFAULT_POLICIES,
    ):
        self._own_address = own_address
        self._groups = groups
        self._others = others
        self._hands = hands
        self._now_s = now_s
        self._counters = counters
        self._policies = policies
        self._lines: dict[str, WaitingLine[Taken]] = {}
        #: Of each service, so that no caller takes another's room there.
        self._shares: defaultdict[str, CallerShares] = defaultdict(CallerShares)
        self._places = PlaceCounts(now_s)
        self._teller = LoadTeller(self._load_of, hands.send, now_s)
        #: How long callers of openings that were placed here had waited.
        self.waited_s = Histogram()

    def places_for(self, service: str) -> bool:
        """Tell whether any server of a service is this instance's own.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        bool
            Whether one may take work.
        """
        return bool(self._servers_of(service))

    def waiting_count(self) -> int:
        """Count the openings that wait for a place.

        Returns
        -------
        int
            Of all services.
        """
        return sum(len(line) for line in self._lines.values())

    # -- openings -----------------------------------------------------------------

    def take(
        self, packet: Packet, route: Route, relayed: RelayedOpening, sender: bytes
    ) -> None:
        """Place an opening, let it wait, hand it over or refuse it.

        Parameters
        ----------
        packet : Packet
            The opening.
        route : Route
            Its route.
        relayed : RelayedOpening
            What came with it.
        sender : bytes
            Packed address of the instance that relayed it.
        """
        if not self._is_same_packet(packet):
            self._take(packet, route, relayed, sender)
        if sender != self._own_address:
            self._answer(packet, relayed, sender)

    def _answer(self, packet: Packet, relayed: RelayedOpening, sender: bytes) -> None:
        """Tell the sender how busy this is, where it would act on that.

        One of the own failure domain takes silence for room.
        """
        is_placed = self._places.find(packet.key) is not None
        has_just_crossed = relayed.crossed and not relayed.hops
        if has_just_crossed or (relayed.origin and not is_placed):
            self._teller.tell(relayed.service, sender, LOAD_PAUSE_S)
        elif not is_placed:
            self._teller.tell(relayed.service, sender, SIGN_PAUSE_S)

    def _is_same_packet(self, packet: Packet) -> bool:
        """Tell whether this only repeats what has been placed just now."""
        placed = self._places.find(packet.key)
        if placed is None or packet.copy:
            return False
        return self._now_s() - placed.since_s < _SAME_PACKET_S

    def _take(
        self, packet: Packet, route: Route, relayed: RelayedOpening, sender: bytes
    ) -> None:
        if packet.key in self._line_of(relayed.service):
            # Copies of one opening take one place.
            return
        now_s = self._now_s()
        opening = Opening(
            urgency=route.urgency,
            asked_s=now_s - relayed.waited_ms / 1000,
            # By then it must have its place for its answer to come in time.
            aim_s=route.aim_s - _ANSWER_TIMES * self._places.usual_s(relayed.service),
            timeout_s=route.timeout_s,
            caller=packet.key.caller,
        )
        taken = Taken(packet, relayed, sender, opening)
        address = self._others.find_given(packet.key, relayed.service)
        if packet.copy and address is not None:
            # It waits or is tried there, and the copy joins it.
            self._hand_over(taken, address)
            return
        self._others.take_given(packet.key)
        self._decide(replace(taken, tried=self._take_back(packet, now_s)))

    def _take_back(self, packet: Packet, now_s: float) -> tuple[Backend, ...]:
        """Give back the place of an opening whose copy has come."""
        placed = self._places.release(packet.key)
        if placed is None or not packet.copy:
            # Without a copy it was another flow from the same port.
            return ()
        placed.backend.fail(placed.since_s, now_s)
        return (*placed.tried, placed.backend)

    def _rank(self, taken: Taken) -> Taken:
        """Put it behind all others while its caller is over its share."""
        shares, caller = self._shares[taken.service], taken.opening.caller
        is_over = shares.is_over(caller, self._now_s())
        waiting_count = len(self._line_of(taken.service))
        ranked = rank_opening(taken.opening, is_over, waiting_count)
        return replace(taken, opening=ranked)

    def _note_share(self, taken: Taken) -> None:
        """Count it as taken on; whom a server did not answer has taken one place."""
        if not taken.tried:
            shares = self._shares[taken.service]
            shares.note(taken.opening.caller, self._now_s())

    def _decide(self, taken: Taken) -> None:
        now_s = self._now_s()
        line = self._line_of(taken.service)
        taken = self._rank(taken)
        placing = frozenset(self._groups.count_slots(taken.service))
        # A run that let it come again is no place for it, while there are others.
        load = self._load_of(taken.service, taken.tried)
        outlet = self._others.find(taken.relayed, placing, not load.place_count)
        verdict = judge_opening(
            taken.opening,
            load,
            line.count_ahead(taken.opening.rank),
            now_s,
            outlet.elsewhere if outlet else None,
        )
        if verdict is Verdict.PLACE and self._place(taken):
            self._note_share(taken)
            return
        if not load.place_count and outlet is None and self._place(taken):
            # Nobody is known who answers, so a server that seems not to is tried.
            return
        if verdict is Verdict.HAND_OVER and outlet is not None:
            self._hand_over(taken, outlet.address)
            return
        if verdict is Verdict.REFUSE or not self._push(taken):
            self._refuse(taken)

    def _push(self, taken: Taken) -> bool:
        line = self._line_of(taken.service)
        if not line.push(taken.opening, taken.packet.key, taken, self._now_s()):
            return False
        if not taken.opening.is_behind:
            # Noted already here, else a burst would be before all who come after it.
            self._note_share(taken)
            self._counters["openings_waiting"] += 1
            return True
        self._counters["openings_behind"] += 1
        flow = str(taken.packet.key)
        log.info(Event.OPENING_BEHIND, flow=flow, service=taken.service)
        return True

    def _place(self, taken: Taken) -> bool:
        now_s = self._now_s()
        backend = choose_place(
            self._servers_of(taken.service),
            self._places.in_progress,
            now_s,
            taken.tried,
            self._policies,
        )
        if backend is None:
            return False
        key = taken.packet.key
        self._places.take(key, backend, taken.service, taken.tried, taken.sender)
        waited_s = now_s - taken.opening.asked_s
        self.waited_s.record(waited_s)
        self._counters[f"openings_dispatched_urgency_{taken.opening.urgency}"] += 1
        backend.start_trial(now_s)
        self._hands.forward(taken.packet, backend, taken.tried, waited_s)
        return True

    def _refuse(self, taken: Taken) -> None:
        load = self._load_of(taken.service)
        self._counters[f"openings_refused_urgency_{taken.opening.urgency}"] += 1
        log.info(
            Event.OPENING_REFUSED,
            flow=str(taken.packet.key),
            service=taken.service,
            urgency=taken.opening.urgency,
            waited_s=round(self._now_s() - taken.opening.asked_s, 3),
            waiting=load.waiting_count,
            places=load.place_count,
            place_time_s=round(load.place_time_s, 4),
        )
        returned = ReturnedOpening(opening=taken.relayed, refused=True)
        self._hands.send(RegistryMessage(returned=returned), taken.origin)

    def _hand_over(self, taken: Taken, address: bytes) -> None:
        waited_s = self._now_s() - taken.opening.asked_s
        crosses = self._others.crosses_to(address)
        self._others.note_given(taken.packet.key, taken.service, address)
        self._counters["openings_handed_over"] += 1
        log.info(
            Event.OPENING_HANDED_OVER,
            flow=str(taken.packet.key),
            service=taken.service,
            dispatcher=address.hex(),
            waited_s=round(waited_s, 3),
            crosses=crosses,
        )
        version = self._hands.table_version()
        relayed = hand_on(taken, crosses, waited_s, version)
        self._hands.send(RegistryMessage(relayed=relayed), address)

    # -- ends ---------------------------------------------------------------------

    def on_end(self, key: FlowKey) -> None:
        """Note that the request of an opening has been answered, or its flow is over.

        Parameters
        ----------
        key : FlowKey
            Its flow; where the opening was handed over, that is told on.
        """
        address = self._others.take_given(key)
        if address is not None:
            ended = WorkEnded(flows=[pack_flow(key)])
            self._hands.send(RegistryMessage(ended=ended), address)
            return
        placed = self._places.end(key)
        if placed is None:
            self._drop_waiting(key)
            return
        if placed.since_s >= placed.backend.unanswered_s:
            # Its caller heard from the server; no packet that shows it passes here.
            placed.backend.answer(self._now_s())
        self._fill(placed.service)

    def _drop_waiting(self, key: FlowKey) -> None:
        """Free the place in line of a caller that has left."""
        for line in self._lines.values():
            line.discard(key)

    def _fill(self, service: str) -> None:
        """Place those who wait while there are places."""
        line = self._line_of(service)
        while line and self._load_of(service).free_count:
            found = line.pop(self._now_s())
            if found is None or not self._place(found):
                return
            if found.opening.is_behind:
                self._note_share(found)

    # -- time ---------------------------------------------------------------------

    def tick(self) -> None:
        """Refuse what can't be served any more; to be called some 20 times a second."""
        now_s = self._now_s()
        for placed in self._places.give_up():
            self._counters["places_given_up"] += 1
            placed.backend.fail(placed.since_s, now_s)
        for service, line in list(self._lines.items()):
            for taken in line.take_expired(now_s):
                self._refuse(taken)
            self._fill(service)
            if not self._load_of(service).place_count:
                self._give_back(line)
        for placed in self._places.list_aged(SIGN_PAUSE_S, 2 * SIGN_PAUSE_S):
            # Else it would seem that this instance is gone where a server is.
            self._teller.tell(placed.service, placed.sender, SIGN_PAUSE_S)
        self._teller.tick()

    def _give_back(self, line: "WaitingLine[Taken]") -> None:
        """Let senders place those that wait for servers that are gone, or silent."""
        while (taken := line.pop(self._now_s())) is not None:
            self._counters["openings_given_back"] += 1
            returned = ReturnedOpening(opening=taken.relayed)
            self._hands.send(RegistryMessage(returned=returned), taken.sender)

    def forget(self) -> None:
        """Forget all openings, after a pause in which this instance did not run.

        Their ends came meanwhile or never will, and copies found another way.
        """
        self._lines.clear()
        self._places.clear()

    # -- load ---------------------------------------------------------------------

    def _line_of(self, service: str) -> "WaitingLine[Taken]":
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = WaitingLine()
        return line

    def _servers_of(self, service: str) -> Sequence[Backend]:
        return self._groups.usable(service, self._own_address)

    def _load_of(self, service: str, tried: Sequence[Backend] = ()) -> GroupLoad:
        servers = [one for one in self._servers_of(service) if one not in tried]
        return self._places.load(service, servers, len(self._line_of(service)))

    def sweep(self) -> None:
        """Forget what is over; to be called about once a second."""
        self._others.sweep()
        self._teller.sweep()
