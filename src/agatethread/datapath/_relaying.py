"""Openings that another entry instance places, as the one that relayed them sees them.

The load that this answers: callers who compete for too little room before many entry
instances. Under pressure an instance places openings as the dispatcher of some backend
servers, or relays them to another dispatcher of its failure domain; the answer and all
later packets of the flow do without it. The caller's next packet shows that it was
placed, and the end of its request is told back. A dispatcher that dies costs the
openings on their way one copy each: that goes to another one.
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

#: A dispatcher that let so many openings wait for their callers' copies, and showed no
#: sign of life since, gets none for so long: one message may be lost, and control
#: instances notice within a second that it is gone.
_MISSES_BEFORE_DISTRUST = 2
_DISTRUST_S = 2.0
#: Nothing is told of a relayed flow whose end was not seen here for so long: its
#: packets may come through another instance, and its dispatcher has given it up.
_FORGET_S = 5.0
#: A relayed opening counts as being on its way for so long after its caller sent it or
#: a copy last: copies come 0.2 and 0.4 s apart, and a refused caller sends none.
_ON_ITS_WAY_S = 0.45
#: What comes again sooner than this is the same packet, not a port that is used anew.
_SAME_PACKET_S = 0.15
#: Relayed openings remembered: those of 5 s at ten times what an instance can forward.
_MOST_RELAYED = 20_000

log = make_logger("relay")


@dataclass(slots=True)
class _Relayed:
    dispatcher: bytes
    service: str
    first_s: float
    last_s: float
    #: Whether a packet of the flow has shown that it was placed.
    placed: bool = False
    busy: bool = False
    #: Whether it counts as being on its way.
    counted: bool = False


class OpeningRelay:
    """Decides which openings are relayed, and tells dispatchers of their ends.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    groups : ServerGroups
        The dispatchers and their servers.
    runs_of : callable
        Lists a service's runs.
    send : callable
        Sends a registry message to a packed address, also to this instance itself.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts what is relayed.
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
        self._relayed: dict[FlowKey, _Relayed] = {}
        #: Relayed openings of each service that no packet has shown to be placed yet,
        #: and those that were sent lately, the oldest first.
        self._on_their_way: dict[str, int] = {}
        self._sent: deque[tuple[float, _Relayed]] = deque()
        #: Until when each dispatcher is known to have placed, or held, what it got.
        self._alive_s: dict[bytes, float] = {}
        #: When those that did not got what they lost, and until when they get nothing.
        self._distrusted_s: dict[bytes, tuple[float, float]] = {}
        #: Openings that each lost since it last showed that it lives.
        self._misses: Counter[bytes] = Counter()
        self._pressed: set[str] = set()
        self._awake_since_s = now_s()

    def __len__(self) -> int:
        return len(self._relayed)

    # -- openings -----------------------------------------------------------------

    def relay(self, packet: Packet, service: str, table_version: int) -> bool:
        """Relay an opening, if it is better placed elsewhere.

        Parameters
        ----------
        packet : Packet
            The opening.
        service : str
            Where it goes.
        table_version : int
            Of the table that says so.

        Returns
        -------
        bool
            False if this instance is to place it.
        """
        now_s = self._now_s()
        known = self._relayed.get(packet.key)
        if known is not None and not packet.copy:
            if now_s - known.first_s < _SAME_PACKET_S:
                return True
            # The port is used anew.
            self._forget(packet.key)
            known = None
        if known is None and (packet.copy or not self._is_pressed(service, now_s)):
            return False
        if known is not None and self._is_lost(packet, known, now_s):
            known = self._move(packet.key, known, now_s)
        elif known is None:
            known = self._start(packet.key, service, now_s)
        if known is None:
            return False
        known.last_s = now_s
        self._count(known)
        # A copy asks for the service that was drawn for its opening.
        self._send_opening(packet, known, table_version)
        return True

    def _start(self, key: FlowKey, service: str, now_s: float) -> _Relayed | None:
        dispatcher = self._choose(service, now_s)
        if dispatcher is None or len(self._relayed) >= _MOST_RELAYED:
            return None
        known = self._relayed[key] = _Relayed(dispatcher, service, now_s, now_s)
        return known

    def _move(self, key: FlowKey, known: _Relayed, now_s: float) -> _Relayed | None:
        """Choose another dispatcher for an opening that the first one lost."""
        self._tell_end(key, known.dispatcher)
        dispatcher = self._choose(known.service, now_s, known.dispatcher)
        if dispatcher is None:
            self._forget(key)
            return None
        known.dispatcher = dispatcher
        return known

    def _is_lost(self, packet: Packet, known: _Relayed, now_s: float) -> bool:
        """Decide whether a dispatcher has lost an opening whose copy has come."""
        if known.dispatcher == self._own_address:
            return False
        if self._alive_s.get(known.dispatcher, 0.0) >= known.last_s:
            return False
        if known.last_s < self._awake_since_s:
            # Whatever it said came while this instance did not run.
            return False
        misses = self._misses[known.dispatcher] = self._misses[known.dispatcher] + 1
        if misses >= _MISSES_BEFORE_DISTRUST:
            self._distrust(packet, known, now_s)
        return True

    def _distrust(self, packet: Packet, known: _Relayed, now_s: float) -> None:
        distrusted_s = (known.last_s, now_s + _DISTRUST_S)
        self._distrusted_s[known.dispatcher] = distrusted_s
        self._counters["dispatchers_silent"] += 1
        log.warning(
            Event.DISPATCHER_SILENT,
            dispatcher=known.dispatcher.hex(),
            flow=str(packet.key),
            waited_s=round(now_s - known.first_s, 3),
        )

    def _choose(self, service: str, now_s: float, lost: bytes = b"") -> bytes | None:
        """Choose this instance itself, else draw a dispatcher by its slots.

        What an instance places on servers of its own takes no message, and most of a
        crowd does: only what finds no place there goes over the link. A dispatcher that
        is distrusted is left out while most others are not: theirs bear its share until
        control instances name another one. Else openings are placed by own counts.
        """
        slots = self._groups.count_slots(service)
        if self._own_address in slots:
            return self._own_address
        trusted = {
            dispatcher: count
            for dispatcher, count in slots.items()
            if dispatcher != lost and not self._is_distrusted(dispatcher, now_s)
        }
        if 2 * len(trusted) <= len(slots):
            return None
        return random.choices(list(trusted), list(trusted.values()))[0]

    def _is_distrusted(self, dispatcher: bytes, now_s: float) -> bool:
        _, until_s = self._distrusted_s.get(dispatcher, (now_s, now_s))
        return until_s > now_s

    def _send_opening(
        self, packet: Packet, known: _Relayed, table_version: int
    ) -> None:
        waited_s = self._now_s() - known.first_s
        opening = RelayedOpening(
            packet=packet.data,
            service=known.service,
            table_version=table_version,
            waited_ms=round(1000 * waited_s),
        )
        if known.dispatcher != self._own_address:
            self._log_relayed(packet, known, waited_s, table_version)
        self._send(RegistryMessage(relayed=opening), known.dispatcher)

    def _log_relayed(
        self, packet: Packet, known: _Relayed, waited_s: float, table_version: int
    ) -> None:
        self._counters["openings_relayed"] += 1
        log.info(
            Event.OPENING_RELAYED,
            flow=str(packet.key),
            copy=packet.copy,
            service=known.service,
            dispatcher=known.dispatcher.hex(),
            waited_s=round(waited_s, 3),
            table_version=table_version,
        )

    # -- pressure -----------------------------------------------------------------

    def _is_pressed(self, service: str, now_s: float) -> bool:
        """Decide whether so many slots are in use that placing is shared."""
        self._uncount_old(now_s)
        in_flight_count = sum(one.in_flight for one in self._runs_of(service))
        pressed = self._gauge.is_high(
            service,
            in_flight_count + self._on_their_way.get(service, 0),
            self._groups.entry_count,
            sum(self._groups.count_slots(service).values()),
            now_s,
        )
        if pressed != (service in self._pressed):
            (self._pressed.add if pressed else self._pressed.discard)(service)
            log.info(
                Event.PRESSURE_BEGINS if pressed else Event.PRESSURE_ENDS,
                service=service,
                in_flight=in_flight_count,
                entries=self._groups.entry_count,
                dispatchers=len(self._groups.dispatchers),
            )
        return pressed

    # -- what becomes of them -----------------------------------------------------

    def asked_s(self, key: FlowKey) -> float | None:
        """Tell when a relayed opening, or its last copy, was sent.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        float or None
            None if it was not relayed, or is known to be placed.
        """
        known = self._relayed.get(key)
        return known.last_s if known is not None and not known.placed else None

    def note_packet(self, key: FlowKey, busy: bool, over: bool) -> None:
        """Note what a packet of an open flow shows.

        Parameters
        ----------
        key : FlowKey
            The flow.
        busy : bool
            Whether a request waits for its answer.
        over : bool
            Whether the flow is.
        """
        known = self._relayed.get(key)
        if known is None:
            return
        if not known.placed:
            known.placed = True
            self._uncount(known)
            self.note_alive(known.dispatcher, known.last_s)
        if over or (known.busy and not busy):
            self._tell_end(key, known.dispatcher)
            self._forget(key)
        known.busy = busy

    def note_alive(self, dispatcher: bytes, since_s: float) -> None:
        """Note that a dispatcher placed an opening, or has some wait.

        Parameters
        ----------
        dispatcher : bytes
            Its packed address.
        since_s : float
            When it is known to have lived: no later than it got the opening.
        """
        self._alive_s[dispatcher] = max(since_s, self._alive_s.get(dispatcher, -inf))
        self._misses.pop(dispatcher, None)
        lost_s, _ = self._distrusted_s.get(dispatcher, (inf, 0.0))
        if since_s >= lost_s:
            del self._distrusted_s[dispatcher]

    def _tell_end(self, key: FlowKey, dispatcher: bytes) -> None:
        ended = WorkEnded(flows=[pack_flow(key)])
        self._send(RegistryMessage(ended=ended), dispatcher)

    def take_back(self, key: FlowKey) -> bool:
        """Note that a dispatcher does not place an opening; this instance does.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        bool
            False if that is no news: it has been placed, or given back before.
        """
        known = self._relayed.get(key)
        if known is None or known.placed:
            return False
        self._counters["openings_returned"] += 1
        self.note_alive(known.dispatcher, known.last_s)
        self._forget(key)
        return True

    def _forget(self, key: FlowKey) -> None:
        self._uncount(self._relayed.pop(key))

    def _count(self, known: _Relayed) -> None:
        if not known.counted:
            known.counted = True
            count = self._on_their_way.get(known.service, 0)
            self._on_their_way[known.service] = count + 1
        self._sent.append((known.last_s, known))

    def _uncount(self, known: _Relayed) -> None:
        if known.counted:
            known.counted = False
            self._on_their_way[known.service] -= 1

    def _uncount_old(self, now_s: float) -> None:
        """Count no longer those that were lost, or whose callers were refused."""
        while self._sent and now_s - self._sent[0][0] > _ON_ITS_WAY_S:
            sent_s, known = self._sent.popleft()
            if known.last_s == sent_s:
                self._uncount(known)

    def wake(self) -> None:
        """Judge nobody by what was sent before a pause of this instance."""
        self._awake_since_s = self._now_s()

    def sweep(self) -> None:
        """Forget what was relayed long ago; to be called about once a second."""
        self._uncount_old(self._now_s())
        oldest_s = self._now_s() - _FORGET_S
        for key, known in list(self._relayed.items()):
            if known.last_s < oldest_s:
                self._forget(key)
        for by_dispatcher in (self._alive_s, self._distrusted_s, self._misses):
            for dispatcher in set(by_dispatcher) - set(self._groups.dispatchers):
                del by_dispatcher[dispatcher]
