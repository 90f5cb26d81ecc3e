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
from agatethread.balancing._dispatchers import (
    choose_dispatchers,
    choose_for_service,
    share_out,
)
from agatethread.balancing._pressure import PressureGauge
from agatethread.balancing._records import GroupLoad, Opening
from agatethread.balancing._waiting import WaitingLine

__all__ = [
    "PATIENCE_S",
    "GroupLoad",
    "Opening",
    "PressureGauge",
    "Verdict",
    "WaitingLine",
    "choose_dispatchers",
    "choose_for_service",
    "expected_wait_s",
    "judge_opening",
    "latest_place_s",
    "share_out",
]
