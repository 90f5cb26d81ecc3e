"""Sums the sightings of entry instances, to detect a silently failed run together.

A sighting reports how many flows of an entry instance wait for a run, and for how long
the run has not answered them; or, with no waiting flows, when the run last answered.
Each entry instance has a small share of the flows of a run, and would alone need
seconds to detect its failure.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from agatethread.wire.registry_pb2 import Sighting, Sightings

#: A sighting expires after this time without a repetition. Entry instances repeat it
#: each 0.1 s until they regard the run as failed; others may detect it later.
RETENTION_S = 0.6
#: Runs in one message, those with the most waiting flows first.
_MAX_RUNS = 16
#: Below these numbers of flows and instances no receiver acts on a sighting.
_MIN_WAITING = 3
_MIN_OBSERVERS = 2
#: A sum of another control instance, repeated each 0.1 s, expires after this time,
#: which covers the loss of one message. Short, since the summed sightings may be
#: `RETENTION_S` old already.
_SUM_RETENTION_S = 0.25


@dataclass(frozen=True, slots=True)
class _StoredSighting:
    sighting: Sighting
    failure_domain: str
    received_s: float
    #: Whether it sums up the sightings of the failure domain's entry instances.
    is_sum: bool = False


class SightingPool:
    """Recent sightings of each run by entry instances."""

    def __init__(self) -> None:
        self._by_label: dict[int, dict[bytes, _StoredSighting]] = {}

    def store_sightings(
        self,
        source: bytes,
        failure_domain: str,
        sightings: Iterable[Sighting],
        now_s: float,
    ) -> None:
        """Store the sightings of one entry instance.

        Parameters
        ----------
        source : bytes
            Its packed address.
        failure_domain : str
            Where it runs.
        sightings : iterable of Sighting
            Runs that its flows wait for; `waiting` is 0 if the run answered.
        now_s : float
            Present time.
        """
        for sighting in sightings:
            by_source = self._by_label.setdefault(sighting.label, {})
            by_source[source] = _StoredSighting(sighting, failure_domain, now_s)

    def store_sums(
        self, failure_domain: str, sightings: Iterable[Sighting], now_s: float
    ) -> None:
        """Store the sums of another control instance for its failure domain.

        Parameters
        ----------
        failure_domain : str
            Of that control instance.
        sightings : iterable of Sighting
            As `sum_domain_sightings` returned them.
        now_s : float
            Present time.
        """
        for sighting in sightings:
            by_source = self._by_label.setdefault(sighting.label, {})
            kind = "waiting" if sighting.waiting else "answered"
            # One key per failure domain and kind, in place of an address.
            source = f"{failure_domain} {kind}".encode()
            by_source[source] = _StoredSighting(sighting, failure_domain, now_s, True)

    def sum_domain_sightings(self, failure_domain: str, now_s: float) -> Sightings:
        """Return the sums of the sightings of a failure domain's entry instances.

        Entry instances may follow control instances of their own failure domain only.
        Other failure domains then get these sums instead of each sighting.

        Parameters
        ----------
        failure_domain : str
            Its name.
        now_s : float
            Present time.

        Returns
        -------
        Sightings
            Waiting flows and answers, summed separately; empty if there are none.
        """
        self._delete_expired(now_s)
        sums = []
        for label, by_source in self._by_label.items():
            own = [
                stored
                for stored in by_source.values()
                if stored.failure_domain == failure_domain and not stored.is_sum
            ]
            sums += _sum_separately(label, own, now_s)
        sums.sort(key=lambda sighting: -sighting.waiting)
        return Sightings(runs=sums[: 2 * _MAX_RUNS])

    def sum_all(self, now_s: float) -> Sightings:
        """Return the sums over all sources of runs that flows wait for.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        Sightings
            Runs that flows wait for at several instances; empty if there are none.
        """
        self._delete_expired(now_s)
        sums = [
            _sum_sightings(label, list(by_source.values()), now_s)
            for label, by_source in self._by_label.items()
        ]
        waited_for = [sighting for sighting in sums if _reaches_threshold(sighting)]
        waited_for.sort(key=lambda sighting: -sighting.waiting)
        return Sightings(runs=waited_for[:_MAX_RUNS])

    def _delete_expired(self, now_s: float) -> None:
        for label, by_source in list(self._by_label.items()):
            for source, stored in list(by_source.items()):
                if now_s - stored.received_s > (
                    _SUM_RETENTION_S if stored.is_sum else RETENTION_S
                ):
                    del by_source[source]
            if not by_source:
                del self._by_label[label]


def _reaches_threshold(total: Sighting) -> bool:
    return total.waiting >= _MIN_WAITING and total.observers >= _MIN_OBSERVERS


def _sum_sightings(
    label: int, sightings: list[_StoredSighting], now_s: float
) -> Sighting:
    waiting = _deduplicate_domains(
        [each for each in sightings if each.sighting.waiting]
    )
    answered = [each for each in sightings if not each.sighting.waiting]
    # A sighting is not extrapolated: the silence may have ended after it was received.
    silent_ms = max((each.sighting.silent_ms for each in waiting), default=0)
    # A single answer has precedence over all waiting flows.
    silent_ms = min(
        [silent_ms, *(_last_answer_age_ms(each, now_s) for each in answered)]
    )
    return Sighting(
        label=label,
        waiting=sum(each.sighting.waiting for each in waiting),
        silent_ms=silent_ms,
        observers=sum(max(1, each.sighting.observers) for each in waiting),
        domains=len({each.failure_domain for each in waiting}),
    )


def _deduplicate_domains(waiting: list[_StoredSighting]) -> list[_StoredSighting]:
    """Return each domain's sum or its single sightings, whichever has more flows.

    An entry instance that also follows control instances of other failure domains is
    part of its own domain's sum and sends its sightings directly; it must count once.
    """
    chosen: list[_StoredSighting] = []
    for domain in {each.failure_domain for each in waiting}:
        of_domain = [each for each in waiting if each.failure_domain == domain]
        parts = (
            [each for each in of_domain if not each.is_sum],
            [each for each in of_domain if each.is_sum],
        )
        chosen += max(
            parts, key=lambda part: sum(each.sighting.waiting for each in part)
        )
    return chosen


def _sum_separately(
    label: int, sightings: list[_StoredSighting], now_s: float
) -> list[Sighting]:
    waiting = [each.sighting for each in sightings if each.sighting.waiting]
    answered = [
        _last_answer_age_ms(each, now_s)
        for each in sightings
        if not each.sighting.waiting
    ]
    sums = []
    if waiting:
        total = Sighting(label=label, observers=len(waiting))
        total.waiting = sum(each.waiting for each in waiting)
        total.silent_ms = max(each.silent_ms for each in waiting)
        sums.append(total)
    if answered:
        sums.append(Sighting(label=label, silent_ms=min(answered)))
    return sums


def _last_answer_age_ms(answered: _StoredSighting, now_s: float) -> int:
    return answered.sighting.silent_ms + round((now_s - answered.received_s) * 1000)
