"""Polls control instances, and receives their state.

An entry instance follows some control instances, see `_selection`; a control instance
follows all others that are reachable, see `Subscription.reachable_links`.
"""

from collections.abc import Callable, Mapping

from agatethread.observability import Counters, Event, make_logger
from agatethread.registry._chunks import TableAssembler
from agatethread.registry._control_link import CONTROL_LEASE_S, ControlLink
from agatethread.registry._evacuations import EvacuationPublisher, EvacuationReceiver
from agatethread.registry._own_domain import (
    OwnDomainSelector,
    add_own_domain_controls,
    choose_other_count,
)
from agatethread.registry._presence import DomainView, merge_counts
from agatethread.registry._probing import ControlProber
from agatethread.registry._report import START_UNKNOWN
from agatethread.registry._selection import (
    choose_followed,
    choose_routes_source,
    follows_enough,
    should_poll,
)
from agatethread.wire.registry_pb2 import (
    PRESENCE_UNKNOWN,
    BackendRun,
    Delta,
    Evacuations,
    Poll,
    Presence,
    RegistryMessage,
    RoutesChunk,
    RoutingTable,
    Sighting,
    Sightings,
)

log = make_logger("registry")

Send = Callable[[RegistryMessage, bytes], None]


OnNumberedReport = Callable[[int, int, Mapping[str, int], bytes], None]


def _ignore_report(*_: object) -> None:
    """Default of `Subscription.on_numbered_report`, for entry instances."""


class Subscription:
    """Follows control instances, and passes on their changes.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this process.
    is_control : bool
        Whether this process is a control instance.
    seeds : list of bytes
        Packed registry addresses of the initial control instances.
    own_address : bytes
        Packed registry address of this process; it does not follow itself.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    on_run : callable
        Called with each run that changed, and the packed address of the sender.
    on_routes : callable
        Called with each newer routing table.
    counters : Counters
        Counters of rejected messages.
    evacuations : EvacuationReceiver or EvacuationPublisher, optional
        Store of received evacuations; a control instance passes its publisher, which
        gets evacuations from the Raft log.
    """

    def __init__(
        self,
        failure_domain: str,
        is_control: bool,
        seeds: list[bytes],
        own_address: bytes,
        send: Send,
        now_s: Callable[[], float],
        on_run: Callable[[BackendRun, bytes], None],
        on_routes: Callable[[RoutingTable], None],
        counters: Counters,
        evacuations: EvacuationReceiver | EvacuationPublisher | None = None,
    ):
        self._failure_domain = failure_domain
        self._is_control = is_control
        self._own_address = own_address
        self._send = send
        self._now_s = now_s
        self._on_run = on_run
        self._on_routes = on_routes
        self._counters = counters
        self._evacuations = evacuations or EvacuationReceiver()
        self._incoming_table = TableAssembler()
        #: Presence of this entry instance, sent with polls.
        self.presence: Presence = PRESENCE_UNKNOWN
        self.routes_version = 0
        #: Control instance that sends routing tables; None while all followed may.
        self._routes_source: ControlLink | None = None
        #: Called for each report sent by run number, with number, sequence, the start
        #: times known to the sender and its address; control instances receive these.
        self.on_numbered_report: OnNumberedReport = _ignore_report
        self.links: dict[bytes, ControlLink] = {}
        self._own_domain_selector = OwnDomainSelector(failure_domain, now_s)
        self._followed: list[ControlLink] = []
        self._prober = ControlProber(
            failure_domain, is_control, self.links.values, self._send_probe, now_s
        )
        for seed in seeds:
            self.add_control(seed, "")

    def add_control(self, address: bytes, failure_domain: str) -> None:
        """Add a control instance.

        Parameters
        ----------
        address : bytes
            Packed registry address of the control instance.
        failure_domain : str
            Failure domain of the control instance; empty if unknown.
        """
        if address == self._own_address:
            return
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = ControlLink(address)
        link.failure_domain = failure_domain or link.failure_domain

    def reachable_links(self) -> list[ControlLink]:
        """Return the control instances that sent a message in the last second.

        Returns
        -------
        list of ControlLink
            Control instances in no particular order.
        """
        oldest_s = self._now_s() - CONTROL_LEASE_S
        return [link for link in self.links.values() if link.last_message_s > oldest_s]

    def probe_if_unreachable(self) -> None:
        """Send probes if no control instance sent a message in the last second."""
        if not self.reachable_links():
            self._prober.probe_unfollowed([])

    def poll(self) -> None:
        """Poll the followed control instances, and probe others if needed."""
        self._mark_unreachable()
        if self._is_control:
            followed = self.reachable_links()
            self._poll_followed(followed)
            self._prober.probe_unfollowed(followed)
            return
        own_domain = self._choose_own_domain()
        if own_domain:
            self._unsubscribe_from_others(own_domain)
            self._poll_followed(own_domain)
            self._prober.probe_other_domains(own_domain)
            return
        reachable, domain = self.reachable_links(), self._failure_domain
        others_count = choose_other_count(self.links.values(), reachable, domain)
        followed = choose_followed(reachable, domain, others_count)
        polled = add_own_domain_controls(followed, reachable, domain)
        self._poll_followed(polled)
        if not follows_enough(followed, 1 + others_count):
            self._prober.probe_unfollowed(polled)
        else:
            self._prober.probe_own_domain(polled)

    def _choose_own_domain(self) -> list[ControlLink]:
        """Return those of the own failure domain if others exist and they suffice."""
        domain = self._failure_domain
        if all(link.failure_domain == domain for link in self.links.values()):
            return []
        return self._own_domain_selector.choose(self.reachable_links())

    def _poll_followed(self, followed: list[ControlLink]) -> None:
        self._followed = followed
        self._routes_source = choose_routes_source(followed, self.routes_version)
        for link in followed:
            self._send_poll(link, wants_reply=True)

    def _unsubscribe_from_others(self, followed: list[ControlLink]) -> None:
        for link in self.links.values():
            was_polled = link.seen_index > 0 or link.polled_s > float("-inf")
            if was_polled and not link.is_unfollowed and link not in followed:
                link.unfollow()
                self._acknowledge(link)

    def _mark_unreachable(self) -> None:
        now_s = self._now_s()
        for link in self.links.values():
            if link.is_logged_reachable and link.is_lost(now_s):
                link.is_logged_reachable = False
                log.info(
                    Event.CONTROL_UNREACHABLE,
                    address=link.address.hex(),
                    failure_domain=link.failure_domain,
                    silent_s=round(now_s - link.last_message_s, 3),
                    unanswered_s=round(now_s - link.unanswered_since_s, 3),
                    unanswered=link.unanswered_count,
                )

    def _send_probe(self, link: ControlLink) -> None:
        """Send a probe; only the own failure domain answers with missing changes."""
        link.probed_s = self._now_s()
        self._send_poll(link, wants_reply=True, probe=not self._is_control)

    def _send_poll(
        self, link: ControlLink, wants_reply: bool, probe: bool = False
    ) -> None:
        if wants_reply:  # else an acknowledgement or, as a probe, an unsubscription
            link.record_request(self._now_s())
            if not probe:
                link.polled_s = link.requested_s
                link.is_unfollowed = False
        routes_source = self._routes_source
        poll = Poll(
            hub_incarnation=link.incarnation,
            seen_index=link.seen_index,
            routes_version=self.routes_version,
            failure_domain=self._failure_domain,
            is_control=self._is_control,
            wants_reply=wants_reply,
            presence=self.presence,
            probe=probe,
            without_routes=routes_source is not None and routes_source is not link,
            evacuations_version=self._evacuations.acknowledged_version,
            takes_numbers=self._is_control,
            dispatchers_digest=link.dispatchers_digest,
        )
        self._send(RegistryMessage(poll=poll), link.address)

    def _acknowledge(self, link: ControlLink) -> None:
        """Acknowledge received changes; unsubscribe from an unfollowed instance."""
        self._send_poll(link, wants_reply=False, probe=link.is_unfollowed)

    def send_sightings(self, sightings: list[Sighting]) -> None:
        """Send sightings of runs to the followed control instances.

        Parameters
        ----------
        sightings : list of Sighting
            Runs that flows wait for, or that answered while other flows wait.
        """
        message = RegistryMessage(sightings=Sightings(runs=sightings))
        for link in self._followed:
            self._send(message, link.address)

    def on_delta(self, delta: Delta, source: bytes) -> None:
        """Apply and acknowledge changes of a control instance.

        Parameters
        ----------
        delta : Delta
            Changes and header fields.
        source : bytes
            Packed address of the sender.
        """
        link = self.links.get(source)
        if link is None:
            self._counters["registry_stranger"] += 1
            return
        link.record_message(delta, self._now_s())
        for control in delta.controls:
            self.add_control(control.address, control.failure_domain)
        if delta.HasField("hub"):
            link.update_state(delta.hub, self._now_s())
            link.controls = frozenset(control.address for control in delta.controls)
        if not (delta.runs or delta.reporting or delta.complete):  # a greeting
            self._on_greeting(link)
            return
        if delta.after_index > link.seen_index:
            # An earlier message was lost and will be resent.
            self._counters["registry_gap"] += 1
            return
        for run in delta.runs:
            self._receive_run(link, run)
        for number, sequence in zip(delta.reporting, delta.sequences, strict=False):
            self.on_numbered_report(number, sequence, link.live_starts, source)
        if link.advance(delta):
            self._acknowledge(link)
        if delta.complete and not link.is_unfollowed:
            link.complete = True

    def _on_greeting(self, link: ControlLink) -> None:
        """Poll a control instance, unless polled ones already send the same state."""
        now_s = self._now_s()
        if should_poll(link, self.reachable_links(), now_s, self.routes_version):
            self._send_poll(link, wants_reply=True)

    def _receive_run(self, link: ControlLink, run: BackendRun) -> None:
        if run.ended or run.silent:
            link.live_starts.pop(run.id, None)
        else:
            link.live_starts[run.id] = run.started_ms
        self._on_run(run, link.address)

    def on_chunk(self, chunk: RoutesChunk, source: bytes) -> None:
        """Store a part of a routing table; pass the table on when it is complete.

        Parameters
        ----------
        chunk : RoutesChunk
            Part of the table.
        source : bytes
            Packed address of the sender.
        """
        link = self.links.get(source)
        if link is None or chunk.version <= self.routes_version:
            return
        # Applied before the table, so that no flow is placed without evacuations.
        self._evacuations.apply_newer(chunk.evacuations)
        if not 0 <= chunk.number < chunk.count:
            self._counters["registry_unreadable"] += 1
            return
        table = self._incoming_table.add_chunk(chunk)
        if table is None:
            return
        self.routes_version = table.version
        self._on_routes(table)
        self._acknowledge(link)

    def on_evacuations(self, evacuations: Evacuations, source: bytes) -> None:
        """Store and acknowledge the evacuated failure domains.

        Parameters
        ----------
        evacuations : Evacuations
            All evacuations in force.
        source : bytes
            Packed address of the sender.
        """
        link = self.links.get(source)
        if link is None:
            return
        self._evacuations.apply_newer(evacuations)
        self._acknowledge(link)

    def is_complete(self) -> bool:
        """Return whether a reachable control instance has sent its full state.

        Returns
        -------
        bool
            Whether one that knows every reporting backend server has sent them all.
        """
        return any(link.settled and link.complete for link in self.reachable_links())

    def own_domain_view(self, since_s: float) -> DomainView | None:
        """Return counts of the other entry instances of the own failure domain.

        Parameters
        ----------
        since_s : float
            Counts received earlier are ignored.

        Returns
        -------
        DomainView or None
            None if no counts were received since then.
        """
        links = [
            link for link in self.links.values() if link.domain_received_s >= since_s
        ]
        return merge_counts(link.domain for link in links)

    def is_reporting(self, run_id: str, started_ms: int = START_UNKNOWN) -> bool:
        """Return whether a run may be alive, according to reachable control instances.

        Parameters
        ----------
        run_id : str
            Id of the run.
        started_ms : int, optional
            Start time of the run.

        Returns
        -------
        bool
            True also if no reachable control instance has sent its full state.
        """
        synchronized = [
            link for link in self.reachable_links() if link.settled and link.complete
        ]
        if not synchronized:
            return True
        return any(link.live_starts.get(run_id) == started_ms for link in synchronized)
