"""Consistent hashing of services onto instances (Karger et al., STOC 1997)."""

from array import array
from bisect import bisect_left

from xxhash import xxh64_intdigest

#: Points of each instance; more would share the services out more evenly.
_POINTS_EACH = 16
#: From this many changes on, sorting anew costs less than inserting.
_REBUILD_COUNT = 64


class HashRing:
    """Points of the instances that may dispatch, in order around a circle.

    A look-up is a binary search and a change moves a few points, so that neither grows
    noticeably with the fleet.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._points = array("Q")
        self._owners: list[str] = []
        self._pending: dict[str, bool] = {}

    def __len__(self) -> int:
        self._settle()
        return len(self._names)

    def add(self, name: str) -> None:
        """Add an instance.

        Parameters
        ----------
        name : str
            Its name; adding it again does nothing.
        """
        self._pending[name] = True

    def remove(self, name: str) -> None:
        """Remove an instance.

        Parameters
        ----------
        name : str
            Its name; removing it again does nothing.
        """
        self._pending[name] = False

    def _settle(self) -> None:
        if not self._pending:
            return
        changed = {
            name: present
            for name, present in self._pending.items()
            if present != (name in self._names)
        }
        self._pending.clear()
        self._names ^= changed.keys()
        if len(changed) >= _REBUILD_COUNT:
            self._rebuild()
            return
        for name, present in changed.items():
            for point in _points_of(name):
                self._change_point(point, name, present)

    def _rebuild(self) -> None:
        pairs = sorted(
            (point, name) for name in self._names for point in _points_of(name)
        )
        self._points = array("Q", (point for point, _ in pairs))
        self._owners = [name for _, name in pairs]

    def _change_point(self, point: int, name: str, present: bool) -> None:
        position = bisect_left(self._points, point)
        if present:
            self._points.insert(position, point)
            self._owners.insert(position, name)
            return
        while self._owners[position] != name:
            position += 1
        del self._points[position]
        del self._owners[position]

    def find(self, key: int, count: int) -> list[str]:
        """Find the first instances from a place on.

        Parameters
        ----------
        key : int
            64 bits, the place.
        count : int
            How many different ones.

        Returns
        -------
        list of str
            Their names; fewer if there are not as many.
        """
        self._settle()
        wanted = min(count, len(self._names))
        found: list[str] = []
        position = bisect_left(self._points, key)
        while len(found) < wanted:
            name = self._owners[position % len(self._owners)]
            if name not in found:
                found.append(name)
            position += 1
        return found


def _points_of(name: str) -> list[int]:
    encoded = name.encode()
    return [xxh64_intdigest(encoded, seed=number) for number in range(_POINTS_EACH)]
