"""Puts together what entry instances see of runs that do not answer.

The load that this answers: a backend server dies without a word, and each entry
instance alone needs seconds to be sure of it, since each sees a small share of its
flows. Together they have seen enough within the time that any one has to wait.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from agatethread.wire.registry_pb2 import Sighting, Sightings

#: What an entry instance has not said again for so long is no longer true: it says it
#: each 0.1 s until it holds the run for gone, and others may need it a little longer.
KEPT_S = 0.6
#: Runs told of at a time, those with the most flows waiting first. A message of 16 runs
#: has 260 bytes, and the runs of a failure domain are told of for a second or so.
_MOST_RUNS = 16
#: Flows and instances below which nobody would act on what is told.
_LEAST_WAITING = 3
_LEAST_OBSERVERS = 2


@dataclass(frozen=True, slots=True)
class _Seen:
    sighting: Sighting
    failure_domain: str
    at_s: float


class SightingPool:
    """What entry instances said of each run lately."""

    def __init__(self) -> None:
        self._seen: dict[int, dict[bytes, _Seen]] = {}

    def take(
        self,
        source: bytes,
        failure_domain: str,
        sightings: Iterable[Sighting],
        now_s: float,
    ) -> None:
        """Take what one entry instance sees.

        Parameters
        ----------
        source : bytes
            Its packed address.
        failure_domain : str
            Where it runs.
        sightings : iterable of Sighting
            Runs that it waits for, or was answered by.
        now_s : float
            Present time.
        """
        for sighting in sightings:
            by_source = self._seen.setdefault(sighting.label, {})
            by_source[source] = _Seen(sighting, failure_domain, now_s)

    def digest(self, now_s: float) -> Sightings:
        """Sum up what is still true.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        Sightings
            Runs that flows wait for at several instances; empty if there are none.
        """
        self._drop_old(now_s)
        sums = [
            _sum_up(label, list(by_source.values()), now_s)
            for label, by_source in self._seen.items()
        ]
        waited_for = [one for one in sums if _is_worth_telling(one)]
        waited_for.sort(key=lambda one: -one.waiting)
        return Sightings(runs=waited_for[:_MOST_RUNS])

    def _drop_old(self, now_s: float) -> None:
        for label, by_source in list(self._seen.items()):
            for source, seen in list(by_source.items()):
                if now_s - seen.at_s > KEPT_S:
                    del by_source[source]
            if not by_source:
                del self._seen[label]


def _is_worth_telling(one: Sighting) -> bool:
    return one.waiting >= _LEAST_WAITING and one.observers >= _LEAST_OBSERVERS


def _sum_up(label: int, seen: list[_Seen], now_s: float) -> Sighting:
    waiting = [one for one in seen if one.sighting.waiting]
    answered = [one for one in seen if not one.sighting.waiting]
    # What was said a moment ago may have ended since, so silence does not grow here.
    silent_ms = max((one.sighting.silent_ms for one in waiting), default=0)
    # One instance that was answered knows better than all that wait.
    silent_ms = min([silent_ms, *(_answered_ago_ms(one, now_s) for one in answered)])
    return Sighting(
        label=label,
        waiting=sum(one.sighting.waiting for one in waiting),
        silent_ms=silent_ms,
        observers=len(waiting),
        domains=len({one.failure_domain for one in waiting}),
    )


def _answered_ago_ms(seen: _Seen, now_s: float) -> int:
    return seen.sighting.silent_ms + round((now_s - seen.at_s) * 1000)
