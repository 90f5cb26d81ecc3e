"""Logs state changes of runs, and status and end reports that were not accepted."""

from agatethread.observability import Event, make_logger
from agatethread.registry._admission import ReportVerdict
from agatethread.registry._report import Report
from agatethread.registry._run_index import RunRecord
from agatethread.wire.registry_pb2 import BackendRun

log = make_logger("registry")


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


def log_ended(run: BackendRun, reason: str) -> None:
    """Log the end of a run.

    Parameters
    ----------
    run : BackendRun
        The run.
    reason : str
        How the end was detected.
    """
    log.info(
        Event.BACKEND_ENDED,
        run=run.id,
        started_ms=run.started_ms,
        service=run.service,
        why=reason,
    )
