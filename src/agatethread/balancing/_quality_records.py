"""What is seen of a backend server's answers, and what is held of it."""

from dataclasses import dataclass
from enum import Enum
from math import inf


class Quality(Enum):
    """What is held of a run."""

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
        All that were seen, also requests that have waited too long and flows that
        ended without an answer.
    slow : int
        Those that took, or wait, far longer than is usual for their route.
    failed : int
        Those that ended without a whole answer.
    """

    answers: int = 0
    slow: int = 0
    failed: int = 0

    @property
    def good(self) -> int:
        """Answers as callers wanted them."""
        return self.answers - self.slow - self.failed

    @property
    def bad(self) -> int:
        """Answers that no caller wanted so."""
        return self.slow + self.failed

    def plus(self, other: "AnswerCounts") -> "AnswerCounts":
        """Add other sums.

        Parameters
        ----------
        other : AnswerCounts
            The others.

        Returns
        -------
        AnswerCounts
            Of both together.
        """
        return AnswerCounts(
            self.answers + other.answers,
            self.slow + other.slow,
            self.failed + other.failed,
        )


#: Nothing was seen.
NO_ANSWERS = AnswerCounts()


@dataclass(frozen=True, slots=True)
class Evidence:
    """What entry instances together saw of a run lately.

    Attributes
    ----------
    whole : AnswerCounts
        Over the whole window.
    recent : AnswerCounts
        Over its newest part, so that a server that turns is not judged by the answers
        from before.
    fresh : AnswerCounts
        Of requests that were asked since the run came into its present state, as far as
        that can be told; see `fresh_from_s`.
    good_since_bad : int
        Good answers since the last bad one.
    observers : int
        Entry instances that saw a bad answer.
    domains : int
        Failure domains with enough answers to judge by.
    bad_domains : int
        Failure domains that saw a bad answer.
    """

    whole: AnswerCounts = NO_ANSWERS
    recent: AnswerCounts = NO_ANSWERS
    fresh: AnswerCounts = NO_ANSWERS
    good_since_bad: int = 0
    observers: int = 0
    domains: int = 0
    bad_domains: int = 0


#: Nobody saw anything.
NO_EVIDENCE = Evidence()


@dataclass(frozen=True, slots=True)
class Judgement:
    """What is decided of a run.

    Attributes
    ----------
    quality : Quality
        What is held of it.
    weight : float
        Share of its usual new work that it gets, 0 to 1.
    since_s : float
        When it came into this state.
    seen_s : float
        When an answer of it was seen last.
    chance : float
        Chance of what was seen on a server like the others.
    """

    quality: Quality = Quality.GOOD
    weight: float = 1.0
    since_s: float = -inf
    seen_s: float = -inf
    chance: float = 1.0


#: Of a run of which nothing was decided.
UNJUDGED = Judgement()
