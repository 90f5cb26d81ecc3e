"""What a subscriber has of one control instance's state."""

from dataclasses import dataclass, field

from agatethread.observability import Event, make_logger
from agatethread.registry._presence import NO_RANK, EntryRank
from agatethread.wire.registry_pb2 import Delta, Dispatchers, DomainCounts, HubState

#: Messages that are acknowledged together: half of those sent at a time.
_ACKNOWLEDGED = 4

log = make_logger("registry")


@dataclass
class HubLink:
    """What this process has of one control instance's state."""

    address: bytes
    failure_domain: str = ""
    incarnation: int = 0
    seen_index: int = 0
    #: Messages since it was told how far this process is.
    unacknowledged_count: int = 0
    heard_s: float = float("-inf")
    knocked_s: float = float("-inf")
    #: When it was asked last, and whether it has answered as far as the log says.
    asked_s: float = float("-inf")
    in_sight: bool = False
    #: Since when it has not answered; infinite while nothing was asked.
    unanswered_s: float = float("inf")
    #: When it was asked last for what is new.
    polled_s: float = float("-inf")
    #: Whether it says that it knows every backend server that reports.
    settled: bool = False
    #: Whether it hears a leader.
    hears_leader: bool = False
    #: Its newest agreed routing table, as it said last.
    routes_version: int = 0
    #: This instance's rank among the entry instances that it hears.
    rank: EntryRank = NO_RANK
    #: What it said of this instance's failure domain, and when.
    domain: DomainCounts | None = None
    domain_told_s: float = float("-inf")
    #: Who places openings in each failure domain, as it said last, and when.
    dispatchers: tuple[Dispatchers, ...] = ()
    dispatchers_digest: int = 0
    dispatchers_told_s: float = float("-inf")
    #: Entry instances of its failure domain that serve and ask it, and when it said so.
    serving: tuple[bytes, ...] = ()
    serving_told_s: float = float("-inf")
    #: Whether all that it knew has arrived here once.
    complete: bool = False
    #: Whether this process told it that it does not follow it any more.
    is_left: bool = False
    #: Packed addresses of the control instances that it hears, as it said last.
    controls: frozenset[bytes] = frozenset()
    #: Runs that it holds for alive: the start time of the newest by id.
    reporting: dict[str, int] = field(default_factory=dict)

    def note_heard(self, delta: Delta, now_s: float) -> None:
        """Note that it has said something.

        Parameters
        ----------
        delta : Delta
            Its message.
        now_s : float
            Present time.
        """
        if not self.in_sight:
            self.in_sight = True
            log.info(
                Event.CONTROL_IN_SIGHT,
                address=self.address.hex(),
                failure_domain=delta.failure_domain,
                settled=delta.settled,
            )
        if self.incarnation != delta.hub_incarnation:
            self.restart(delta.hub_incarnation)
        self.heard_s = now_s
        self.unanswered_s = float("inf")
        self.settled = delta.settled
        self.failure_domain = delta.failure_domain

    def leave(self) -> None:
        """Stop to follow it; what it told goes stale from here on."""
        self.is_left = True
        self.complete = False

    def note_hub(self, state: HubState, now_s: float) -> None:
        """Note what the control instance sees around it.

        Parameters
        ----------
        state : HubState
            As it said.
        now_s : float
            Present time.
        """
        self.hears_leader = state.hears_leader
        self.routes_version = state.routes_version
        self.rank = EntryRank(state.rank, state.entries)
        if state.HasField("domain"):
            self.domain = state.domain
            self.domain_told_s = now_s
        if state.dispatchers:
            self.dispatchers = tuple(state.dispatchers)
            self.dispatchers_digest = state.dispatchers_digest
        if self.dispatchers and state.dispatchers_digest == self.dispatchers_digest:
            self.dispatchers_told_s = now_s
        if state.serving:
            self.serving = tuple(state.serving)
            self.serving_told_s = now_s

    def take(self, delta: Delta) -> bool:
        """Note how far a message brings this process.

        Parameters
        ----------
        delta : Delta
            Changes that follow those known, or are among them.

        Returns
        -------
        bool
            Whether it is acknowledged now: the last of several, and each fourth. One
            acknowledgement a message took a control instance with 297 entry instances
            longer than to send what they acknowledge.
        """
        is_new = delta.through_index > self.seen_index
        self.seen_index = max(self.seen_index, delta.through_index)
        self.unacknowledged_count += 1
        if not delta.complete and self.unacknowledged_count < _ACKNOWLEDGED:
            return False
        self.unacknowledged_count = 0
        return is_new or bool(delta.runs or delta.reporting)

    def restart(self, incarnation: int) -> None:
        """Start anew, since the instance has.

        Parameters
        ----------
        incarnation : int
            Of its present run.
        """
        self.incarnation = incarnation
        self.polled_s = float("-inf")
        self.seen_index = 0
        self.settled = False
        self.complete = False
        self.is_left = False
        self.reporting.clear()
