"""The receiving side of the registry: polls to control instances, and what they bring.

An entry instance follows some control instances, see `_following`; a control instance
follows all the others.
"""

from collections.abc import Callable, Mapping

from agatethread.observability import Counters, Event, make_logger
from agatethread.registry._chunks import ChunkedTable
from agatethread.registry._evacuations import EvacuationPublisher, KnownEvacuations
from agatethread.registry._following import (
    choose_followed,
    choose_routes_teller,
    is_enough,
    needs_asking,
)
from agatethread.registry._home import HomeChoice, add_home, count_others
from agatethread.registry._knocking import Knocker
from agatethread.registry._link import HubLink
from agatethread.registry._presence import DomainView, merge_counts
from agatethread.registry._report import START_NOT_TOLD
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

#: A followed hub that has not answered for so long is replaced: two polls and a
#: resend, short beside the seconds in which a change must be in force.
_HUB_LEASE_S = 1.0

log = make_logger("registry")

Send = Callable[[RegistryMessage, bytes], None]


def _pass_over(number: int, sequence: int, starts: Mapping[str, int]) -> None:
    """Take no report."""


class Subscription:
    """Follows control instances and hands on what they say.

    Parameters
    ----------
    failure_domain : str
        Of this process.
    is_control : bool
        Whether this process is a control instance itself.
    seeds : list of bytes
        Packed registry addresses of some control instances.
    own_address : bytes
        Packed registry address of this process, which it does not follow.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    on_run : callable
        Called with each run that changed.
    on_routes : callable
        Called with each newer routing table.
    counters : Counters
        Counts what arrives.
    evacuations : KnownEvacuations or EvacuationPublisher, optional
        What is known of them; a control instance has them from the log, and says what
        its entry instances know.
    """

    def __init__(
        self,
        failure_domain: str,
        is_control: bool,
        seeds: list[bytes],
        own_address: bytes,
        send: Send,
        now_s: Callable[[], float],
        on_run: Callable[[BackendRun], None],
        on_routes: Callable[[RoutingTable], None],
        counters: Counters,
        evacuations: KnownEvacuations | EvacuationPublisher | None = None,
    ):
        self._failure_domain = failure_domain
        self._is_control = is_control
        self._own_address = own_address
        self._send = send
        self._now_s = now_s
        self._on_run = on_run
        self._on_routes = on_routes
        self._counters = counters
        self._evacuations = evacuations or KnownEvacuations()
        self._arriving = ChunkedTable()
        #: What polls say of this process, where it is an entry instance.
        self.presence: Presence = PRESENCE_UNKNOWN
        self.routes_version = 0
        #: The one that tells of routing tables; None while all are to.
        self._routes_teller: HubLink | None = None
        #: Takes a report that a control instance tells by its number, its sequence, and
        #: the starts that this one told before; only control instances are told so.
        self.on_number: Callable[[int, int, Mapping[str, int]], None] = _pass_over
        self.links: dict[bytes, HubLink] = {}
        self._home = HomeChoice(failure_domain, now_s)
        self._followed: list[HubLink] = []
        self._knocker = Knocker(
            failure_domain, is_control, self.links.values, self._knock_at, now_s
        )
        for seed in seeds:
            self.meet(seed, "")

    def meet(self, address: bytes, failure_domain: str) -> None:
        """Note that there is a control instance.

        Parameters
        ----------
        address : bytes
            Its packed registry address.
        failure_domain : str
            Of it; empty if not known.
        """
        if address == self._own_address:
            return
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = HubLink(address)
        link.failure_domain = failure_domain or link.failure_domain

    # -- polls --------------------------------------------------------------------

    def live(self) -> list[HubLink]:
        """List the control instances that answered lately.

        Returns
        -------
        list of HubLink
            In no particular order.
        """
        oldest_s = self._now_s() - _HUB_LEASE_S
        return [link for link in self.links.values() if link.heard_s > oldest_s]

    def knock_urgently(self) -> None:
        """Ask again at once while no control instance answers."""
        if not self.live():
            self._knocker.knock([])

    def poll(self) -> None:
        """Ask the followed control instances for what is new."""
        self._note_lost()
        if self._is_control:
            followed = self.live()
            self._ask(followed)
            self._knocker.knock(followed)
            return
        home = self._choose_home()
        if home:
            self._leave_all_but(home)
            self._ask(home)
            self._knocker.watch(home)
            return
        live, domain = self.live(), self._failure_domain
        others_count = count_others(self.links.values(), live, domain)
        followed = choose_followed(live, domain, others_count)
        asked = add_home(followed, live, domain)
        self._ask(asked)
        if not is_enough(followed, 1 + others_count):
            self._knocker.knock(asked)
        else:
            self._knocker.knock_at_home(asked)

    def _choose_home(self) -> list[HubLink]:
        """Choose those at home if others are none the wiser, and bytes are saved."""
        domain = self._failure_domain
        if all(link.failure_domain == domain for link in self.links.values()):
            return []
        return self._home.choose(self.live())

    def _ask(self, followed: list[HubLink]) -> None:
        self._followed = followed
        self._routes_teller = choose_routes_teller(followed, self.routes_version)
        for link in followed:
            self._send_poll(link, wants_reply=True)

    def _leave_all_but(self, followed: list[HubLink]) -> None:
        for link in self.links.values():
            was_asked = link.seen_index > 0 or link.polled_s > float("-inf")
            if was_asked and not link.is_left and link not in followed:
                link.leave()
                self._acknowledge(link)

    def _note_lost(self) -> None:
        for link in self.links.values():
            # One that is not asked any more says nothing, and is not lost by that.
            unanswered_s = self._now_s() - link.unanswered_s
            if link.in_sight and unanswered_s > _HUB_LEASE_S:
                link.in_sight = False
                log.info(
                    Event.CONTROL_OUT_OF_SIGHT,
                    address=link.address.hex(),
                    failure_domain=link.failure_domain,
                    silent_s=round(self._now_s() - link.heard_s, 3),
                )

    def _knock_at(self, link: HubLink) -> None:
        """Ask whether a control instance is there.

        An entry instance asks one of those that are for the rest: of three that told it
        of all runs and routes at once, two would take its link in vain. One of its own
        failure domain tells it all the same.
        """
        link.knocked_s = self._now_s()
        self._send_poll(link, wants_reply=True, probe=not self._is_control)

    def _send_poll(self, link: HubLink, wants_reply: bool, probe: bool = False) -> None:
        if wants_reply:
            link.asked_s = self._now_s()
            link.unanswered_s = min(link.unanswered_s, link.asked_s)
            if not probe:
                link.polled_s = link.asked_s
                link.is_left = False
        teller = self._routes_teller
        poll = Poll(
            hub_incarnation=link.incarnation,
            seen_index=link.seen_index,
            routes_version=self.routes_version,
            failure_domain=self._failure_domain,
            is_control=self._is_control,
            wants_reply=wants_reply,
            presence=self.presence,
            probe=probe,
            without_routes=teller is not None and teller is not link,
            evacuations_version=self._evacuations.known_version,
            takes_numbers=self._is_control,
            dispatchers_digest=link.dispatchers_digest,
        )
        self._send(RegistryMessage(poll=poll), link.address)

    def _acknowledge(self, link: HubLink) -> None:
        """Say what arrived; to one that is left, that nothing more needs to."""
        self._send_poll(link, wants_reply=False, probe=link.is_left)

    def tell(self, sightings: list[Sighting]) -> None:
        """Tell the followed control instances what is seen of runs.

        Parameters
        ----------
        sightings : list of Sighting
            Runs that flows wait for, or that have answered while others wait.
        """
        message = RegistryMessage(sightings=Sightings(runs=sightings))
        for link in self._followed:
            self._send(message, link.address)

    # -- what arrives -------------------------------------------------------------

    def on_delta(self, delta: Delta, source: bytes) -> None:
        """Take what changed at a control instance, and acknowledge it.

        Parameters
        ----------
        delta : Delta
            The changes.
        source : bytes
            Packed address of the sender.
        """
        link = self.links.get(source)
        if link is None:
            self._counters["registry_stranger"] += 1
            return
        link.note_heard(delta, self._now_s())
        for control in delta.controls:
            self.meet(control.address, control.failure_domain)
        if delta.HasField("hub"):
            link.note_hub(delta.hub, self._now_s())
            link.controls = frozenset(one.address for one in delta.controls)
        if not (delta.runs or delta.reporting or delta.complete):
            self._on_greeting(link)
            return
        if delta.after_index > link.seen_index:
            # Something before it was lost; it comes again.
            self._counters["registry_gap"] += 1
            return
        for run in delta.runs:
            self._take_run(link, run)
        for number, sequence in zip(delta.reporting, delta.sequences, strict=False):
            self.on_number(number, sequence, link.reporting)
        if link.take(delta):
            self._acknowledge(link)
        if delta.complete and not link.is_left:
            link.complete = True

    def _on_greeting(self, link: HubLink) -> None:
        """Ask a control instance that is there, unless one as good tells already."""
        now_s = self._now_s()
        if needs_asking(link, self.live(), now_s, self.routes_version):
            self._send_poll(link, wants_reply=True)

    def _take_run(self, link: HubLink, run: BackendRun) -> None:
        if run.ended or run.silent:
            link.reporting.pop(run.id, None)
        else:
            link.reporting[run.id] = run.started_ms
        self._on_run(run)

    def on_chunk(self, chunk: RoutesChunk, source: bytes) -> None:
        """Take a part of a routing table; the whole is handed on when it is there.

        Parameters
        ----------
        chunk : RoutesChunk
            The part.
        source : bytes
            Packed address of the sender.
        """
        link = self.links.get(source)
        if link is None or chunk.version <= self.routes_version:
            return
        # Before the table can be whole: nothing is placed without knowing them.
        self._evacuations.take(chunk.evacuations)
        if not 0 <= chunk.number < chunk.count:
            self._counters["registry_unreadable"] += 1
            return
        table = self._arriving.add(chunk)
        if table is None:
            return
        self.routes_version = table.version
        self._on_routes(table)
        self._acknowledge(link)

    def on_evacuations(self, evacuations: Evacuations, source: bytes) -> None:
        """Take the evacuated failure domains, and acknowledge them.

        Parameters
        ----------
        evacuations : Evacuations
            All of them.
        source : bytes
            Packed address of the sender.
        """
        link = self.links.get(source)
        if link is None:
            return
        self._evacuations.take(evacuations)
        self._acknowledge(link)

    # -- what is known ------------------------------------------------------------

    def is_complete(self) -> bool:
        """Tell whether some control instance has said all that can be known.

        Returns
        -------
        bool
            Whether one that knows every backend server has told them all.
        """
        return any(link.settled and link.complete for link in self.live())

    def domain_view(self, since_s: float) -> DomainView | None:
        """Tell who else serves in this process's failure domain.

        Parameters
        ----------
        since_s : float
            What was told before that is not used.

        Returns
        -------
        DomainView or None
            None if nobody has told it since.
        """
        links = [link for link in self.links.values() if link.domain_told_s >= since_s]
        return merge_counts(link.domain for link in links)

    def is_reporting(self, run_id: str, started_ms: int = START_NOT_TOLD) -> bool:
        """Tell whether a run may be alive, as far as those in sight know.

        Parameters
        ----------
        run_id : str
            Its id.
        started_ms : int, optional
            When it started.

        Returns
        -------
        bool
            True also when nobody in sight can know.
        """
        knowing = [link for link in self.live() if link.settled and link.complete]
        if not knowing:
            return True
        return any(link.reporting.get(run_id) == started_ms for link in knowing)
