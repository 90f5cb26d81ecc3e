"""Explains from logs what happened to a flow, a run or a version of the table."""

from collections.abc import Sequence
from dataclasses import dataclass

from agatethread.cli._log_lines import LogLine, Logs, last_before
from agatethread.cli._reset_causes import cause_of_reset
from agatethread.observability import Event

#: Lines of a flow's run are included from this time before the flow's first line.
#: Covers several report intervals of a backend server, about a second each.
_CONTEXT_BEFORE_S = 5.0
#: ... and up to this time after its last line. Covers the detection of a silent run.
_CONTEXT_AFTER_S = 10.0
#: Events that show that a run did not answer, or ended.
_RUN_FAILURES = (
    Event.BACKEND_AVOIDED,
    Event.BACKEND_UNREACHABLE,
    Event.RUN_SILENT,
    Event.BACKEND_STOPPED,
    Event.BACKEND_ENDED,
)


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
        return cause_of_reset(last, run_lines, all_lines)
    if last.event == Event.PACKET_DROPPED:
        return _cause_of_drop(last, all_lines)
    if last.event == Event.FLOW_PLACED:
        return _cause_after_placement(last, run_lines)
    return last, _describe_unplaced(last)


def _describe_unplaced(last: LogLine) -> str:
    """Return what became of an opening whose last line places it nowhere."""
    cause = f"{last.instance} says: {last.event}"
    if last.event in (Event.OPENING_RELAYED, Event.OPENING_HANDED_OVER):
        return f"{cause}, to {last.fields.get('dispatcher')}; no later line names it"
    return cause


def _cause_of_drop(drop: LogLine, all_lines: Sequence[LogLine]) -> tuple[LogLine, str]:
    why = drop.fields.get("why")
    started = last_before(all_lines, drop, Event.STARTED)
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
