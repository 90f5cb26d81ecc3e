"""Joins the log lines of several processes into what happened to one flow.

Lines are ordered by each process's steady clock, so that a stepped time of day changes
nothing. Only what the logs hold is said; where they hold nothing, that is said.
"""

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from statistics import median
from typing import Any

from agatethread.observability import Event

#: Lines of a flow's run count from so long before the flow's first line: a backend
#: server reports each second or so, so its last words are in here.
_BEFORE_S = 5.0
#: ... and until so long after its last line: a silent one is noticed by then.
_AFTER_S = 10.0
#: An opening that was refused sooner had not waited in line.
_AT_ONCE_S = 0.05
#: Difference from the process's other lines beyond which its time of day was stepped.
_STEP_S = 0.5
#: Events that tell that a run did not answer, or ended.
_RUN_FAILURES = (
    Event.BACKEND_AVOIDED,
    Event.RUN_SILENT,
    Event.BACKEND_STOPPED,
    Event.BACKEND_ENDED,
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of one process.

    Attributes
    ----------
    time_s : float
        Time of day in seconds, by the process's steady clock.
    step_s : float
        How far the line's own time was off.
    instance : str
        Who wrote it.
    event : str
        Its `message`.
    fields : dict
        All of it.
    """

    time_s: float
    step_s: float
    instance: str
    event: str
    fields: dict[str, Any] = field(repr=False)

    def names_run(self, run: str) -> bool:
        """Tell whether the line is about a run of a backend server."""
        return run in (self.fields.get("run"), self.fields.get("holder"))


@dataclass(frozen=True, slots=True)
class Logs:
    """What could be read.

    Attributes
    ----------
    lines : list of LogLine
        In order of time.
    unreadable_count : int
        Lines that are no JSON object of ours.
    left_out_count : int
        Lines that processes left out, by their own count.
    """

    lines: list[LogLine]
    unreadable_count: int
    left_out_count: int


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs say of one flow, run or version.

    Attributes
    ----------
    lines : list of LogLine
        What belongs to it, in order of time.
    deciding : LogLine or None
        The line that decided its outcome.
    cause : str
        The outcome and its cause in a sentence.
    """

    lines: list[LogLine]
    deciding: LogLine | None
    cause: str


# -- reading ----------------------------------------------------------------------


def read_logs(texts: Iterable[Iterable[str]]) -> Logs:
    """Read logs, one for each process or several in one.

    Parameters
    ----------
    texts : iterable of iterable of str
        Lines; what stands before the JSON object of a line is passed over.

    Returns
    -------
    Logs
        All lines in order of time.
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
        for written in by_instance.values()
        for process in _split_processes(written)
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


def _split_processes(written: list[dict[str, Any]]) -> Iterator[list[dict[str, Any]]]:
    # A steady clock that goes back is that of the next process.
    process: list[dict[str, Any]] = []
    for fields in written:
        if process and _steady_s(fields) < _steady_s(process[-1]):
            yield process
            process = []
        process.append(fields)
    if process:
        yield process


def _steady_s(fields: dict[str, Any]) -> float:
    return float(fields.get("steady_s", 0.0))


def _correct_times(process: list[dict[str, Any]]) -> Iterator[LogLine]:
    times_s = [_day_time_s(fields) for fields in process]
    starts_s = [
        time_s - _steady_s(fields)
        for time_s, fields in zip(times_s, process, strict=True)
    ]
    start_s = median(starts_s)
    for time_s, its_start_s, fields in zip(times_s, starts_s, process, strict=True):
        has_steady = "steady_s" in fields
        off_s = its_start_s - start_s if has_steady else 0.0
        step_s = off_s if abs(off_s) > _STEP_S else 0.0
        yield LogLine(
            time_s - step_s, step_s, fields["instance"], fields["message"], fields
        )


def _day_time_s(fields: dict[str, Any]) -> float:
    return datetime.fromisoformat(fields["time"]).timestamp()


# -- telling ----------------------------------------------------------------------


def explain(logs: Logs, name: str) -> Story:
    """Tell what became of a flow, a run or a version of the routing table.

    Parameters
    ----------
    logs : Logs
        What the processes wrote.
    name : str
        ``CALLER:PORT``, with or without ``>HOST:PORT``; a run's id; or ``version:N``.

    Returns
    -------
    Story
        With every line that belongs to it.
    """
    if name.startswith("version:"):
        return _explain_version(logs, name.removeprefix("version:"))
    flow_lines = [line for line in logs.lines if _names_flow(line, name)]
    if flow_lines:
        return _explain_flow(logs, flow_lines)
    run_lines = [line for line in logs.lines if line.names_run(name)]
    if run_lines:
        return _explain_run(run_lines, name)
    return Story([], None, _nothing_known(logs, name))


def _names_flow(line: LogLine, name: str) -> bool:
    flow = line.fields.get("flow", "")
    return flow == name or flow.startswith(f"{name}>")


def _nothing_known(logs: Logs, name: str) -> str:
    cause = (
        f"no line names {name}: its packets reached no instance whose logs are here, "
        "or were of a flow that another instance had placed"
    )
    if logs.left_out_count:
        cause += f"; {logs.left_out_count} lines were left out, one may have named it"
    return cause


def _explain_flow(logs: Logs, flow_lines: list[LogLine]) -> Story:
    first_s = flow_lines[0].time_s - _BEFORE_S
    last_s = flow_lines[-1].time_s + _AFTER_S
    around = [line for line in logs.lines if first_s <= line.time_s <= last_s]
    runs = _runs_of(logs, flow_lines)
    run_lines = [
        line
        for line in around
        if line.event in _RUN_FAILURES and any(line.names_run(run) for run in runs)
    ]
    touched = {line.instance for line in flow_lines}
    own = {Event.TABLE_IN_FORCE, Event.STARTED, Event.READY, Event.NOT_READY}
    instance_lines = [
        line for line in around if line.event in own and line.instance in touched
    ]
    lines = sorted(
        [*flow_lines, *run_lines, *instance_lines], key=lambda line: line.time_s
    )
    deciding, cause = _find_cause(flow_lines, run_lines, logs.lines)
    return Story(lines, deciding, cause)


def _runs_of(logs: Logs, flow_lines: Sequence[LogLine]) -> set[str]:
    runs = {line.fields["run"] for line in flow_lines if "run" in line.fields}
    labels = {line.fields.get("label") for line in flow_lines} - {0, None}
    for line in logs.lines:
        if line.event == Event.FLOW_PLACED and line.fields.get("label") in labels:
            runs.add(line.fields["run"])
    return runs


def _find_cause(
    flow_lines: Sequence[LogLine],
    run_lines: Sequence[LogLine],
    all_lines: Sequence[LogLine],
) -> tuple[LogLine, str]:
    last = flow_lines[-1]
    if last.event == Event.FLOW_RESET:
        return _cause_of_reset(last, run_lines, all_lines)
    if last.event == Event.PACKET_DROPPED:
        return _cause_of_drop(last, all_lines)
    return _cause_of_silence(last, run_lines)


def _cause_of_reset(
    reset: LogLine, run_lines: Sequence[LogLine], all_lines: Sequence[LogLine]
) -> tuple[LogLine, str]:
    why = reset.fields.get("why")
    if why == "no_route":
        table = _last_before(all_lines, reset, Event.TABLE_IN_FORCE)
        version = reset.fields.get("table_version")
        return table or reset, f"reset: version {version} has no route to its address"
    if why == "backend_ended":
        ends = [line for line in run_lines if line.event == Event.BACKEND_ENDED]
        # A control instance's line says why; an entry instance's repeats it.
        ends.sort(key=lambda line: "why" not in line.fields)
        if ends:
            reason = ends[0].fields.get("why", "a control instance said so")
            run = ends[0].fields.get("run")
            return ends[0], f"reset: its run {run} had ended ({reason})"
    if why == "no_backend":
        cause = "reset: no backend server of its service could take a new flow"
        order = _last_before(all_lines, reset, Event.EVACUATIONS_IN_FORCE)
        domains = order.fields.get("domains") if order else []
        if not domains:
            return reset, cause
        return order, f"{cause}; evacuated: {', '.join(domains)}"
    refusals = [line for line in all_lines if _refuses(line, reset)]
    if why == "no_room" and refusals:
        return refusals[-1], _cause_of_refusal(refusals[-1])
    return reset, f"reset: {why}"


def _refuses(line: LogLine, reset: LogLine) -> bool:
    is_refusal = line.event == Event.OPENING_REFUSED
    return is_refusal and line.fields.get("flow") == reset.fields.get("flow")


def _cause_of_refusal(refusal: LogLine) -> str:
    fields = refusal.fields
    waited_s = fields.get("waited_s", 0.0)
    kind = (
        "refused at once" if waited_s < _AT_ONCE_S else f"waited {waited_s} s in vain"
    )
    return (
        f"{kind}: {fields.get('waiting')} openings wait for {fields.get('places')} "
        f"places that are kept for {fields.get('place_time_s')} s each, "
        f"urgency {fields.get('urgency')}"
    )


def _cause_of_drop(drop: LogLine, all_lines: Sequence[LogLine]) -> tuple[LogLine, str]:
    why = drop.fields.get("why")
    started = _last_before(all_lines, drop, Event.STARTED)
    if why in ("unknown_label", "no_table", "no_backend_known") and started:
        age_s = drop.time_s - started.time_s
        cause = f"dropped: {why}; {drop.instance} had started {age_s:.1f} s before"
        return started, cause
    if why == "backends_cold":
        cause = "dropped: all backend servers of its service had just started"
        return drop, f"{cause}, and a cold one bears little"
    return drop, f"dropped: {why}"


def _cause_of_silence(
    placed: LogLine, run_lines: Sequence[LogLine]
) -> tuple[LogLine, str]:
    run = placed.fields.get("run")
    failures = [
        line
        for line in run_lines
        if line.names_run(run) and line.time_s >= placed.time_s - _BEFORE_S
    ]
    if failures:
        first = failures[0]
        return first, f"placed on {run}, of which {first.instance} says: {first.event}"
    cause = f"placed on {run}; nothing in these logs says that it failed"
    return placed, cause


def _last_before(
    lines: Sequence[LogLine], moment: LogLine, event: Event
) -> LogLine | None:
    found = None
    for line in lines:
        if line.time_s > moment.time_s:
            break
        if line.event == event and line.instance == moment.instance:
            found = line
    return found


def _explain_run(lines: list[LogLine], run: str) -> Story:
    own = [line for line in lines if line.event != Event.FLOW_PLACED]
    failures = [line for line in own if line.event in _RUN_FAILURES]
    if not failures:
        return Story(own, None, f"nothing in these logs says that {run} failed")
    first = failures[0]
    return Story(own, first, f"first sign: {first.event}, seen by {first.instance}")


def _explain_version(logs: Logs, number: str) -> Story:
    lines = [line for line in logs.lines if str(line.fields.get("version")) == number]
    agreed = [line for line in lines if line.event == Event.CHANGE_AGREED]
    in_force = [line for line in lines if line.event == Event.TABLE_IN_FORCE]
    if not lines:
        return Story([], None, f"no line names version {number}")
    if not agreed:
        return Story(lines, lines[0], "not known to have been agreed")
    if not in_force:
        return Story(lines, agreed[0], "agreed, and in force at none of these")
    last_s = in_force[-1].time_s - agreed[0].time_s
    count = len({line.instance for line in in_force})
    cause = f"agreed, and in force at {count} instances after {last_s:.3f} s"
    return Story(lines, agreed[0], cause)
