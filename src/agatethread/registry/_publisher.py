"""Sends the state of a control instance to its subscribers."""

import asyncio
import secrets
from collections.abc import Callable, Iterable, Iterator

from agatethread.registry._chunks import CompressedTable, split_routes
from agatethread.registry._control_link import ControlLink
from agatethread.registry._deltas import DeltaWriter
from agatethread.registry._hints import KnownEntry
from agatethread.registry._index_waiters import IndexWaiters
from agatethread.registry._own_domain import has_self_sufficient_domain
from agatethread.registry._presence import (
    UNKNOWN_RANK,
    EntryRank,
    count_domain_entries,
    count_entries_by_domain,
    rank_entries,
)
from agatethread.registry._probing_entries import ProbingEntries
from agatethread.registry._runs import RunTable
from agatethread.registry._send_rounds import (
    MAX_ROUND_MESSAGES,
    next_message_limit,
    order_round,
)
from agatethread.registry._sightings import SightingPool
from agatethread.registry._subscribers import Subscriber, describe_all, list_controls
from agatethread.wire.registry_pb2 import (
    PRESENCE_LEAVING,
    Delta,
    HubState,
    Poll,
    RegistryMessage,
    Sightings,
)

#: Time without a poll after which changes are no longer sent to a subscriber.
_SUBSCRIBER_LEASE_S = 2.0
_SUBSCRIBER_RETENTION_S = 10.0
#: Minimum time between two rounds, for each subscriber; merges bursts of changes, such
#: as thousands of runs that report for the first time within a second.
_PAUSE_PER_SUBSCRIBER_S = 0.00005
#: Minimum time between two rounds, multiplied by the messages of the last round.
_PAUSE_PER_MESSAGE_S = 0.0001
Send = Callable[[RegistryMessage, bytes], None]


class RegistryPublisher:
    """Sends changes to entry instances and to other control instances.

    Parameters
    ----------
    runs : RunTable
        The backend servers.
    failure_domain : str
        Failure domain of this instance.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    is_settled : callable
        Returns whether this instance knows every reporting backend server.
    hears_leader : callable
        Returns whether a Raft leader sends new routing tables to this instance.
    """

    def __init__(
        self,
        runs: RunTable,
        failure_domain: str,
        send: Send,
        now_s: Callable[[], float],
        is_settled: Callable[[], bool],
        hears_leader: Callable[[], bool],
    ):
        self._runs = runs
        self._failure_domain = failure_domain
        self._send = send
        self._now_s = now_s
        self._hears_leader = hears_leader
        self._incarnation = secrets.randbits(63) | 1  # 0 stands for an unknown one
        self._deltas = DeltaWriter(runs, self._incarnation, failure_domain, is_settled)
        self._subscribers: dict[bytes, Subscriber] = {}
        self._waiters = IndexWaiters()
        self._table: CompressedTable | None = None
        self._chunks: list[RegistryMessage] = []
        self._last_flush_s = now_s()
        #: Messages sent since the last round began, and resent ones among them.
        self._sent_count = self._resent_count = 0
        self._limit_count = MAX_ROUND_MESSAGES
        #: First subscriber that the last limited round did not reach.
        self._next_address = b""
        #: Greeted entry instances of the own failure domain that have not polled yet.
        self._greeted: dict[bytes, Subscriber] = {}
        self._sightings = SightingPool()
        self._probing = ProbingEntries(lambda: len(list(self.list_other_controls())))
        self._ranks: dict[bytes, EntryRank] = {}
        #: Entry instances of the own failure domain that polled within the lease.
        self._own_domain_count = 0
        #: Adds dispatchers to a reply, where dispatching is enabled.
        self.add_dispatchers: Callable[[HubState, Subscriber], None] = lambda *_: None
        self.list_other_controls: Callable[[], Iterable[ControlLink]] = tuple

    def publish_routes(self, table: CompressedTable) -> None:
        """Store and send a routing table; the first also to greeted entry instances.

        Parameters
        ----------
        table : CompressedTable
            Agreed routing table.
        """
        is_first = self._table is None
        self._table = table
        self._chunks = split_routes(table)
        self.flush()
        if is_first:
            for address, subscriber in self._greeted.items():
                self._send_routes(subscriber, address)

    def known_entries(self) -> tuple[KnownEntry, ...]:
        """Return the entry instances that polled or probed recently.

        Returns
        -------
        tuple of KnownEntry
            Ordered by address.
        """
        known = {e.address: e for e in self._probing.list_recent(self._now_s())}
        for address, subscriber in self._subscribers.items():
            if not subscriber.is_control:
                known[address] = KnownEntry(address, subscriber.failure_domain)
        return tuple(known[address] for address in sorted(known))

    def greet(self, entries: Iterable[KnownEntry]) -> None:
        """Announce this instance to the entry instances known before a restart.

        Handles a power loss of the whole system. The own failure domain receives the
        full state. The others request it, so that it crosses each link once.

        Parameters
        ----------
        entries : iterable of KnownEntry
            Entry instances known before this instance stopped.
        """
        deltas = self._deltas.make_messages_after(0, with_reports=False)
        for entry in entries:
            if entry.address in self._subscribers:
                continue
            if entry.failure_domain != self._failure_domain:
                self._send(self._make_greeting(), entry.address)
                continue
            subscriber = self._greeted[entry.address] = Subscriber()
            self._send_changes(deltas, subscriber, entry.address)

    def _make_greeting(self) -> RegistryMessage:
        """Return a message with the state of this instance, but without runs."""
        message = self._deltas.make_empty_message(0, 0)
        self._add_control_state(message.delta)
        return message

    def on_poll(self, poll: Poll, address: bytes) -> None:
        """Handle a poll, an unsubscription, or a probe, which may get a greeting only.

        Parameters
        ----------
        poll : Poll
            Message of the subscriber.
        address : bytes
            Packed address of the subscriber.
        """
        if poll.probe and not poll.wants_reply:
            # A probe without a reply unsubscribes; `flush_and_wait` ignores it then.
            self._subscribers.pop(address, None)
            self._notify_waiters()
            return
        if poll.probe and poll.failure_domain != self._failure_domain:
            self._probing.store_probe(address, poll.failure_domain, self._now_s())
            self._send(self._make_greeting(), address)
            return
        subscriber = self._subscribers.get(address)
        if subscriber is None:
            subscriber = self._greeted.pop(address, None) or Subscriber()
            self._subscribers[address] = subscriber
        is_same_incarnation = poll.hub_incarnation == self._incarnation
        seen_index = poll.seen_index if is_same_incarnation else 0
        subscriber.store_acknowledgement(seen_index, self._now_s())
        subscriber.failure_domain = poll.failure_domain
        subscriber.is_control = poll.is_control
        subscriber.presence = poll.presence
        subscriber.routes_version = poll.routes_version
        subscriber.without_routes = poll.without_routes
        subscriber.takes_numbers = poll.takes_numbers
        subscriber.dispatchers_digest = poll.dispatchers_digest
        subscriber.evacuations_version = poll.evacuations_version
        subscriber.last_poll_s = self._now_s()
        if poll.wants_reply:
            self._reply(subscriber, address)
        self._send_routes(subscriber, address)
        self._notify_waiters()

    def flush_if_due(self) -> None:
        """Send pending changes, or after a recent round leave them to the timer."""
        pause_s = _PAUSE_PER_SUBSCRIBER_S * len(self._subscribers)
        pause_s = max(pause_s, _PAUSE_PER_MESSAGE_S * self._sent_count)
        if self._now_s() - self._last_flush_s >= pause_s:
            self.flush()

    def flush(self) -> None:
        """Send new changes, and resend those not acknowledged in time."""
        now_s = self._last_flush_s = self._now_s()
        previous_counts = (self._sent_count, self._resent_count)
        self._limit_count = next_message_limit(self._limit_count, *previous_counts)
        self._sent_count = self._resent_count = 0
        self._remove_expired(now_s)
        # Most subscribers have the same index and share the messages.
        prepared: dict[tuple[int, bool, bool], list[RegistryMessage]] = {}
        ordered = order_round(
            self.active_subscribers(), self._failure_domain, self._next_address
        )
        for address, subscriber in ordered:
            if self._sent_count >= self._limit_count:
                self._next_address = address
                break
            arguments = subscriber.delta_arguments(now_s)
            if arguments not in prepared:
                prepared[arguments] = self._deltas.make_messages_after(*arguments)
            self._sent_count += len(prepared[arguments])
            self._send_changes(prepared[arguments], subscriber, address)
            self._send_routes(subscriber, address)
        self._rank_entries()
        self._notify_waiters()

    def _rank_entries(self) -> None:
        entries = [
            (subscriber.failure_domain, address)
            for address, subscriber in self.active_entries()
        ]
        self._own_domain_count = sum(
            domain == self._failure_domain for domain, _ in entries
        )
        self._ranks = rank_entries(
            entries, count_entries_by_domain(self.list_other_controls())
        )

    def _remove_expired(self, now_s: float) -> None:
        oldest_s = now_s - _SUBSCRIBER_RETENTION_S
        for address, subscriber in list(self._subscribers.items()):
            if subscriber.last_poll_s < oldest_s:
                del self._subscribers[address]

    def _reply(self, subscriber: Subscriber, address: bytes) -> None:
        arguments = subscriber.delta_arguments(self._now_s())
        after_index = arguments[0]
        messages = self._deltas.make_messages_after(*arguments)
        if not messages:
            messages = [self._deltas.make_empty_message(after_index, after_index)]
            messages[-1].delta.complete = True
        messages = messages[: max(1, self._limit_count - self._sent_count)]
        self._sent_count += len(messages)
        self._add_control_state(messages[-1].delta)
        rank = self._ranks.get(address, UNKNOWN_RANK)
        if subscriber.is_control:
            # A control instance gets the entry count of this domain as its rank.
            rank = EntryRank(0, self._own_domain_count)
        messages[-1].delta.hub.entries = rank.count
        messages[-1].delta.hub.rank = rank.position
        self.add_dispatchers(messages[-1].delta.hub, subscriber)
        if subscriber.presence == PRESENCE_LEAVING:
            # Counting scans all subscribers: done only for a leaving instance.
            counts = count_domain_entries(self._subscribers, address, self._now_s())
            messages[-1].delta.hub.domain.CopyFrom(counts)
        self._send_changes(messages, subscriber, address)

    def _send_changes(
        self, messages: list[RegistryMessage], subscriber: Subscriber, address: bytes
    ) -> None:
        if not messages:
            return
        for message in messages:
            self._send(message, address)
        after_index, through_index = (
            messages[0].delta.after_index,
            messages[-1].delta.through_index,
        )
        if subscriber.mark_sent(after_index, through_index, self._now_s()):
            self._resent_count += len(messages)

    def _add_control_state(self, delta: Delta) -> None:
        delta.controls.extend(list_controls(self._subscribers, self._now_s()))
        delta.hub.hears_leader = self._hears_leader()
        delta.hub.routes_version = self._table.version if self._table else 0

    def _send_routes(self, subscriber: Subscriber, address: bytes) -> None:
        table = self._table
        if table is None or subscriber.is_control or subscriber.without_routes:
            return
        if not subscriber.mark_routes_sent_if_due(table.version, self._now_s()):
            return
        self._sent_count += len(self._chunks)
        for chunk in self._chunks:
            self._send(chunk, address)

    def active_entries(self) -> Iterator[tuple[bytes, Subscriber]]:
        """Yield the entry instances that polled within the lease of 2 s.

        Yields
        ------
        tuple of (bytes, Subscriber)
            Packed address and subscriber.
        """
        for address, subscriber in self.active_subscribers():
            if not subscriber.is_control:
                yield address, subscriber

    def active_subscribers(self) -> Iterator[tuple[bytes, Subscriber]]:
        """Yield the instances of both roles that polled within the lease of 2 s."""
        oldest_s = self._now_s() - _SUBSCRIBER_LEASE_S
        for address, subscriber in self._subscribers.items():
            if subscriber.last_poll_s >= oldest_s:
                yield address, subscriber

    def on_sightings(self, sightings: Sightings, address: bytes) -> None:
        """Store a subscriber's sightings of runs.

        Parameters
        ----------
        sightings : Sightings
            Message of the subscriber.
        address : bytes
            Packed address of the subscriber.
        """
        subscriber = self._subscribers.get(address)
        if subscriber is None:
            return
        domain, now_s = subscriber.failure_domain, self._now_s()
        if not subscriber.is_control:
            self._sightings.store_sightings(address, domain, sightings.runs, now_s)
        elif domain != self._failure_domain:
            self._sightings.store_sums(domain, sightings.runs, now_s)

    def send_sightings(self) -> None:
        """Send the sums of sightings to entry instances; called ten times a second.

        Control instances of other failure domains receive the sums of this failure
        domain, if some entry instances may follow only their own failure domain.
        """
        now_s = self._now_s()
        digest = self._sightings.sum_all(now_s)
        if digest.runs:
            message = RegistryMessage(sightings=digest)
            for address, _ in self.active_entries():
                self._send(message, address)
        if not has_self_sufficient_domain(
            self._failure_domain, self.list_other_controls()
        ):
            return
        sums = self._sightings.sum_domain_sightings(self._failure_domain, now_s)
        if sums.runs:
            message = RegistryMessage(sightings=sums)
            for address, peer in self.active_subscribers():
                if peer.is_control and peer.failure_domain != self._failure_domain:
                    self._send(message, address)

    async def flush_and_wait(self, timeout_s: float) -> bool:
        """Send all changes and wait until every active subscriber has them.

        Parameters
        ----------
        timeout_s : float
            Timeout.

        Returns
        -------
        bool
            False if a subscriber whose lease lasts has not acknowledged the changes.
        """
        waiting = self._waiters.add(self._runs.index)
        self.flush()
        try:
            await asyncio.wait_for(waiting, timeout_s)
        except TimeoutError:
            return False
        return True

    def _notify_waiters(self) -> None:
        if not self._waiters:
            return
        seen_indexes = [peer.seen_index for _, peer in self.active_subscribers()]
        self._waiters.complete_through(min(seen_indexes, default=self._runs.index))

    def dump(self) -> list[dict[str, object]]:
        """Return the subscribers for a state dump.

        Returns
        -------
        list of dict
            JSON-compatible fields.
        """
        return describe_all(self._subscribers, self._now_s())
