"""Every run of a backend server that this control instance has heard of.

Reports come directly or through another control instance, late, twice or out of order.
A run only moves forward: from reporting to draining to ended.
"""

from collections.abc import Callable, Iterator

from agatethread.observability import Event, make_logger
from agatethread.registry._report import Report
from agatethread.wire.registry_pb2 import BackendRun

#: Reporting intervals without a report before a run gets no new work. Two may be lost
#: while the server looks for a control instance that answers; each try takes a second.
_SILENT_INTERVALS = 2.5
_SILENT_EXTRA_S = 1.0
#: Reporting intervals after which another run may take an address that is still held.
_HELD_INTERVALS = 1.5
#: How long an ended run is remembered, so that a late report can't revive it. Longer
#: than a delayed report can be under way, and than the flows of a run live.
_ENDED_KEPT_S = 180.0
#: A pause between two sweeps that means that this process did not run meanwhile.
_PAUSE_S = 1.0

log = make_logger("registry")


class _Entry:
    __slots__ = ("changed_index", "direct_index", "heard_s", "run")

    def __init__(self, run: BackendRun):
        self.run = run
        self.heard_s = 0.0
        #: Index of the last change that entry instances must know.
        self.changed_index = 0
        #: Index of the last report that came directly from the run.
        self.direct_index = 0


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
        self._entries: dict[str, _Entry] = {}
        self._holders: dict[bytes, _Entry] = {}
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
        entry = self._entries.get(run_id)
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
        """
        entry = self._entries.get(report.id)
        if entry is None:
            entry = self._admit(report)
            if entry is None:
                return False
        elif entry.run.ended or report.sequence <= entry.run.sequence:
            return False

        changed = self._refresh(entry, report)
        if not changed:
            self.index += 1
        entry.direct_index = self.index
        return changed

    def _admit(self, report: Report) -> _Entry | None:
        holder = self._holders.get(report.address)
        now_s = self._now_s()
        if holder is not None and now_s - holder.heard_s < self._held_s:
            # Two runs can't share an address. The one that is heard regularly lives;
            # the report of the other was delayed, and if not, its next one decides.
            log.info(
                Event.REPORT_NOT_TAKEN,
                run=report.id,
                holder=holder.run.id,
                holder_heard_ago_s=round(now_s - holder.heard_s, 3),
            )
            return None
        if holder is not None:
            self._end(holder, "another run reports from its address")

        entry = _Entry(
            BackendRun(
                id=report.id,
                number=report.number,
                service=report.service,
                address=report.address,
                failure_domain=report.failure_domain,
            )
        )
        self._entries[report.id] = entry
        self._holders[report.address] = entry
        return entry

    def _refresh(self, entry: _Entry, report: Report) -> bool:
        run = entry.run
        is_new = entry.heard_s == 0.0
        draining = run.draining or report.draining
        changed = is_new or run.silent or draining != run.draining
        entry.heard_s = self._now_s()
        run.sequence = report.sequence
        run.slots = report.slots
        run.draining = draining
        run.silent = False
        run.warm_up_ms = int(report.warm_up_s * 1000)
        if changed:
            self._mark(entry)
            log.info(
                Event.BACKEND_REPORTS,
                run=run.id,
                service=run.service,
                sequence=run.sequence,
                draining=run.draining,
                new=is_new,
            )
        return changed

    def leave(self, run_id: str) -> bool:
        """Note that a run has ended by its own word.

        Parameters
        ----------
        run_id : str
            Its id; one never heard of is remembered, too, against late reports.

        Returns
        -------
        bool
            Whether entry instances must be told of it.
        """
        entry = self._entries.get(run_id)
        if entry is None:
            entry = self._entries[run_id] = _Entry(BackendRun(id=run_id))
        if entry.run.ended:
            return False
        self._end(entry, "it said so")
        return True

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
        entry = self._entries.get(run.id)
        if run.ended:
            if entry is not None and entry.run.ended:
                return False
            if entry is None:
                entry = self._entries[run.id] = _Entry(BackendRun())
                entry.run.CopyFrom(run)
                entry.run.ended = False
            self._end(entry, "another control instance says so")
            return True
        if run.silent:
            return False
        if entry is not None and (
            entry.run.ended or run.sequence <= entry.run.sequence
        ):
            return False
        report = Report(
            id=run.id,
            number=run.number,
            service=run.service,
            address=run.address,
            failure_domain=run.failure_domain,
            slots=run.slots,
            sequence=run.sequence,
            draining=run.draining,
            warm_up_s=run.warm_up_ms / 1000,
        )
        entry = entry or self._admit(report)
        return entry is not None and self._refresh(entry, report)

    def _end(self, entry: _Entry, reason: str) -> None:
        run = entry.run
        run.ended = True
        entry.heard_s = self._now_s()
        if self._holders.get(run.address) is entry:
            del self._holders[run.address]
        self._mark(entry)
        log.info(Event.BACKEND_ENDED, run=run.id, service=run.service, why=reason)

    def _mark(self, entry: _Entry) -> None:
        self.index += 1
        entry.changed_index = self.index
        self.changed_index = self.index

    # -- restarts -----------------------------------------------------------------

    def remember(self, runs: list[BackendRun]) -> None:
        """Take what this instance knew before it was restarted.

        Parameters
        ----------
        runs : list of BackendRun
            As `snapshot` returned them.
        """
        for run in runs:
            entry = self._entries[run.id] = _Entry(run)
            entry.heard_s = self._now_s()
            if not run.ended:
                self._holders[run.address] = entry
            self._mark(entry)

    def snapshot(self) -> list[BackendRun]:
        """Copy what is known of every run.

        Returns
        -------
        list of BackendRun
            In no particular order.
        """
        runs = []
        for entry in self._entries.values():
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
        for entry in list(self._entries.values()):
            if paused and not entry.run.ended:
                # Reports came while this process stood still, and were lost.
                entry.heard_s = now_s
            self._sweep_entry(entry, now_s)

    def _sweep_entry(self, entry: _Entry, now_s: float) -> None:
        run = entry.run
        age_s = now_s - entry.heard_s
        if run.ended:
            if age_s > _ENDED_KEPT_S:
                del self._entries[run.id]
            return
        if run.silent or age_s <= self._silent_s:
            return
        run.silent = True
        self._mark(entry)
        log.warning(
            Event.BACKEND_STOPPED,
            run=run.id,
            service=run.service,
            last_report_ago_s=round(age_s, 3),
        )

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
        changed = []
        for entry in self._entries.values():
            last = entry.changed_index
            if with_reports:
                last = max(last, entry.direct_index)
            if last > index:
                changed.append((last, entry.run))
        changed.sort(key=lambda change: change[0])
        yield from changed

    def dump(self) -> list[dict[str, object]]:
        """List the runs for a state dump.

        Returns
        -------
        list of dict
            Ready for JSON.
        """
        now_s = self._now_s()
        return [
            {
                "id": entry.run.id,
                "service": entry.run.service,
                "sequence": entry.run.sequence,
                "draining": entry.run.draining,
                "ended": entry.run.ended,
                "silent": entry.run.silent,
                "heard_ago_s": round(now_s - entry.heard_s, 3),
            }
            for entry in self._entries.values()
        ]
