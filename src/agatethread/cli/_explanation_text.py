"""Formats an explanation as text, with equal lines of several instances grouped.

Handles a hundred instances that each log the same event, and shows a line that differs.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from agatethread.cli._explanation import Explanation
from agatethread.cli._log_lines import LogLine

#: Longest pause between lines of a group. Longer than updates take to reach all
#: instances; later lines are due to another event.
_MAX_PAUSE_S = 1.0
#: Durations that differ less than this count as equal, because instances read their
#: clocks at different times.
_DURATION_TOLERANCE_S = 0.1
#: Name suffixes of durations, with their factors to seconds.
_DURATION_SUFFIXES = {"_ms": 0.001, "_s": 1.0}
#: Common fields, which are shown apart or not at all.
_COMMON_FIELDS = {
    "time",
    "steady_s",
    "level",
    "instance",
    "failure_domain",
    "part",
    "message",
}
#: Fields that describe the log rather than the event.
_LOG_FIELDS = {"left_out_before"}


@dataclass(slots=True)
class LineGroup:
    """Equal lines of different instances, close in time.

    Attributes
    ----------
    lines : list of LogLine
        Lines in order of time, one for each instance.
    is_deciding : bool
        Whether this is the deciding line, which forms a group alone.
    """

    lines: list[LogLine]
    is_deciding: bool = False


def group_lines(explanation: Explanation) -> list[LineGroup]:
    """Group equal lines of different instances.

    Parameters
    ----------
    explanation : Explanation
        Explanation with its lines in order of time.

    Returns
    -------
    list of LineGroup
        Groups in the order of their first lines; each line is in one group.
    """
    groups: list[LineGroup] = []
    open_groups: dict[tuple, LineGroup] = {}
    for line in explanation.lines:
        is_deciding = line is explanation.deciding
        key = _group_key(line)
        group = open_groups.get(key)
        if group and not is_deciding and _belongs(line, group):
            group.lines.append(line)
            continue
        group = LineGroup([line], is_deciding)
        groups.append(group)
        if not is_deciding:
            open_groups[key] = group
    return groups


def _group_key(line: LogLine) -> tuple:
    values = {
        name: "" if _duration_s(name, value) is not None else repr(value)
        for name, value in _event_fields(line)
    }
    return (line.event, line.step_s, *sorted(values.items()))


def _event_fields(line: LogLine) -> Iterable[tuple[str, Any]]:
    for name, value in line.fields.items():
        if name not in _COMMON_FIELDS and name not in _LOG_FIELDS:
            yield name, value


def _duration_s(name: str, value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    for suffix, unit_s in _DURATION_SUFFIXES.items():
        # Start times have the same suffix, but are no durations.
        if name.endswith(suffix) and not name.endswith("started_ms"):
            return value * unit_s
    return None


def _belongs(line: LogLine, group: LineGroup) -> bool:
    if line.time_s - group.lines[-1].time_s > _MAX_PAUSE_S:
        return False
    # A second line of the same instance is a second event.
    if any(line.instance == member.instance for member in group.lines):
        return False
    first = group.lines[0].fields
    return all(
        abs(duration_s - _duration_s(name, first[name])) <= _DURATION_TOLERANCE_S
        for name, value in _event_fields(line)
        if (duration_s := _duration_s(name, value)) is not None
    )


def format_explanation(explanation: Explanation) -> str:
    """Return an explanation as text.

    Parameters
    ----------
    explanation : Explanation
        The explanation to format.

    Returns
    -------
    str
        One line for each group, with the deciding one marked, and the cause.
    """
    groups = [_format_group(group) for group in group_lines(explanation)]
    return "\n".join([*groups, explanation.cause])


def _format_group(group: LineGroup) -> str:
    line = group.lines[0]
    time = datetime.fromtimestamp(line.time_s).time().isoformat("milliseconds")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _COMMON_FIELDS
    )
    mark = ">" if group.is_deciding else " "
    step = f" (its clock was {line.step_s:+.1f} s off)" if line.step_s else ""
    return f"{mark} {time} {line.instance}{_extent(group)}: {line.event} {fields}{step}"


def _extent(group: LineGroup) -> str:
    count = len(group.lines)
    if count == 1:
        return ""
    last = group.lines[-1]
    span_s = last.time_s - group.lines[0].time_s
    return f" to {last.instance} ({count} instances within {span_s:.3f} s)"
