"""How good a backend server is, from sums of what its callers' packets show.

The load that this answers: dozens of servers of a service, some of which turn several
times slower, or fail, for seconds and still report and answer. Each keeps its share of
new work, and all that work is late, unless somebody takes it away. Nobody sees more
than a few answers of a server before callers have waited too long, and some requests
take many times as long as others on every server, so means say nothing. What is
compared is the *share* of slow answers: with the share that is usual in the service at
the same time, by the chance that as many come about on a server like the others. A
service that is slow as a whole, lossy links and few answers condemn nobody.
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

#: Share of slow answers that callers bear from any server: with a fifth of them slow
#: four callers of five are in time, and taking its work away makes others wait.
LEAST_SHARE = 0.2
#: The better servers, by which the usual share is told: as many as are never ejected.
_COMPARED_SHARE = 2 / 3
#: The worse third is left out of it, so it comes out too low where all are alike.
_TRIM_FACTOR = 1.5
#: Chance of as many slow answers on a server like the others, from which on it is in
#: doubt. Two long requests hold up a server with two slots, and all that wait behind
#: them, so slow answers come in clusters; that is why doubt alone ejects nobody.
_DOUBTFUL_CHANCE = 1e-3
#: The fault may be one entry instance's own.
_LEAST_OBSERVERS = 2
_LEAST_DOMAINS = 2
#: Fewer servers can't be compared.
_LEAST_COMPARED = 3
#: Share of a service's servers that may be without work at a time. Beyond it the others
#: would be overloaded, and callers be no better off.
EJECTED_SHARE = 1 / 3
#: Share of its work that a doubtful server keeps: enough to find out within a second
#: what it is. Some good ones are in doubt at any time, and when most slots are in use
#: the others have no room for more of their work.
_DOUBTFUL_WEIGHT = 0.5
#: Requests that were asked before a server came into doubt are counted for so long:
#: until they have waited too long, and entry instances have said so.
_SETTLING_S = 0.45
#: Bad answers to requests asked since that eject a server, if few were good; and good
#: ones that clear it, if they are more than the bad.
_FRESH_BAD = 3
_FRESH_BAD_SHARE = 0.75
_FRESH_GOOD = 2
#: A run that was cleared is judged for so long by what came after: until nothing from
#: before is in the window any more.
_CLEARED_S = 2.5
#: Without enough of either for so long there is too little to judge by.
_LONGEST_DOUBT_S = 2.0
#: Good answers in a row that end an ejection: a slow server shows one by chance.
_GOOD_BEFORE_PROBATION = 2
#: Share of its usual new work that an ejected server gets as trials. Without trials
#: nobody would see that it is well again: with a dozen requests a second it gets one or
#: two, which show it within two seconds, and a tenth of the harm is left if it is not.
TRIAL_SHARE = 0.1
#: Answers within the window that need no trials: twice what trials bring. Callers send
#: requests on flows that were open before, and each trial would wait behind those.
_SEEN_WITHOUT_TRIALS = 6
#: An ejection lasts so long at least: what is in progress on the server goes on to its
#: end, and answers to what came before say nothing of what it does now.
_SHORTEST_EJECTION_S = 0.5
#: Without an answer of either kind for so long nobody knows any more that it is bad.
_LONGEST_BLIND_S = 3.0
#: A server that comes back gets this share of its work, and twice as much after each
#: such time: all of it 1.2 s after, and few callers pay if it is still slow.
_FIRST_WEIGHT = 0.25
_DOUBLING_S = 0.6
#: On probation less is borne: so many slow answers, if they are half of all.
_PROBATION_BAD = 2


def tail_chance(bad: int, count: int, share: float) -> float:
    """Compute the chance of as many bad answers, or more.

    Parameters
    ----------
    bad : int
        Bad answers.
    count : int
        All answers.
    share : float
        Share of bad ones that is usual, 0 to 1.

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
    for number in range(bad):
        below += term
        term *= odds * (count - number) / (number + 1)
    if below < 0.5:
        return 1.0 - below
    # Small chances are summed up themselves, or rounding would swallow them.
    above = 0.0
    for number in range(bad, count + 1):
        above += term
        term *= odds * (count - number) / (number + 1)
    return min(1.0, above)


def usual_share(counts: Iterable[AnswerCounts]) -> float:
    """Tell which share of bad answers is usual for a service at present.

    The load that this answers: a service that is slow as a whole, or whose callers lose
    packets. Then all servers show bad answers, and none is worse than the others.

    Parameters
    ----------
    counts : iterable of AnswerCounts
        Of the service's runs.

    Returns
    -------
    float
        From the better two thirds; 1 where there are too few runs to compare.
    """
    seen = sorted(
        (one for one in counts if one.answers),
        key=lambda one: (one.bad / one.answers, -one.answers),
    )
    if len(seen) < _LEAST_COMPARED:
        return 1.0
    better = seen[: max(1, round(len(seen) * _COMPARED_SHARE))]
    answers = sum(one.answers for one in better)
    share = _TRIM_FACTOR * sum(one.bad for one in better) / answers
    return min(1.0, max(LEAST_SHARE, share))


def chance_of(evidence: Evidence, share: float, only_fresh: bool = False) -> float:
    """Compute how likely the evidence is on a server like the others.

    Parameters
    ----------
    evidence : Evidence
        What was seen of a run.
    share : float
        Share of bad answers that is usual.
    only_fresh : bool, optional
        Whether what came before the run's present state is left out.

    Returns
    -------
    float
        The lesser one of both windows; 1 where too few saw it.
    """
    if evidence.observers < _LEAST_OBSERVERS:
        return 1.0
    if evidence.domains > 1 and evidence.bad_domains < _LEAST_DOMAINS:
        # Others reach it and are served: the fault lies on the way of one.
        return 1.0
    windows = (evidence.recent, evidence.whole)
    if only_fresh:
        windows = (evidence.fresh,)
    return min(tail_chance(one.bad, one.answers, share) for one in windows)


def fresh_from_s(judged: Judgement) -> float:
    """Tell from when on answers show what a run does in its present state.

    Parameters
    ----------
    judged : Judgement
        What was decided of it last.

    Returns
    -------
    float
        Time after which they were told.
    """
    return judged.since_s + _SETTLING_S


def judge_run(
    before: Judgement, evidence: Evidence, share: float, now_s: float
) -> Judgement:
    """Decide how much work a run gets.

    The load that this answers: a server that turns slow within a moment and is well
    again seconds later, among others that long requests hold up for a moment. Some six
    slow answers bring it into doubt, which takes half of its work; what it does with
    the rest clears it or ejects it. Ejected it gets a few trials, and comes back
    step by step.

    Parameters
    ----------
    before : Judgement
        What was decided last.
    evidence : Evidence
        What was seen of it.
    share : float
        Share of bad answers that is usual for the service.
    now_s : float
        Present time.

    Returns
    -------
    Judgement
        What is decided now.
    """
    chance = chance_of(evidence, share, _is_cleared(before, now_s))
    quality = _next_quality(before, evidence, chance, now_s)
    since_s = before.since_s if quality is before.quality else now_s
    weight = _weight_of(quality, now_s - since_s)
    if quality is Quality.EJECTED and _needs_trials(evidence):
        weight = TRIAL_SHARE
    seen_s = now_s if evidence.whole.answers else before.seen_s
    return Judgement(quality, weight, since_s, seen_s, chance)


def _needs_trials(evidence: Evidence) -> bool:
    return evidence.whole.answers < _SEEN_WITHOUT_TRIALS


def _is_cleared(judged: Judgement, now_s: float) -> bool:
    """Tell whether a run was found good not long ago."""
    return judged.quality is Quality.GOOD and now_s - judged.since_s < _CLEARED_S


def _next_quality(
    before: Judgement, evidence: Evidence, chance: float, now_s: float
) -> Quality:
    if before.quality is Quality.EJECTED:
        return _after_ejection(before, evidence, now_s)
    if before.quality is Quality.ON_PROBATION:
        return _after_probation(before, evidence, now_s)
    if before.quality is Quality.DOUBTFUL:
        return _after_doubt(evidence, now_s - before.since_s)
    return Quality.DOUBTFUL if chance <= _DOUBTFUL_CHANCE else Quality.GOOD


def _weight_of(quality: Quality, lasted_s: float) -> float:
    if quality is Quality.EJECTED:
        return 0.0
    if quality is Quality.DOUBTFUL:
        return _DOUBTFUL_WEIGHT
    if quality is Quality.ON_PROBATION:
        return min(1.0, _FIRST_WEIGHT * 2 ** (lasted_s / _DOUBLING_S))
    return 1.0


def _after_doubt(evidence: Evidence, lasted_s: float) -> Quality:
    fresh = evidence.fresh
    if fresh.bad >= _FRESH_BAD and fresh.bad >= _FRESH_BAD_SHARE * fresh.answers:
        return Quality.EJECTED
    is_cleared = fresh.good >= _FRESH_GOOD and fresh.good > fresh.bad
    if is_cleared or lasted_s >= _LONGEST_DOUBT_S:
        return Quality.GOOD
    return Quality.DOUBTFUL


def _after_ejection(before: Judgement, evidence: Evidence, now_s: float) -> Quality:
    if now_s - before.since_s < _SHORTEST_EJECTION_S:
        return Quality.EJECTED
    is_well = evidence.good_since_bad >= _GOOD_BEFORE_PROBATION
    is_blind = now_s - max(before.seen_s, before.since_s) >= _LONGEST_BLIND_S
    return Quality.ON_PROBATION if is_well or is_blind else Quality.EJECTED


def _after_probation(before: Judgement, evidence: Evidence, now_s: float) -> Quality:
    fresh = evidence.fresh
    if fresh.bad >= _PROBATION_BAD and 2 * fresh.bad >= fresh.answers:
        return Quality.EJECTED
    is_over = _weight_of(before.quality, now_s - before.since_s) >= 1.0
    return Quality.GOOD if is_over else Quality.ON_PROBATION


def judge_service(
    before: Mapping[int, Judgement],
    evidence: Mapping[int, Evidence],
    domains: Mapping[int, str],
    now_s: float,
) -> dict[int, Judgement]:
    """Decide of all runs of a service, and keep enough of them at work.

    Parameters
    ----------
    before : mapping of int to Judgement
        What was decided last, by label.
    evidence : mapping of int to Evidence
        What was seen, by label.
    domains : mapping of int to str
        Failure domains of all runs that may take work, by label.
    now_s : float
        Present time.

    Returns
    -------
    dict of int to Judgement
        Of those that are held for other than good, or were not long ago.
    """
    share = usual_share(evidence[label].whole for label in domains if label in evidence)
    judged = {
        label: judge_run(
            before.get(label, UNJUDGED),
            evidence.get(label, NO_EVIDENCE),
            share,
            now_s,
        )
        for label in domains
        if label in evidence or label in before
    }
    suspects = {
        label: one for label, one in judged.items() if one.quality is not Quality.GOOD
    }
    cleared = {label: one for label, one in judged.items() if _is_cleared(one, now_s)}
    return cleared | _keep_enough(before, suspects, domains)


def _keep_enough(
    before: Mapping[int, Judgement],
    suspects: Mapping[int, Judgement],
    domains: Mapping[int, str],
) -> dict[int, Judgement]:
    """Leave work to those that the service can't do without, the worst last."""
    room = len(domains) * EJECTED_SHARE
    working = list(domains.values())
    kept: dict[int, Judgement] = {}

    def urgency(label: int) -> tuple[float, float, int]:
        return before.get(label, UNJUDGED).weight, suspects[label].chance, label

    for label in sorted(suspects, key=urgency):
        one, domain = suspects[label], domains[label]
        taken = 1.0 - one.weight
        is_last = one.quality is Quality.EJECTED and working.count(domain) == 1
        if taken > room or is_last:
            kept[label] = replace(one, weight=1.0)
            continue
        room -= taken
        if one.quality is Quality.EJECTED:
            working.remove(domain)
        kept[label] = one
    return kept
