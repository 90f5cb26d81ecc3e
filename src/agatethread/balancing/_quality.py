"""Passive health checks of backend servers from sums of observed answers.

Handles services with dozens of servers, some of which become several times slower or
fail for seconds while they still report and answer. Few answers of a server are
observed before its callers have waited too long, and request durations vary widely, so
means are unreliable. Instead, a server's share of bad answers is compared with the
share that is usual in the service, by a binomial test. A service that is slow as a
whole, lossy links and few answers eject no server.

What is judged is a run: a backend server from one start to its end. A run is cleared
when it returns from doubtful or probation to good.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from agatethread.balancing._quality_records import (
    NO_EVIDENCE,
    UNJUDGED,
    AnswerCounts,
    Evidence,
    Judgement,
    Quality,
)

#: Lower bound of the usual share of bad answers. Runs with a lower share stay good:
#: moving their work would make callers of the other runs wait.
MIN_USUAL_SHARE = 0.2
#: Share of the runs, the better ones, that define the usual share of bad answers: as
#: many as can't be ejected.
_BETTER_RUNS_SHARE = 2 / 3
#: Factor on the share of bad answers among the better runs. Leaving out the worse third
#: lowers that share also if all runs are equal.
_TRIM_FACTOR = 1.5
#: A run is doubtful at or below this p-value: the probability of as many bad answers
#: if it is like the others. Slow answers come in clusters (two long requests block a
#: server with two slots), so a doubtful run is observed further before it is ejected.
_MAX_DOUBTFUL_CHANCE = 1e-3
#: A single observer or failure domain may itself be the cause.
_MIN_OBSERVERS = 2
_MIN_BAD_DOMAINS = 2
_MIN_COMPARED_RUNS = 3
#: Maximum share of a service's capacity that may be taken away at a time, from ejected,
#: doubtful and recovering runs, so that the other runs are not overloaded.
MAX_EJECTED_SHARE = 1 / 3
#: Share of its work that a doubtful run keeps: enough to judge it within a second. Some
#: good runs are doubtful at any time, and the others may lack free slots.
_DOUBTFUL_WEIGHT = 0.5
#: Delay of answer reports: answers reported sooner than this after a change of state
#: belong to requests sent before it. Answers reported later are fresh.
_REPORTING_DELAY_S = 0.45
#: Minimum number and share of bad ones among the fresh answers that eject a doubtful
#: run; both are needed.
_MIN_FRESH_BAD = 3
_MIN_FRESH_BAD_SHARE = 0.75
#: Minimum number of good fresh answers that clear a doubtful run, if they outnumber the
#: bad ones.
_MIN_FRESH_GOOD = 2
#: Time for which a cleared run is judged by fresh answers only: until earlier answers
#: have left the window.
_CLEARED_PERIOD_S = 2.5
#: Time after which a doubtful run with too few fresh answers is cleared.
_MAX_DOUBT_S = 2.0
#: Consecutive good answers that end an ejection; a slow run may give one by chance.
_MIN_GOOD_BEFORE_PROBATION = 2
#: Share of its usual new work that an ejected run gets as trial requests, which show
#: its recovery. A tenth of the harm is left while it has not recovered.
TRIAL_WEIGHT = 0.1
#: Answers within the window that make trials unnecessary: callers still send requests
#: on open flows, and trials would queue behind those.
_MIN_ANSWERS_WITHOUT_TRIALS = 6
#: Covers requests that were in progress at the ejection, whose answers don't show the
#: run's present state.
_MIN_EJECTION_S = 0.5
#: Time without any answer after which an ejected run is tried again.
_MAX_UNOBSERVED_S = 3.0
#: A run on probation starts with this share of its work, which doubles after each
#: period, so that few callers are affected if it is still slow.
_PROBATION_INITIAL_WEIGHT = 0.25
_PROBATION_DOUBLING_S = 0.6
#: Bad fresh answers that eject a run on probation, if they are at least half of the
#: fresh ones.
_MIN_PROBATION_BAD = 2


def binomial_tail(bad: int, count: int, share: float) -> float:
    """Return the probability of at least this many bad answers.

    Parameters
    ----------
    bad : int
        Bad answers.
    count : int
        All answers.
    share : float
        Usual share of bad answers, 0 to 1.

    Returns
    -------
    float
        Upper tail of the binomial distribution.
    """
    if bad <= 0 or share >= 1.0:
        return 1.0
    if bad > count or share <= 0.0:
        return 0.0
    odds = share / (1.0 - share)
    term = (1.0 - share) ** count
    below = 0.0
    for bad_count in range(bad):
        below += term
        term *= odds * (count - bad_count) / (bad_count + 1)
    if below < 0.5:
        return 1.0 - below
    # Sum small tails directly; 1 - below would lose them to rounding.
    above = 0.0
    for bad_count in range(bad, count + 1):
        above += term
        term *= odds * (count - bad_count) / (bad_count + 1)
    return min(1.0, above)


def usual_bad_share(counts: Iterable[AnswerCounts]) -> float:
    """Return the share of bad answers that is usual for a service at present.

    Handles a service that is slow as a whole, or whose callers lose packets: all
    runs have bad answers, and none is worse than the others.

    Parameters
    ----------
    counts : iterable of AnswerCounts
        Answers of each of the service's runs.

    Returns
    -------
    float
        Share among the better two thirds; 1 if there are too few runs to compare.
    """
    observed = sorted(
        (run for run in counts if run.answers),
        key=lambda run: (run.bad / run.answers, -run.answers),
    )
    if len(observed) < _MIN_COMPARED_RUNS:
        return 1.0
    better = observed[: max(1, round(len(observed) * _BETTER_RUNS_SHARE))]
    answers = sum(run.answers for run in better)
    share = _TRIM_FACTOR * sum(run.bad for run in better) / answers
    return min(1.0, max(MIN_USUAL_SHARE, share))


def evidence_p_value(
    evidence: Evidence, share: float, only_fresh: bool = False
) -> float:
    """Return the probability of a run's bad answers if it is like the others.

    Parameters
    ----------
    evidence : Evidence
        Observed answers of the run.
    share : float
        Usual share of bad answers.
    only_fresh : bool, optional
        Whether to leave out answers from before the run's present state.

    Returns
    -------
    float
        The lower probability of the recent and the whole window, or that of fresh
        answers if `only_fresh`. 1 if bad answers were observed by too few instances, or
        in one of several failure domains only.
    """
    if evidence.observers < _MIN_OBSERVERS:
        return 1.0
    if evidence.domains > 1 and evidence.bad_domains < _MIN_BAD_DOMAINS:
        # Other failure domains get good answers: the network path is at fault.
        return 1.0
    windows = (evidence.recent, evidence.window)
    if only_fresh:
        windows = (evidence.fresh,)
    return min(binomial_tail(window.bad, window.answers, share) for window in windows)


def fresh_from_s(judgement: Judgement) -> float:
    """Return the time from which reported answers show a run's present state.

    Parameters
    ----------
    judgement : Judgement
        The latest judgement of the run.

    Returns
    -------
    float
        Answers reported after this time count as fresh.
    """
    return judgement.since_s + _REPORTING_DELAY_S


def judge_run(
    previous: Judgement, evidence: Evidence, share: float, now_s: float
) -> Judgement:
    """Return the new judgement of a run.

    Distinguishes a run that is slow for seconds from runs that a long request blocks
    briefly. A doubtful run loses part of its work; answers to the rest clear or eject
    it. An ejected run gets trial requests and returns to full work step by step.

    Parameters
    ----------
    previous : Judgement
        The previous judgement.
    evidence : Evidence
        Observed answers.
    share : float
        Usual share of bad answers of the service.
    now_s : float
        Current time.

    Returns
    -------
    Judgement
        The new judgement.
    """
    chance = evidence_p_value(evidence, share, _is_cleared(previous, now_s))
    quality = _next_quality(previous, evidence, chance, now_s)
    since_s = previous.since_s if quality is previous.quality else now_s
    weight = _weight_of(quality, now_s - since_s)
    if quality is Quality.EJECTED and _needs_trials(evidence):
        weight = TRIAL_WEIGHT
    last_answer_s = now_s if evidence.window.answers else previous.last_answer_s
    return Judgement(quality, weight, since_s, last_answer_s, chance)


def _needs_trials(evidence: Evidence) -> bool:
    return evidence.window.answers < _MIN_ANSWERS_WITHOUT_TRIALS


def _is_cleared(judgement: Judgement, now_s: float) -> bool:
    """Return whether a run was cleared recently."""
    return (
        judgement.quality is Quality.GOOD
        and now_s - judgement.since_s < _CLEARED_PERIOD_S
    )


def _next_quality(
    previous: Judgement, evidence: Evidence, chance: float, now_s: float
) -> Quality:
    if previous.quality is Quality.EJECTED:
        return _next_from_ejected(previous, evidence, now_s)
    if previous.quality is Quality.ON_PROBATION:
        return _next_from_probation(previous, evidence, now_s)
    if previous.quality is Quality.DOUBTFUL:
        return _next_from_doubtful(evidence, now_s - previous.since_s)
    return Quality.DOUBTFUL if chance <= _MAX_DOUBTFUL_CHANCE else Quality.GOOD


def _weight_of(quality: Quality, duration_s: float) -> float:
    if quality is Quality.EJECTED:
        return 0.0
    if quality is Quality.DOUBTFUL:
        return _DOUBTFUL_WEIGHT
    if quality is Quality.ON_PROBATION:
        return min(
            1.0, _PROBATION_INITIAL_WEIGHT * 2 ** (duration_s / _PROBATION_DOUBLING_S)
        )
    return 1.0


def _next_from_doubtful(evidence: Evidence, duration_s: float) -> Quality:
    fresh = evidence.fresh
    if (
        fresh.bad >= _MIN_FRESH_BAD
        and fresh.bad >= _MIN_FRESH_BAD_SHARE * fresh.answers
    ):
        return Quality.EJECTED
    is_cleared = fresh.good >= _MIN_FRESH_GOOD and fresh.good > fresh.bad
    if is_cleared or duration_s >= _MAX_DOUBT_S:
        return Quality.GOOD
    return Quality.DOUBTFUL


def _next_from_ejected(
    previous: Judgement, evidence: Evidence, now_s: float
) -> Quality:
    if now_s - previous.since_s < _MIN_EJECTION_S:
        return Quality.EJECTED
    has_recovered = evidence.good_since_bad >= _MIN_GOOD_BEFORE_PROBATION
    is_unobserved = (
        now_s - max(previous.last_answer_s, previous.since_s) >= _MAX_UNOBSERVED_S
    )
    return Quality.ON_PROBATION if has_recovered or is_unobserved else Quality.EJECTED


def _next_from_probation(
    previous: Judgement, evidence: Evidence, now_s: float
) -> Quality:
    fresh = evidence.fresh
    if fresh.bad >= _MIN_PROBATION_BAD and 2 * fresh.bad >= fresh.answers:
        return Quality.EJECTED
    has_full_weight = _weight_of(previous.quality, now_s - previous.since_s) >= 1.0
    return Quality.GOOD if has_full_weight else Quality.ON_PROBATION


def judge_service(
    previous: Mapping[int, Judgement],
    evidence: Mapping[int, Evidence],
    domains: Mapping[int, str],
    now_s: float,
) -> dict[int, Judgement]:
    """Return new judgements of a service's runs with bounded loss of capacity.

    Parameters
    ----------
    previous : mapping of int to Judgement
        Previous judgements, by label.
    evidence : mapping of int to Evidence
        Observed answers, by label.
    domains : mapping of int to str
        Failure domains of all runs that may receive work, by label.
    now_s : float
        Current time.

    Returns
    -------
    dict of int to Judgement
        Judgements of the runs that are not good, or were cleared recently.
    """
    share = usual_bad_share(
        evidence[label].window for label in domains if label in evidence
    )
    judged = {
        label: judge_run(
            previous.get(label, UNJUDGED),
            evidence.get(label, NO_EVIDENCE),
            share,
            now_s,
        )
        for label in domains
        if label in evidence or label in previous
    }
    not_good = {
        label: judgement
        for label, judgement in judged.items()
        if judgement.quality is not Quality.GOOD
    }
    cleared = {
        label: judgement
        for label, judgement in judged.items()
        if _is_cleared(judgement, now_s)
    }
    return cleared | _limit_ejections(previous, not_good, domains)


def _limit_ejections(
    previous: Mapping[int, Judgement],
    not_good: Mapping[int, Judgement],
    domains: Mapping[int, str],
) -> dict[int, Judgement]:
    """Return judgements with full weight where the service needs the run's capacity.

    Capacity is taken away in order of previous weight, lowest first, then of
    probability, lowest first.
    """
    # In units of one run's full capacity.
    remaining_capacity = len(domains) * MAX_EJECTED_SHARE
    active_domains = list(domains.values())
    limited: dict[int, Judgement] = {}

    def removal_order(label: int) -> tuple[float, float, int]:
        return previous.get(label, UNJUDGED).weight, not_good[label].chance, label

    for label in sorted(not_good, key=removal_order):
        judgement, domain = not_good[label], domains[label]
        removed_capacity = 1.0 - judgement.weight
        is_last_in_domain = (
            judgement.quality is Quality.EJECTED and active_domains.count(domain) == 1
        )
        if removed_capacity > remaining_capacity or is_last_in_domain:
            limited[label] = replace(judgement, weight=1.0)
            continue
        remaining_capacity -= removed_capacity
        if judgement.quality is Quality.EJECTED:
            active_domains.remove(domain)
        limited[label] = judgement
    return limited
