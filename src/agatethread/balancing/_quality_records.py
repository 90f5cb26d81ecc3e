"""Records of observed answers and judgements of backend servers."""

from dataclasses import dataclass
from enum import Enum
from math import inf


class Quality(Enum):
    """Health state of a run."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    EJECTED = "ejected"
    ON_PROBATION = "on probation"


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Sums of answers over a window.

    Attributes
    ----------
    answers : int
        All observed answers, including requests that have waited too long and flows
        that ended without an answer.
    slow : int
        Answers and waiting requests that took far longer than usual for their route.
    failed : int
        Requests that ended without a complete answer.
    """

    answers: int = 0
    slow: int = 0
    failed: int = 0

    @property
    def good(self) -> int:
        """Number of answers that were neither slow nor failed."""
        return self.answers - self.slow - self.failed

    @property
    def bad(self) -> int:
        """Number of slow and failed answers."""
        return self.slow + self.failed

    def add(self, other: "AnswerCounts") -> "AnswerCounts":
        """Return the sum of these and other counts.

        Parameters
        ----------
        other : AnswerCounts
            The other counts.

        Returns
        -------
        AnswerCounts
            The sum.
        """
        return AnswerCounts(
            self.answers + other.answers,
            self.slow + other.slow,
            self.failed + other.failed,
        )


NO_ANSWERS = AnswerCounts()


@dataclass(frozen=True, slots=True)
class Evidence:
    """Recent answers of a run, summed over entry instances.

    Attributes
    ----------
    window : AnswerCounts
        Answers in the whole window.
    recent : AnswerCounts
        Answers in the newest part of the window, to detect a sudden change.
    fresh : AnswerCounts
        Answers to requests sent since the run entered its present state, approximately;
        see `fresh_from_s`.
    good_since_bad : int
        Good answers since the last bad one.
    observers : int
        Entry instances that observed a bad answer; others are not counted.
    domains : int
        Failure domains with enough answers to judge by: at least `_DOMAIN_MIN_ANSWERS`
        of `agatethread.registry._answers`.
    bad_domains : int
        Failure domains that observed a bad answer.
    """

    window: AnswerCounts = NO_ANSWERS
    recent: AnswerCounts = NO_ANSWERS
    fresh: AnswerCounts = NO_ANSWERS
    good_since_bad: int = 0
    observers: int = 0
    domains: int = 0
    bad_domains: int = 0


NO_EVIDENCE = Evidence()


@dataclass(frozen=True, slots=True)
class Judgement:
    """Health state of a run and its share of work.

    Attributes
    ----------
    quality : Quality
        Health state.
    weight : float
        Share of its usual new work that it gets, 0 to 1.
    since_s : float
        When it entered this state.
    last_answer_s : float
        When its last answer was observed.
    chance : float
        Probability of as many bad answers if the run is like the others (p-value).
    """

    quality: Quality = Quality.GOOD
    weight: float = 1.0
    since_s: float = -inf
    last_answer_s: float = -inf
    chance: float = 1.0


#: Judgement of a run without an earlier one.
UNJUDGED = Judgement()
