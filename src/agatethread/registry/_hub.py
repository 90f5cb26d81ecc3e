"""The sending side of the registry: who has what, and what they lack."""

import asyncio
import secrets
from collections.abc import Callable, Iterable, Iterator

from agatethread.registry._chunks import RoutesOffer, split_routes
from agatethread.registry._deltas import DeltaWriter
from agatethread.registry._home import has_home_pair
from agatethread.registry._link import HubLink
from agatethread.registry._memory import KnownEntry
from agatethread.registry._presence import (
    NO_RANK,
    EntryRank,
    count_domain,
    count_told,
    rank_entries,
)
from agatethread.registry._rounds import MOST_MESSAGES, next_limit, order_turns
from agatethread.registry._runs import RunTable
from agatethread.registry._sightings import SightingPool
from agatethread.registry._subscribers import Subscriber, describe_all, list_controls
from agatethread.registry._waiting import IndexWaiters
from agatethread.registry._watchers import Watchers
from agatethread.wire.registry_pb2 import (
    PRESENCE_LEAVING,
    Delta,
    HubState,
    Poll,
    RegistryMessage,
    Sightings,
)

#: A subscriber that was not heard for so long is not waited for any more.
_SUBSCRIBER_LEASE_S = 2.0
_FORGET_SUBSCRIBER_S = 10.0

#: Time between two rounds of telling everyone, for each subscriber: several times what
#: a round takes for it (2.4 us before the system call). What changes sooner is told
#: with the next round; without that each of 3,000 runs that report for the first time
#: within a second, as after a loss of all power, has a round of its own.
_ROUND_PAUSE_S = 0.00005
#: The same for each message of the last round, which takes 25 us with its system call.
_MESSAGE_PAUSE_S = 0.0001
Send = Callable[[RegistryMessage, bytes], None]


class RegistryHub:
    """Tells entry instances and other control instances what this one knows.

    Parameters
    ----------
    runs : RunTable
        The backend servers.
    failure_domain : str
        Of this instance.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    is_settled : callable
        Tells whether this instance knows every backend server that reports.
    hears_leader : callable
        Tells whether this instance learns of each agreed routing table.
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
        self._incarnation = secrets.randbits(63) | 1
        self._deltas = DeltaWriter(runs, self._incarnation, failure_domain, is_settled)
        self._subscribers: dict[bytes, Subscriber] = {}
        self._waiting = IndexWaiters()
        self._offer: RoutesOffer | None = None
        self._chunks: list[RegistryMessage] = []
        self._told_s = now_s()
        #: Messages of the last round, and who comes first in the next one.
        self._told_count = self._resent_count = 0
        self._limit_count = MOST_MESSAGES
        self._next_turn = b""
        #: What entry instances were sent that have not asked yet.
        self._expected: dict[bytes, Subscriber] = {}
        self._sightings = SightingPool()
        self._watchers = Watchers()
        self._ranks: dict[bytes, EntryRank] = {}
        #: Entry instances of the own failure domain that are heard.
        self._home_count = 0
        #: Adds to a reply who places openings, where a deployment calls for that.
        self.add_dispatchers: Callable[[HubState, Subscriber], None] = lambda *_: None
        #: Lists the other control instances that answered lately.
        self.list_hubs: Callable[[], Iterable[HubLink]] = tuple

    def offer_routes(self, offer: RoutesOffer) -> None:
        """Send a routing table to everyone who has an older one.

        Parameters
        ----------
        offer : RoutesOffer
            An agreed table.
        """
        is_first = self._offer is None
        self._offer = offer
        self._chunks = split_routes(offer)
        self.flush()
        if is_first:
            for address, subscriber in self._expected.items():
                self._send_routes(subscriber, address)

    def entries(self) -> tuple[KnownEntry, ...]:
        """List the entry instances that were heard lately.

        Returns
        -------
        tuple of KnownEntry
            In the order of their addresses.
        """
        known = {one.address: one for one in self._watchers.known(self._now_s())}
        for address, subscriber in self._subscribers.items():
            if not subscriber.is_control:
                known[address] = KnownEntry(address, subscriber.failure_domain)
        return tuple(known[address] for address in sorted(known))

    def greet(self, entries: Iterable[KnownEntry]) -> None:
        """Tell the entry instances that this one knew that it is there.

        The load that this answers: a loss of all power, after which each entry instance
        waits for the first control instance and asks only each 0.1 s. Those of the own
        failure domain are told all that is known, at once; a question would wait until
        the rest of this process is loaded. The others are greeted, and ask if nobody
        has told them. While five control instances told each of 147 runs and 1,600
        routes unasked, that took 155 kB, 0.6 s of a link of 2 Mbit/s, for which
        callers' packets waited; one telling it takes 16 kB.

        Parameters
        ----------
        entries : iterable of KnownEntry
            Those that were told before this instance stopped.
        """
        deltas = self._deltas.write_after(0, with_reports=False)
        for entry in entries:
            if entry.address in self._subscribers:
                continue
            if entry.failure_domain != self._failure_domain:
                self._send(self._greeting(), entry.address)
                continue
            subscriber = self._expected[entry.address] = Subscriber()
            self._send_changes(deltas, subscriber, entry.address)

    def _greeting(self) -> RegistryMessage:
        """Make a reply that tells of no runs, and so leaves what the receiver has."""
        message = self._deltas.write(0, 0)
        self._add_reply(message.delta)
        return message

    # -- subscribers --------------------------------------------------------------

    def on_poll(self, poll: Poll, address: bytes) -> None:
        """Note what a subscriber has, and send it what it lacks.

        Parameters
        ----------
        poll : Poll
            Its message.
        address : bytes
            Its packed address.
        """
        if poll.probe and not poll.wants_reply:
            # It follows others; waiting for it would hold up acknowledgements.
            self._subscribers.pop(address, None)
            self._settle_waiting()
            return
        if poll.probe and poll.failure_domain != self._failure_domain:
            self._watchers.note(address, poll.failure_domain, self._now_s())
            self._send(self._greeting(), address)
            return
        subscriber = self._subscribers.get(address)
        if subscriber is None:
            subscriber = self._expected.pop(address, None) or Subscriber()
            self._subscribers[address] = subscriber
        is_same_run = poll.hub_incarnation == self._incarnation
        seen_index = poll.seen_index if is_same_run else 0
        subscriber.note_seen(seen_index, self._now_s())
        subscriber.failure_domain = poll.failure_domain
        subscriber.is_control = poll.is_control
        subscriber.presence = poll.presence
        subscriber.routes_version = poll.routes_version
        subscriber.without_routes = poll.without_routes
        subscriber.takes_numbers = poll.takes_numbers
        subscriber.dispatchers_digest = poll.dispatchers_digest
        subscriber.evacuations_version = poll.evacuations_version
        subscriber.heard_s = self._now_s()
        if poll.wants_reply:
            self._reply(subscriber, address)
        self._send_routes(subscriber, address)
        self._settle_waiting()

    def tell_soon(self) -> None:
        """Send what is new, unless everyone was told just now.

        Then it is left to the next call of `flush`, which is to come within 0.1 s.
        """
        pause_s = _ROUND_PAUSE_S * len(self._subscribers)
        pause_s = max(pause_s, _MESSAGE_PAUSE_S * self._told_count)
        if self._now_s() - self._told_s >= pause_s:
            self.flush()

    def flush(self) -> None:
        """Send what is new, and again what was not acknowledged in time."""
        now_s = self._told_s = self._now_s()
        told = (self._told_count, self._resent_count)
        self._limit_count = next_limit(self._limit_count, *told)
        self._told_count = self._resent_count = 0
        self._forget_silent(now_s)
        # Nearly all have the same index, so a message is made once for all.
        prepared: dict[tuple[int, bool, bool], list[RegistryMessage]] = {}
        turns = order_turns(self.in_sight(), self._failure_domain, self._next_turn)
        for address, subscriber in turns:
            if self._told_count >= self._limit_count:
                self._next_turn = address
                break
            key = subscriber.lacks(now_s)
            if key not in prepared:
                prepared[key] = self._deltas.write_after(*key)
            self._told_count += len(prepared[key])
            self._send_changes(prepared[key], subscriber, address)
            self._send_routes(subscriber, address)
        self._rank_entries()
        self._settle_waiting()

    def _rank_entries(self) -> None:
        entries = [(one.failure_domain, it) for it, one in self.entries_in_sight()]
        self._home_count = sum(one == self._failure_domain for one, _ in entries)
        self._ranks = rank_entries(entries, count_told(self.list_hubs()))

    def _forget_silent(self, now_s: float) -> None:
        oldest_s = now_s - _FORGET_SUBSCRIBER_S
        for address, subscriber in list(self._subscribers.items()):
            if subscriber.heard_s < oldest_s:
                del self._subscribers[address]

    def _reply(self, subscriber: Subscriber, address: bytes) -> None:
        lacks = subscriber.lacks(self._now_s())
        after = lacks[0]
        messages = self._deltas.write_after(*lacks)
        if not messages:
            messages = [self._deltas.write(after, after)]
            messages[-1].delta.complete = True
        messages = messages[: max(1, self._limit_count - self._told_count)]
        self._told_count += len(messages)
        self._add_reply(messages[-1].delta)
        rank = self._ranks.get(address, NO_RANK)
        if subscriber.is_control:
            # Others rank those that they don't hear themselves by their number.
            rank = EntryRank(0, self._home_count)
        messages[-1].delta.hub.entries = rank.count
        messages[-1].delta.hub.rank = rank.position
        self.add_dispatchers(messages[-1].delta.hub, subscriber)
        if subscriber.presence == PRESENCE_LEAVING:
            # Only then it is asked for; counting costs a look at every subscriber.
            counts = count_domain(self._subscribers, address, self._now_s())
            messages[-1].delta.hub.domain.CopyFrom(counts)
        self._send_changes(messages, subscriber, address)

    def _send_changes(
        self, messages: list[RegistryMessage], subscriber: Subscriber, address: bytes
    ) -> None:
        if not messages:
            return
        for message in messages:
            self._send(message, address)
        after, through = messages[0].delta.after_index, messages[-1].delta.through_index
        if subscriber.note_sent(after, through, self._now_s()):
            self._resent_count += len(messages)

    def _add_reply(self, delta: Delta) -> None:
        delta.controls.extend(list_controls(self._subscribers, self._now_s()))
        delta.hub.hears_leader = self._hears_leader()
        delta.hub.routes_version = self._offer.version if self._offer else 0

    def _send_routes(self, subscriber: Subscriber, address: bytes) -> None:
        offer = self._offer
        if offer is None or subscriber.is_control or subscriber.without_routes:
            return
        if not subscriber.start_routes(offer.version, self._now_s()):
            return
        self._told_count += len(self._chunks)
        for chunk in self._chunks:
            self._send(chunk, address)

    def entries_in_sight(self) -> Iterator[tuple[bytes, Subscriber]]:
        """List the entry instances that are told of changes.

        Yields
        ------
        tuple of (bytes, Subscriber)
            Packed address, and what it has.
        """
        for address, subscriber in self.in_sight():
            if not subscriber.is_control:
                yield address, subscriber

    def in_sight(self) -> Iterator[tuple[bytes, Subscriber]]:
        """List the instances of both roles that are told of changes."""
        oldest_s = self._now_s() - _SUBSCRIBER_LEASE_S
        for address, subscriber in self._subscribers.items():
            if subscriber.heard_s >= oldest_s:
                yield address, subscriber

    # -- sightings ----------------------------------------------------------------

    def on_sightings(self, sightings: Sightings, address: bytes) -> None:
        """Take what an entry instance sees of runs that do not answer.

        Parameters
        ----------
        sightings : Sightings
            Its message.
        address : bytes
            Its packed address.
        """
        subscriber = self._subscribers.get(address)
        if subscriber is None:
            return
        domain, now_s = subscriber.failure_domain, self._now_s()
        if not subscriber.is_control:
            self._sightings.take(address, domain, sightings.runs, now_s)
        elif domain != self._failure_domain:
            self._sightings.take_sums(domain, sightings.runs, now_s)

    def tell_sightings(self) -> None:
        """Tell entry instances what all see; to be called ten times a second.

        Control instances of other failure domains are told what is seen in this one, if
        entry instances anywhere may follow those of their own only.
        """
        now_s = self._now_s()
        digest = self._sightings.digest(now_s)
        if digest.runs:
            message = RegistryMessage(sightings=digest)
            for address, _ in self.entries_in_sight():
                self._send(message, address)
        if not has_home_pair(self._failure_domain, self.list_hubs()):
            return
        sums = self._sightings.sum_up_domain(self._failure_domain, now_s)
        if sums.runs:
            message = RegistryMessage(sightings=sums)
            for address, one in self.in_sight():
                if one.is_control and one.failure_domain != self._failure_domain:
                    self._send(message, address)

    # -- waiting ------------------------------------------------------------------

    async def spread(self, limit_s: float) -> bool:
        """Send all changes and wait until everyone in sight has them.

        Parameters
        ----------
        limit_s : float
            Longest time to wait.

        Returns
        -------
        bool
            Whether all have acknowledged them.
        """
        waiting = self._waiting.add(self._runs.index)
        self.flush()
        try:
            await asyncio.wait_for(waiting, limit_s)
        except TimeoutError:
            return False
        return True

    def _settle_waiting(self) -> None:
        if not self._waiting:
            return
        seen = [one.seen_index for _, one in self.in_sight()]
        self._waiting.settle(min(seen, default=self._runs.index))

    def dump(self) -> list[dict[str, object]]:
        """List the subscribers for a state dump.

        Returns
        -------
        list of dict
            Ready for JSON.
        """
        return describe_all(self._subscribers, self._now_s())
