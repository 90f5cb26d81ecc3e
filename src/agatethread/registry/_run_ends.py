"""Applies the ends of runs, as the runs report them or other instances tell them."""

from collections.abc import Callable

from agatethread.registry._admission import end_applies_to, is_assumed_end_outdated
from agatethread.registry._run_index import (
    SOURCE_RUN,
    RunIndex,
    RunRecord,
    store_report_age,
)
from agatethread.registry._run_logs import (
    EndNotice,
    log_ended,
    log_rejected_end,
    log_repeated_end,
)
from agatethread.wire.registry_pb2 import (
    RUN_END_ADDRESS_TAKEN,
    RUN_END_STARTED_AGAIN,
    BackendRun,
)


class RunEnds:
    """Marks runs as ended; an ended run gets no new flows.

    Parameters
    ----------
    records : RunIndex
        The records.
    now_s : callable
        Monotonic clock.
    mark_changed : callable
        Called with each record whose run ended.
    """

    def __init__(
        self,
        records: RunIndex,
        now_s: Callable[[], float],
        mark_changed: Callable[[RunRecord], None],
    ):
        self._records = records
        self._now_s = now_s
        self._mark_changed = mark_changed

    def apply(self, ended: BackendRun, notice: EndNotice) -> bool:
        """Apply the end of a run unless it is outdated or means an earlier run.

        Parameters
        ----------
        ended : BackendRun
            State of the run at its end; stored if its id is unknown, to reject late
            reports.
        notice : EndNotice
            How the end is known.

        Returns
        -------
        bool
            Whether the change has to be sent to entry instances.
        """
        record = self._records.get(ended.id)
        if record is None or record.run.started_ms < ended.started_ms:
            if record is not None and not record.run.ended:
                self.mark_started_again(record, notice.source)
            self.mark(self._records.add(ended), notice)
            return True
        if record.run.ended:
            if notice.kind != RUN_END_ADDRESS_TAKEN:
                # No longer an assumption, so a late report takes nothing back.
                record.run.end = notice.kind
            if notice.source == SOURCE_RUN:
                log_repeated_end(record, self._now_s())
            return False
        is_outdated = is_assumed_end_outdated(ended, record.run)
        if is_outdated or not end_applies_to(record.run, ended.started_ms):
            log_rejected_end(record.run, ended.started_ms)
            return False
        record.run.draining |= ended.draining
        self.mark(record, notice)
        return True

    def mark_started_again(self, earlier: RunRecord, source: bytes) -> None:
        """Mark a run as ended since its id has started again.

        Parameters
        ----------
        earlier : RunRecord
            The run before the later start.
        source : bytes
            Packed address of the control instance that told of it, or `SOURCE_RUN`.
        """
        notice = EndNotice("it started again", RUN_END_STARTED_AGAIN, source)
        self.mark(earlier, notice)

    def mark(self, record: RunRecord, notice: EndNotice) -> None:
        """Mark a run as ended, and release its address.

        Parameters
        ----------
        record : RunRecord
            The run.
        notice : EndNotice
            How the end is known.
        """
        run = record.run
        log_ended(record, notice, self._now_s())
        if record.last_report_s:
            store_report_age(run, self._now_s() - record.last_report_s)
        run.ended = True
        run.end = notice.kind
        record.last_report_s = self._now_s()
        self._records.release_address(record)
        self._mark_changed(record)
