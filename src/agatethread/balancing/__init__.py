"""Decisions under load: who waits, who is refused, and where work goes.

Plain functions and small states that run without a network. Both data paths use them.
"""

from agatethread.balancing._admission import (
    PATIENCE_S,
    Verdict,
    expected_wait_s,
    judge_opening,
    latest_place_s,
)
from agatethread.balancing._dispatchers import choose_dispatchers, share_out
from agatethread.balancing._fairness import CallerShares, rank_opening
from agatethread.balancing._pressure import PressureGauge
from agatethread.balancing._quality import fresh_from_s, judge_service
from agatethread.balancing._quality_records import (
    NO_ANSWERS,
    NO_EVIDENCE,
    UNJUDGED,
    AnswerCounts,
    Evidence,
    Judgement,
    Quality,
)
from agatethread.balancing._records import Elsewhere, GroupLoad, Opening
from agatethread.balancing._return import ReturnTimes, choose_retry_after_s
from agatethread.balancing._turns import FairTurns
from agatethread.balancing._waiting import WaitingLine

__all__ = [
    "NO_ANSWERS",
    "NO_EVIDENCE",
    "PATIENCE_S",
    "Elsewhere",
    "UNJUDGED",
    "AnswerCounts",
    "Evidence",
    "CallerShares",
    "FairTurns",
    "GroupLoad",
    "Judgement",
    "Opening",
    "PressureGauge",
    "Quality",
    "ReturnTimes",
    "Verdict",
    "WaitingLine",
    "choose_dispatchers",
    "choose_retry_after_s",
    "expected_wait_s",
    "fresh_from_s",
    "judge_opening",
    "judge_service",
    "latest_place_s",
    "rank_opening",
    "share_out",
]
