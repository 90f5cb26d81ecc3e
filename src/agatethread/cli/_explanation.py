"""Explains from the logs of several processes what happened to a flow, run or version.

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

#: Lines of a flow's run are included from this time before the flow's first line.
#: Covers several report intervals of a backend server, about a second each.
_CONTEXT_BEFORE_S = 5.0
#: ... and up to this time after its last line. Covers the detection of a silent run.
_CONTEXT_AFTER_S = 10.0
#: An opening that was refused sooner than this had not been queued.
_MIN_QUEUED_S = 0.05
#: A line whose time of day differs more than this from the process's other lines was
#: written after a clock step.
_MIN_CLOCK_STEP_S = 0.5
#: Events that show that a run did not answer, or ended.
_RUN_FAILURES = (
    Event.BACKEND_AVOIDED,
    Event.RUN_SILENT,
    Event.BACKEND_STOPPED,
    Event.BACKEND_ENDED,
)


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
        return run in (self.fields.get("run"), self.fields.get("holder"))


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


@dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of one flow, run or version, and the cause of its outcome.

    Attributes
    ----------
    lines : list of LogLine
        Relevant lines in order of time.
    deciding : LogLine or None
        The line that shows the cause.
    cause : str
        The outcome and its cause as one sentence.
    """

    lines: list[LogLine]
    deciding: LogLine | None
    cause: str


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


def explain(logs: Logs, name: str) -> Explanation:
    """Explain what happened to a flow, a run or a version of the routing table.

    Parameters
    ----------
    logs : Logs
        The logs to search.
    name : str
        ``CALLER:PORT``, with or without ``>HOST:PORT``; a run's id; or ``version:N``.

    Returns
    -------
    Explanation
        The relevant lines and the cause.
    """
    if name.startswith("version:"):
        return _explain_version(logs, name.removeprefix("version:"))
    flow_lines = [line for line in logs.lines if _names_flow(line, name)]
    if flow_lines:
        return _explain_flow(logs, flow_lines)
    run_lines = [line for line in logs.lines if line.names_run(name)]
    if run_lines:
        return _explain_run(run_lines, name)
    return Explanation([], None, _no_match_cause(logs, name))


def _names_flow(line: LogLine, name: str) -> bool:
    flow = line.fields.get("flow", "")
    return flow == name or flow.startswith(f"{name}>")


def _no_match_cause(logs: Logs, name: str) -> str:
    cause = (
        f"no line names {name}: its packets reached no instance whose logs are here, "
        "or were of a flow that another instance had placed"
    )
    if logs.left_out_count:
        cause += f"; {logs.left_out_count} lines were left out, one may have named it"
    return cause


def _explain_flow(logs: Logs, flow_lines: list[LogLine]) -> Explanation:
    first_s = flow_lines[0].time_s - _CONTEXT_BEFORE_S
    last_s = flow_lines[-1].time_s + _CONTEXT_AFTER_S
    around = [line for line in logs.lines if first_s <= line.time_s <= last_s]
    runs = _runs_of(logs, flow_lines)
    run_lines = [
        line
        for line in around
        if line.event in _RUN_FAILURES and any(line.names_run(run) for run in runs)
    ]
    instances = {line.instance for line in flow_lines}
    instance_events = {
        Event.TABLE_IN_FORCE,
        Event.STARTED,
        Event.READY,
        Event.NOT_READY,
    }
    instance_lines = [
        line
        for line in around
        if line.event in instance_events and line.instance in instances
    ]
    lines = sorted(
        [*flow_lines, *run_lines, *instance_lines], key=lambda line: line.time_s
    )
    deciding, cause = _cause_of_outcome(flow_lines, run_lines, logs.lines)
    return Explanation(lines, deciding, cause)


def _runs_of(logs: Logs, flow_lines: Sequence[LogLine]) -> set[str]:
    runs = {line.fields["run"] for line in flow_lines if "run" in line.fields}
    labels = {line.fields.get("label") for line in flow_lines} - {0, None}
    for line in logs.lines:
        if line.event == Event.FLOW_PLACED and line.fields.get("label") in labels:
            runs.add(line.fields["run"])
    return runs


def _cause_of_outcome(
    flow_lines: Sequence[LogLine],
    run_lines: Sequence[LogLine],
    all_lines: Sequence[LogLine],
) -> tuple[LogLine, str]:
    last = flow_lines[-1]
    if last.event == Event.FLOW_RESET:
        return _cause_of_reset(last, run_lines, all_lines)
    if last.event == Event.PACKET_DROPPED:
        return _cause_of_drop(last, all_lines)
    return _cause_after_placement(last, run_lines)


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
        # Prefers the lines of control instances, which have the reason.
        ends.sort(key=lambda line: "why" not in line.fields)
        if ends:
            reason = ends[0].fields.get("why", "a control instance said so")
            run = ends[0].fields.get("run")
            return ends[0], f"reset: its run {run} had ended ({reason})"
    if why == "no_backend":
        cause = "reset: no backend server of its service could take a new flow"
        evacuations = _last_before(all_lines, reset, Event.EVACUATIONS_IN_FORCE)
        domains = evacuations.fields.get("domains") if evacuations else []
        if not domains:
            return reset, cause
        return evacuations, f"{cause}; evacuated: {', '.join(domains)}"
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
        "refused at once"
        if waited_s < _MIN_QUEUED_S
        else f"waited {waited_s} s in vain"
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


def _cause_after_placement(
    placed: LogLine, run_lines: Sequence[LogLine]
) -> tuple[LogLine, str]:
    run = placed.fields.get("run")
    failures = [
        line
        for line in run_lines
        if line.names_run(run) and line.time_s >= placed.time_s - _CONTEXT_BEFORE_S
    ]
    if failures:
        first = failures[0]
        return first, f"placed on {run}, of which {first.instance} says: {first.event}"
    cause = f"placed on {run}; nothing in these logs says that it failed"
    return placed, cause


def _last_before(
    lines: Sequence[LogLine], reference: LogLine, event: Event
) -> LogLine | None:
    last = None
    for line in lines:
        if line.time_s > reference.time_s:
            break
        if line.event == event and line.instance == reference.instance:
            last = line
    return last


def _explain_run(lines: list[LogLine], run: str) -> Explanation:
    run_lines = [line for line in lines if line.event != Event.FLOW_PLACED]
    failures = [line for line in run_lines if line.event in _RUN_FAILURES]
    if not failures:
        return Explanation(
            run_lines, None, f"nothing in these logs says that {run} failed"
        )
    first = failures[0]
    return Explanation(
        run_lines, first, f"first sign: {first.event}, seen by {first.instance}"
    )


def _explain_version(logs: Logs, number: str) -> Explanation:
    lines = [line for line in logs.lines if str(line.fields.get("version")) == number]
    agreed = [line for line in lines if line.event == Event.CHANGE_AGREED]
    in_force = [line for line in lines if line.event == Event.TABLE_IN_FORCE]
    if not lines:
        return Explanation([], None, f"no line names version {number}")
    if not agreed:
        return Explanation(lines, lines[0], "not known to have been agreed")
    if not in_force:
        return Explanation(lines, agreed[0], "agreed, and in force at none of these")
    last_s = in_force[-1].time_s - agreed[0].time_s
    count = len({line.instance for line in in_force})
    cause = f"agreed, and in force at {count} instances after {last_s:.3f} s"
    return Explanation(lines, agreed[0], cause)
