"""Logs, metrics and dumps."""

from agatethread.observability._logging import make_logger, set_up_logging
from agatethread.observability._metrics import Counters, start_metrics

__all__ = ["Counters", "make_logger", "set_up_logging", "start_metrics"]
