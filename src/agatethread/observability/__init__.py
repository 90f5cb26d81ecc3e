"""Structured logs and metrics of the processes."""

from agatethread.observability._events import EVENT_FIELDS, Event
from agatethread.observability._exposition import Measures, expose
from agatethread.observability._histogram import Histogram
from agatethread.observability._logging import (
    log_to_standard_output,
    make_logger,
    set_up_logging,
)
from agatethread.observability._metrics import Counters, start_metrics
from agatethread.observability._output import LineBudget, LineWriter

__all__ = [
    "EVENT_FIELDS",
    "Counters",
    "Event",
    "Histogram",
    "LineBudget",
    "LineWriter",
    "Measures",
    "expose",
    "log_to_standard_output",
    "make_logger",
    "set_up_logging",
    "start_metrics",
]
