"""Priority queue of openings that wait for a place.

Handles short periods with more openings than places. More urgent openings go first.
Within a rank, openings that can still be answered within the time that their caller
wants (`aim_s`) go before late ones, in order of due time, so that a lasting burst does
not make all of them late.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf
from typing import Generic, TypeVar

from agatethread.balancing._admission import placement_deadline_s
from agatethread.balancing._records import DEFERRED_RANK, Opening

T = TypeVar("T")

#: Every n-th place goes to the less urgent rank whose first opening has waited longest,
#: to prevent starvation.
_RESERVED_PLACE_INTERVAL = 8
#: More than a dispatcher can place within the maximum placement delay.
_MAX_WAITING = 2_000
#: Removed entries are deleted from the heaps of a rank once there are this many more of
#: them than of waiting ones.
_MAX_REMOVED = 64


@dataclass(slots=True)
class _Waiter(Generic[T]):
    opening: Opening
    key: Hashable
    item: T
    deadline_s: float
    is_removed: bool = False


@dataclass(slots=True)
class _RankQueue(Generic[T]):
    """Openings of one rank; removed entries are deleted from the heaps lazily."""

    waiting_count: int = 0
    #: Heap by due time; an opening past its due time is moved to `late`.
    in_time: list[tuple[float, int, _Waiter[T]]] = field(default_factory=list)
    #: Heap by request time.
    late: list[tuple[float, int, _Waiter[T]]] = field(default_factory=list)

    def move_late_and_peek(
        self, now_s: float, sequence_numbers: "count[int]"
    ) -> _Waiter[T] | None:
        """Move late waiters to `late`; return the first waiter without removing it."""
        while self.in_time:
            due_s, _, waiter = self.in_time[0]
            if not waiter.is_removed and due_s > now_s:
                return waiter
            heappop(self.in_time)
            if not waiter.is_removed:
                heappush(
                    self.late,
                    (waiter.opening.requested_s, next(sequence_numbers), waiter),
                )
        while self.late:
            waiter = self.late[0][2]
            if not waiter.is_removed:
                return waiter
            heappop(self.late)
        return None

    def delete_removed(self) -> None:
        """Delete removed entries if there are many.

        During a burst they may never reach the top of a heap.
        """
        entry_count = len(self.in_time) + len(self.late)
        if entry_count <= 2 * self.waiting_count + _MAX_REMOVED:
            return
        for heap in (self.in_time, self.late):
            heap[:] = [entry for entry in heap if not entry[2].is_removed]
            heapify(heap)


class OpeningQueue(Generic[T]):
    """Bounded priority queue of openings.

    Parameters
    ----------
    limit_count : int, optional
        Maximum number of queued openings.
    """

    def __init__(self, limit_count: int = _MAX_WAITING):
        self._limit_count = limit_count
        self._by_key: dict[Hashable, _Waiter[T]] = {}
        self._rank_queues: dict[int, _RankQueue[T]] = {}
        self._sequence_numbers = count()
        self._pop_count = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._by_key

    def push(self, opening: Opening, key: Hashable, item: T, now_s: float) -> bool:
        """Add an opening to the queue.

        Parameters
        ----------
        opening : Opening
            The opening.
        key : hashable
            Identifies the opening; its copies have the same key.
        item : object
            Object that `pop` returns.
        now_s : float
            Current time.

        Returns
        -------
        bool
            False if it is queued already, the queue is full, or its caller has given
            up.
        """
        if key in self._by_key or len(self._by_key) >= self._limit_count:
            return False
        waiter = _Waiter(opening, key, item, placement_deadline_s(opening))
        if waiter.deadline_s < now_s:
            return False
        self._by_key[key] = waiter
        rank_queue = self._rank_queues.setdefault(opening.rank, _RankQueue())
        rank_queue.waiting_count += 1
        due_s = opening.requested_s + opening.aim_s
        heappush(rank_queue.in_time, (due_s, next(self._sequence_numbers), waiter))
        return True

    def pop(self, now_s: float) -> T | None:
        """Remove and return the opening that gets the next place.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        object or None
            Item of the opening; None if no opening can be placed in time.
        """
        self._pop_count += 1
        first_waiters = [
            waiter
            for rank in sorted(self._rank_queues)
            if (waiter := self._first_of_rank(rank, now_s)) is not None
        ]
        if not first_waiters:
            return None
        chosen = first_waiters[0]
        # Reserved places go to less urgent openings, not to deferred ones.
        less_urgent = [
            waiter
            for waiter in first_waiters[1:]
            if waiter.opening.rank < DEFERRED_RANK
        ]
        if self._pop_count % _RESERVED_PLACE_INTERVAL == 0 and less_urgent:
            chosen = min(less_urgent, key=lambda waiter: waiter.opening.requested_s)
        self._remove(chosen)
        return chosen.item

    def _first_of_rank(self, rank: int, now_s: float) -> _Waiter[T] | None:
        """Return the first waiter of a rank whose caller has not given up."""
        while True:
            waiter = self._rank_queues[rank].move_late_and_peek(
                now_s, self._sequence_numbers
            )
            if waiter is None or waiter.deadline_s >= now_s:
                return waiter
            # Skip the expired waiter; `pop_expired` returns it later.
            waiter.is_removed = True

    def _remove(self, waiter: _Waiter[T]) -> None:
        waiter.is_removed = True
        del self._by_key[waiter.key]
        self._rank_queues[waiter.opening.rank].waiting_count -= 1

    def discard(self, key: Hashable) -> bool:
        """Remove an opening.

        Parameters
        ----------
        key : hashable
            Key of the opening.

        Returns
        -------
        bool
            Whether it was queued.
        """
        waiter = self._by_key.get(key)
        if waiter is None:
            return False
        self._remove(waiter)
        return True

    def pop_expired(self, now_s: float) -> list[T]:
        """Remove and return the openings whose callers have given up.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        list of object
            Items of the openings.
        """
        expired = [
            waiter for waiter in self._by_key.values() if waiter.deadline_s < now_s
        ]
        for waiter in expired:
            self._remove(waiter)
        for rank_queue in self._rank_queues.values():
            rank_queue.delete_removed()
        return [waiter.item for waiter in expired]

    def count_ahead(self, rank: int) -> int:
        """Return an upper bound of the openings ahead of a new one.

        Parameters
        ----------
        rank : int
            Rank of the new opening.

        Returns
        -------
        int
            Queued openings of this and all lower ranks, including expired ones that
            `pop_expired` has not removed yet.
        """
        return sum(
            rank_queue.waiting_count
            for other_rank, rank_queue in self._rank_queues.items()
            if other_rank <= rank
        )

    def oldest_request_s(self) -> float:
        """Return the request time of the opening that has waited longest.

        Returns
        -------
        float
            Infinity if the queue is empty.
        """
        requested_s = (waiter.opening.requested_s for waiter in self._by_key.values())
        return min(requested_s, default=inf)
