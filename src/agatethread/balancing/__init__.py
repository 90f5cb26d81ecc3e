"""Admission, queueing and load-balancing decisions.

The functions and classes here do no I/O; both data paths use them.
"""

from agatethread.balancing._admission import (
    MAX_PLACEMENT_DELAY_S,
    Verdict,
    expected_wait_s,
    judge_opening,
    placement_deadline_s,
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
from agatethread.balancing._return import RetrySchedule, choose_retry_after_s
from agatethread.balancing._turns import FairQueue
from agatethread.balancing._waiting import WaitingLine

__all__ = [
    "NO_ANSWERS",
    "NO_EVIDENCE",
    "MAX_PLACEMENT_DELAY_S",
    "Elsewhere",
    "UNJUDGED",
    "AnswerCounts",
    "Evidence",
    "CallerShares",
    "FairQueue",
    "GroupLoad",
    "Judgement",
    "Opening",
    "PressureGauge",
    "Quality",
    "RetrySchedule",
    "Verdict",
    "WaitingLine",
    "choose_dispatchers",
    "choose_retry_after_s",
    "expected_wait_s",
    "fresh_from_s",
    "judge_opening",
    "judge_service",
    "placement_deadline_s",
    "rank_opening",
    "share_out",
]
