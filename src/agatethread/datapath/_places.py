"""What a dispatcher has given out on its backend servers, and what is left."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from agatethread.balancing import GroupLoad
from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import FlowKey
from agatethread.datapath._placing import count_places

#: Until the first end is told, a place is held to be kept for so long: a short request
#: and the way of its packets.
_FIRST_PLACE_TIME_S = 0.03
#: Weight of the newest end in the usual time: about the last fifty count.
_PLACE_TIME_WEIGHT = 0.02
#: A place is given up after so many usual times, within these bounds, if no end is
#: told: the word was lost, or the flow's packets come through another instance.
_GIVEN_UP_AFTER = 10.0
_SOONEST_GIVEN_UP_S = 0.3
_LATEST_GIVEN_UP_S = 3.0
#: How long ends are still learned from after that: else places of a service whose work
#: is longer than was expected would be given up too soon for ever.
_LEARNED_FROM_S = 10.0


@dataclass(frozen=True, slots=True)
class Placed:
    """An opening that has a place on a backend server."""

    backend: Backend
    service: str
    since_s: float
    #: Runs that got it before and did not answer.
    tried: tuple[Backend, ...]
    #: Packed address of the instance that relayed it.
    sender: bytes = b""


class PlaceCounts:
    """Openings and requests in progress, by backend server.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._placed: dict[FlowKey, Placed] = {}
        #: Those whose places were given up.
        self._late: dict[FlowKey, Placed] = {}
        self._in_progress: dict[Backend, int] = {}
        self._usual_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._placed)

    @property
    def in_progress(self) -> Mapping[Backend, int]:
        """Count what each server has; those with nothing are left out."""
        return self._in_progress

    def find(self, key: FlowKey) -> Placed | None:
        """Find what has a place.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        Placed or None
            None if nothing has.
        """
        return self._placed.get(key)

    def take(
        self,
        key: FlowKey,
        backend: Backend,
        service: str,
        tried: tuple[Backend, ...] = (),
        sender: bytes = b"",
    ) -> None:
        """Note that an opening got a place.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        backend : Backend
            Where.
        service : str
            Of the server.
        tried : tuple of Backend, optional
            Runs that got the opening before and did not answer.
        sender : bytes, optional
            Packed address of the instance that relayed it.
        """
        self._late.pop(key, None)
        self._placed[key] = Placed(backend, service, self._now_s(), tried, sender)
        self._in_progress[backend] = self._in_progress.get(backend, 0) + 1

    def release(self, key: FlowKey) -> Placed | None:
        """Give a place back.

        Parameters
        ----------
        key : FlowKey
            The flow that had it.

        Returns
        -------
        Placed or None
            What had it; None if nothing has.
        """
        placed = self._placed.pop(key, None)
        if placed is None:
            return None
        left = self._in_progress[placed.backend] - 1
        if left:
            self._in_progress[placed.backend] = left
        else:
            del self._in_progress[placed.backend]
        return placed

    def end(self, key: FlowKey) -> Placed | None:
        """Give a place back since its work is done, and learn how long that took.

        Parameters
        ----------
        key : FlowKey
            The flow that had it.

        Returns
        -------
        Placed or None
            What had it; None if nothing has.
        """
        placed = self.release(key)
        known = placed or self._late.pop(key, None)
        if known is not None:
            usual_s = self.usual_s(known.service)
            change_s = self._now_s() - known.since_s - usual_s
            self._usual_s[known.service] = usual_s + change_s * _PLACE_TIME_WEIGHT
        return placed

    def list_aged(self, least_s: float, below_s: float) -> list[Placed]:
        """List what has had its place for some time.

        Parameters
        ----------
        least_s, below_s : float
            For how long at least, and less than that.

        Returns
        -------
        list of Placed
            Mostly few.
        """
        now_s = self._now_s()
        return [
            placed
            for placed in self._placed.values()
            if least_s <= now_s - placed.since_s < below_s
        ]

    def give_up(self) -> list[Placed]:
        """Give back the places whose end should have been told long ago.

        Returns
        -------
        list of Placed
            What had them.
        """
        now_s = self._now_s()
        late = {
            key: placed
            for key, placed in self._placed.items()
            if now_s - placed.since_s > self._longest_s(placed.service)
        }
        for key in late:
            self.release(key)
        self._late = {
            key: placed
            for key, placed in (self._late | late).items()
            if now_s - placed.since_s < _LEARNED_FROM_S
        }
        return list(late.values())

    def clear(self) -> None:
        """Forget what has a place; what was learned stays."""
        self._placed.clear()
        self._late.clear()
        self._in_progress.clear()

    def _longest_s(self, service: str) -> float:
        longest_s = max(_GIVEN_UP_AFTER * self.usual_s(service), _SOONEST_GIVEN_UP_S)
        return min(longest_s, _LATEST_GIVEN_UP_S)

    def usual_s(self, service: str) -> float:
        """Tell how long an opening of a service usually keeps its place.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        float
            Seconds.
        """
        return self._usual_s.get(service, _FIRST_PLACE_TIME_S)

    def load(
        self, service: str, servers: Sequence[Backend], waiting_count: int
    ) -> GroupLoad:
        """Sum up the load of a service's servers.

        Parameters
        ----------
        service : str
            The service.
        servers : sequence of Backend
            Those that may take work.
        waiting_count : int
            Openings that wait for them.

        Returns
        -------
        GroupLoad
            Without the places of servers that do not answer.
        """
        now_s = self._now_s()
        answering = [one for one in servers if now_s >= one.penalty_until_s]
        return GroupLoad(
            free_count=sum(
                max(0, count_places(one) - self._in_progress.get(one, 0))
                for one in answering
            ),
            waiting_count=waiting_count,
            place_count=sum(count_places(one) for one in answering),
            place_time_s=self.usual_s(service),
        )
