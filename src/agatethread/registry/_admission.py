"""Decides whether a status report is accepted, and whether it starts a new run.

A backend server may restart at once under the same id, at the same address or another,
and reports of both runs arrive in any order, through any control instance. A run is
therefore identified by its id and start time. A report replaces the state of an id
only if its start time, or for the same run its sequence number, is higher.

==========================  =================================================
Start time of the report    Outcome
==========================  =================================================
that of the known run       accepted if its sequence number is higher
later                       accepted as a new run, unless it changes the
                            service of a live run
earlier                     not accepted (`EARLIER_RUN`) until the known run
                            has not reported for `RUN_RETENTION_S`; then
                            accepted as a new run
missing                     counts as 0; where `EARLIER_RUN` would apply, it is
                            refused (`CONTRADICTS`)
==========================  =================================================

A new run is also refused if a live run of another id has its number, and not accepted
while another run holds its address. Where start times don't tell which of two runs at
an address came later, the one that reported last is assumed to be live. A run whose end
was only assumed takes the address back if it reports on and the other one doesn't.
`RunTable` also refuses a new run of a service that is not configured, and a report
without a start time if most live runs report theirs.

Start times come from the backend servers' own clocks. If a clock is set back between
two starts, the second run is not accepted until the first has not reported for
`RUN_RETENTION_S`.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum

from agatethread.registry._report import START_UNKNOWN, Report
from agatethread.wire.registry_pb2 import RUN_END_ADDRESS_TAKEN, BackendRun

#: How long an ended or silent run is stored, so that a delayed report is not taken for
#: a new run. Longer than a report can be delayed, and than the flows of a run live.
RUN_RETENTION_S = 180.0


class ReportVerdict(Enum):
    """Outcome of checking a report; the value is the reason in logs and errors.

    `OUTDATED` is returned for a sequence number that is not higher than the known one,
    and for any report of a run that has ended.
    """

    CONTINUES = "a later report of a known run"
    STARTS = "the first report of a run"
    OUTDATED = "a later report of its run is known"
    EARLIER_RUN = "a later run of its id is known"
    ADDRESS_HELD = "another run holds its address"
    CONTRADICTS = "it contradicts what its id is known as"
    UNKNOWN_SERVICE = "no service of that name is configured"
    START_MISSING = "it does not say when it started, and other runs do"

    @property
    def is_refusal(self) -> bool:
        """Whether the sender gets an error; other reports not accepted are ignored."""
        return self in (
            ReportVerdict.CONTRADICTS,
            ReportVerdict.UNKNOWN_SERVICE,
            ReportVerdict.START_MISSING,
        )


@dataclass(frozen=True, slots=True)
class KnownRun:
    """A stored run that a report is compared with, and its age.

    Attributes
    ----------
    run : BackendRun
        The stored state of the run.
    last_report_age_s : float
        Time since its last report, or since its end.
    """

    run: BackendRun
    last_report_age_s: float


def check_report(
    report: Report,
    known_run: KnownRun | None,
    address_holder: KnownRun | None,
    same_number_run: BackendRun | None,
    holder_timeout_s: float,
    report_age_s: float = 0.0,
) -> ReportVerdict:
    """Return whether a report is accepted, and as what.

    Parameters
    ----------
    report : Report
        The report.
    known_run : KnownRun or None
        The newest known run of the report's id.
    address_holder : KnownRun or None
        Another id's run that holds the report's address.
    same_number_run : BackendRun or None
        A run of another id with the same number. Datagrams identify runs by number, so
        both can't be live.
    holder_timeout_s : float
        A holder whose last report is older than the report by this time loses the
        address if the start times don't show which run started later.
    report_age_s : float, optional
        Age of a report received through another control instance; infinite if that
        instance knows the run from before a restart only.

    Returns
    -------
    ReportVerdict
        The outcome.
    """
    loses_address = address_holder is not None and _loses_address(
        address_holder, report, holder_timeout_s, report_age_s
    )
    if known_run is not None:
        if loses_address and _continues_after_lost_address(report, known_run.run):
            return ReportVerdict.STARTS
        verdict = _compare_with_known(report, known_run)
        if verdict is not ReportVerdict.STARTS:
            return verdict
    if same_number_run is not None and is_live(same_number_run):
        return ReportVerdict.CONTRADICTS
    if address_holder is not None and not loses_address:
        return ReportVerdict.ADDRESS_HELD
    return ReportVerdict.STARTS


def check_service_and_start(
    report: Report,
    verdict: ReportVerdict,
    services: Collection[str],
    most_have_start: Callable[[], bool],
) -> ReportVerdict:
    """Return a refusal for an unknown service or start time, else the verdict.

    Parameters
    ----------
    report : Report
        An accepted report, received directly from its run.
    verdict : ReportVerdict
        Outcome of `check_report`.
    services : collection of str
        Names of the configured services; empty before the first routing table, when
        every service is accepted.
    most_have_start : callable
        Returns whether most live runs report their start time.

    Returns
    -------
    ReportVerdict
        The outcome.
    """
    starts = verdict is ReportVerdict.STARTS
    if starts and services and report.service not in services:
        return ReportVerdict.UNKNOWN_SERVICE
    if report.started_ms == START_UNKNOWN and most_have_start():
        return ReportVerdict.START_MISSING
    return verdict


def _compare_with_known(report: Report, known_run: KnownRun) -> ReportVerdict:
    run = known_run.run
    if report.started_ms < run.started_ms:
        if known_run.last_report_age_s >= RUN_RETENTION_S:
            return ReportVerdict.STARTS
        if report.started_ms == START_UNKNOWN:
            return ReportVerdict.CONTRADICTS
        return ReportVerdict.EARLIER_RUN
    if report.started_ms > run.started_ms:
        changes_service = is_live(run) and report.service != run.service
        return ReportVerdict.CONTRADICTS if changes_service else ReportVerdict.STARTS
    if run.ended:
        return ReportVerdict.OUTDATED
    if _fixed_fields_differ(report, run):
        return ReportVerdict.CONTRADICTS
    if report.sequence <= run.sequence:
        return ReportVerdict.OUTDATED
    return ReportVerdict.CONTINUES


def is_live(run: BackendRun) -> bool:
    """Return whether a run may be serving.

    Parameters
    ----------
    run : BackendRun
        The run.

    Returns
    -------
    bool
        Whether it has neither ended nor become silent.
    """
    return not (run.ended or run.silent)


def _fixed_fields_differ(report: Report, run: BackendRun) -> bool:
    """Return whether a field differs that can't change within a run."""
    reported = (report.service, report.address, report.failure_domain)
    return reported != (run.service, run.address, run.failure_domain)


def _continues_after_lost_address(report: Report, run: BackendRun) -> bool:
    """Return whether a run reports on after it counted as ended for its address."""
    is_assumed = run.ended and run.end == RUN_END_ADDRESS_TAKEN
    is_same_start = report.started_ms == run.started_ms
    return is_assumed and is_same_start and report.sequence > run.sequence


def _loses_address(
    holder: KnownRun, report: Report, holder_timeout_s: float, report_age_s: float
) -> bool:
    # Only newer evidence outweighs the holder's last report.
    silent_s = holder.last_report_age_s - report_age_s
    if silent_s >= RUN_RETENTION_S:
        return True
    starts = (report.started_ms, holder.run.started_ms)
    if START_UNKNOWN not in starts and starts[0] != starts[1]:
        # Two runs can't share an address: the one that started first has ended.
        return starts[0] > starts[1]
    # Assume that the holder is live and the report of the other run was delayed. If the
    # other run is live instead, a report of it is accepted after the timeout.
    return silent_s >= holder_timeout_s


def is_assumed_end_outdated(ended: BackendRun, run: BackendRun) -> bool:
    """Return whether a run has reported since another instance assumed its end.

    Parameters
    ----------
    ended : BackendRun
        The run as the other instance sent it, ended.
    run : BackendRun
        The same run as it is known here.

    Returns
    -------
    bool
        False for an end that the run reported itself.
    """
    return ended.end == RUN_END_ADDRESS_TAKEN and ended.sequence < run.sequence


def end_applies_to(run: BackendRun, started_ms: int) -> bool:
    """Return whether an end report for an id applies to the known run.

    An end report without a start time may be delayed and refer to an earlier run. A
    backend server drains before it ends, so such a report applies only to a run that is
    draining or has no start time either.

    Parameters
    ----------
    run : BackendRun
        The newest known run of the id.
    started_ms : int
        Start time of the run that has ended; `START_UNKNOWN` if it was not reported.

    Returns
    -------
    bool
        Whether the known run has ended.
    """
    if started_ms == START_UNKNOWN:
        return run.draining or run.started_ms == START_UNKNOWN
    return started_ms >= run.started_ms
