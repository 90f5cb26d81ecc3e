"""The lines of a story as text, equal ones of many instances as one.

The load that this answers: a hundred instances that each log one decision. The one line
that differs is to be seen among them.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from agatethread.cli._story import LogLine, Story

#: Longest pause between two lines of one event at several instances. News reaches all
#: of them sooner; what comes later is another occasion.
_LONGEST_PAUSE_S = 1.0
#: Difference of a duration that tells nothing: instances look at their clocks at
#: moments of their own.
_SAME_DURATION_S = 0.1
#: Ends of the names of durations, with what makes seconds of them.
_DURATIONS = {"_ms": 0.001, "_s": 1.0}
#: Fields of every line, and those that a line of text shows by itself.
_SHOWN_FIELDS = {
    "time",
    "steady_s",
    "level",
    "instance",
    "failure_domain",
    "part",
    "message",
}
#: Fields that tell of the log, not of the event.
_LOG_FIELDS = {"left_out_before"}


@dataclass(slots=True)
class LineGroup:
    """Lines that differ by instance, and a little in time.

    Attributes
    ----------
    lines : list of LogLine
        In order of time, each of another instance.
    is_deciding : bool
        Whether it is the line that decided; that one stands alone.
    """

    lines: list[LogLine]
    is_deciding: bool = False


def group_lines(story: Story) -> list[LineGroup]:
    """Put equal lines of several instances together.

    Parameters
    ----------
    story : Story
        Its lines are in order of time.

    Returns
    -------
    list of LineGroup
        In the order of their first lines; every line is in one.
    """
    groups: list[LineGroup] = []
    open_groups: dict[tuple, LineGroup] = {}
    for line in story.lines:
        is_deciding = line is story.deciding
        key = _key_of(line)
        group = open_groups.get(key)
        if group and not is_deciding and _belongs(line, group):
            group.lines.append(line)
            continue
        group = LineGroup([line], is_deciding)
        groups.append(group)
        if not is_deciding:
            open_groups[key] = group
    return groups


def _key_of(line: LogLine) -> tuple:
    told = {
        name: "" if _duration_s(name, value) is not None else repr(value)
        for name, value in _own_fields(line)
    }
    return (line.event, line.step_s, *sorted(told.items()))


def _own_fields(line: LogLine) -> Iterable[tuple[str, Any]]:
    for name, value in line.fields.items():
        if name not in _SHOWN_FIELDS and name not in _LOG_FIELDS:
            yield name, value


def _duration_s(name: str, value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    for end, unit_s in _DURATIONS.items():
        # Some moments end alike; those of other starts are other events.
        if name.endswith(end) and not name.endswith("started_ms"):
            return value * unit_s
    return None


def _belongs(line: LogLine, group: LineGroup) -> bool:
    if line.time_s - group.lines[-1].time_s > _LONGEST_PAUSE_S:
        return False
    # What an instance says twice has happened twice.
    if any(line.instance == other.instance for other in group.lines):
        return False
    first = group.lines[0].fields
    return all(
        abs(duration_s - _duration_s(name, first[name])) <= _SAME_DURATION_S
        for name, value in _own_fields(line)
        if (duration_s := _duration_s(name, value)) is not None
    )


def describe_story(story: Story) -> str:
    """Write a story as text.

    Parameters
    ----------
    story : Story
        What was found.

    Returns
    -------
    str
        A line for each group, the deciding one marked, and the cause.
    """
    groups = [_describe(group) for group in group_lines(story)]
    return "\n".join([*groups, story.cause])


def _describe(group: LineGroup) -> str:
    line = group.lines[0]
    moment = datetime.fromtimestamp(line.time_s).time().isoformat("milliseconds")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _SHOWN_FIELDS
    )
    mark = ">" if group.is_deciding else " "
    step = f" (its clock was {line.step_s:+.1f} s off)" if line.step_s else ""
    return (
        f"{mark} {moment} {line.instance}{_others(group)}: {line.event} {fields}{step}"
    )


def _others(group: LineGroup) -> str:
    count = len(group.lines)
    if count == 1:
        return ""
    last = group.lines[-1]
    later_s = last.time_s - group.lines[0].time_s
    return f" to {last.instance} ({count} instances within {later_s:.3f} s)"
