"""Fair queue: round robin among partners, earliest deadline first within a partner.

Handles more work than slots, most of it from one partner (the party that sends it, such
as a client account): the first request of another partner waits for at most one round
of turns.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Hashable
from itertools import count
from math import inf
from typing import Generic, TypeVar

T = TypeVar("T", bound=Hashable)

#: Due time, sequence number and item; the number avoids comparing items.
_Entry = tuple[float, int, T]


class FairQueue(Generic[T]):
    """Queues of several partners that are served in turn.

    A partner goes behind the others after its turn. Empty queues are removed.
    """

    def __init__(self) -> None:
        #: In the order of turns; each queue is sorted by due time.
        self._queues: dict[str, list[_Entry[T]]] = {}
        self._positions: dict[T, tuple[str, float, int]] = {}
        self._sequence_numbers = count()

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, item: T) -> bool:
        return item in self._positions

    def push(self, partner: str, item: T, due_s: float) -> None:
        """Add an item to its partner's queue.

        Parameters
        ----------
        partner : str
            Partner whose turn the item uses.
        item : object
            An item that is not queued yet.
        due_s : float
            Time by which the item must be completed.
        """
        number = next(self._sequence_numbers)
        insort(self._queues.setdefault(partner, []), (due_s, number, item))
        self._positions[item] = (partner, due_s, number)

    def pop(self) -> T | None:
        """Remove and return the next item.

        Returns
        -------
        object or None
            The item with the earliest due time of the partner whose turn it is; None if
            the queue is empty.
        """
        if not self._queues:
            return None
        partner = next(iter(self._queues))
        queue = self._queues.pop(partner)
        _, _, item = queue.pop(0)
        del self._positions[item]
        if queue:
            self._queues[partner] = queue
        return item

    def discard(self, item: T) -> bool:
        """Remove an item.

        Parameters
        ----------
        item : object
            The item.

        Returns
        -------
        bool
            Whether it was queued.
        """
        position = self._positions.pop(item, None)
        if position is None:
            return False
        partner, due_s, number = position
        queue = self._queues[partner]
        del queue[bisect_left(queue, (due_s, number))]
        if not queue:
            del self._queues[partner]
        return True

    def count_ahead(self, partner: str, due_s: float) -> int:
        """Return an upper bound of the items served before a new item.

        Parameters
        ----------
        partner : str
            Partner of the new item.
        due_s : float
            Due time of the new item.

        Returns
        -------
        int
            Items due no later in its partner's queue, plus, for each other partner, at
            most one item more than that number.
        """
        own_count = bisect_right(self._queues.get(partner, []), (due_s, inf))
        return own_count + sum(
            min(len(queue), own_count + 1)
            for other, queue in self._queues.items()
            if other != partner
        )

    def evict_last_of_longest(self, partner: str) -> T | None:
        """Remove and return an item of the longest queue to make room for a partner.

        Parameters
        ----------
        partner : str
            Partner of the item to be added.

        Returns
        -------
        object or None
            The item due last in the longest queue; None if that queue would then be
            shorter than the partner's queue with the added item.
        """
        longest = max(self._queues.values(), key=len, default=[])
        own_count = len(self._queues.get(partner, []))
        if len(longest) < own_count + 2:
            return None
        _, _, item = longest[-1]
        self.discard(item)
        return item

    def pop_unservable(self, first_s: float, turn_s: float) -> list[T]:
        """Remove and return the items that can't be completed by their due time.

        Parameters
        ----------
        first_s : float
            When the next item would be completed.
        turn_s : float
            Time between the completion of one item and the next.

        Returns
        -------
        list of object
            The items; the others' times of completion are calculated without them.
            Takes linear time in the queued items.
        """
        queues = deque(deque(queue) for queue in self._queues.values())
        done_s, unservable = first_s, []
        while queues:
            queue = queues.popleft()
            while queue and queue[0][0] < done_s:
                unservable.append(queue.popleft()[2])
            if not queue:
                continue
            queue.popleft()
            done_s += turn_s
            queues.append(queue)
        for item in unservable:
            self.discard(item)
        return unservable

    def pop_all(self) -> list[T]:
        """Remove and return all items.

        Returns
        -------
        list of object
            The items.
        """
        items = list(self._positions)
        self._queues.clear()
        self._positions.clear()
        return items
