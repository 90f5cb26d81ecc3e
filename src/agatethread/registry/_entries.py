"""Stores runs at a control instance, indexed by id, address and number."""

from collections.abc import Iterator
from itertools import islice

from agatethread.registry._admission import is_live
from agatethread.registry._report import START_NOT_TOLD, Report
from agatethread.wire.registry_pb2 import BackendRun

#: Reports whose sequence is a multiple of this are sent in full.
_FULL_REPORT_INTERVAL = 8


class RunEntry:
    """A run with the time of its last report and the indexes of its changes.

    Parameters
    ----------
    run : BackendRun
        State of the run.
    """

    __slots__ = (
        "changed_index",
        "details_index",
        "direct_index",
        "last_report_s",
        "run",
    )

    def __init__(self, run: BackendRun):
        self.run = run
        #: Time of the last report, end or restore, or of the end of a suspension of
        #: this process; 0 before the first report.
        self.last_report_s = 0.0
        #: Index of the last change; direct reports without a change don't count.
        self.changed_index = 0
        #: Index of the last report received directly from the run.
        self.direct_index = 0
        #: Index of the last direct report that changed slots or warm-up time.
        self.details_index = 0


class RunIndex:
    """Stores the newest run of each id, and the order in which runs changed."""

    def __init__(self) -> None:
        self._by_id: dict[str, RunEntry] = {}
        #: By id, in order of change, so that listing recent changes does not scan all
        #: runs.
        self._by_change: dict[str, RunEntry] = {}
        #: By id, in order of change or direct report.
        self._by_report: dict[str, RunEntry] = {}
        self._by_number: dict[int, RunEntry] = {}
        #: Runs that reported their start time, by id.
        self._with_start_time: dict[str, RunEntry] = {}
        self._holders: dict[bytes, RunEntry] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[RunEntry]:
        return iter(list(self._by_id.values()))

    def get(self, run_id: str) -> RunEntry | None:
        """Return the newest run of an id."""
        return self._by_id.get(run_id)

    def get_address_holder(self, address: bytes, except_id: str) -> RunEntry | None:
        """Return the run of another id that has not ended and holds an address."""
        holder = self._holders.get(address)
        return None if holder is None or holder.run.id == except_id else holder

    def get_number_holder(self, number: int, except_id: str) -> RunEntry | None:
        """Return the run of another id that has the same run number."""
        holder = self._by_number.get(number)
        is_available = holder is None or holder.run.id == except_id
        return None if is_available else holder

    def get_by_number(self, number: int) -> RunEntry | None:
        """Return the run with a run number."""
        return self._by_number.get(number)

    def most_have_start(self) -> bool:
        """Return whether most live runs have reported their start time.

        Stops counting once as many live runs have none, since this is called for every
        report without a start time.
        """
        with_count = sum(is_live(entry.run) for entry in self._with_start_time.values())
        without = (
            entry
            for entry in self._by_id.values()
            if entry.run.started_ms == START_NOT_TOLD and is_live(entry.run)
        )
        return sum(1 for _ in islice(without, with_count)) < with_count

    def add(self, run: BackendRun) -> RunEntry:
        """Store a run; replaces an earlier run of the same id."""
        self._by_change.pop(run.id, None)
        self._by_report.pop(run.id, None)
        entry = self._by_id[run.id] = RunEntry(run)
        self._with_start_time.pop(run.id, None)
        if run.started_ms != START_NOT_TOLD:
            self._with_start_time[run.id] = entry
        if run.number:
            self._by_number[run.number] = entry
        if run.address and not run.ended:
            self._holders[run.address] = entry
        return entry

    def release_address(self, entry: RunEntry) -> None:
        """Release the address of a run that has ended."""
        if self._holders.get(entry.run.address) is entry:
            del self._holders[entry.run.address]

    def mark_changed(self, entry: RunEntry, index: int) -> None:
        """Mark a run as changed for all subscribers."""
        entry.changed_index = index
        _move_to_end(self._by_change, entry)
        _move_to_end(self._by_report, entry)

    def mark_reported(self, entry: RunEntry, index: int) -> None:
        """Mark a run as having reported directly to this instance."""
        entry.direct_index = index
        _move_to_end(self._by_report, entry)

    def changed_after(self, index: int, with_reports: bool) -> list[RunEntry]:
        """Return the runs that changed after an index, oldest first.

        With `with_reports`, also those that reported directly without a change.
        """
        order = self._by_report if with_reports else self._by_change
        newer = []
        for entry in reversed(order.values()):
            if last_index(entry, with_reports) <= index:
                break
            newer.append(entry)
        newer.reverse()
        return newer

    def remove(self, entry: RunEntry) -> None:
        """Delete a run."""
        run_id = entry.run.id
        del self._by_id[run_id]
        self._by_change.pop(run_id, None)
        self._by_report.pop(run_id, None)
        self._with_start_time.pop(run_id, None)
        if self._by_number.get(entry.run.number) is entry:
            del self._by_number[entry.run.number]


def _move_to_end(order: dict[str, RunEntry], entry: RunEntry) -> None:
    order.pop(entry.run.id, None)
    order[entry.run.id] = entry


def last_index(entry: RunEntry, with_reports: bool) -> int:
    """Return the index of the last change, or direct report if `with_reports`."""
    if with_reports:
        return max(entry.changed_index, entry.direct_index)
    return entry.changed_index


def can_send_by_number(entry: RunEntry, after_index: int) -> bool:
    """Return whether a report may be sent by run number.

    Some reports are sent in full all the same, so that a receiver that had to reject
    the run can accept it later.

    Parameters
    ----------
    entry : RunEntry
        Run that reported after the index.
    after_index : int
        Index after which changes are sent to the receiver.

    Returns
    -------
    bool
        False if the receiver may lack the current state of the run, and for each report
        that is sent in full, see `_FULL_REPORT_INTERVAL`.
    """
    run = entry.run
    if not (run.number and run.started_ms) or run.sequence % _FULL_REPORT_INTERVAL == 0:
        return False
    return max(entry.changed_index, entry.details_index) <= after_index


def apply_numbered_report(
    entry: RunEntry, sequence: int, started_ms: int, now_s: float
) -> bool:
    """Apply a report that was sent by run number.

    Parameters
    ----------
    entry : RunEntry
        Stored run; updated in place.
    sequence : int
        Sequence of the report.
    started_ms : int
        Start time of the run in the sender's last full report.
    now_s : float
        Current time.

    Returns
    -------
    bool
        False if the report belongs to another start or is not newer.
    """
    run = entry.run
    is_old = run.ended or sequence <= run.sequence
    if is_old or run.started_ms != started_ms:
        return False
    run.sequence = sequence
    entry.last_report_s = now_s
    return True


def to_report(run: BackendRun) -> Report:
    """Convert a run received from another control instance to a report.

    Parameters
    ----------
    run : BackendRun
        Run as the other instance sent it.

    Returns
    -------
    Report
        Newest report of the run at the other instance.
    """
    return Report(
        id=run.id,
        started_ms=run.started_ms,
        number=run.number,
        service=run.service,
        address=run.address,
        failure_domain=run.failure_domain,
        slots=run.slots,
        sequence=run.sequence,
        draining=run.draining,
        warm_up_s=run.warm_up_ms / 1000,
    )


def to_run(report: Report) -> BackendRun:
    """Create a run from the constant fields of a report.

    Parameters
    ----------
    report : Report
        First report of the run.

    Returns
    -------
    BackendRun
        Run without the changing fields of the report.
    """
    return BackendRun(
        id=report.id,
        started_ms=report.started_ms,
        number=report.number,
        service=report.service,
        address=report.address,
        failure_domain=report.failure_domain,
    )


def describe(entry: RunEntry, now_s: float) -> dict[str, object]:
    """Return a run for a state dump.

    Parameters
    ----------
    entry : RunEntry
        Stored run.
    now_s : float
        Current time.

    Returns
    -------
    dict
        JSON-compatible fields.
    """
    run = entry.run
    return {
        "id": run.id,
        "started_ms": run.started_ms,
        "service": run.service,
        "sequence": run.sequence,
        "draining": run.draining,
        "ended": run.ended,
        "silent": run.silent,
        "heard_ago_s": round(now_s - entry.last_report_s, 3),
    }
