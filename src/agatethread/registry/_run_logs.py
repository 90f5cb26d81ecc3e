"""Logs state changes of runs, and status and end reports that were not accepted."""

from dataclasses import dataclass

from agatethread.observability import Event, make_logger
from agatethread.registry._admission import ReportVerdict
from agatethread.registry._report import START_UNKNOWN, Report
from agatethread.registry._run_index import SOURCE_RUN, RunRecord, format_source
from agatethread.wire.registry_pb2 import (
    RUN_END_ADDRESS_TAKEN,
    RUN_END_REPLACED,
    RUN_END_UNKNOWN,
    BackendRun,
    RunEnd,
)

log = make_logger("registry")


@dataclass(frozen=True, slots=True)
class EndNotice:
    """What the end of a run was concluded from.

    Attributes
    ----------
    reason : str
        How the end was detected, for logs.
    kind : RunEnd
        How the end is known.
    source : bytes
        Packed address of the control instance that told of it; `SOURCE_RUN` for a
        report received here.
    other_run : str
        Id of the run that uses the address now; empty if that was not the reason.
    """

    reason: str
    kind: int = RUN_END_UNKNOWN
    source: bytes = SOURCE_RUN
    other_run: str = ""


def make_replacement_notice(
    holder: BackendRun, report: Report, source: bytes
) -> EndNotice:
    """Return the notice of the end of a run whose address another run uses.

    Parameters
    ----------
    holder : BackendRun
        The run that has ended.
    report : Report
        Report of the other run.
    source : bytes
        Packed address of the control instance that sent the report; `SOURCE_RUN`
        if it was received here.

    Returns
    -------
    EndNotice
        An assumption unless both start times are known.
    """
    is_assumed = START_UNKNOWN in (holder.started_ms, report.started_ms)
    kind = RUN_END_ADDRESS_TAKEN if is_assumed else RUN_END_REPLACED
    return EndNotice("another run reports from its address", kind, source, report.id)


def log_rejected_report(
    report: Report, verdict: ReportVerdict, holder: RunRecord | None, now_s: float
) -> None:
    """Log a report that was not accepted.

    Parameters
    ----------
    report : Report
        The report.
    verdict : ReportVerdict
        The reason.
    holder : RunRecord or None
        The run of another id that holds its address.
    now_s : float
        Present time.
    """
    log.info(
        Event.REPORT_REFUSED,
        run=report.id,
        started_ms=report.started_ms,
        why=verdict.value,
        holder=holder.run.id if holder else None,
        holder_heard_ago_s=round(now_s - holder.last_report_s, 3) if holder else None,
    )


def log_rejected_end(run: BackendRun, started_ms: int) -> None:
    """Log an end report that does not apply to the known run.

    Parameters
    ----------
    run : BackendRun
        The known run.
    started_ms : int
        Start of the run that has ended.
    """
    log.info(
        Event.END_REFUSED,
        run=run.id,
        started_ms=run.started_ms,
        ended_started_ms=started_ms,
    )


def log_repeated_end(record: RunRecord, now_s: float) -> None:
    """Log an end report of a run that has ended, so that it still lived.

    Parameters
    ----------
    record : RunRecord
        The run.
    now_s : float
        Present time.
    """
    log.info(
        Event.END_REPEATED,
        run=record.run.id,
        started_ms=record.run.started_ms,
        ended_ago_s=_last_report_ago_s(record, now_s),
    )


def log_changed_run(run: BackendRun, is_new: bool) -> None:
    """Log an accepted report that changes the run, and so is sent to entry instances.

    Parameters
    ----------
    run : BackendRun
        The run.
    is_new : bool
        Whether it is the first of its run.
    """
    log.info(
        Event.BACKEND_REPORTS,
        run=run.id,
        started_ms=run.started_ms,
        service=run.service,
        sequence=run.sequence,
        draining=run.draining,
        new=is_new,
        warm_up_ms=run.warm_up_ms,
    )


def log_stopped_reporting(run: BackendRun, age_s: float) -> None:
    """Log a run that stopped reporting.

    Parameters
    ----------
    run : BackendRun
        The run.
    age_s : float
        Time since its last report.
    """
    log.warning(
        Event.BACKEND_STOPPED,
        run=run.id,
        started_ms=run.started_ms,
        service=run.service,
        last_report_ago_s=round(age_s, 3),
    )


def log_ended(record: RunRecord, end: EndNotice, now_s: float) -> None:
    """Log the end of a run, and what it was concluded from.

    Parameters
    ----------
    record : RunRecord
        The run, with its last report before the end.
    end : EndNotice
        How the end was detected, and who told of it.
    now_s : float
        Present time.
    """
    run = record.run
    log.info(
        Event.BACKEND_ENDED,
        run=run.id,
        started_ms=run.started_ms,
        service=run.service,
        sequence=run.sequence,
        why=end.reason,
        end=RunEnd.Name(end.kind),
        told_by=format_source(end.source),
        other_run=end.other_run or None,
        last_report_ago_s=_last_report_ago_s(record, now_s),
        last_report_by=format_source(record.source),
    )


def _last_report_ago_s(record: RunRecord, now_s: float) -> float | None:
    if not record.last_report_s:
        return None
    return round(now_s - record.last_report_s, 3)
