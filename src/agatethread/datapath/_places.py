"""Counts the places on backend servers that a dispatcher has allocated."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from agatethread.balancing import GroupLoad
from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import FlowKey
from agatethread.datapath._placing import max_places

#: Time between placement and end that is assumed until the first end.
_INITIAL_PLACE_TIME_S = 0.03
#: Weight of the latest end in the moving average of place times.
_PLACE_TIME_WEIGHT = 0.02
#: A place without an end expires after this multiple of the usual place time, within
#: the bounds below, since the report of the end may be lost.
_EXPIRY_FACTOR = 10.0
_MIN_EXPIRY_S = 0.3
_MAX_EXPIRY_S = 3.0
#: Time after a placement in which an end of an expired place still adjusts the usual
#: time, so that places of a service with longer work stop expiring.
_LATE_END_WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A place of an opening on a backend server."""

    backend: Backend
    service: str
    since_s: float
    #: Runs that received the opening before and did not answer.
    tried: tuple[Backend, ...]
    #: Packed address of the instance that relayed it.
    sender: bytes = b""


class PlaceCounts:
    """Counts openings and requests in progress by backend server.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._placements: dict[FlowKey, Placement] = {}
        #: Openings whose places expired without an end.
        self._expired: dict[FlowKey, Placement] = {}
        self._in_progress: dict[Backend, int] = {}
        self._place_times_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._placements)

    @property
    def in_progress(self) -> Mapping[Backend, int]:
        """Openings and requests of each server; servers without any are left out."""
        return self._in_progress

    def find(self, key: FlowKey) -> Placement | None:
        """Return the placement of a flow.

        Parameters
        ----------
        key : FlowKey
            The flow.

        Returns
        -------
        Placement or None
            None if the flow has no place.
        """
        return self._placements.get(key)

    def allocate(
        self,
        key: FlowKey,
        backend: Backend,
        service: str,
        tried: tuple[Backend, ...] = (),
        sender: bytes = b"",
    ) -> None:
        """Allocate a place to an opening.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        backend : Backend
            The server.
        service : str
            Service of the server.
        tried : tuple of Backend, optional
            Runs that received the opening before and did not answer.
        sender : bytes, optional
            Packed address of the instance that relayed it.
        """
        self._expired.pop(key, None)
        self._placements[key] = Placement(
            backend, service, self._now_s(), tried, sender
        )
        self._in_progress[backend] = self._in_progress.get(backend, 0) + 1

    def release(self, key: FlowKey) -> Placement | None:
        """Release the place of a flow.

        Parameters
        ----------
        key : FlowKey
            The flow.

        Returns
        -------
        Placement or None
            None if the flow had no place.
        """
        placement = self._placements.pop(key, None)
        if placement is None:
            return None
        remaining_count = self._in_progress[placement.backend] - 1
        if remaining_count:
            self._in_progress[placement.backend] = remaining_count
        else:
            del self._in_progress[placement.backend]
        return placement

    def record_end(self, key: FlowKey) -> Placement | None:
        """Release the place of a flow whose work has ended, and update the usual time.

        Parameters
        ----------
        key : FlowKey
            The flow.

        Returns
        -------
        Placement or None
            None if the flow had no place.
        """
        placement = self.release(key)
        ended = placement or self._expired.pop(key, None)
        if ended is not None:
            place_time_s = self.place_time_s(ended.service)
            deviation_s = self._now_s() - ended.since_s - place_time_s
            self._place_times_s[ended.service] = (
                place_time_s + deviation_s * _PLACE_TIME_WEIGHT
            )
        return placement

    def list_in_age_range(self, min_age_s: float, max_age_s: float) -> list[Placement]:
        """Return the placements whose age is in a range.

        Parameters
        ----------
        min_age_s, max_age_s : float
            Minimum age, and an exclusive maximum.

        Returns
        -------
        list of Placement
            In no particular order.
        """
        now_s = self._now_s()
        return [
            placement
            for placement in self._placements.values()
            if min_age_s <= now_s - placement.since_s < max_age_s
        ]

    def expire(self) -> list[Placement]:
        """Release the places whose end is overdue.

        Returns
        -------
        list of Placement
            The released ones.
        """
        now_s = self._now_s()
        expired = {
            key: placement
            for key, placement in self._placements.items()
            if now_s - placement.since_s > self._expiry_s(placement.service)
        }
        for key in expired:
            self.release(key)
        self._expired = {
            key: placement
            for key, placement in (self._expired | expired).items()
            if now_s - placement.since_s < _LATE_END_WINDOW_S
        }
        return list(expired.values())

    def clear(self) -> None:
        """Delete all placements, but keep the usual place times."""
        self._placements.clear()
        self._expired.clear()
        self._in_progress.clear()

    def _expiry_s(self, service: str) -> float:
        expiry_s = max(_EXPIRY_FACTOR * self.place_time_s(service), _MIN_EXPIRY_S)
        return min(expiry_s, _MAX_EXPIRY_S)

    def place_time_s(self, service: str) -> float:
        """Return how long an opening of a service usually occupies its place.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        float
            Seconds.
        """
        return self._place_times_s.get(service, _INITIAL_PLACE_TIME_S)

    def measure_load(
        self, service: str, servers: Sequence[Backend], waiting_count: int
    ) -> GroupLoad:
        """Return the load of a service's servers.

        Parameters
        ----------
        service : str
            The service.
        servers : sequence of Backend
            Servers that accept new flows.
        waiting_count : int
            Openings that wait for a place.

        Returns
        -------
        GroupLoad
            Load of the servers that are not avoided.
        """
        now_s = self._now_s()
        not_avoided = [server for server in servers if now_s >= server.penalty_until_s]
        return GroupLoad(
            free_count=sum(
                max(0, max_places(server) - self._in_progress.get(server, 0))
                for server in not_avoided
            ),
            waiting_count=waiting_count,
            place_count=sum(max_places(server) for server in not_avoided),
            place_time_s=self.place_time_s(service),
        )
