"""Turns among owners of what waits; in an owner's line the first due goes first.

The load that this answers: more work than slots, most of it from one owner. However
long its line is, another owner's first request waits for one round of turns only.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Hashable
from itertools import count
from math import inf
from typing import Generic, TypeVar

T = TypeVar("T", bound=Hashable)

#: When an item is due, and a number of its own, so that items are never compared.
_Entry = tuple[float, int, T]


class FairTurns(Generic[T]):
    """Lines of several owners, who take turns.

    An owner that has had its turn goes behind the others. What is put in takes a step
    for each doubling of its line; lines that are empty are forgotten.
    """

    def __init__(self) -> None:
        #: In the order of turns; a line is in the order of its items' due times.
        self._lines: dict[str, list[_Entry[T]]] = {}
        self._places: dict[T, tuple[str, float, int]] = {}
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, item: T) -> bool:
        return item in self._places

    def push(self, owner: str, item: T, due_s: float) -> None:
        """Put an item into its owner's line.

        Parameters
        ----------
        owner : str
            Whose turn it uses.
        item : object
            Not yet in a line.
        due_s : float
            When it is due.
        """
        number = next(self._numbers)
        insort(self._lines.setdefault(owner, []), (due_s, number, item))
        self._places[item] = (owner, due_s, number)

    def pop(self) -> T | None:
        """Take the item whose turn it is.

        Returns
        -------
        object or None
            The first due of the owner whose turn it is; None if nothing waits.
        """
        if not self._lines:
            return None
        owner = next(iter(self._lines))
        line = self._lines.pop(owner)
        _, _, item = line.pop(0)
        del self._places[item]
        if line:
            self._lines[owner] = line
        return item

    def discard(self, item: T) -> bool:
        """Take an item out of its line.

        Parameters
        ----------
        item : object
            As it was put in.

        Returns
        -------
        bool
            Whether it waited.
        """
        place = self._places.pop(item, None)
        if place is None:
            return False
        owner, due_s, number = place
        line = self._lines[owner]
        del line[bisect_left(line, (due_s, number))]
        if not line:
            del self._lines[owner]
        return True

    def count_ahead(self, owner: str, due_s: float) -> int:
        """Count what may have its turn before an item that comes now.

        Parameters
        ----------
        owner : str
            Its owner.
        due_s : float
            When it is due.

        Returns
        -------
        int
            Items due no later in its own line, and the others' in as many rounds and
            one.
        """
        own_count = bisect_right(self._lines.get(owner, []), (due_s, inf))
        return own_count + sum(
            min(len(line), own_count + 1)
            for other, line in self._lines.items()
            if other != owner
        )

    def take_last_of_longest(self, owner: str) -> T | None:
        """Make room for an owner where another one has clearly more.

        Parameters
        ----------
        owner : str
            Who wants to put an item in.

        Returns
        -------
        object or None
            What is due last in the longest line, taken out of it; None if that would
            be no longer than the owner's line afterwards.
        """
        longest = max(self._lines.values(), key=len, default=[])
        own_count = len(self._lines.get(owner, []))
        if len(longest) < own_count + 2:
            return None
        _, _, item = longest[-1]
        self.discard(item)
        return item

    def take_hopeless(self, first_s: float, turn_s: float) -> list[T]:
        """Take out what is due before its turn can have served it.

        Parameters
        ----------
        first_s : float
            When the item whose turn is next can be done.
        turn_s : float
            By how much later each further one is.

        Returns
        -------
        list of object
            The items; they use no turns. In steps as many as items wait.
        """
        lines = deque(deque(line) for line in self._lines.values())
        done_s, hopeless = first_s, []
        while lines:
            line = lines.popleft()
            while line and line[0][0] < done_s:
                hopeless.append(line.popleft()[2])
            if not line:
                continue
            line.popleft()
            done_s += turn_s
            lines.append(line)
        for item in hopeless:
            self.discard(item)
        return hopeless

    def take_all(self) -> list[T]:
        """Take out all that waits.

        Returns
        -------
        list of object
            The items.
        """
        items = list(self._places)
        self._lines.clear()
        self._places.clear()
        return items
