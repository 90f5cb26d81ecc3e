"""The newest run of every backend server that this control instance has heard of.

Reports come directly or through another control instance, late, twice or out of order;
`_admission` decides what they tell. A run only moves forward, from reporting to
draining to ended, and a later run of the same id replaces it with all that was known.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping

from agatethread.exceptions import ReportRefusedError
from agatethread.registry._admission import (
    KEPT_S,
    Known,
    Verdict,
    end_is_of,
    judge_report,
)
from agatethread.registry._entries import (
    RunEntry,
    RunIndex,
    describe,
    is_told_by_number,
    last_index,
    report_of,
    run_of,
    take_number,
)
from agatethread.registry._report import START_NOT_TOLD, Report
from agatethread.registry._run_logs import (
    log_end_not_taken,
    log_ended,
    log_not_taken,
    log_reports,
    log_stopped,
)
from agatethread.wire.registry_pb2 import BackendRun

#: Reporting intervals without a report before a run gets no new work. Two may be lost
#: while the server looks for a control instance that answers; each try takes a second.
_SILENT_INTERVALS = 2.5
_SILENT_EXTRA_S = 1.0
#: Reporting intervals after which another run may take an address that is still held.
_HELD_INTERVALS = 1.5
#: A pause between two sweeps that means that this process did not run meanwhile.
_PAUSE_S = 1.0


class RunTable:
    """Runs by id, each with the index of its last change.

    Parameters
    ----------
    interval_s : float
        Time between the reports of a run.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, interval_s: float, now_s: Callable[[], float]):
        self._held_s = _HELD_INTERVALS * interval_s
        self._silent_s = _SILENT_INTERVALS * interval_s + _SILENT_EXTRA_S
        self._now_s = now_s
        self._entries = RunIndex()
        #: Names of the configured services; empty while none is known.
        self.services: frozenset[str] = frozenset()
        self._swept_s = now_s()
        self.index = 0
        #: Index of the last change that entry instances must know.
        self.changed_index = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, run_id: str) -> BackendRun | None:
        """Look up a run.

        Parameters
        ----------
        run_id : str
            Its id.

        Returns
        -------
        BackendRun or None
            What is known of it.
        """
        entry = self._entries.find(run_id)
        return entry.run if entry else None

    # -- reports ------------------------------------------------------------------

    def report(self, report: Report) -> bool:
        """Take a report that came directly from its run.

        Parameters
        ----------
        report : Report
            The report.

        Returns
        -------
        bool
            Whether entry instances must be told of it.

        Raises
        ------
        ReportRefusedError
            If another writer sent it under this id; nothing was changed.
        """
        verdict = self._judge(report)
        if verdict in (Verdict.STARTS, Verdict.CONTINUES):
            verdict = self._judge_writer(report, verdict)
        entry = self._follow(report, verdict)
        if verdict.is_refusal:
            raise ReportRefusedError(report.id, verdict.value)
        if entry is None:
            return False

        details = entry.run.slots, entry.run.warm_up_ms
        changed = self._refresh(entry, report)
        if not changed:
            self.index += 1
        self._entries.note_report(entry, self.index)
        if details != (entry.run.slots, entry.run.warm_up_ms):
            entry.details_index = self.index
        return changed

    def _judge_writer(self, report: Report, verdict: Verdict) -> Verdict:
        """Refuse what can't be a backend server's of ours, also of a known run."""
        starts = verdict is Verdict.STARTS
        # Before any table is known, every service may be one.
        if starts and self.services and report.service not in self.services:
            return Verdict.UNKNOWN_SERVICE
        if report.started_ms == START_NOT_TOLD and self._entries.most_tell_starts():
            return Verdict.START_MISSING
        return verdict

    def _judge(self, report: Report) -> Verdict:
        holder = self._entries.find_holder(report.address, report.id)
        namesake = self._entries.find_namesake(report.number, report.id)
        return judge_report(
            report,
            self._known(self._entries.find(report.id)),
            self._known(holder),
            namesake.run if namesake else None,
            self._held_s,
        )

    def _known(self, entry: RunEntry | None) -> Known | None:
        return Known(entry.run, self._now_s() - entry.heard_s) if entry else None

    def _follow(self, report: Report, verdict: Verdict) -> RunEntry | None:
        """Find or make the entry that a report belongs to, if it counts."""
        if verdict is Verdict.CONTINUES:
            return self._entries.find(report.id)
        if verdict is Verdict.STARTS:
            return self._admit(report)
        if verdict is not Verdict.OVERTAKEN:
            holder = self._entries.find_holder(report.address, report.id)
            log_not_taken(report, verdict, holder, self._now_s())
        return None

    def _admit(self, report: Report) -> RunEntry:
        earlier = self._entries.find(report.id)
        if earlier is not None and not earlier.run.ended:
            self._end(earlier, "it started again")
        holder = self._entries.find_holder(report.address, report.id)
        if holder is not None:
            self._end(holder, "another run reports from its address")
        return self._entries.add(run_of(report))

    def _refresh(self, entry: RunEntry, report: Report) -> bool:
        run = entry.run
        is_new = entry.heard_s == 0.0
        draining = run.draining or report.draining
        warm_up_ms = int(report.warm_up_s * 1000)
        # It may turn cold while it lives, as servers do that got no work for long.
        is_colder = warm_up_ms > run.warm_up_ms
        changed = is_new or run.silent or draining != run.draining or is_colder
        entry.heard_s = self._now_s()
        run.sequence = report.sequence
        run.slots = report.slots
        run.draining = draining
        run.silent = False
        run.warm_up_ms = warm_up_ms
        if changed:
            self._mark(entry)
            log_reports(run, is_new)
        return changed

    def leave(self, run_id: str, started_ms: int = START_NOT_TOLD) -> bool:
        """Note that a run has ended by its own word.

        Parameters
        ----------
        run_id : str
            Its id; one never heard of is remembered, too, against late reports.
        started_ms : int, optional
            When the run started, if it said so.

        Returns
        -------
        bool
            Whether entry instances must be told of it.

        Raises
        ------
        ReportRefusedError
            If it may mean an earlier run; another control instance may know better.
        """
        ended = BackendRun(id=run_id, started_ms=started_ms, ended=True)
        changed = self._take_end(ended, "it said so")
        if started_ms == START_NOT_TOLD and not self._entries.find(run_id).run.ended:
            raise ReportRefusedError(run_id, "it may be the end of an earlier run")
        return changed

    def take(self, run: BackendRun) -> bool:
        """Take what another control instance knows of a run.

        Parameters
        ----------
        run : BackendRun
            Its state there.

        Returns
        -------
        bool
            Whether entry instances must be told of it.
        """
        if run.ended:
            return self._take_end(run, "another control instance says so")
        known = self._entries.find(run.id)
        if run.silent and (known is None or run.started_ms <= known.run.started_ms):
            # That nothing is heard there says nothing here, unless the run is new.
            return False
        report = report_of(run)
        entry = self._follow(report, self._judge(report))
        if entry is None:
            return False
        changed = self._refresh(entry, report)
        entry.run.silent = run.silent
        return changed

    def take_number(
        self, number: int, sequence: int, starts: Mapping[str, int]
    ) -> bool:
        """Take a report to another control instance that it told by its number.

        Parameters
        ----------
        number : int
            Of the run.
        sequence : int
            Of the report.
        starts : mapping of str to int
            Starts of the runs that it holds for alive, by id, as it told them whole.

        Returns
        -------
        bool
            Whether entry instances must be told of it.
        """
        entry = self._entries.find_numbered(number)
        if entry is None or entry.run.id not in starts:
            return False
        started_ms, now_s = starts[entry.run.id], self._now_s()
        if not take_number(entry, sequence, started_ms, now_s) or not entry.run.silent:
            return False
        entry.run.silent = False
        self._mark(entry)
        return True

    def _take_end(self, ended: BackendRun, reason: str) -> bool:
        entry = self._entries.find(ended.id)
        if entry is None or entry.run.started_ms < ended.started_ms:
            return self._remember_end(entry, ended, reason)
        if entry.run.ended:
            return False
        if not end_is_of(entry.run, ended.started_ms):
            log_end_not_taken(entry.run, ended.started_ms)
            return False
        entry.run.draining |= ended.draining
        self._end(entry, reason)
        return True

    def _remember_end(
        self, earlier: RunEntry | None, ended: BackendRun, reason: str
    ) -> bool:
        if earlier is not None and not earlier.run.ended:
            self._end(earlier, "it started again")
        self._end(self._entries.add(ended), reason)
        return True

    def _end(self, entry: RunEntry, reason: str) -> None:
        run = entry.run
        run.ended = True
        entry.heard_s = self._now_s()
        self._entries.free_address(entry)
        self._mark(entry)
        log_ended(run, reason)

    def _mark(self, entry: RunEntry) -> None:
        self.index += 1
        self.changed_index = self.index
        self._entries.note_change(entry, self.index)

    # -- restarts -----------------------------------------------------------------

    def remember(self, runs: Iterable[BackendRun]) -> None:
        """Take what this instance knew before it was restarted.

        Parameters
        ----------
        runs : iterable of BackendRun
            As `snapshot` returned them.
        """
        for run in runs:
            entry = self._entries.add(run)
            entry.heard_s = self._now_s()
            self._mark(entry)

    def snapshot(self) -> list[BackendRun]:
        """Copy what is known of every run.

        Returns
        -------
        list of BackendRun
            In no particular order.
        """
        runs = []
        for entry in self._entries:
            run = BackendRun()
            run.CopyFrom(entry.run)
            runs.append(run)
        return runs

    # -- time ---------------------------------------------------------------------

    def sweep(self) -> None:
        """Find the runs that stopped reporting, and forget those long ended."""
        now_s = self._now_s()
        paused = now_s - self._swept_s > _PAUSE_S
        self._swept_s = now_s
        for entry in self._entries:
            if paused and not entry.run.ended:
                # Reports came while this process stood still, and were lost.
                entry.heard_s = now_s
            self._sweep_entry(entry, now_s)

    def _sweep_entry(self, entry: RunEntry, now_s: float) -> None:
        run = entry.run
        age_s = now_s - entry.heard_s
        if run.ended:
            if age_s > KEPT_S:
                self._entries.forget(entry)
            return
        if run.silent or age_s <= self._silent_s:
            return
        run.silent = True
        self._mark(entry)
        log_stopped(run, age_s)

    def is_told_by_number(self, run_id: str, after: int) -> bool:
        """Tell whether a run's number is enough for one that has all up to an index."""
        return is_told_by_number(self._entries.find(run_id), after)

    # -- what to tell -------------------------------------------------------------

    def changes_after(
        self, index: int, with_reports: bool
    ) -> Iterator[tuple[int, BackendRun]]:
        """List what changed, oldest first.

        Parameters
        ----------
        index : int
            What the receiver has.
        with_reports : bool
            Whether to list runs that only went on reporting to this instance, so that
            another control instance knows that they do.

        Yields
        ------
        tuple of (int, BackendRun)
            Index of the change, and the run's present state.
        """
        for entry in self._entries.changed_after(index, with_reports):
            yield last_index(entry, with_reports), entry.run

    def dump(self) -> list[dict[str, object]]:
        """List the runs for a state dump.

        Returns
        -------
        list of dict
            Ready for JSON.
        """
        now_s = self._now_s()
        return [describe(entry, now_s) for entry in self._entries]
