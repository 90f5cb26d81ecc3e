"""Stores runs at a control instance, indexed by id, address and number."""

from collections.abc import Iterator
from itertools import islice

from agatethread.registry._admission import is_live
from agatethread.registry._report import START_UNKNOWN, Report
from agatethread.settings import format_address
from agatethread.wire import unpack_address
from agatethread.wire.registry_pb2 import BackendRun, RunEnd

#: Sources of a run's state other than the address of a control instance: the run
#: itself, or the file that was saved before a restart.
SOURCE_RUN = b""
SOURCE_DISK = b"disk"

#: Largest age of a report that is sent; keeps the milliseconds within 32 bits.
_MAX_REPORT_AGE_S = 3_600.0

#: Reports whose sequence is a multiple of this are sent in full.
_FULL_REPORT_INTERVAL = 8


class RunRecord:
    """A run with the time of its last report and the indexes of its changes.

    Parameters
    ----------
    run : BackendRun
        State of the run.
    """

    __slots__ = (
        "changed_index",
        "capacity_index",
        "direct_index",
        "last_report_s",
        "run",
        "source",
    )

    def __init__(self, run: BackendRun):
        self.run = run
        #: Packed address of the control instance that sent the newest report;
        #: `SOURCE_RUN` or `SOURCE_DISK` if none did.
        self.source = SOURCE_RUN
        #: Time of the last report, end or restore, or of the end of a suspension of
        #: this process; 0 before the first report.
        self.last_report_s = 0.0
        #: Index of the last change; direct reports without a change don't count.
        self.changed_index = 0
        #: Index of the last report received directly from the run.
        self.direct_index = 0
        #: Index of the last direct report that changed slots or warm-up time.
        self.capacity_index = 0


class RunIndex:
    """Stores the newest run of each id, and the order in which runs changed."""

    def __init__(self) -> None:
        self._by_id: dict[str, RunRecord] = {}
        #: By id, in order of change, so that listing recent changes does not scan all
        #: runs.
        self._by_change: dict[str, RunRecord] = {}
        #: By id, in order of change or direct report.
        self._by_report: dict[str, RunRecord] = {}
        self._by_number: dict[int, RunRecord] = {}
        #: Runs that reported their start time, by id.
        self._with_start_time: dict[str, RunRecord] = {}
        self._by_address: dict[bytes, RunRecord] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[RunRecord]:
        return iter(list(self._by_id.values()))

    def get(self, run_id: str) -> RunRecord | None:
        """Return the newest run of an id."""
        return self._by_id.get(run_id)

    def get_other_by_address(self, address: bytes, except_id: str) -> RunRecord | None:
        """Return the run of another id that has not ended and holds an address."""
        holder = self._by_address.get(address)
        return None if holder is None or holder.run.id == except_id else holder

    def get_other_by_number(self, number: int, except_id: str) -> RunRecord | None:
        """Return the run of another id that has the same run number."""
        holder = self._by_number.get(number)
        is_available = holder is None or holder.run.id == except_id
        return None if is_available else holder

    def get_by_number(self, number: int) -> RunRecord | None:
        """Return the run with a run number."""
        return self._by_number.get(number)

    def most_have_start(self) -> bool:
        """Return whether most live runs have reported their start time.

        Stops counting once as many live runs have none, since this is called for every
        report without a start time.
        """
        with_count = sum(
            is_live(record.run) for record in self._with_start_time.values()
        )
        without = (
            record
            for record in self._by_id.values()
            if record.run.started_ms == START_UNKNOWN and is_live(record.run)
        )
        return sum(1 for _ in islice(without, with_count)) < with_count

    def add(self, run: BackendRun) -> RunRecord:
        """Store a run; replaces an earlier run of the same id."""
        self._by_change.pop(run.id, None)
        self._by_report.pop(run.id, None)
        record = self._by_id[run.id] = RunRecord(run)
        self._with_start_time.pop(run.id, None)
        if run.started_ms != START_UNKNOWN:
            self._with_start_time[run.id] = record
        if run.number:
            self._by_number[run.number] = record
        if run.address and not run.ended:
            self._by_address[run.address] = record
        return record

    def release_address(self, record: RunRecord) -> None:
        """Release the address of a run that has ended."""
        if self._by_address.get(record.run.address) is record:
            del self._by_address[record.run.address]

    def mark_changed(self, record: RunRecord, index: int) -> None:
        """Mark a run as changed for all subscribers."""
        record.changed_index = index
        _move_to_end(self._by_change, record)
        _move_to_end(self._by_report, record)

    def mark_reported(self, record: RunRecord, index: int) -> None:
        """Mark a run as having reported directly to this instance."""
        record.direct_index = index
        _move_to_end(self._by_report, record)

    def list_changed_after(self, index: int, with_reports: bool) -> list[RunRecord]:
        """Return the runs that changed after an index, oldest first.

        With `with_reports`, also those that reported directly without a change.
        """
        order = self._by_report if with_reports else self._by_change
        newer = []
        for record in reversed(order.values()):
            if last_index(record, with_reports) <= index:
                break
            newer.append(record)
        newer.reverse()
        return newer

    def remove(self, record: RunRecord) -> None:
        """Delete a run."""
        run_id = record.run.id
        del self._by_id[run_id]
        self._by_change.pop(run_id, None)
        self._by_report.pop(run_id, None)
        self._with_start_time.pop(run_id, None)
        if self._by_number.get(record.run.number) is record:
            del self._by_number[record.run.number]


def _move_to_end(order: dict[str, RunRecord], record: RunRecord) -> None:
    order.pop(record.run.id, None)
    order[record.run.id] = record


def last_index(record: RunRecord, with_reports: bool) -> int:
    """Return the index of the last change, or direct report if `with_reports`."""
    if with_reports:
        return max(record.changed_index, record.direct_index)
    return record.changed_index


def record_evidence(record: RunRecord, now_s: float, usual_age_s: float) -> None:
    """Store in the message of a run how old its newest report is, and where it is from.

    The message of an ended run keeps the age that its last report had at the end.

    Parameters
    ----------
    record : RunRecord
        Stored run; its message is updated.
    now_s : float
        Current time.
    usual_age_s : float
        Age up to which a report is as new as that of any live run; it is left out, to
        save bytes.
    """
    record.run.restored = record.source == SOURCE_DISK
    if not record.run.ended:
        age_s = now_s - record.last_report_s
        store_report_age(record.run, age_s if age_s > usual_age_s else 0.0)


def store_report_age(run: BackendRun, age_s: float) -> None:
    """Store the age of a run's newest report in its message, within 32 bits.

    Parameters
    ----------
    run : BackendRun
        Message of the run.
    age_s : float
        Age of the report.
    """
    run.report_age_ms = round(min(age_s, _MAX_REPORT_AGE_S) * 1000)


def is_number_sufficient(record: RunRecord, after_index: int) -> bool:
    """Return whether a report may be sent by run number.

    Some reports are sent in full all the same, so that a receiver that had to reject
    the run can accept it later.

    Parameters
    ----------
    record : RunRecord
        Run that reported after the index.
    after_index : int
        Index after which changes are sent to the receiver.

    Returns
    -------
    bool
        False if the receiver may lack the current state of the run, and for each report
        that is sent in full, see `_FULL_REPORT_INTERVAL`.
    """
    run = record.run
    if not (run.number and run.started_ms) or run.sequence % _FULL_REPORT_INTERVAL == 0:
        return False
    return max(record.changed_index, record.capacity_index) <= after_index


def refresh_by_number(
    record: RunRecord, sequence: int, started_ms: int, now_s: float
) -> bool:
    """Apply a report that was sent by run number.

    Parameters
    ----------
    record : RunRecord
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
    run = record.run
    is_old = run.ended or sequence <= run.sequence
    if is_old or run.started_ms != started_ms:
        return False
    run.sequence = sequence
    record.last_report_s = now_s
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


def copy_run(run: BackendRun) -> BackendRun:
    """Return a copy of the message of a run."""
    copied = BackendRun()
    copied.CopyFrom(run)
    return copied


def describe(record: RunRecord, now_s: float) -> dict[str, object]:
    """Return a run for a state dump.

    Parameters
    ----------
    record : RunRecord
        Stored run.
    now_s : float
        Current time.

    Returns
    -------
    dict
        JSON-compatible fields.
    """
    run = record.run
    return {
        "id": run.id,
        "started_ms": run.started_ms,
        "service": run.service,
        "sequence": run.sequence,
        "draining": run.draining,
        "ended": run.ended,
        "silent": run.silent,
        "heard_ago_s": round(now_s - record.last_report_s, 3),
        "told_by": format_source(record.source),
        "end": RunEnd.Name(run.end),
    }


def format_source(source: bytes) -> str:
    """Return the source of a run's state as text for logs.

    Parameters
    ----------
    source : bytes
        Packed address of a control instance, `SOURCE_RUN` or `SOURCE_DISK`.

    Returns
    -------
    str
        ``IP:port``, ``itself`` or ``disk``.
    """
    if source == SOURCE_RUN:
        return "itself"
    if source == SOURCE_DISK:
        return "disk"
    return format_address(unpack_address(source))
