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
from agatethread.balancing._records import GroupLoad, Opening
from agatethread.balancing._return import ReturnTimes, choose_retry_after_s
from agatethread.balancing._turns import FairTurns
from agatethread.balancing._waiting import WaitingLine

__all__ = [
    "PATIENCE_S",
    "CallerShares",
    "FairTurns",
    "GroupLoad",
    "Opening",
    "PressureGauge",
    "ReturnTimes",
    "Verdict",
    "WaitingLine",
    "choose_dispatchers",
    "choose_retry_after_s",
    "expected_wait_s",
    "judge_opening",
    "latest_place_s",
    "rank_opening",
    "share_out",
]
