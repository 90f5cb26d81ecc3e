"""Shares the placing of openings among the entry instances of a failure domain.

An instance relays the openings of its own callers, and places openings on some backend
servers if control instances chose it as their dispatcher.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from agatethread.datapath._backend import Backend
from agatethread.datapath._dispatching import OpeningDispatcher
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._handover import OtherDispatchers
from agatethread.datapath._packets import FlowKey, Packet, unpack_flow
from agatethread.datapath._received_openings import OpeningActions
from agatethread.datapath._relaying import OpeningRelay
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

#: Time between two ticks or messages that counts as a pause of the process; several
#: timer intervals of 0.05 s. Callers have sent copies by then, after 0.2 s, so older
#: openings are dropped.
_MIN_PAUSE_S = 0.2
#: Time after a pause in which the messages that arrived during it are read.
_CATCH_UP_S = 0.1


class SharedPlacing:
    """Relays openings to dispatchers, and places those relayed to this instance.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    failure_domain : str
        Of this instance.
    runs_of : callable
        Returns a service's runs.
    is_candidate : callable
        Returns whether a run may receive a new flow.
    decode : callable
        Decodes a caller's packet; raises `DatagramError`.
    table : callable
        Returns the routing table in force.
    actions : OpeningActions
        Forwards openings and sends messages.
    place_here : callable
        Places an opening by this instance's own counts.
    refuse : callable
        Refuses a caller's flow with a reason.
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
        is_candidate: Callable[[Backend], bool],
        decode: Callable[[bytes], Packet],
        table: Callable[[], RouteTable],
        actions: OpeningActions,
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
        self._send_remote = actions.send
        self._place_here = place_here
        self._refuse = refuse
        self._counters = counters
        self._now_s = now_s
        self._last_active_s = now_s()
        #: Until then messages may be older than the latest pause.
        self._catching_up_until_s = now_s()
        self._groups = ServerGroups(failure_domain, runs_of, is_candidate, now_s)
        self._others = OtherDispatchers(own_address, failure_domain, now_s)
        own_actions = replace(actions, send=self._send)
        self.dispatcher = OpeningDispatcher(
            own_address,
            self._groups,
            self._others,
            own_actions,
            now_s,
            counters,
            policies,
        )
        self._relay = OpeningRelay(
            own_address, self._groups, runs_of, self._send, now_s, counters
        )

    def _send(self, message: RegistryMessage, address: bytes) -> None:
        """Send a message, to this instance itself without the network."""
        if address == self._own_address:
            self.on_message(message, address)
        else:
            self._send_remote(message, address)

    def set_dispatchers(self, dispatchers: Mapping[str, Dispatchers]) -> None:
        """Store the dispatchers of each failure domain.

        Parameters
        ----------
        dispatchers : mapping of str to Dispatchers
            By failure domain.
        """
        self._groups.set_dispatchers(dispatchers.get(self._failure_domain))
        self._others.set_dispatchers(dispatchers)

    def relay(self, packet: Packet, service: str) -> bool:
        """Relay a caller's opening to a dispatcher if its service is under pressure.

        Parameters
        ----------
        packet : Packet
            The opening.
        service : str
            The chosen service.

        Returns
        -------
        bool
            False if this instance has to place it.
        """
        if self._detect_pause():
            return False
        return self._relay.relay(packet, service, self._table().version)

    def record_relayed_flow(
        self, key: FlowKey, backend: Backend, loads: FlowLoads
    ) -> None:
        """Record a relayed flow like one that this instance placed.

        To be called before a packet of an open flow is recorded, so that the packet
        counts as the answer to the opening.

        Parameters
        ----------
        key : FlowKey
            The flow.
        backend : Backend
            The run that the packet's label names.
        loads : FlowLoads
            Stores the flows.
        """
        sent_s = self._relay.unplaced_sent_s(key)
        if sent_s is not None and loads.get_flow(key) is None:
            loads.record_opening(key, backend, sent_s)

    def on_packet(self, key: FlowKey, is_busy: bool, is_over: bool) -> None:
        """Update a relayed flow by a packet of its caller.

        Parameters
        ----------
        key : FlowKey
            The flow.
        is_busy : bool
            Whether a request waits for its answer.
        is_over : bool
            Whether the flow has ended.
        """
        self._relay.on_packet(key, is_busy, is_over)

    def on_message(self, message: RegistryMessage, source: bytes) -> None:
        """Handle a message of another entry instance, or of this one itself.

        Parameters
        ----------
        message : RegistryMessage
            The message; ignored unless it is about openings.
        source : bytes
            Packed address of the sender.

        Raises
        ------
        DatagramError
            If a packet in it is malformed.
        """
        is_catching_up = self._detect_pause()
        body = message.WhichOneof("body")
        if body == "relayed" and is_catching_up:
            self._counters["relayed_too_old"] += 1
        elif body == "relayed":
            self._on_relayed(message.relayed, source)
        elif body == "returned":
            self._on_returned(message.returned)
        elif body == "ended":
            self._on_ended(message)
        elif body == "load":
            self._relay.record_liveness(source, self._now_s())
            self._others.on_load(message.load, source)

    def _on_relayed(self, relayed: RelayedOpening, source: bytes) -> None:
        packet = self._decode(relayed.packet)
        if not packet.opens:
            raise DatagramError("relayed packet opens no flow")
        route = self._find_route(packet, relayed)
        if route is None or not self.dispatcher.has_server(relayed.service):
            # The tables differ, or no server of this dispatcher accepts new flows.
            returned = ReturnedOpening(opening=relayed)
            self._send(RegistryMessage(returned=returned), source)
            return
        self.dispatcher.receive(packet, route, relayed, source)

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
            if self._relay.on_return(packet.key):
                self._refuse(packet, "no_room")
            return
        if not opening.origin:
            # Not handed over, so it came from the relay of this instance.
            if self._relay.on_return(packet.key):
                self._place_here(packet)
            return
        if self._others.pop_handover(packet.key) is None:
            return
        route = self._find_route(packet, opening)
        if route is not None and self.dispatcher.has_server(opening.service):
            self.dispatcher.receive(packet, route, opening, self._own_address)
        else:
            self._place_here(packet)

    def _on_ended(self, message: RegistryMessage) -> None:
        for data in message.ended.flows:
            key = unpack_flow(data)
            if key is None:
                self._counters["registry_unreadable"] += 1
            else:
                self.dispatcher.on_end(key)

    def _detect_pause(self) -> bool:
        """Return whether messages read now may have arrived during a pause.

        Deletes the openings of the dispatcher if a pause has just ended.
        """
        now_s = self._now_s()
        if now_s - self._last_active_s > _MIN_PAUSE_S:
            self._catching_up_until_s = now_s + _CATCH_UP_S
            self.dispatcher.reset()
            self._relay.on_resume()
        self._last_active_s = now_s
        return now_s < self._catching_up_until_s

    def tick(self) -> None:
        """Expire places and process waiting openings, about 20 times a second."""
        self._detect_pause()
        self.dispatcher.tick()

    def sweep(self) -> None:
        """Delete outdated flows, handovers and report times, about once a second."""
        self._relay.sweep()
        self.dispatcher.sweep()

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges of waiting and relayed openings by name.

        Returns
        -------
        dict of str to callable
            Called when metrics are read.
        """
        return {
            "openings_in_line": lambda: float(self.dispatcher.waiting_count()),
            "openings_relayed_open": lambda: float(len(self._relay)),
            "dispatchers_at_home": lambda: float(len(self._groups.dispatchers)),
        }

    def histograms(self) -> dict[str, Histogram]:
        """Return the histograms by name.

        Returns
        -------
        dict of str to Histogram
            Time that callers of dispatched openings had waited.
        """
        return {"opening_waited_s": self.dispatcher.waited_s}
