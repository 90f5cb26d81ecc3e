"""Marks runs without reports as silent, and deletes runs that ended long ago."""

from collections.abc import Callable

from agatethread.registry._admission import RUN_RETENTION_S
from agatethread.registry._run_index import RunIndex, RunRecord
from agatethread.registry._run_logs import log_stopped_reporting

#: Reporting intervals without a report before a run is silent; tolerates two losses.
_SILENT_INTERVALS = 2.5
_SILENT_MARGIN_S = 1.0  # added, to find a control instance that answers
_SUSPENSION_THRESHOLD_S = 1.0  # between two sweeps


class RunExpiry:
    """Sweeps the records of runs.

    Parameters
    ----------
    records : RunIndex
        The records.
    interval_s : float
        Time between the reports of a run.
    now_s : callable
        Monotonic clock.
    mark_changed : callable
        Called with each record whose run became silent.
    """

    def __init__(
        self,
        records: RunIndex,
        interval_s: float,
        now_s: Callable[[], float],
        mark_changed: Callable[[RunRecord], None],
    ):
        self._records = records
        self._silent_s = _SILENT_INTERVALS * interval_s + _SILENT_MARGIN_S
        self._now_s = now_s
        self._mark_changed = mark_changed
        self._last_sweep_s = now_s()

    def sweep(self) -> None:
        """Mark silent runs and delete expired ones."""
        now_s = self._now_s()
        was_suspended = now_s - self._last_sweep_s > _SUSPENSION_THRESHOLD_S
        self._last_sweep_s = now_s
        for record in self._records:
            if was_suspended and not record.run.ended:
                # Reports sent while this process was suspended were lost.
                record.last_report_s = now_s
            self._sweep_record(record, now_s)

    def _sweep_record(self, record: RunRecord, now_s: float) -> None:
        run = record.run
        age_s = now_s - record.last_report_s
        if run.ended:
            if age_s > RUN_RETENTION_S:
                self._records.remove(record)
            return
        if run.silent or age_s <= self._silent_s:
            return
        run.silent = True
        self._mark_changed(record)
        log_stopped_reporting(run, age_s)
