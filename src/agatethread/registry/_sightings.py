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
#: The same of a sum from another control instance, which it says each 0.1 s: one may be
#: lost, and its parts are as old as `KEPT_S` already.
_SUM_KEPT_S = 0.25


@dataclass(frozen=True, slots=True)
class _Seen:
    sighting: Sighting
    failure_domain: str
    at_s: float
    #: Whether it is the sum of what the failure domain's entry instances see.
    is_sum: bool = False


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

    def take_sums(
        self, failure_domain: str, sightings: Iterable[Sighting], now_s: float
    ) -> None:
        """Take what another control instance sums up of its failure domain.

        Parameters
        ----------
        failure_domain : str
            Of that control instance.
        sightings : iterable of Sighting
            As `sum_up_domain` returned them.
        now_s : float
            Present time.
        """
        for sighting in sightings:
            by_source = self._seen.setdefault(sighting.label, {})
            kind = "waiting" if sighting.waiting else "answered"
            source = f"{failure_domain} {kind}".encode()
            by_source[source] = _Seen(sighting, failure_domain, now_s, True)

    def sum_up_domain(self, failure_domain: str, now_s: float) -> Sightings:
        """Sum up what the entry instances of a failure domain see themselves.

        The load that this answers: where entry instances follow control instances of
        their own failure domain only, what those of others see comes as one sum of a
        domain, and not from each of dozens.

        Parameters
        ----------
        failure_domain : str
            Its name.
        now_s : float
            Present time.

        Returns
        -------
        Sightings
            Flows that wait, and answers, each apart; empty if there are none.
        """
        self._drop_old(now_s)
        found = []
        for label, by_source in self._seen.items():
            own = [
                one
                for one in by_source.values()
                if one.failure_domain == failure_domain and not one.is_sum
            ]
            found += _sum_apart(label, own, now_s)
        found.sort(key=lambda one: -one.waiting)
        return Sightings(runs=found[: 2 * _MOST_RUNS])

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
                if now_s - seen.at_s > (_SUM_KEPT_S if seen.is_sum else KEPT_S):
                    del by_source[source]
            if not by_source:
                del self._seen[label]


def _is_worth_telling(one: Sighting) -> bool:
    return one.waiting >= _LEAST_WAITING and one.observers >= _LEAST_OBSERVERS


def _sum_up(label: int, seen: list[_Seen], now_s: float) -> Sighting:
    waiting = _choose_fuller([one for one in seen if one.sighting.waiting])
    answered = [one for one in seen if not one.sighting.waiting]
    # What was said a moment ago may have ended since, so silence does not grow here.
    silent_ms = max((one.sighting.silent_ms for one in waiting), default=0)
    # One instance that was answered knows better than all that wait.
    silent_ms = min([silent_ms, *(_answered_ago_ms(one, now_s) for one in answered)])
    return Sighting(
        label=label,
        waiting=sum(one.sighting.waiting for one in waiting),
        silent_ms=silent_ms,
        observers=sum(max(1, one.sighting.observers) for one in waiting),
        domains=len({one.failure_domain for one in waiting}),
    )


def _choose_fuller(waiting: list[_Seen]) -> list[_Seen]:
    """Leave out what is told twice: a domain's sum, or those of it that told directly.

    An entry instance that follows control instances of other failure domains, too, is
    in its own domain's sum and heard besides.
    """
    chosen: list[_Seen] = []
    for domain in {one.failure_domain for one in waiting}:
        of_domain = [one for one in waiting if one.failure_domain == domain]
        parts = (
            [one for one in of_domain if not one.is_sum],
            [one for one in of_domain if one.is_sum],
        )
        chosen += max(parts, key=lambda part: sum(x.sighting.waiting for x in part))
    return chosen


def _sum_apart(label: int, seen: list[_Seen], now_s: float) -> list[Sighting]:
    waiting = [one.sighting for one in seen if one.sighting.waiting]
    answered = [
        _answered_ago_ms(one, now_s) for one in seen if not one.sighting.waiting
    ]
    found = []
    if waiting:
        one = Sighting(label=label, observers=len(waiting))
        one.waiting = sum(each.waiting for each in waiting)
        one.silent_ms = max(each.silent_ms for each in waiting)
        found.append(one)
    if answered:
        found.append(Sighting(label=label, silent_ms=min(answered)))
    return found


def _answered_ago_ms(seen: _Seen, now_s: float) -> int:
    return seen.sighting.silent_ms + round((now_s - seen.at_s) * 1000)
