"""Structured logs through logbook."""

import json
import sys
from typing import Any

import logbook

from agatethread.settings import LoggingSettings

_FORMAT_HUMAN = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.extra[instance]}/{record.extra[failure_domain]} "
    "{record.channel}: {record.message} {fields}"
)


def _fields(record: logbook.LogRecord) -> dict[str, Any]:
    return {key: value for key, value in record.kwargs.items() if key != "exc_info"}


def _format_json(record: logbook.LogRecord, _: Any) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "instance": record.extra["instance"],
        "failure_domain": record.extra["failure_domain"],
        "part": record.channel,
        "message": record.message,
        **_fields(record),
    }
    if record.exc_info:
        line["traceback"] = record.formatted_exception
    return json.dumps(line, default=str)


def _format_human(record: logbook.LogRecord, _: Any) -> str:
    fields = " ".join(f"{key}={value}" for key, value in _fields(record).items())
    line = _FORMAT_HUMAN.format(record=record, fields=fields).rstrip()
    if record.exc_info:
        line += "\n" + record.formatted_exception
    return line


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

    def add_origin(record: logbook.LogRecord) -> None:
        record.extra["instance"] = instance
        record.extra["failure_domain"] = failure_domain

    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(settings.level.upper())
    )
    as_json = settings.format == "json"
    handler.formatter = _format_json if as_json else _format_human
    logbook.Processor(add_origin).push_application()
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
