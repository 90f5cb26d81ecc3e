"""Sums the answer counts that entry instances report for each run.

Needed when the answers of a backend server are spread over many entry instances, each
of which sees too few to tell a slow server from a slow request. A control instance sums
the reports that it receives. Entry instances of other failure domains report to other
control instances, so control instances exchange the sums of doubtful runs.

Fresh answers are those reported after the quality of a run last changed, plus the
reporting delay (see `agatethread.balancing`).
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

#: Length of the window over which answers are summed. Long enough for several answers
#: of a run under usual load, and more than one of a run on probation.
WINDOW_S = 2.0
#: Length of the recent part of the window, two reports of each entry instance, so that
#: a run that became slow is detected without its earlier answers.
RECENT_S = 0.4
#: Sums of other control instances are used for this time, which covers the loss of two
#: consecutive messages; one comes each 0.2 s.
_CONTROL_SUMS_RETENTION_S = 0.7
#: Entry instances receive weights for this time after their last report.
_REPORTER_TIMEOUT_S = 2.0
#: A run with at least this number and this share of bad answers is doubtful, and its
#: sums are sent to other control instances. A single bad answer may be an outlier.
_DOUBTFUL_MIN_BAD_ANSWERS = 2
_DOUBTFUL_MIN_BAD_SHARE = 0.2
#: A failure domain with at least this many answers of a run counts as reaching it.
_DOMAIN_MIN_ANSWERS = 3
#: An entry instance with this many answers, this share of them bad, and bad ones from
#: this many runs is slow itself or cut off from its callers; its reports are ignored.
_FAULTY_SOURCE_MIN_ANSWERS = 6
_FAULTY_SOURCE_BAD_SHARE = 0.6
_FAULTY_SOURCE_MIN_RUNS = 3
#: Default if no run was judged: no answer is fresh.
NO_FRESH_TIMES: Mapping[int, float] = MappingProxyType({})
#: Runs in one message to a control instance, so that it fits one datagram.
_MAX_POOLED_RUNS = 32


class _SourceReport(NamedTuple):
    """Answer counts of one run in one report of an entry instance."""

    received_s: float
    source: bytes
    failure_domain: str
    answers: int
    slow: int
    failed: int


@dataclass(frozen=True, slots=True)
class _ControlSums:
    received_s: float
    failure_domain: str
    by_label: dict[int, PooledAnswer]


@dataclass(frozen=True, slots=True)
class _RunSums:
    """Answers of a run, summed over the reports to this instance."""

    window: AnswerCounts
    recent: AnswerCounts
    fresh: AnswerCounts
    good_since_bad: int
    #: Number of entry instances that reported a bad answer.
    bad_sources: int
    #: Answers, and bad ones, by failure domain.
    by_domain: dict[str, tuple[int, int]]


_EMPTY_SUMS = _RunSums(NO_ANSWERS, NO_ANSWERS, NO_ANSWERS, 0, 0, {})


class AnswerPool:
    """Recent reports of entry instances, and sums of other control instances."""

    def __init__(self) -> None:
        self._reports: dict[int, deque[_SourceReport]] = {}
        self._controls: dict[bytes, _ControlSums] = {}
        self._reporters: dict[bytes, float] = {}
        #: Latest sums of the reports to this instance, by label.
        self._own_sums: dict[int, _RunSums] = {}

    def add_report(
        self, source: bytes, failure_domain: str, sums: AnswerSums, now_s: float
    ) -> None:
        """Store the answers that an entry instance counted since its previous report.

        Parameters
        ----------
        source : bytes
            Packed address of the entry instance.
        failure_domain : str
            Where it runs.
        sums : AnswerSums
            Its message.
        now_s : float
            Present time.
        """
        self._reporters[source] = now_s
        for run in sums.runs:
            counts = (run.answers, run.slow, run.failed)
            report = _SourceReport(now_s, source, failure_domain, *counts)
            self._reports.setdefault(run.label, deque()).append(report)

    def store_pooled(self, source: bytes, pooled: PooledAnswers, now_s: float) -> None:
        """Store the sums of another control instance.

        Parameters
        ----------
        source : bytes
            Its packed address.
        pooled : PooledAnswers
            Its message, which replaces the previous one.
        now_s : float
            Present time.
        """
        by_label = {answer.label: answer for answer in pooled.runs}
        self._controls[source] = _ControlSums(now_s, pooled.failure_domain, by_label)

    def list_reporters(self, now_s: float) -> list[bytes]:
        """Return the entry instances that report to this instance.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        list of bytes
            Their packed addresses.
        """
        oldest_s = now_s - _REPORTER_TIMEOUT_S
        self._reporters = {
            source: reported_s
            for source, reported_s in self._reporters.items()
            if reported_s > oldest_s
        }
        return list(self._reporters)

    def collect_evidence(
        self, now_s: float, fresh_from_by_label: Mapping[int, float] = NO_FRESH_TIMES
    ) -> dict[int, Evidence]:
        """Return the sums over all sources of each run.

        Parameters
        ----------
        fresh_from_by_label : mapping of int to float, optional
            Time after which answers are fresh, by label.
        now_s : float
            Present time.

        Returns
        -------
        dict of int to Evidence
            By label; runs without answers are left out.
        """
        self._delete_expired(now_s)
        faulty_sources = _find_faulty_sources(self._reports.values())
        self._own_sums = {
            label: _sum_reports(
                reports,
                faulty_sources,
                now_s - RECENT_S,
                fresh_from_by_label.get(label, inf),
            )
            for label, reports in self._reports.items()
        }
        labels = set(self._own_sums)
        for control in self._controls.values():
            labels.update(control.by_label)
        return {label: self._merge(label) for label in labels}

    def _delete_expired(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        for label, reports in list(self._reports.items()):
            while reports and reports[0].received_s <= oldest_s:
                reports.popleft()
            if not reports:
                del self._reports[label]
        oldest_s = now_s - _CONTROL_SUMS_RETENTION_S
        self._controls = {
            source: control
            for source, control in self._controls.items()
            if control.received_s > oldest_s
        }

    def _merge(self, label: int) -> Evidence:
        own = self._own_sums.get(label, _EMPTY_SUMS)
        window, recent, fresh = own.window, own.recent, own.fresh
        good_since_bad, bad_sources = own.good_since_bad, own.bad_sources
        by_domain = dict(own.by_domain)
        for control in self._controls.values():
            pooled = control.by_label.get(label)
            if pooled is None:
                continue
            counts = AnswerCounts(pooled.answers, pooled.slow, pooled.failed)
            window = window.add(counts)
            recent = recent.add(_recent_counts(pooled))
            fresh = fresh.add(AnswerCounts(pooled.fresh_answers, pooled.fresh_bad))
            good_since_bad += pooled.good_since_bad
            bad_sources += pooled.observers
            answers, bad = by_domain.get(control.failure_domain, (0, 0))
            by_domain[control.failure_domain] = (
                answers + counts.answers,
                bad + counts.bad,
            )
        return Evidence(
            window=window,
            recent=recent,
            fresh=fresh,
            good_since_bad=good_since_bad,
            observers=bad_sources,
            domains=sum(
                1 for answers, _ in by_domain.values() if answers >= _DOMAIN_MIN_ANSWERS
            ),
            bad_domains=sum(1 for _, bad in by_domain.values() if bad),
        )

    def collect_doubtful(
        self, failure_domain: str, judged_labels: Container[int] = ()
    ) -> PooledAnswers:
        """Return the sums of doubtful runs for other control instances.

        Parameters
        ----------
        failure_domain : str
            Of this control instance.
        judged_labels : container of int, optional
            Runs that are not good, or were cleared recently; always doubtful.

        Returns
        -------
        PooledAnswers
            Sums of runs that are doubtful here or at another control instance, those
            with the most bad answers first; usually empty. Computed from the last call
            of `collect_evidence`.
        """
        doubted_by_others = {
            label
            for control in self._controls.values()
            for label, answer in control.by_label.items()
            if answer.doubted
        }
        doubted = {
            label
            for label, own in self._own_sums.items()
            if label in judged_labels or _is_doubtful(own.window)
        }
        labels = [
            label
            for label, own in self._own_sums.items()
            if own.window.answers and (label in doubted or label in doubted_by_others)
        ]
        labels.sort(key=lambda label: (-self._own_sums[label].window.bad, label))
        runs = [
            _make_pooled_answer(label, self._own_sums[label], label in doubted)
            for label in labels[:_MAX_POOLED_RUNS]
        ]
        return PooledAnswers(failure_domain=failure_domain, runs=runs)


def _find_faulty_sources(
    reports_by_run: Iterable[Iterable[_SourceReport]],
) -> set[bytes]:
    """Return the entry instances that report bad answers of most runs at once."""
    answers: Counter[bytes] = Counter()
    bad: Counter[bytes] = Counter()
    bad_runs: Counter[bytes] = Counter()
    for reports in reports_by_run:
        bad_sources = set()
        for report in reports:
            answers[report.source] += report.answers
            if report.slow or report.failed:
                bad[report.source] += report.slow + report.failed
                bad_sources.add(report.source)
        bad_runs.update(bad_sources)
    return {
        source
        for source, runs in bad_runs.items()
        if runs >= _FAULTY_SOURCE_MIN_RUNS
        and answers[source] >= _FAULTY_SOURCE_MIN_ANSWERS
        and bad[source] >= _FAULTY_SOURCE_BAD_SHARE * answers[source]
    }


def _sum_reports(
    reports: Iterable[_SourceReport],
    faulty_sources: set[bytes],
    recent_from_s: float,
    fresh_from_s: float,
) -> _RunSums:
    window, recent, fresh = [0, 0, 0], [0, 0, 0], [0, 0, 0]
    good_since_bad = 0
    bad_sources: set[bytes] = set()
    by_domain: dict[str, tuple[int, int]] = {}
    for received_s, source, domain, answers, slow, failed in reports:
        if source in faulty_sources:
            continue
        for counts, from_s in (
            (window, -inf),
            (recent, recent_from_s),
            (fresh, fresh_from_s),
        ):
            if received_s > from_s:
                counts[0] += answers
                counts[1] += slow
                counts[2] += failed
        bad = slow + failed
        good_since_bad = 0 if bad else good_since_bad + answers
        if bad:
            bad_sources.add(source)
        answers_before, bad_before = by_domain.get(domain, (0, 0))
        by_domain[domain] = (answers_before + answers, bad_before + bad)
    return _RunSums(
        AnswerCounts(*window),
        AnswerCounts(*recent),
        AnswerCounts(*fresh),
        good_since_bad,
        len(bad_sources),
        by_domain,
    )


def _recent_counts(answer: PooledAnswer) -> AnswerCounts:
    return AnswerCounts(answer.recent_answers, answer.recent_slow, answer.recent_failed)


def _is_doubtful(counts: AnswerCounts) -> bool:
    has_several_bad = counts.bad >= _DOUBTFUL_MIN_BAD_ANSWERS
    return has_several_bad and counts.bad >= _DOUBTFUL_MIN_BAD_SHARE * counts.answers


def _make_pooled_answer(label: int, own: _RunSums, doubted: bool) -> PooledAnswer:
    window, recent = own.window, own.recent
    return PooledAnswer(
        label=label,
        answers=window.answers,
        slow=window.slow,
        failed=window.failed,
        recent_answers=recent.answers,
        recent_slow=recent.slow,
        recent_failed=recent.failed,
        observers=own.bad_sources,
        fresh_answers=own.fresh.answers,
        fresh_bad=own.fresh.bad,
        good_since_bad=own.good_since_bad,
        doubted=doubted,
    )
