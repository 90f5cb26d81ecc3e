"""Set up structured logging with logbook, as JSON lines or as text."""

import sys
import time
from typing import Any

import logbook
import orjson

from agatethread.observability._line_writer import LineRateLimiter, LineWriter
from agatethread.settings import LoggingSettings

_FORMAT_HUMAN = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.extra[instance]}/{record.extra[failure_domain]} "
    "{record.channel}: {record.message} {fields}"
)


#: Lines are buffered up to this size and written by one system call.
_BATCH_BYTES = 4_096
#: Origin of `steady_s`: the import of this module, close to the start of the process.
_IMPORTED_S = time.monotonic()


def _fields(record: logbook.LogRecord) -> dict[str, Any]:
    fields = dict(record.kwargs)
    fields.pop("exc_info", None)
    return fields


def _format_json(record: logbook.LogRecord, _: Any) -> str:
    line = _fields(record)
    line["time"] = record.time
    # Monotonic: keeps the order of a process's lines when the time of day is stepped.
    line["steady_s"] = round(time.monotonic() - _IMPORTED_S, 4)
    line["level"] = record.level_name.lower()
    line["instance"] = record.extra["instance"]
    line["failure_domain"] = record.extra["failure_domain"]
    line["part"] = record.channel
    line["message"] = record.msg
    if record.exc_info:
        line["traceback"] = record.formatted_exception
    return orjson.dumps(line, default=str).decode()


def _format_human(record: logbook.LogRecord, _: Any) -> str:
    fields = " ".join(f"{key}={value}" for key, value in _fields(record).items())
    line = _FORMAT_HUMAN.format(record=record, fields=fields).rstrip()
    if record.exc_info:
        line += "\n" + record.formatted_exception
    return line


class RateLimitedHandler(logbook.Handler):
    """Writes records as JSON lines, rate-limited by kind, without blocking.

    Parameters
    ----------
    writer : LineWriter
        Writes the lines.
    budget : LineRateLimiter
        Limits their rate.
    level : int
        Lowest level that is written.
    """

    def __init__(self, writer: LineWriter, budget: LineRateLimiter, level: int):
        super().__init__(level)
        self._writer = writer
        self._budget = budget

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as left out if its kind exceeds the rate.

        Parameters
        ----------
        record : logbook.LogRecord
            The record.
        """
        # Uses `msg`: `message` would be formatted with the fields, but event texts have
        # no placeholders.
        kind = (record.channel, record.msg, record.kwargs.get("why"))
        left_out = self._budget.admit(kind)
        if left_out is None:
            return
        if left_out:
            record.kwargs["left_out_before"] = left_out
        if self._writer.lost_count:
            record.kwargs["lines_lost"] = self._writer.lost_count
        self._writer.write(_format_json(record, None))
        if record.level >= logbook.WARNING:
            # The process may end before the next flush.
            self._writer.flush()


def log_to_standard_output(
    instance: str, failure_domain: str, level: str = "info"
) -> LineWriter:
    """Write every log record of the process to standard output as a JSON line.

    Parameters
    ----------
    instance, failure_domain : str
        Fields of every line.
    level : str, optional
        Lowest level that is written.

    Returns
    -------
    LineWriter
        The writer of the lines; the caller flushes it periodically.
    """
    writer = LineWriter(sys.stdout.fileno(), batch_bytes=_BATCH_BYTES)
    handler = RateLimitedHandler(
        writer, LineRateLimiter(), logbook.lookup_level(level.upper())
    )
    _add_origin(instance, failure_domain)
    handler.push_application()
    return writer


def _add_origin(instance: str, failure_domain: str) -> None:
    def add_origin(record: logbook.LogRecord) -> None:
        record.extra["instance"] = instance
        record.extra["failure_domain"] = failure_domain

    logbook.Processor(add_origin).push_application()


def set_up_logging(
    settings: LoggingSettings, instance: str, failure_domain: str
) -> None:
    """Send every log record of the process to standard error.

    Parameters
    ----------
    settings : LoggingSettings
        Format and level.
    instance, failure_domain : str
        Fields of every record.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(settings.level.upper())
    )
    as_json = settings.format == "json"
    handler.formatter = _format_json if as_json else _format_human
    _add_origin(instance, failure_domain)
    handler.push_application()


def make_logger(part: str) -> logbook.Logger:
    """Return a logger for one part of the program.

    Parameters
    ----------
    part : str
        Name of the part, logged as a field.

    Returns
    -------
    logbook.Logger
        Logger whose keyword arguments become fields of the record.
    """
    return logbook.Logger(part)
