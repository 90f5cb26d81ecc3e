"""Consistent hashing of services to instances (Karger et al., STOC 1997)."""

from array import array
from bisect import bisect_left

from xxhash import xxh64_intdigest

#: More points per instance distribute services more evenly, and make changes slower.
_POINTS_PER_INSTANCE = 16
#: From this number of changes on, a rebuild costs less than single insertions.
_REBUILD_MIN_CHANGES = 64


class HashRing:
    """Hash ring of the instances that may dispatch.

    A look-up is a binary search and a change moves a few points, so the cost of both
    depends little on the number of instances.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._points = array("Q")
        self._owners: list[str] = []
        self._pending_changes: dict[str, bool] = {}

    def __len__(self) -> int:
        self._apply_changes()
        return len(self._names)

    def add(self, name: str) -> None:
        """Add an instance.

        Parameters
        ----------
        name : str
            Its name; adding it again does nothing.
        """
        self._pending_changes[name] = True

    def remove(self, name: str) -> None:
        """Remove an instance.

        Parameters
        ----------
        name : str
            Its name; removing it again does nothing.
        """
        self._pending_changes[name] = False

    def _apply_changes(self) -> None:
        if not self._pending_changes:
            return
        changed = {
            name: present
            for name, present in self._pending_changes.items()
            if present != (name in self._names)
        }
        self._pending_changes.clear()
        self._names ^= changed.keys()
        if len(changed) >= _REBUILD_MIN_CHANGES:
            self._rebuild()
            return
        for name, present in changed.items():
            for point in _compute_points(name):
                self._change_point(point, name, present)

    def _rebuild(self) -> None:
        pairs = sorted(
            (point, name) for name in self._names for point in _compute_points(name)
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

    def find_owners(self, key: int, count: int) -> list[str]:
        """Return the first different instances at or after a position on the ring.

        Parameters
        ----------
        key : int
            64 bits, the position.
        count : int
            Number of different instances.

        Returns
        -------
        list of str
            Their names; fewer if the ring has fewer instances.
        """
        self._apply_changes()
        limit = min(count, len(self._names))
        names: list[str] = []
        position = bisect_left(self._points, key)
        while len(names) < limit:
            name = self._owners[position % len(self._owners)]
            if name not in names:
                names.append(name)
            position += 1
        return names


def _compute_points(name: str) -> list[int]:
    encoded = name.encode()
    return [
        xxh64_intdigest(encoded, seed=number) for number in range(_POINTS_PER_INSTANCE)
    ]
