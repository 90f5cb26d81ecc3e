"""Stores the newest run of every known backend server.

Reports arrive directly or through other control instances, possibly late, duplicated or
out of order; `_admission` checks them. The state of a run only advances, from reporting
to draining to ended, and a later run of the same id replaces it.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping

from agatethread.exceptions import ReportRefusedError
from agatethread.registry._admission import (
    KnownRun,
    ReportVerdict,
    check_report,
    check_service_and_start,
)
from agatethread.registry._report import START_UNKNOWN, Report
from agatethread.registry._run_ends import RunEnds
from agatethread.registry._run_expiry import RunExpiry
from agatethread.registry._run_index import (
    SOURCE_DISK,
    SOURCE_RUN,
    RunIndex,
    RunRecord,
    copy_run,
    describe,
    is_number_sufficient,
    last_index,
    record_evidence,
    refresh_by_number,
    to_report,
    to_run,
)
from agatethread.registry._run_logs import (
    EndNotice,
    log_changed_run,
    log_rejected_report,
    make_replacement_notice,
)
from agatethread.wire.registry_pb2 import (
    RUN_END_REPORTED,
    BackendRun,
)

#: Reporting intervals after which a run of unknown start order may use the address.
_ADDRESS_LEASE_INTERVALS = 1.5


class RunTable:
    """Stores runs by id, each with the index of its last change.

    Parameters
    ----------
    interval_s : float
        Time between the reports of a run.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, interval_s: float, now_s: Callable[[], float]):
        self._address_lease_s = _ADDRESS_LEASE_INTERVALS * interval_s
        self._now_s = now_s
        self._records = RunIndex()
        #: Names of the configured services; empty before the first routing table.
        self.services: frozenset[str] = frozenset()
        self._ends = RunEnds(self._records, now_s, self._mark_changed)
        self._expiry = RunExpiry(self._records, interval_s, now_s, self._mark_changed)
        self.index = 0
        #: Index of the last change; direct reports without a change don't count.
        self.changed_index = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, run_id: str) -> BackendRun | None:
        """Return the newest run of an id.

        Parameters
        ----------
        run_id : str
            Id of the run.

        Returns
        -------
        BackendRun or None
            None if the id is unknown.
        """
        record = self._records.get(run_id)
        return record.run if record else None

    def report(self, report: Report) -> bool:
        """Apply a report received directly from its run.

        Parameters
        ----------
        report : Report
            Report of the run.

        Returns
        -------
        bool
            Whether the change has to be sent to entry instances.

        Raises
        ------
        ReportRefusedError
            If the report is refused, see `ReportVerdict`; nothing was changed.
        """
        verdict = self._check_report(report)
        if verdict in (ReportVerdict.STARTS, ReportVerdict.CONTINUES):
            verdict = check_service_and_start(
                report, verdict, self.services, self._records.most_have_start
            )
        record = self._get_or_admit(report, verdict, SOURCE_RUN)
        if verdict.is_refusal:
            raise ReportRefusedError(report.id, verdict.value)
        if record is None:
            return False

        previous_capacity = record.run.slots, record.run.warm_up_ms
        changed = self._refresh(record, report, SOURCE_RUN)
        if not changed:
            self.index += 1
        self._records.mark_reported(record, self.index)
        if previous_capacity != (record.run.slots, record.run.warm_up_ms):
            record.capacity_index = self.index
        return changed

    def _check_report(self, report: Report, report_age_s: float = 0.0) -> ReportVerdict:
        records = self._records
        number_holder = records.get_other_by_number(report.number, report.id)
        return check_report(
            report,
            self._to_known_run(records.get(report.id)),
            self._to_known_run(records.get_other_by_address(report.address, report.id)),
            number_holder.run if number_holder else None,
            self._address_lease_s,
            report_age_s,
        )

    def _to_known_run(self, record: RunRecord | None) -> KnownRun | None:
        if record is None:
            return None
        return KnownRun(record.run, self._now_s() - record.last_report_s)

    def _get_or_admit(
        self, report: Report, verdict: ReportVerdict, source: bytes
    ) -> RunRecord | None:
        """Return the record of an accepted report; else log it, and return None."""
        if verdict is ReportVerdict.CONTINUES:
            return self._records.get(report.id)
        if verdict is ReportVerdict.STARTS:
            return self._admit(report, source)
        if verdict is not ReportVerdict.OUTDATED:
            holder = self._records.get_other_by_address(report.address, report.id)
            log_rejected_report(report, verdict, holder, self._now_s())
        return None

    def _admit(self, report: Report, source: bytes) -> RunRecord:
        earlier = self._records.get(report.id)
        if earlier is not None and not earlier.run.ended:
            self._ends.mark_started_again(earlier, source)
        holder = self._records.get_other_by_address(report.address, report.id)
        if holder is not None:
            self._ends.mark(holder, make_replacement_notice(holder.run, report, source))
        return self._records.add(to_run(report))

    def _refresh(
        self, record: RunRecord, report: Report, source: bytes, age_s: float = 0.0
    ) -> bool:
        run = record.run
        is_new = record.last_report_s == 0.0
        draining = run.draining or report.draining
        warm_up_ms = int(report.warm_up_s * 1000)
        # A server that received no work for long may need to warm up again.
        warm_up_increased = warm_up_ms > run.warm_up_ms
        changed = is_new or run.silent or draining != run.draining or warm_up_increased
        record.last_report_s = self._now_s() - age_s
        record.source = source
        run.sequence = report.sequence
        run.slots = report.slots
        run.draining = draining
        run.silent = False
        run.warm_up_ms = warm_up_ms
        if changed:
            self._mark_changed(record)
            log_changed_run(run, is_new)
        return changed

    def end_run(self, run_id: str, started_ms: int = START_UNKNOWN) -> bool:
        """Mark a run as ended by its own request.

        Parameters
        ----------
        run_id : str
            Id of the run; an unknown id is stored as ended, to reject late reports.
        started_ms : int, optional
            Start time of the run, if given.

        Returns
        -------
        bool
            Whether the change has to be sent to entry instances.

        Raises
        ------
        ReportRefusedError
            If the request may concern an earlier run; the sender may retry elsewhere.
        """
        ended = BackendRun(id=run_id, started_ms=started_ms, ended=True)
        changed = self._ends.apply(ended, EndNotice("it said so", RUN_END_REPORTED))
        if started_ms == START_UNKNOWN and not self._records.get(run_id).run.ended:
            raise ReportRefusedError(run_id, "it may be the end of an earlier run")
        return changed

    def apply_peer_run(self, run: BackendRun, source: bytes = SOURCE_RUN) -> bool:
        """Apply the state of a run at another control instance.

        Ignores a silent state unless its start time is later than the stored one.

        Parameters
        ----------
        run : BackendRun
            State of the run there.
        source : bytes, optional
            Packed address of the other instance.

        Returns
        -------
        bool
            Whether the change has to be sent to entry instances.
        """
        if run.ended:
            why = "another control instance says so"
            return self._ends.apply(run, EndNotice(why, run.end, source))
        stored = self._records.get(run.id)
        if run.silent and (stored is None or run.started_ms <= stored.run.started_ms):
            # The run may still report here, unless the other instance has a later one.
            return False
        report, age_s = to_report(run), run.report_age_ms / 1000
        source = SOURCE_DISK if run.restored else source
        verdict = self._check_report(report, float("inf") if run.restored else age_s)
        record = self._get_or_admit(report, verdict, source)
        if record is None:
            return False
        changed = self._refresh(record, report, source, age_s)
        record.run.silent = run.silent
        return changed

    def apply_numbered_report(
        self,
        number: int,
        sequence: int,
        start_times: Mapping[str, int],
        source: bytes = SOURCE_RUN,
    ) -> bool:
        """Apply a report that another control instance sent by run number.

        Parameters
        ----------
        number : int
            Number of the run.
        sequence : int
            Sequence of the report.
        start_times : mapping of str to int
            Start times by id of the live runs that the other instance sent in full.
        source : bytes, optional
            Packed address of the other instance.

        Returns
        -------
        bool
            Whether the change has to be sent to entry instances.
        """
        record = self._records.get_by_number(number)
        if record is None or record.run.id not in start_times:
            return False
        started_ms, now_s = start_times[record.run.id], self._now_s()
        if not refresh_by_number(record, sequence, started_ms, now_s):
            return False
        record.source = source
        if not record.run.silent:
            return False
        record.run.silent = False
        self._mark_changed(record)
        return True

    def _mark_changed(self, record: RunRecord) -> None:
        self.index += 1
        self.changed_index = self.index
        self._records.mark_changed(record, self.index)

    def restore(self, runs: Iterable[BackendRun]) -> None:
        """Restore the runs known before a restart of this instance.

        Parameters
        ----------
        runs : iterable of BackendRun
            Runs as returned by `snapshot`.
        """
        for run in runs:
            record = self._records.add(run)
            record.last_report_s = self._now_s()
            record.source = SOURCE_DISK
            self._mark_changed(record)

    def snapshot(self) -> list[BackendRun]:
        """Return a copy of every run.

        Returns
        -------
        list of BackendRun
            Copies in no particular order.
        """
        return [copy_run(record.run) for record in self._records]

    def sweep(self) -> None:
        """Mark runs without reports as silent; delete runs that ended long ago."""
        self._expiry.sweep()

    def can_send_by_number(self, run_id: str, after_index: int) -> bool:
        """Return whether a report may be sent by run number after an index."""
        return is_number_sufficient(self._records.get(run_id), after_index)

    def changes_after(
        self, index: int, with_reports: bool
    ) -> Iterator[tuple[int, BackendRun]]:
        """Yield the runs that changed after an index, oldest change first.

        Parameters
        ----------
        index : int
            Index after which changes are returned.
        with_reports : bool
            Whether to include runs that reported without a change; other control
            instances need these.

        Yields
        ------
        tuple of (int, BackendRun)
            Index of the change, and the current state of the run.
        """
        now_s = self._now_s()
        for record in self._records.list_changed_after(index, with_reports):
            record_evidence(record, now_s, self._address_lease_s)
            yield last_index(record, with_reports), record.run

    def dump(self) -> list[dict[str, object]]:
        """Return the runs for a state dump.

        Returns
        -------
        list of dict
            JSON-compatible fields.
        """
        return [describe(record, self._now_s()) for record in self._records]
