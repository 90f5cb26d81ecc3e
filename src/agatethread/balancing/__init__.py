"""Admission, queueing and load-balancing decisions.

The functions and classes here do no I/O; both data paths use them.
"""

from agatethread.balancing._admission import (
    MAX_PLACEMENT_DELAY_S,
    AdmissionDecision,
    decide_admission,
    expected_wait_s,
    placement_deadline_s,
)
from agatethread.balancing._dispatchers import assign_servers, choose_dispatchers
from agatethread.balancing._fair_queue import FairQueue
from agatethread.balancing._fairness import CallerCounts, defer_if_over_share
from agatethread.balancing._opening_queue import OpeningQueue
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
from agatethread.balancing._records import GroupLoad, Opening, PlacementAlternative
from agatethread.balancing._retry_schedule import RetrySchedule, choose_retry_after_s

__all__ = [
    "MAX_PLACEMENT_DELAY_S",
    "NO_ANSWERS",
    "NO_EVIDENCE",
    "UNJUDGED",
    "AdmissionDecision",
    "AnswerCounts",
    "CallerCounts",
    "Evidence",
    "FairQueue",
    "GroupLoad",
    "Judgement",
    "Opening",
    "OpeningQueue",
    "PlacementAlternative",
    "PressureGauge",
    "Quality",
    "RetrySchedule",
    "assign_servers",
    "choose_dispatchers",
    "choose_retry_after_s",
    "decide_admission",
    "defer_if_over_share",
    "expected_wait_s",
    "fresh_from_s",
    "judge_service",
    "placement_deadline_s",
]
