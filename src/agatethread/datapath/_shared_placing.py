"""Placing that the entry instances of a failure domain share under pressure.

Joins the two sides of it in one instance: it relays the openings of its own callers,
and it is a dispatcher for some backend servers if control instances chose it.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from agatethread.datapath._backend import Backend
from agatethread.datapath._dispatching import OpeningDispatcher
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._handing_over import OtherDispatchers
from agatethread.datapath._packets import FlowKey, Packet, unpack_flow
from agatethread.datapath._relaying import OpeningRelay
from agatethread.datapath._taken import Hands
from agatethread.exceptions import DatagramError
from agatethread.observability import Counters, Histogram
from agatethread.routing import Route, RouteTable
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import (
    Dispatchers,
    RegistryMessage,
    RelayedOpening,
    ReturnedOpening,
)

#: A pause in which this instance can't have run: its timers call it each 0.05 s. What
#: was relayed to it before is of no use, since callers' copies come after 0.2 s.
_PAUSE_S = 0.2
#: How long it takes to read what had come to its socket meanwhile.
_CATCH_UP_S = 0.1


class SharedPlacing:
    """Handles what entry instances tell each other of openings.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    failure_domain : str
        Of this instance.
    runs_of : callable
        Lists a service's runs.
    may_take : callable
        Tells whether a run may be given a new flow.
    decode : callable
        Reads a caller's packet; raises `DatagramError`.
    table : callable
        Returns the routing table in force.
    hands : Hands
        What is done with an opening.
    place_here : callable
        Places an opening by this instance's own counts.
    refuse : callable
        Tells a caller that its flow is not taken on, and why.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts decisions.
    policies : Policies, optional
        How servers are chosen.
    """

    def __init__(
        self,
        own_address: bytes,
        failure_domain: str,
        runs_of: Callable[[str], Sequence[Backend]],
        may_take: Callable[[Backend], bool],
        decode: Callable[[bytes], Packet],
        table: Callable[[], RouteTable],
        hands: Hands,
        place_here: Callable[[Packet], None],
        refuse: Callable[[Packet, str], None],
        now_s: Callable[[], float],
        counters: Counters,
        policies: Policies = DEFAULT_POLICIES,
    ):
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._decode = decode
        self._table = table
        self._send_away = hands.send
        self._place_here = place_here
        self._refuse = refuse
        self._counters = counters
        self._now_s = now_s
        self._ran_s = now_s()
        #: Until when what is read may be as old as the last pause.
        self._behind_until_s = now_s()
        self._groups = ServerGroups(failure_domain, runs_of, may_take, now_s)
        self._others = OtherDispatchers(own_address, failure_domain, now_s)
        own_hands = replace(hands, send=self._send)
        self.dispatcher = OpeningDispatcher(
            own_address,
            self._groups,
            self._others,
            own_hands,
            now_s,
            counters,
            policies,
        )
        self._relay = OpeningRelay(
            own_address, self._groups, runs_of, self._send, now_s, counters
        )

    def _send(self, message: RegistryMessage, address: bytes) -> None:
        """Send a message; one to this instance itself needs no network."""
        if address == self._own_address:
            self.on_message(message, address)
        else:
            self._send_away(message, address)

    def take_dispatchers(self, told: Mapping[str, Dispatchers]) -> None:
        """Take who places openings in each failure domain.

        Parameters
        ----------
        told : mapping of str to Dispatchers
            By failure domain.
        """
        self._groups.take(told.get(self._failure_domain))
        self._others.take(told)

    def relay(self, packet: Packet, service: str) -> bool:
        """Relay an opening of a caller, if it is better placed elsewhere.

        Parameters
        ----------
        packet : Packet
            The opening.
        service : str
            Where it goes.

        Returns
        -------
        bool
            False if this instance is to place it.
        """
        if self._is_behind():
            return False
        return self._relay.relay(packet, service, self._table().version)

    def adopt(self, key: FlowKey, backend: Backend, loads: FlowLoads) -> None:
        """Record a relayed flow as if it had been placed here.

        To be called before a packet of an open flow is noted: that it comes shows that
        the backend server has answered the opening.

        Parameters
        ----------
        key : FlowKey
            The flow.
        backend : Backend
            The run that its label names.
        loads : FlowLoads
            Where flows are recorded.
        """
        asked_s = self._relay.asked_s(key)
        if asked_s is not None and loads.find(key) is None:
            loads.open(key, backend, asked_s)

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
        self._relay.note_packet(key, busy, over)

    # -- messages -----------------------------------------------------------------

    def on_message(self, message: RegistryMessage, source: bytes) -> None:
        """Take what another entry instance, or this one itself, tells.

        Parameters
        ----------
        message : RegistryMessage
            The message; others than those of openings are left alone.
        source : bytes
            Packed address of the sender.

        Raises
        ------
        DatagramError
            If a packet in it is none.
        """
        is_behind = self._is_behind()
        body = message.WhichOneof("body")
        if body == "relayed" and is_behind:
            self._counters["relayed_too_old"] += 1
        elif body == "relayed":
            self._on_relayed(message.relayed, source)
        elif body == "returned":
            self._on_returned(message.returned)
        elif body == "ended":
            self._on_ended(message)
        elif body == "load":
            self._relay.note_alive(source, self._now_s())
            self._others.on_load(message.load, source)

    def _on_relayed(self, relayed: RelayedOpening, source: bytes) -> None:
        packet = self._decode(relayed.packet)
        if not packet.opens:
            raise DatagramError("relayed packet opens no flow")
        route = self._find_route(packet, relayed)
        if route is None or not self.dispatcher.places_for(relayed.service):
            # Only under the same table both read the route alike.
            returned = ReturnedOpening(opening=relayed)
            self._send(RegistryMessage(returned=returned), source)
            return
        self.dispatcher.take(packet, route, relayed, source)

    def _find_route(self, packet: Packet, relayed: RelayedOpening) -> Route | None:
        table = self._table()
        if relayed.table_version != table.version:
            return None
        route = table.routes.get((packet.key.host, packet.key.port))
        if route is None:
            return None
        allowed = {target.service for target in route.targets if target.weight > 0}
        return route if relayed.service in allowed else None

    def _on_returned(self, returned: ReturnedOpening) -> None:
        opening = returned.opening
        packet = self._decode(opening.packet)
        if returned.refused:
            if self._relay.take_back(packet.key):
                self._refuse(packet, "no_room")
            return
        if not opening.origin:
            if self._relay.take_back(packet.key):
                self._place_here(packet)
            return
        # It was handed over from here.
        if self._others.take_given(packet.key) is None:
            return
        route = self._find_route(packet, opening)
        if route is not None and self.dispatcher.places_for(opening.service):
            self.dispatcher.take(packet, route, opening, self._own_address)
        else:
            self._place_here(packet)

    def _on_ended(self, message: RegistryMessage) -> None:
        for data in message.ended.flows:
            key = unpack_flow(data)
            if key is None:
                self._counters["registry_unreadable"] += 1
            else:
                self.dispatcher.on_end(key)

    # -- time ---------------------------------------------------------------------

    def _is_behind(self) -> bool:
        """Tell whether what is read now may have come before a pause."""
        now_s = self._now_s()
        if now_s - self._ran_s > _PAUSE_S:
            self._behind_until_s = now_s + _CATCH_UP_S
            self.dispatcher.forget()
            self._relay.wake()
        self._ran_s = now_s
        return now_s < self._behind_until_s

    def tick(self) -> None:
        """Place or refuse those who wait; to be called some 20 times a second."""
        self._is_behind()
        self.dispatcher.tick()

    def sweep(self) -> None:
        """Forget what is over; to be called about once a second."""
        self._relay.sweep()
        self.dispatcher.sweep()

    # -- measures -----------------------------------------------------------------

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Name what is measured of openings under pressure.

        Returns
        -------
        dict of str to callable
            Read when somebody asks for metrics.
        """
        return {
            "openings_in_line": lambda: float(self.dispatcher.waiting_count()),
            "openings_relayed_open": lambda: float(len(self._relay)),
            "dispatchers_at_home": lambda: float(len(self._groups.dispatchers)),
        }

    def histograms(self) -> dict[str, Histogram]:
        """Name the times that are measured.

        Returns
        -------
        dict of str to Histogram
            How long callers of dispatched openings had waited.
        """
        return {"opening_waited_s": self.dispatcher.waited_s}
