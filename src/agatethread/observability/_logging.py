"""Structured logs through logbook."""

import sys
import time
from typing import Any

import logbook
import orjson

from agatethread.observability._output import LineBudget, LineWriter
from agatethread.settings import LoggingSettings

_FORMAT_HUMAN = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.extra[instance]}/{record.extra[failure_domain]} "
    "{record.channel}: {record.message} {fields}"
)


#: Lines wait for each other up to so many bytes, so that one system call takes them.
_BATCH_BYTES = 4_096
#: What `steady_s` counts from: nearly the start of the process.
_LOADED_S = time.monotonic()


def _fields(record: logbook.LogRecord) -> dict[str, Any]:
    fields = dict(record.kwargs)
    fields.pop("exc_info", None)
    return fields


def _format_json(record: logbook.LogRecord, _: Any) -> str:
    line = _fields(record)
    line["time"] = record.time
    # The time of day may be stepped; this orders a process's lines for certain.
    line["steady_s"] = round(time.monotonic() - _LOADED_S, 4)
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


class BoundedHandler(logbook.Handler):
    """Writes records as JSON lines, bounded by kind and never waiting.

    Parameters
    ----------
    writer : LineWriter
        Takes the lines.
    budget : LineBudget
        Bounds them.
    level : int
        Least level that is written.
    """

    def __init__(self, writer: LineWriter, budget: LineBudget, level: int):
        super().__init__(level)
        self._writer = writer
        self._budget = budget

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as left out.

        Parameters
        ----------
        record : logbook.LogRecord
            The record.
        """
        # `record.message` would be formatted with all fields, for nothing: no event has
        # places for them.
        kind = (record.channel, record.msg, record.kwargs.get("why"))
        left_out = self._budget.take(kind)
        if left_out is None:
            return
        if left_out:
            record.kwargs["left_out_before"] = left_out
        if self._writer.lost_count:
            record.kwargs["lines_lost"] = self._writer.lost_count
        self._writer.write(_format_json(record, None))
        if record.level >= logbook.WARNING:
            # These may be the last words of a process.
            self._writer.flush()


def log_to_standard_output(
    instance: str, failure_domain: str, level: str = "info"
) -> LineWriter:
    """Write every log record of the process to standard output as a JSON line.

    Parameters
    ----------
    instance, failure_domain : str
        Put on every line.
    level : str, optional
        Least level that is written.

    Returns
    -------
    LineWriter
        To be flushed now and then.
    """
    writer = LineWriter(sys.stdout.fileno(), batch_bytes=_BATCH_BYTES)
    handler = BoundedHandler(writer, LineBudget(), logbook.lookup_level(level.upper()))
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
        Put on every record.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(settings.level.upper())
    )
    as_json = settings.format == "json"
    handler.formatter = _format_json if as_json else _format_human
    _add_origin(instance, failure_domain)
    handler.push_application()


def make_logger(part: str) -> logbook.Logger:
    """Make the logger of one part.

    Parameters
    ----------
    part : str
        Name of the part.

    Returns
    -------
    logbook.Logger
        Keyword arguments of its calls become fields of the record.
    """
    return logbook.Logger(part)
