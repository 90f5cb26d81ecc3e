"""Decides whether a status report counts, and whether it starts a new run.

A backend server may start again at once under the id that it had, at its address or
another, and reports of both starts arrive in any order, through any control instance.
So a run is named by its id and the time of its start, and what is known of an id only
moves forward: by start time, then by sequence number.

==========================  =================================================
The report's start time is  Outcome
==========================  =================================================
the known one               taken if its sequence number is higher
later                       the earlier run is over, the new one is taken
earlier                     stale, however high its sequence number
missing                     refused where the id is known with a start time, or
                            most live runs tell their own: backend servers tell
                            it all or none; otherwise a time before all others
==========================  =================================================

Start times are read from the backend servers' own clocks. A clock that was set back
between two starts keeps the second one out until the first is forgotten.
"""

from dataclasses import dataclass
from enum import Enum

from agatethread.registry._report import START_NOT_TOLD, Report
from agatethread.wire.registry_pb2 import BackendRun

#: How long a run is remembered that has ended or fallen silent, so that a late report
#: can't revive or displace anything. Longer than a report can be under way, and than
#: the flows of a run live.
KEPT_S = 180.0


class Verdict(Enum):
    """What becomes of a report; the value is the reason in logs and errors."""

    CONTINUES = "a later report of a known run"
    STARTS = "the first report of a run"
    OVERTAKEN = "a later report of its run is known"
    EARLIER_RUN = "a later run of its id is known"
    ADDRESS_HELD = "another run holds its address"
    CONTRADICTS = "it contradicts what its id is known as"
    UNKNOWN_SERVICE = "no service of that name is configured"
    START_MISSING = "it does not say when it started, and other runs do"

    @property
    def is_refusal(self) -> bool:
        """Whether the report can't come from a backend server of ours."""
        return self in (
            Verdict.CONTRADICTS,
            Verdict.UNKNOWN_SERVICE,
            Verdict.START_MISSING,
        )


@dataclass(frozen=True, slots=True)
class Known:
    """A run that a report is held against.

    Attributes
    ----------
    run : BackendRun
        Its state.
    heard_ago_s : float
        Time since its last report, or since its end.
    """

    run: BackendRun
    heard_ago_s: float


def judge_report(
    report: Report,
    known: Known | None,
    holder: Known | None,
    namesake: BackendRun | None,
    held_s: float,
) -> Verdict:
    """Decide what a report tells.

    Parameters
    ----------
    report : Report
        The report.
    known : Known or None
        The newest known run of its id.
    holder : Known or None
        Another id's run that holds its address.
    namesake : BackendRun or None
        A run of another id with the same number, which datagrams can't tell apart.
    held_s : float
        Time since its last report after which a holder gives way to a run of which it
        is not known whether it started later.

    Returns
    -------
    Verdict
        What becomes of it.
    """
    if known is not None:
        verdict = _compare(report, known)
        if verdict is not Verdict.STARTS:
            return verdict
    if namesake is not None and is_live(namesake):
        return Verdict.CONTRADICTS
    if holder is not None and not _gives_way(holder, report, held_s):
        return Verdict.ADDRESS_HELD
    return Verdict.STARTS


def _compare(report: Report, known: Known) -> Verdict:
    run = known.run
    if report.started_ms < run.started_ms:
        if known.heard_ago_s >= KEPT_S:
            return Verdict.STARTS
        if report.started_ms == START_NOT_TOLD:
            return Verdict.CONTRADICTS
        return Verdict.EARLIER_RUN
    if report.started_ms > run.started_ms:
        changes_service = is_live(run) and report.service != run.service
        return Verdict.CONTRADICTS if changes_service else Verdict.STARTS
    if run.ended:
        return Verdict.OVERTAKEN
    if _is_other_place(report, run):
        return Verdict.CONTRADICTS
    if report.sequence <= run.sequence:
        return Verdict.OVERTAKEN
    return Verdict.CONTINUES


def is_live(run: BackendRun) -> bool:
    """Tell whether a run may be at work.

    Parameters
    ----------
    run : BackendRun
        The run.

    Returns
    -------
    bool
        Whether it has neither ended nor fallen silent.
    """
    return not (run.ended or run.silent)


def _is_other_place(report: Report, run: BackendRun) -> bool:
    """Tell whether what can't change within a run differs."""
    said = (report.service, report.address, report.failure_domain)
    return said != (run.service, run.address, run.failure_domain)


def _gives_way(holder: Known, report: Report, held_s: float) -> bool:
    if holder.heard_ago_s >= KEPT_S:
        return True
    starts = (report.started_ms, holder.run.started_ms)
    if START_NOT_TOLD not in starts and starts[0] != starts[1]:
        # Two runs can't share an address: the one that started first is gone.
        return starts[0] > starts[1]
    # The one that is heard regularly lives; a report of the other was delayed, and if
    # not, its next one decides.
    return holder.heard_ago_s >= held_s


def end_is_of(run: BackendRun, started_ms: int) -> bool:
    """Decide whether a word that an id's run has ended means the known run.

    Said without a start time it may be late and mean an earlier run. A backend server
    asks for no further work before it says that it ends, so it means a run that did.

    Parameters
    ----------
    run : BackendRun
        The newest known run of the id.
    started_ms : int
        Start time of the run that has ended; `START_NOT_TOLD` if it was not said.

    Returns
    -------
    bool
        Whether the known run has ended.
    """
    if started_ms == START_NOT_TOLD:
        return run.draining or run.started_ms == START_NOT_TOLD
    return started_ms >= run.started_ms
