"""Reads the logs of several processes.

Lines are ordered by each process's monotonic clock, so that steps of the time of day do
not change their order.
"""

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from statistics import median
from typing import Any

from agatethread.observability import Event

#: A line whose time of day differs more than this from the process's other lines was
#: written after a clock step.
_MIN_CLOCK_STEP_S = 0.5


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a process.

    Attributes
    ----------
    time_s : float
        Time of day in seconds, corrected by the process's monotonic clock.
    step_s : float
        Clock step that was subtracted from the line's own time.
    instance : str
        Name of the instance that wrote the line.
    event : str
        The `message` field.
    fields : dict
        All fields of the line.
    """

    time_s: float
    step_s: float
    instance: str
    event: str
    fields: dict[str, Any] = field(repr=False)

    def names_run(self, run: str) -> bool:
        """Return whether the line names a run of a backend server."""
        named = (self.fields.get("run"), self.fields.get("holder"))
        return run is not None and run in named


@dataclass(frozen=True, slots=True)
class Logs:
    """Log lines of several processes.

    Attributes
    ----------
    lines : list of LogLine
        Lines in order of time.
    unreadable_count : int
        Number of lines that are not JSON objects in the log format.
    left_out_count : int
        Number of lines that the processes report as left out.
    """

    lines: list[LogLine]
    unreadable_count: int
    left_out_count: int


def read_logs(texts: Iterable[Iterable[str]]) -> Logs:
    """Read the logs of one or more processes.

    Parameters
    ----------
    texts : iterable of iterable of str
        Lines of each log; text before the JSON object of a line is ignored.

    Returns
    -------
    Logs
        The lines of all logs in order of time.
    """
    by_instance: dict[str, list[dict[str, Any]]] = {}
    unreadable = left_out = 0
    for text in texts:
        for line in text:
            fields = _parse(line)
            if fields is None:
                unreadable += bool(line.strip())
                continue
            left_out += int(fields.get("left_out_before", 0))
            by_instance.setdefault(fields["instance"], []).append(fields)
    lines = [
        line
        for instance_lines in by_instance.values()
        for process in _split_processes(instance_lines)
        for line in _correct_times(process)
    ]
    lines.sort(key=lambda line: line.time_s)
    return Logs(lines, unreadable, left_out)


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    try:
        fields = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    has_origin = isinstance(fields.get("instance"), str)
    if not has_origin or not isinstance(fields.get("message"), str):
        return None
    try:
        datetime.fromisoformat(fields["time"])
    except (KeyError, TypeError, ValueError):
        return None
    return fields


def _split_processes(
    instance_lines: list[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    # The monotonic clock goes back when a new process starts.
    process: list[dict[str, Any]] = []
    for fields in instance_lines:
        if process and _monotonic_s(fields) < _monotonic_s(process[-1]):
            yield process
            process = []
        process.append(fields)
    if process:
        yield process


def _monotonic_s(fields: dict[str, Any]) -> float:
    return float(fields.get("steady_s", 0.0))


def _correct_times(process: list[dict[str, Any]]) -> Iterator[LogLine]:
    times_s = [_day_time_s(fields) for fields in process]
    starts_s = [
        time_s - _monotonic_s(fields)
        for time_s, fields in zip(times_s, process, strict=True)
    ]
    start_s = median(starts_s)
    for time_s, line_start_s, fields in zip(times_s, starts_s, process, strict=True):
        has_monotonic = "steady_s" in fields
        offset_s = line_start_s - start_s if has_monotonic else 0.0
        step_s = offset_s if abs(offset_s) > _MIN_CLOCK_STEP_S else 0.0
        yield LogLine(
            time_s - step_s, step_s, fields["instance"], fields["message"], fields
        )


def _day_time_s(fields: dict[str, Any]) -> float:
    return datetime.fromisoformat(fields["time"]).timestamp()


def last_before(
    lines: Sequence[LogLine], reference: LogLine, event: Event
) -> LogLine | None:
    """Return the last line of an event by the same instance before another line.

    Parameters
    ----------
    lines : sequence of LogLine
        Lines in order of time.
    reference : LogLine
        The other line.
    event : Event
        The event.

    Returns
    -------
    LogLine or None
        None if there is none.
    """
    last = None
    for line in lines:
        if line.time_s > reference.time_s:
            break
        if line.event == event and line.instance == reference.instance:
            last = line
    return last
