"""Openings that another entry instance places, as the one that relayed them sees them.

The load that this answers: callers who compete for too little room before many entry
instances. Under pressure an instance relays an opening to a dispatcher of its failure
domain; the answer and all later packets of the flow do without it. The caller's next
packet shows that it was placed, and the end of its request is told back. A dispatcher
that dies costs the openings on their way one copy each: that copy is placed here.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

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

#: A dispatcher that let an opening wait for its caller's copy, and showed no sign of
#: life since, gets none for so long: five times the pause between two polls by which
#: control instances notice that it is gone.
_DISTRUST_S = 2.0
#: Nothing is told of a relayed flow whose end was not seen here for so long: its
#: packets may come through another instance, and its dispatcher has given it up.
_FORGET_S = 5.0
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


class OpeningRelay:
    """Decides which openings are relayed, and tells dispatchers of their ends.

    Parameters
    ----------
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
        groups: ServerGroups,
        runs_of: Callable[[str], Sequence[Backend]],
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._groups = groups
        self._runs_of = runs_of
        self._send = send
        self._now_s = now_s
        self._counters = counters
        self._gauge = PressureGauge()
        self._relayed: dict[FlowKey, _Relayed] = {}
        #: Relayed openings of each service that no packet has shown to be placed yet.
        self._on_their_way: dict[str, int] = {}
        #: When each dispatcher last showed that it places, and until when one that did
        #: not gets nothing.
        self._alive_s: dict[bytes, float] = {}
        self._distrusted_until_s: dict[bytes, float] = {}
        self._pressed: set[str] = set()

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
            # The port is used anew.
            self._forget(packet.key)
            known = None
        if known is not None and not self._still_trusts(packet, known, now_s):
            return False
        if known is None and (packet.copy or not self._is_pressed(service, now_s)):
            return False
        dispatcher = known.dispatcher if known else self._draw(service, now_s)
        if dispatcher is None or len(self._relayed) >= _MOST_RELAYED:
            return False
        first_s = known.first_s if known else now_s
        if known is None:
            self._relayed[packet.key] = _Relayed(dispatcher, service, now_s, now_s)
            self._count_on_its_way(service, 1)
        else:
            known.last_s = now_s
        self._send_opening(packet, service, table_version, dispatcher, first_s)
        return True

    def _still_trusts(self, packet: Packet, known: _Relayed, now_s: float) -> bool:
        """Decide whether a copy goes where its opening went."""
        if self._alive_s.get(known.dispatcher, 0.0) >= known.last_s:
            return True
        self._distrusted_until_s[known.dispatcher] = now_s + _DISTRUST_S
        self._counters["dispatchers_silent"] += 1
        log.warning(
            Event.DISPATCHER_SILENT,
            dispatcher=known.dispatcher.hex(),
            flow=str(packet.key),
            waited_s=round(now_s - known.first_s, 3),
        )
        self._forget(packet.key)
        return False

    def _draw(self, service: str, now_s: float) -> bytes | None:
        """Draw a dispatcher by the slots that it can give out.

        One that is distrusted is drawn like the others, and its openings are placed by
        own counts: else the others' servers would bear those of its servers too.
        """
        slots = self._groups.count_slots(service)
        if not slots:
            return None
        drawn = random.choices(list(slots), list(slots.values()))[0]
        return None if self._is_distrusted(drawn, now_s) else drawn

    def _is_distrusted(self, dispatcher: bytes, now_s: float) -> bool:
        return self._distrusted_until_s.get(dispatcher, now_s) > now_s

    def _send_opening(
        self,
        packet: Packet,
        service: str,
        table_version: int,
        dispatcher: bytes,
        first_s: float,
    ) -> None:
        waited_s = self._now_s() - first_s
        log.info(
            Event.OPENING_RELAYED,
            flow=str(packet.key),
            copy=packet.copy,
            service=service,
            dispatcher=dispatcher.hex(),
            waited_s=round(waited_s, 3),
            table_version=table_version,
        )
        self._counters["openings_relayed"] += 1
        opening = RelayedOpening(
            packet=packet.data,
            service=service,
            table_version=table_version,
            waited_ms=round(1000 * waited_s),
        )
        self._send(RegistryMessage(relayed=opening), dispatcher)

    # -- pressure -----------------------------------------------------------------

    def _is_pressed(self, service: str, now_s: float) -> bool:
        """Decide whether so many slots are in use that placing is shared."""
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
            self._count_on_its_way(known.service, -1)
        self.note_alive(known.dispatcher)
        if over or (known.busy and not busy):
            self._tell_end(key, known.dispatcher)
            self._forget(key)
        known.busy = busy

    def note_alive(self, dispatcher: bytes) -> None:
        """Note that a dispatcher places openings, or has them wait.

        Parameters
        ----------
        dispatcher : bytes
            Its packed address.
        """
        self._alive_s[dispatcher] = self._now_s()
        self._distrusted_until_s.pop(dispatcher, None)

    def _tell_end(self, key: FlowKey, dispatcher: bytes) -> None:
        ended = WorkEnded(flows=[pack_flow(key)])
        self._send(RegistryMessage(ended=ended), dispatcher)

    def take_back(self, key: FlowKey) -> None:
        """Note that a dispatcher does not place an opening; this instance does.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        """
        self._counters["openings_returned"] += 1
        known = self._relayed.get(key)
        if known is not None:
            self.note_alive(known.dispatcher)
            self._forget(key)

    def _forget(self, key: FlowKey) -> None:
        known = self._relayed.pop(key)
        if not known.placed:
            self._count_on_its_way(known.service, -1)

    def _count_on_its_way(self, service: str, change: int) -> None:
        self._on_their_way[service] = self._on_their_way.get(service, 0) + change

    def sweep(self) -> None:
        """Forget what was relayed long ago; to be called about once a second."""
        oldest_s = self._now_s() - _FORGET_S
        for key, known in list(self._relayed.items()):
            if known.last_s < oldest_s:
                self._forget(key)
        for by_dispatcher in (self._alive_s, self._distrusted_until_s):
            for dispatcher in set(by_dispatcher) - set(self._groups.dispatchers):
                del by_dispatcher[dispatcher]
