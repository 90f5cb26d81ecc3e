"""Structured logs and metrics of the processes."""

from agatethread.observability._events import EVENT_FIELDS, Event
from agatethread.observability._exposition import Metrics, format_metrics
from agatethread.observability._histogram import Histogram
from agatethread.observability._line_writer import LineRateLimiter, LineWriter
from agatethread.observability._logging import (
    log_to_standard_output,
    make_logger,
    set_up_logging,
)
from agatethread.observability._metrics import Counters, start_metrics

__all__ = [
    "EVENT_FIELDS",
    "Counters",
    "Event",
    "Histogram",
    "LineRateLimiter",
    "LineWriter",
    "Metrics",
    "format_metrics",
    "log_to_standard_output",
    "make_logger",
    "set_up_logging",
    "start_metrics",
]
