"""Openings that wait for a place, in the order in which they get one.

The load that this answers: for a moment more callers than places. The more urgent go
first. Within an urgency, who can still be answered within its aim goes before who
can't any more, for one that is late already loses little by being later; and of those
the one that is due first. So a crowd that lasts is not served late as a whole.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf
from typing import Generic, TypeVar

from agatethread.balancing._admission import latest_place_s
from agatethread.balancing._records import BEHIND_ALL, Opening

T = TypeVar("T")

#: Each so many places, one goes to the first of a less urgent kind, of the kind whose
#: first waits longest, so that none starves while the urgent alone fill all places.
_FLOOR_EACH = 8
#: Far more than a dispatcher can place within its callers' patience.
_MOST_WAITING = 2_000
#: Entries of heaps that are gone and kept: a heap is cleared of them when it holds more
#: than these beside as many as wait.
_MOST_GONE = 64


@dataclass(slots=True)
class _Waiter(Generic[T]):
    opening: Opening
    key: Hashable
    item: T
    latest_s: float
    is_gone: bool = False


@dataclass(slots=True)
class _Class(Generic[T]):
    """Those of one rank; entries of heaps that are gone are skipped."""

    waiting_count: int = 0
    #: By when they are due, and those that are late by when they asked.
    in_time: list[tuple[float, int, _Waiter[T]]] = field(default_factory=list)
    late: list[tuple[float, int, _Waiter[T]]] = field(default_factory=list)

    def first(self, now_s: float, order: "count[int]") -> _Waiter[T] | None:
        """Find who goes first; what has become late meanwhile goes behind."""
        while self.in_time:
            due_s, _, waiter = self.in_time[0]
            if not waiter.is_gone and due_s > now_s:
                return waiter
            heappop(self.in_time)
            if not waiter.is_gone:
                heappush(self.late, (waiter.opening.asked_s, next(order), waiter))
        while self.late:
            waiter = self.late[0][2]
            if not waiter.is_gone:
                return waiter
            heappop(self.late)
        return None

    def clear_gone(self) -> None:
        """Drop what is gone, where much is: in a long crowd it is never first."""
        held_count = len(self.in_time) + len(self.late)
        if held_count <= 2 * self.waiting_count + _MOST_GONE:
            return
        for heap in (self.in_time, self.late):
            heap[:] = [entry for entry in heap if not entry[2].is_gone]
            heapify(heap)


class WaitingLine(Generic[T]):
    """A bounded line with an order of its own.

    Parameters
    ----------
    limit_count : int, optional
        Most that wait.
    """

    def __init__(self, limit_count: int = _MOST_WAITING):
        self._limit_count = limit_count
        self._by_key: dict[Hashable, _Waiter[T]] = {}
        self._classes: dict[int, _Class[T]] = {}
        self._order = count()
        self._pop_count = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._by_key

    def push(self, opening: Opening, key: Hashable, item: T, now_s: float) -> bool:
        """Let an opening wait.

        Parameters
        ----------
        opening : Opening
            The opening.
        key : hashable
            Names it; a copy has the same.
        item : object
            What `pop` returns.
        now_s : float
            Present time.

        Returns
        -------
        bool
            False if it waits already, too many do, or its caller has given up.
        """
        if key in self._by_key or len(self._by_key) >= self._limit_count:
            return False
        waiter = _Waiter(opening, key, item, latest_place_s(opening))
        if waiter.latest_s < now_s:
            return False
        self._by_key[key] = waiter
        urgent = self._classes.setdefault(opening.rank, _Class())
        urgent.waiting_count += 1
        due_s = opening.asked_s + opening.aim_s
        heappush(urgent.in_time, (due_s, next(self._order), waiter))
        return True

    def pop(self, now_s: float) -> T | None:
        """Take who gets the next place.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        object or None
            What was pushed; None if nobody waits whom a place still helps.
        """
        self._pop_count += 1
        firsts = [
            waiter
            for rank in sorted(self._classes)
            if (waiter := self._first_of(rank, now_s)) is not None
        ]
        if not firsts:
            return None
        chosen = firsts[0]
        # The floor is for the less urgent, not for callers beyond their share.
        later = [one for one in firsts[1:] if one.opening.rank < BEHIND_ALL]
        if self._pop_count % _FLOOR_EACH == 0 and later:
            chosen = min(later, key=lambda one: one.opening.asked_s)
        self._remove(chosen)
        return chosen.item

    def _first_of(self, rank: int, now_s: float) -> _Waiter[T] | None:
        """Find who goes first of a rank, without those that have given up."""
        while True:
            waiter = self._classes[rank].first(now_s, self._order)
            if waiter is None or waiter.latest_s >= now_s:
                return waiter
            # `take_expired` hands it out; here it only must not stand in the way.
            waiter.is_gone = True

    def _remove(self, waiter: _Waiter[T]) -> None:
        waiter.is_gone = True
        del self._by_key[waiter.key]
        self._classes[waiter.opening.rank].waiting_count -= 1

    def discard(self, key: Hashable) -> bool:
        """Free the place in line of one that has left.

        Parameters
        ----------
        key : hashable
            As it was pushed.

        Returns
        -------
        bool
            Whether it waited.
        """
        waiter = self._by_key.get(key)
        if waiter is None:
            return False
        self._remove(waiter)
        return True

    def take_expired(self, now_s: float) -> list[T]:
        """Take those whose callers have given up, to be refused.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        list of object
            What was pushed.
        """
        expired = [one for one in self._by_key.values() if one.latest_s < now_s]
        for waiter in expired:
            self._remove(waiter)
        for urgent in self._classes.values():
            urgent.clear_gone()
        return [waiter.item for waiter in expired]

    def count_ahead(self, rank: int) -> int:
        """Count those that go before one that comes now.

        Parameters
        ----------
        rank : int
            Its rank: its urgency, or behind all.

        Returns
        -------
        int
            All of this rank and before it.
        """
        return sum(
            one.waiting_count for other, one in self._classes.items() if other <= rank
        )

    def oldest_s(self) -> float:
        """Tell when the one that waits longest asked.

        Returns
        -------
        float
            Infinity if nobody waits.
        """
        asked_s = (one.opening.asked_s for one in self._by_key.values())
        return min(asked_s, default=inf)
