"""Puts together what entry instances see of the answers of each run.

The load that this answers: a backend server answers a dozen requests a second, seen by
as many entry instances, each of which would need ten seconds to tell a slow server from
a slow request. The control instance that they report to has them within 0.2 s. Entry
instances of one failure domain report to one control instance, so control instances
tell each other of the runs that one of them has doubts about, and of no others.
"""

from collections import Counter, deque
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from math import inf
from types import MappingProxyType
from typing import NamedTuple

from agatethread.balancing import NO_ANSWERS, AnswerCounts, Evidence
from agatethread.wire.registry_pb2 import (
    AnswerSums,
    PooledAnswer,
    PooledAnswers,
)

#: What was seen within this time counts: some twenty answers of a server under usual
#: load, two of one that gets trials only.
WINDOW_S = 2.0
#: Its newest part, two reports of each entry instance: a server that turned slow is to
#: be found out within half a second or so, and not by the answers from before.
RECENT_S = 0.4
#: What another control instance told is used for so long: two of its messages may be
#: lost, which come each 0.2 s.
_PEER_KEPT_S = 0.7
#: Entry instances that report are told of weights for so long after they did last.
_REPORTER_KEPT_S = 2.0
#: A run is told to other control instances from so many bad answers, and such a share
#: of them, on: one is a tail.
_DOUBT_BAD = 2
_DOUBT_SHARE = 0.2
#: Answers of a failure domain from which on it counts among those that reach a run.
_DOMAIN_ANSWERS = 3
#: An entry instance that sees so many answers, such a share of them bad, and at so many
#: runs, is slow itself or cut off from its callers; what it says counts for nobody.
_OWN_FAULT_ANSWERS = 6
_OWN_FAULT_SHARE = 0.6
_OWN_FAULT_RUNS = 3
#: Where nothing was decided, no answer is fresher than others.
NOTHING_FRESH: Mapping[int, float] = MappingProxyType({})
#: Runs told to another control instance at a time, the worst first: 650 bytes.
_MOST_TOLD = 32


class _Told(NamedTuple):
    """What one entry instance said of a run at a time."""

    at_s: float
    source: bytes
    failure_domain: str
    answers: int
    slow: int
    failed: int


@dataclass(frozen=True, slots=True)
class _FromPeer:
    at_s: float
    failure_domain: str
    by_label: dict[int, PooledAnswer]


@dataclass(frozen=True, slots=True)
class _Sums:
    """What the entry instances that report here saw of a run."""

    whole: AnswerCounts
    recent: AnswerCounts
    fresh: AnswerCounts
    good_since_bad: int
    observers: int
    #: Answers, and bad ones, by failure domain.
    by_domain: dict[str, tuple[int, int]]


#: They saw nothing.
_NO_SUMS = _Sums(NO_ANSWERS, NO_ANSWERS, NO_ANSWERS, 0, 0, {})


class AnswerPool:
    """What entry instances, and other control instances, said lately."""

    def __init__(self) -> None:
        self._told: dict[int, deque[_Told]] = {}
        self._peers: dict[bytes, _FromPeer] = {}
        self._reporters: dict[bytes, float] = {}
        #: What was put together last of what is reported here.
        self._own: dict[int, _Sums] = {}

    def take(
        self, source: bytes, failure_domain: str, sums: AnswerSums, now_s: float
    ) -> None:
        """Take what an entry instance saw since it said so last.

        Parameters
        ----------
        source : bytes
            Its packed address.
        failure_domain : str
            Where it runs.
        sums : AnswerSums
            Its message.
        now_s : float
            Present time.
        """
        self._reporters[source] = now_s
        for one in sums.runs:
            counts = (one.answers, one.slow, one.failed)
            told = _Told(now_s, source, failure_domain, *counts)
            self._told.setdefault(one.label, deque()).append(told)

    def take_pooled(self, source: bytes, pooled: PooledAnswers, now_s: float) -> None:
        """Take what another control instance has put together.

        Parameters
        ----------
        source : bytes
            Its packed address.
        pooled : PooledAnswers
            Its message, in place of the one before.
        now_s : float
            Present time.
        """
        by_label = {one.label: one for one in pooled.runs}
        self._peers[source] = _FromPeer(now_s, pooled.failure_domain, by_label)

    def reporters(self, now_s: float) -> list[bytes]:
        """List the entry instances that report here.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        list of bytes
            Their packed addresses.
        """
        oldest_s = now_s - _REPORTER_KEPT_S
        self._reporters = {
            source: at_s for source, at_s in self._reporters.items() if at_s > oldest_s
        }
        return list(self._reporters)

    def evidence(
        self, now_s: float, fresh_from_s: Mapping[int, float] = NOTHING_FRESH
    ) -> dict[int, Evidence]:
        """Sum up what is known of each run.

        Parameters
        ----------
        fresh_from_s : mapping of int to float, optional
            From when on answers are fresh, by label.
        now_s : float
            Present time.

        Returns
        -------
        dict of int to Evidence
            By label; runs of which nothing was seen are left out.
        """
        self._drop_old(now_s)
        at_fault = _find_at_fault(self._told.values())
        self._own = {
            label: _sum_up(
                told, at_fault, now_s - RECENT_S, fresh_from_s.get(label, inf)
            )
            for label, told in self._told.items()
        }
        labels = set(self._own)
        for peer in self._peers.values():
            labels.update(peer.by_label)
        return {label: self._merge(label) for label in labels}

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        for label, told in list(self._told.items()):
            while told and told[0].at_s <= oldest_s:
                told.popleft()
            if not told:
                del self._told[label]
        oldest_s = now_s - _PEER_KEPT_S
        self._peers = {
            source: peer for source, peer in self._peers.items() if peer.at_s > oldest_s
        }

    def _merge(self, label: int) -> Evidence:
        own = self._own.get(label, _NO_SUMS)
        whole, recent, fresh = own.whole, own.recent, own.fresh
        good_since_bad, observers = own.good_since_bad, own.observers
        by_domain = dict(own.by_domain)
        for peer in self._peers.values():
            pooled = peer.by_label.get(label)
            if pooled is None:
                continue
            counts = AnswerCounts(pooled.answers, pooled.slow, pooled.failed)
            whole = whole.add(counts)
            recent = recent.add(_recent_of(pooled))
            fresh = fresh.add(AnswerCounts(pooled.fresh_answers, pooled.fresh_bad))
            good_since_bad += pooled.good_since_bad
            observers += pooled.observers
            answers, bad = by_domain.get(peer.failure_domain, (0, 0))
            by_domain[peer.failure_domain] = (
                answers + counts.answers,
                bad + counts.bad,
            )
        return Evidence(
            window=whole,
            recent=recent,
            fresh=fresh,
            good_since_bad=good_since_bad,
            observers=observers,
            domains=sum(1 for all_, _ in by_domain.values() if all_ >= _DOMAIN_ANSWERS),
            bad_domains=sum(1 for _, bad in by_domain.values() if bad),
        )

    def doubts(self, failure_domain: str, held: Container[int] = ()) -> PooledAnswers:
        """Say what others should know: what was seen here of doubtful runs.

        Parameters
        ----------
        failure_domain : str
            Of this control instance.
        held : container of int, optional
            Labels of the runs that it holds for other than good.

        Returns
        -------
        PooledAnswers
            As of the last call of `evidence`: runs with several bad answers here, those
            that are held for other than good, and those that others have doubts about;
            empty mostly.
        """
        asked = {
            label
            for peer in self._peers.values()
            for label, one in peer.by_label.items()
            if one.doubted
        }
        doubted = {
            label
            for label, own in self._own.items()
            if label in held or _is_doubtful(own.whole)
        }
        worth = [
            label
            for label, own in self._own.items()
            if own.whole.answers and (label in doubted or label in asked)
        ]
        worth.sort(key=lambda label: (-self._own[label].whole.bad, label))
        runs = [
            _pooled_of(label, self._own[label], label in doubted)
            for label in worth[:_MOST_TOLD]
        ]
        return PooledAnswers(failure_domain=failure_domain, runs=runs)


def _find_at_fault(all_told: Iterable[Iterable[_Told]]) -> set[bytes]:
    """Find the entry instances to whom most runs look bad at once."""
    answers: Counter[bytes] = Counter()
    bad: Counter[bytes] = Counter()
    bad_runs: Counter[bytes] = Counter()
    for told in all_told:
        sources = set()
        for one in told:
            answers[one.source] += one.answers
            if one.slow or one.failed:
                bad[one.source] += one.slow + one.failed
                sources.add(one.source)
        bad_runs.update(sources)
    return {
        source
        for source, runs in bad_runs.items()
        if runs >= _OWN_FAULT_RUNS
        and answers[source] >= _OWN_FAULT_ANSWERS
        and bad[source] >= _OWN_FAULT_SHARE * answers[source]
    }


def _sum_up(
    told: Iterable[_Told],
    at_fault: set[bytes],
    recent_from_s: float,
    fresh_from_s: float,
) -> _Sums:
    whole, recent, fresh = [0, 0, 0], [0, 0, 0], [0, 0, 0]
    good_since_bad = 0
    observers: set[bytes] = set()
    by_domain: dict[str, tuple[int, int]] = {}
    for at_s, source, domain, answers, slow, failed in told:
        if source in at_fault:
            continue
        for one, from_s in (
            (whole, -inf),
            (recent, recent_from_s),
            (fresh, fresh_from_s),
        ):
            if at_s > from_s:
                one[0] += answers
                one[1] += slow
                one[2] += failed
        bad = slow + failed
        good_since_bad = 0 if bad else good_since_bad + answers
        if bad:
            observers.add(source)
        answers_before, bad_before = by_domain.get(domain, (0, 0))
        by_domain[domain] = (answers_before + answers, bad_before + bad)
    return _Sums(
        AnswerCounts(*whole),
        AnswerCounts(*recent),
        AnswerCounts(*fresh),
        good_since_bad,
        len(observers),
        by_domain,
    )


def _recent_of(one: PooledAnswer) -> AnswerCounts:
    return AnswerCounts(one.recent_answers, one.recent_slow, one.recent_failed)


def _is_doubtful(counts: AnswerCounts) -> bool:
    is_several = counts.bad >= _DOUBT_BAD
    return is_several and counts.bad >= _DOUBT_SHARE * counts.answers


def _pooled_of(label: int, own: _Sums, doubted: bool) -> PooledAnswer:
    whole, recent = own.whole, own.recent
    return PooledAnswer(
        label=label,
        answers=whole.answers,
        slow=whole.slow,
        failed=whole.failed,
        recent_answers=recent.answers,
        recent_slow=recent.slow,
        recent_failed=recent.failed,
        observers=own.observers,
        fresh_answers=own.fresh.answers,
        fresh_bad=own.fresh.bad,
        good_since_bad=own.good_since_bad,
        doubted=doubted,
    )
