"""Places the openings of a failure domain on some of its backend servers.

The load that this answers: under pressure a backend server has a slot free for some
milliseconds only, and none of dozens of instances knows when. One that places all
flows of a server knows: it counts what it gave out and what it was told to have ended.
What finds no place waits here, the more urgent first; it goes to another failure domain
where that is clearly less busy, and is refused at once if nobody takes it in time.

Nothing here has to survive: what an instance that starts does not know of ends within
some usual answers, and callers' copies find another way.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from math import inf

from agatethread.balancing import (
    CallerShares,
    GroupLoad,
    Opening,
    Verdict,
    WaitingLine,
    expected_wait_s,
    judge_opening,
    rank_opening,
)
from agatethread.datapath._backend import Backend
from agatethread.datapath._elsewhere import OtherDomains
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._packets import FlowKey, Packet, pack_flow
from agatethread.datapath._places import PlaceCounts
from agatethread.datapath._placing import choose_place
from agatethread.observability import Counters, Event, Histogram, make_logger
from agatethread.routing import Route
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import (
    DispatcherLoad,
    RegistryMessage,
    RelayedOpening,
    WorkEnded,
)

#: Usual times that an answer may take: most take less than twice as long.
_ANSWER_TIMES = 2.0
#: Pause between two times that an instance is told how busy this is: a tenth of the
#: time after which it must know that an opening is not lost but waits.
_TELL_PAUSE_S = 0.02
#: Longest wait that is told; longer than any caller's patience.
_LONGEST_TOLD_S = 3_600.0

log = make_logger("dispatcher")


@dataclass(frozen=True, slots=True)
class Hands:
    """What a dispatcher does through the instance that it is part of.

    Attributes
    ----------
    forward : callable
        Sends an opening to a backend server; also gets the runs that did not answer it,
        and how long its caller has waited.
    refuse : callable
        Tells a caller that its flow is not taken on, and why.
    send : callable
        Sends a registry message to a packed address.
    table_version : callable
        Tells the version of the routing table in force.
    """

    forward: Callable[[Packet, Backend, Sequence[Backend], float], None]
    refuse: Callable[[Packet, str], None]
    send: Callable[[RegistryMessage, bytes], None]
    table_version: Callable[[], int]


@dataclass(frozen=True, slots=True)
class _Taken:
    """An opening that was relayed to this instance."""

    packet: Packet
    service: str
    opening: Opening
    tried: tuple[Backend, ...]
    #: Whether it may go to another failure domain; it does so once at most.
    may_leave: bool


class OpeningDispatcher:
    """Counts, lines and decisions of one dispatcher.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    groups : ServerGroups
        Which servers are its own.
    others : OtherDomains
        The dispatchers of other failure domains.
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
        others: OtherDomains,
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
        self._lines: dict[str, WaitingLine[_Taken]] = {}
        #: Of each service, so that no caller takes another's room there.
        self._shares: defaultdict[str, CallerShares] = defaultdict(CallerShares)
        self._places = PlaceCounts(now_s)
        #: When each instance was told last how busy this is.
        self._told_s: dict[tuple[str, bytes], float] = {}
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
        line = self._line_of(relayed.service)
        if packet.key in line:
            # Copies of one opening take one place.
            self._tell_load(relayed.service, sender)
            return
        now_s = self._now_s()
        tried = self._take_back(packet.key, now_s)
        opening = Opening(
            urgency=route.urgency,
            asked_s=now_s - relayed.waited_ms / 1000,
            # By then it must have its place for its answer to come in time.
            aim_s=route.aim_s - _ANSWER_TIMES * self._places.usual_s(relayed.service),
            timeout_s=route.timeout_s,
            caller=packet.key.caller,
        )
        taken = _Taken(packet, relayed.service, opening, tried, not relayed.hops)
        self._decide(taken)
        if relayed.hops or packet.key in line:
            self._tell_load(relayed.service, sender)

    def _take_back(self, key: FlowKey, now_s: float) -> tuple[Backend, ...]:
        """Give back the place of an opening whose copy has come."""
        placed = self._places.release(key)
        if placed is None:
            return ()
        placed.backend.fail(placed.since_s, now_s)
        return (*placed.tried, placed.backend)

    def _rank(self, taken: _Taken) -> _Taken:
        """Put it behind all others while its caller is over its share."""
        shares, caller = self._shares[taken.service], taken.opening.caller
        is_over = shares.is_over(caller, self._now_s())
        waiting_count = len(self._line_of(taken.service))
        ranked = rank_opening(taken.opening, is_over, waiting_count)
        return replace(taken, opening=ranked)

    def _note_share(self, taken: _Taken) -> None:
        """Count it as taken on; whom a server did not answer has taken one place."""
        if not taken.tried:
            shares = self._shares[taken.service]
            shares.note(taken.opening.caller, self._now_s())

    def _decide(self, taken: _Taken) -> None:
        now_s = self._now_s()
        line = self._line_of(taken.service)
        taken = self._rank(taken)
        load = self._load_of(taken.service)
        outlet = self._others.find_least_busy(taken.service)
        may_leave = taken.may_leave and outlet is not None
        verdict = judge_opening(
            taken.opening,
            load,
            line.count_ahead(taken.opening.rank),
            now_s,
            may_leave,
            outlet.wait_s if outlet else inf,
        )
        if verdict is Verdict.PLACE and self._place(taken):
            self._note_share(taken)
            return
        if verdict is Verdict.HAND_OVER and outlet is not None:
            self._hand_over(taken, outlet.address)
            return
        if verdict is Verdict.REFUSE or not self._push(taken):
            self._refuse(taken)

    def _push(self, taken: _Taken) -> bool:
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

    def _place(self, taken: _Taken) -> bool:
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
        self._places.take(key, backend, taken.service, taken.tried)
        waited_s = now_s - taken.opening.asked_s
        self.waited_s.record(waited_s)
        self._counters[f"openings_dispatched_urgency_{taken.opening.urgency}"] += 1
        backend.start_trial(now_s)
        self._hands.forward(taken.packet, backend, taken.tried, waited_s)
        return True

    def _refuse(self, taken: _Taken) -> None:
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
        self._hands.refuse(taken.packet, "no_room")

    def _hand_over(self, taken: _Taken, address: bytes) -> None:
        waited_s = self._now_s() - taken.opening.asked_s
        self._others.note_given(taken.packet.key, taken.service, address)
        self._counters["openings_handed_over"] += 1
        log.info(
            Event.OPENING_HANDED_OVER,
            flow=str(taken.packet.key),
            service=taken.service,
            dispatcher=address.hex(),
            waited_s=round(waited_s, 3),
        )
        relayed = RelayedOpening(
            packet=taken.packet.data,
            service=taken.service,
            table_version=self._hands.table_version(),
            hops=1,
            waited_ms=round(1000 * max(0.0, waited_s)),
        )
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
        self._counters["places_given_up"] += self._places.give_up()
        for service, line in self._lines.items():
            for taken in line.take_expired(now_s):
                self._refuse(taken)
            self._fill(service)

    # -- load ---------------------------------------------------------------------

    def _line_of(self, service: str) -> "WaitingLine[_Taken]":
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = WaitingLine()
        return line

    def _servers_of(self, service: str) -> Sequence[Backend]:
        return self._groups.usable(service, self._own_address)

    def _load_of(self, service: str) -> GroupLoad:
        servers = self._servers_of(service)
        return self._places.load(service, servers, len(self._line_of(service)))

    def _tell_load(self, service: str, target: bytes) -> None:
        """Tell how busy this is; to one whose opening waits, that it is alive."""
        now_s = self._now_s()
        if now_s - self._told_s.get((service, target), -inf) < _TELL_PAUSE_S:
            return
        self._told_s[service, target] = now_s
        load = self._load_of(service)
        wait_s = expected_wait_s(load, load.waiting_count)
        told = DispatcherLoad(
            service=service,
            free=load.free_count,
            waiting=load.waiting_count,
            wait_ms=round(1000 * min(wait_s, _LONGEST_TOLD_S)),
        )
        self._hands.send(RegistryMessage(load=told), target)

    def sweep(self) -> None:
        """Forget what is over; to be called about once a second."""
        self._others.sweep()
        oldest_s = self._now_s() - _TELL_PAUSE_S
        self._told_s = {
            key: told_s for key, told_s in self._told_s.items() if told_s >= oldest_s
        }
