"""Stores the state of the exchange between a subscriber and a control instance."""

from dataclasses import dataclass, field

from agatethread.observability import Event, make_logger
from agatethread.registry._presence import UNKNOWN_RANK, EntryRank
from agatethread.wire.registry_pb2 import Delta, Dispatchers, DomainCounts, HubState

#: Messages acknowledged together; half of a window.
_MESSAGES_PER_ACKNOWLEDGEMENT = 4
#: Lease of a control instance: time without a message after which it is no longer
#: reachable, and is replaced if it was followed; covers two polls and a resend.
CONTROL_LEASE_S = 1.0
#: Age of an unanswered request after which it is repeated; below a poll interval.
_REPLY_TIMEOUT_S = 0.3
#: Unanswered requests before a control instance is logged as unreachable, since a
#: single datagram may be lost; as many as fit into its lease.
_MIN_UNANSWERED_COUNT = 3

log = make_logger("registry")


@dataclass
class ControlLink:
    """State received from one control instance, and the requests sent to it."""

    address: bytes
    failure_domain: str = ""
    incarnation: int = 0
    seen_index: int = 0
    #: Messages since the last acknowledgement.
    unacknowledged_count: int = 0
    #: Time of the last message, requested or not.
    last_message_s: float = float("-inf")
    #: Time of the last probe.
    probed_s: float = float("-inf")
    #: Time of the last poll or probe.
    requested_s: float = float("-inf")
    #: Whether the log shows the control instance as reachable; see `is_lost`.
    is_logged_reachable: bool = False
    #: Time of the first unanswered request; infinite if there is none.
    unanswered_since_s: float = float("inf")
    #: Requests since the last message.
    unanswered_count: int = 0
    #: Time of the last poll that was not a probe.
    polled_s: float = float("-inf")
    #: Whether the control instance knows every reporting backend server.
    settled: bool = False
    #: Whether the control instance is in contact with a Raft leader.
    hears_leader: bool = False
    #: Version of the newest agreed routing table at the control instance.
    routes_version: int = 0
    #: Rank of this process among the entry instances known to the control instance. A
    #: control instance receives an entry count there, that of the other failure domain.
    rank: EntryRank = UNKNOWN_RANK
    #: Counts of this process's failure domain, and the time of their receipt.
    domain: DomainCounts | None = None
    domain_received_s: float = float("-inf")
    #: Dispatchers of each failure domain, and the time of their last receipt or
    #: confirmation.
    dispatchers: tuple[Dispatchers, ...] = ()
    dispatchers_digest: int = 0
    dispatchers_received_s: float = float("-inf")
    #: Serving entry instances of the control instance's failure domain, and the time of
    #: their receipt.
    serving: tuple[bytes, ...] = ()
    serving_received_s: float = float("-inf")
    #: Whether the full state has been received since it was last followed.
    complete: bool = False
    #: Whether this process has unsubscribed from the control instance.
    is_unfollowed: bool = False
    #: Packed addresses of the control instances that polled it within 1 s.
    controls: frozenset[bytes] = frozenset()
    #: Start time of each live run at the control instance, by id.
    live_starts: dict[str, int] = field(default_factory=dict)

    def record_request(self, now_s: float) -> None:
        """Store that a poll or probe with a reply was sent.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        self.requested_s = now_s
        self.unanswered_since_s = min(self.unanswered_since_s, now_s)
        self.unanswered_count += 1

    def is_unanswered(self, now_s: float) -> bool:
        """Return whether the last request has been unanswered for too long.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the request should be repeated.
        """
        is_pending = self.last_message_s < self.requested_s
        return is_pending and now_s - self.requested_s >= _REPLY_TIMEOUT_S

    def is_in_doubt(self, now_s: float) -> bool:
        """Return whether a reachable instance may be lost, which more requests decide.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether its last request is unanswered, and its loss not logged.
        """
        return self.is_logged_reachable and self.is_unanswered(now_s)

    def is_lost(self, now_s: float) -> bool:
        """Return whether several requests were unanswered for the lease.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether to log the instance as unreachable.
        """
        unanswered_for_s = now_s - self.unanswered_since_s
        return (
            self.unanswered_count >= _MIN_UNANSWERED_COUNT
            and unanswered_for_s > CONTROL_LEASE_S
        )

    def record_message(self, delta: Delta, now_s: float) -> None:
        """Store the header fields of a message; mark the instance as reachable.

        Parameters
        ----------
        delta : Delta
            Message of the control instance.
        now_s : float
            Current time.
        """
        if not self.is_logged_reachable:
            self.is_logged_reachable = True
            log.info(
                Event.CONTROL_REACHABLE,
                address=self.address.hex(),
                failure_domain=delta.failure_domain,
                settled=delta.settled,
            )
        if self.incarnation != delta.hub_incarnation:
            self.reset(delta.hub_incarnation)
        self.last_message_s = now_s
        self.unanswered_since_s = float("inf")
        self.unanswered_count = 0
        self.settled = delta.settled
        self.failure_domain = delta.failure_domain

    def unfollow(self) -> None:
        """Mark the instance as unfollowed; its state no longer counts as complete."""
        self.is_unfollowed = True
        self.complete = False

    def update_state(self, state: HubState, now_s: float) -> None:
        """Store the `hub` fields of a reply.

        Parameters
        ----------
        state : HubState
            State in the reply.
        now_s : float
            Current time.
        """
        self.hears_leader = state.hears_leader
        self.routes_version = state.routes_version
        self.rank = EntryRank(state.rank, state.entries)
        if state.HasField("domain"):
            self.domain = state.domain
            self.domain_received_s = now_s
        if state.dispatchers:
            self.dispatchers = tuple(state.dispatchers)
            self.dispatchers_digest = state.dispatchers_digest
        if self.dispatchers and state.dispatchers_digest == self.dispatchers_digest:
            self.dispatchers_received_s = now_s
        if state.serving:
            self.serving = tuple(state.serving)
            self.serving_received_s = now_s

    def advance(self, delta: Delta) -> bool:
        """Advance the index of received changes.

        Parameters
        ----------
        delta : Delta
            Message whose changes directly follow, or repeat, those received.

        Returns
        -------
        bool
            Whether to acknowledge now: after a complete message, else after each
            `_MESSAGES_PER_ACKNOWLEDGEMENT`, to limit the load on the control instance.
            False if nothing was received but a known index.
        """
        is_new = delta.through_index > self.seen_index
        self.seen_index = max(self.seen_index, delta.through_index)
        self.unacknowledged_count += 1
        if (
            not delta.complete
            and self.unacknowledged_count < _MESSAGES_PER_ACKNOWLEDGEMENT
        ):
            return False
        self.unacknowledged_count = 0
        return is_new or bool(delta.runs or delta.reporting)

    def reset(self, incarnation: int) -> None:
        """Reset the received index and runs after a restart of the control instance.

        Parameters
        ----------
        incarnation : int
            New incarnation.
        """
        self.incarnation = incarnation
        self.polled_s = float("-inf")
        self.seen_index = 0
        self.settled = False
        self.complete = False
        self.is_unfollowed = False
        self.live_starts.clear()
