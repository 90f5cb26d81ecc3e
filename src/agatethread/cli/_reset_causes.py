"""Finds in the logs why a flow was reset."""

from collections.abc import Sequence

from agatethread.cli._log_lines import LogLine, last_before
from agatethread.observability import Event

#: An opening that was refused sooner than this had not been queued.
_MIN_QUEUED_S = 0.05


def cause_of_reset(
    reset: LogLine, run_lines: Sequence[LogLine], all_lines: Sequence[LogLine]
) -> tuple[LogLine, str]:
    """Return the line that shows why a flow was reset, and the cause as a sentence.

    Parameters
    ----------
    reset : LogLine
        The line of the reset.
    run_lines : sequence of LogLine
        Lines that tell that a run of the flow failed.
    all_lines : sequence of LogLine
        Lines of all logs in order of time.

    Returns
    -------
    tuple of (LogLine, str)
        The deciding line, and the cause with its evidence.
    """
    why = reset.fields.get("why")
    if why == "no_route":
        table = last_before(all_lines, reset, Event.TABLE_IN_FORCE)
        version = reset.fields.get("table_version")
        return table or reset, f"reset: version {version} has no route to its address"
    if why == "backend_ended":
        return _cause_of_end(reset, run_lines)
    if why == "backend_unreachable":
        return _cause_of_unreachable(reset, all_lines)
    if why == "no_backend":
        cause = "reset: no backend server of its service could take a new flow"
        evacuations = last_before(all_lines, reset, Event.EVACUATIONS_IN_FORCE)
        domains = evacuations.fields.get("domains") if evacuations else []
        if not domains:
            return reset, cause
        return evacuations, f"{cause}; evacuated: {', '.join(domains)}"
    refusals = [line for line in all_lines if _refuses(line, reset)]
    if why == "no_room" and refusals:
        return refusals[-1], _cause_of_refusal(refusals[-1])
    return reset, f"reset: {why}"


def _cause_of_end(reset: LogLine, run_lines: Sequence[LogLine]) -> tuple[LogLine, str]:
    """Return the line that tells how the end is known, by a control instance if any."""
    run = reset.fields.get("run")
    ends = [
        line
        for line in run_lines
        if line.event == Event.BACKEND_ENDED and run in (None, line.fields.get("run"))
    ]
    # The lines of control instances have the reason; the first one found the end.
    ends.sort(key=lambda line: (_relays_end(line), line.time_s))
    evidence = _describe_silence(reset) + _describe_flow_evidence(reset)
    if not ends:
        return reset, f"reset: its run {run or '?'} had ended{evidence}"
    end = ends[0]
    reason = end.fields.get("why", "a control instance said so")
    if end.fields.get("other_run"):
        reason += f": {end.fields['other_run']}"
    if end.fields.get("last_report_ago_s") is not None:
        reason += f"; last report {end.fields['last_report_ago_s']} s before"
        reason += f", by {end.fields.get('last_report_by', end.fields.get('told_by'))}"
    return end, f"reset: its run {end.fields.get('run')} had ended ({reason}){evidence}"


def _relays_end(line: LogLine) -> int:
    """Return 0 for the finder of an end, more for those that were told of it."""
    if "why" not in line.fields:
        return 2
    return int(line.fields.get("told_by", "itself") != "itself")


def _cause_of_unreachable(
    reset: LogLine, all_lines: Sequence[LogLine]
) -> tuple[LogLine, str]:
    fields = reset.fields
    run = fields.get("run")
    verdicts = [
        line
        for line in all_lines
        if line.event == Event.BACKEND_UNREACHABLE
        and line.fields.get("run") == run
        and line.instance == reset.instance
        and line.time_s <= reset.time_s
    ]
    cause = f"reset: {reset.instance} held its run {run} for unreachable"
    if fields.get("silent_s") is not None:
        cause += (
            f" (no answer seen for {fields['silent_s']} s, {fields['flows_waiting']} "
            f"flows waiting here, {fields['observers']} instances with waiting flows, "
            f"{fields['answered_by']} answers; a connection to it failed "
            f"{fields.get('probe_failed_ago_s')} s before; last report known "
            f"{fields['last_report_ago_s']} s old at its receipt)"
        )
    return (verdicts or [reset])[-1], cause + _describe_flow_evidence(reset)


def _describe_silence(reset: LogLine) -> str:
    """Return for how long the request was unanswered, if the line tells."""
    asked_ago_s = reset.fields.get("asked_ago_s")
    if asked_ago_s is None:
        return ""
    text = f"; its request was sent again in vain for {asked_ago_s} s"
    probe_failed_ago_s = reset.fields.get("probe_failed_ago_s")
    if probe_failed_ago_s is not None:
        text += f", a connection to the run failed {probe_failed_ago_s} s before"
    return text


def _describe_flow_evidence(reset: LogLine) -> str:
    """Return what shows that the flow was open at that run, if the line tells."""
    source = reset.fields.get("run_known_from")
    if source is None:
        return ""
    age_s = reset.fields.get("last_packet_ago_s")
    return f"; the flow is known to be open there from: {source}, {age_s} s before"


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
