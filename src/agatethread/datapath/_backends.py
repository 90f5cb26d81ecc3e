"""Runs of backend servers that are known to an entry instance."""

from collections.abc import Callable, Iterable

from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import Address
from agatethread.datapath._resets import describe_run, format_source
from agatethread.datapath._run_labels import RunLabels
from agatethread.observability import Counters, Event, make_logger
from agatethread.registry import is_assumed_end_outdated
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import (
    RUN_END_ADDRESS_TAKEN,
    RUN_END_STARTED_AGAIN,
    RUN_END_UNKNOWN,
    BackendRun,
    RunEnd,
)

#: Time for which ended runs are kept, as they may serve their flows on: the longest
#: life of a flow.
_ENDED_RETENTION_S = 60.0
#: Labels of earlier runs that map to the newest run of an id. Bounds the memory for a
#: backend server that restarts in a loop.
_MAX_EARLIER_LABELS = 8

#: Report intervals within which each live run reports again: runs of a readmitted
#: failure domain count as cold so long.
_NEXT_REPORT_INTERVALS = 1.5

log = make_logger("backends")


class BackendView:
    """Set of the known runs, by id, label and service.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts changes of runs.
    policies : Policies, optional
        Policies for new runs.
    report_interval_s : float, optional
        Time between two reports of a run.
    """

    def __init__(
        self,
        now_s: Callable[[], float],
        counters: Counters,
        policies: Policies = DEFAULT_POLICIES,
        report_interval_s: float = 0.0,
    ):
        self._policies = policies
        self._next_report_s = _NEXT_REPORT_INTERVALS * report_interval_s
        self._now_s = now_s
        self._counters = counters
        self._by_id: dict[str, Backend] = {}
        self._labels = RunLabels(now_s, self._next_report_s)
        self._by_service: dict[str, list[Backend]] = {}
        self._ended_by_address: dict[Address, Backend] = {}
        self._evacuated: frozenset[str] = frozenset()
        #: Evacuated failure domain that still gets new flows; empty for none.
        self._exempt_domain = ""

    def __len__(self) -> int:
        return len(self._by_id)

    def get_by_label(self, label: int) -> Backend | None:
        """Return the run for a label.

        Parameters
        ----------
        label : int
            Label of a packet.

        Returns
        -------
        Backend or None
            None if no run with this label is known.
        """
        return self._labels.get(label)

    def runs_of_service(self, service: str) -> list[Backend]:
        """Return the runs of a service that have not ended.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Backend
            Includes runs that get no new flows.
        """
        return self._by_service.get(service, [])

    def update_run(self, run: BackendRun, source: bytes = b"") -> None:
        """Update a run from a message of a control instance.

        Earlier runs and lower sequence numbers are ignored, and draining and ended are
        never taken back, so messages of several control instances may arrive in any
        order.

        Parameters
        ----------
        run : BackendRun
            State of the run.
        source : bytes, optional
            Packed address of the control instance.
        """
        backend = self._by_id.get(run.id)
        if backend is None and not run.service:
            # A message without a service tells only the end of a run.
            return
        if backend is not None and run.started_ms < backend.started_ms:
            return
        if backend is not None and is_assumed_end_outdated(run, backend):
            return
        if backend is None:
            backend = self._add(run, source)
        elif run.started_ms > backend.started_ms:
            backend = self._replace(backend, run, source)
        self._update(backend, run, source)

    def _update(self, backend: Backend, run: BackendRun, source: bytes) -> None:
        if run.sequence > backend.sequence:
            if backend.ended and backend.end == RUN_END_ADDRESS_TAKEN and not run.ended:
                self._revive(backend)
            backend.slots = max(1, run.slots)
            backend.sequence = run.sequence
            backend.warm_s = self._now_s() + run.warm_up_ms / 1000
        backend.updated_s = self._now_s()
        _store_evidence(backend, run, source)
        if run.draining and not backend.draining:
            backend.draining = True
            self._record_change(backend, Event.RUN_DRAINING)
        if run.ended and not backend.ended:
            self._mark_ended(backend, run.end, source)

    def set_evacuations(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains whose runs get no new flows.

        Open flows are still forwarded.

        Parameters
        ----------
        failure_domains : frozenset of str
            All evacuated failure domains.
        """
        log.info(Event.EVACUATIONS_IN_FORCE, domains=sorted(failure_domains))
        readmitted = self._evacuated - failure_domains
        self._evacuated = failure_domains
        cold_until_s = self._now_s() + self._next_report_s
        for backend in self._by_id.values():
            backend.evacuated = self._is_evacuated(backend)
            if backend.failure_domain in readmitted:
                backend.warm_s = max(backend.warm_s, cold_until_s)

    def set_exempt_domain(self, failure_domain: str) -> None:
        """Set the failure domain that gets new flows although it is evacuated.

        Parameters
        ----------
        failure_domain : str
            Name of the failure domain; empty for none.
        """
        if failure_domain == self._exempt_domain:
            return
        if self._evacuated & {failure_domain, self._exempt_domain}:
            log.info(Event.EVACUATION_BYPASSED, domain=failure_domain)
        self._exempt_domain = failure_domain
        for backend in self._by_id.values():
            backend.evacuated = self._is_evacuated(backend)

    def has_answer_from_other_domains(
        self, failure_domain: str, since_s: float
    ) -> bool:
        """Return whether a run of another failure domain has answered a caller.

        Parameters
        ----------
        failure_domain : str
            Own failure domain.
        since_s : float
            Time after which answers count.

        Returns
        -------
        bool
            Whether a run of the other failure domains answered since then.
        """
        return any(
            backend.last_answer_s > since_s
            for backend in self._by_id.values()
            if backend.failure_domain != failure_domain
        )

    def _is_evacuated(self, backend: Backend) -> bool:
        domain = backend.failure_domain
        return domain in self._evacuated and domain != self._exempt_domain

    def _add(self, run: BackendRun, source: bytes) -> Backend:
        backend = Backend(run, self._policies)
        _store_evidence(backend, run, source)
        backend.evacuated = self._is_evacuated(backend)
        self._by_id[run.id] = backend
        self._labels.add(backend)
        self._by_service.setdefault(backend.service, []).append(backend)
        ended = self._ended_by_address.get(backend.address)
        if ended is not None and not run.ended:
            ended.has_successor = True
        self._record_change(backend, Event.RUN_ADDED)
        return backend

    def _replace(self, earlier: Backend, run: BackendRun, source: bytes) -> Backend:
        """Replace a run by a later run of the same id.

        The earlier label then maps to the later run. An instance that does not know the
        later run still places flows under the earlier label; if both runs have the same
        address, the later run accepts them. A run resets flows that it has no
        connection for.
        """
        if not earlier.ended:
            self._mark_ended(earlier, RUN_END_STARTED_AGAIN, source)
        if not run.service:
            # The message tells only the end of the later run.
            earlier.started_ms = run.started_ms
            return earlier
        labels = [*earlier.earlier_labels, earlier.label]
        self._forget(earlier, labels)
        backend = self._add(run, source)
        backend.earlier_labels = labels[-_MAX_EARLIER_LABELS:]
        self._labels.add_earlier(backend, backend.earlier_labels)
        return backend

    def _mark_ended(self, backend: Backend, end: RunEnd, source: bytes) -> None:
        backend.ended = True
        backend.ended_s = self._now_s()
        backend.end, backend.end_source = end, source
        self._ended_by_address[backend.address] = backend
        self._by_service[backend.service].remove(backend)
        self._count_change(Event.BACKEND_ENDED)
        log.info(
            Event.BACKEND_ENDED,
            run=backend.id,
            started_ms=backend.started_ms,
            service=backend.service,
            sequence=backend.sequence,
            end=RunEnd.Name(end),
            told_by=format_source(source),
            last_report_ago_s=round(backend.report_age_s, 3),
        )

    def _revive(self, backend: Backend) -> None:
        """Take back an end that was concluded from another run at the address."""
        backend.ended, backend.ended_s = False, 0.0
        self._forget_end(backend)
        backend.end, backend.end_source = RUN_END_UNKNOWN, b""
        self._by_service.setdefault(backend.service, []).append(backend)
        self._labels.add(backend)
        self._record_change(backend, Event.RUN_REVIVED)

    def _forget_end(self, backend: Backend) -> None:
        backend.has_successor = False
        if self._ended_by_address.get(backend.address) is backend:
            del self._ended_by_address[backend.address]

    def _count_change(self, event: Event) -> None:
        # The counter is named after the event.
        self._counters[event.replace(" ", "_")] += 1

    def _record_change(self, backend: Backend, event: Event) -> None:
        self._count_change(event)
        log.info(
            event,
            run=backend.id,
            started_ms=backend.started_ms,
            service=backend.service,
            sequence=backend.sequence,
            told_by=format_source(backend.source),
            last_report_ago_s=round(backend.report_age_s, 3),
            restored=backend.restored,
        )

    def update_reporting(self, is_reporting: Callable[[str, int], bool]) -> None:
        """Update which runs are reporting and labelled; delete expired ended runs.

        Parameters
        ----------
        is_reporting : callable
            Returns whether a run is reporting, by its id and start time.
        """
        oldest_s = self._now_s() - _ENDED_RETENTION_S
        for backend in list(self._by_id.values()):
            if backend.ended:
                if backend.ended_s < oldest_s:
                    self._delete(backend)
                continue
            if backend.is_label_taken:
                self._labels.retake(backend)
            reporting = is_reporting(backend.id, backend.started_ms)
            if reporting != backend.reporting:
                backend.reporting = reporting
                backend.reporting_changed_s = self._now_s()
                event = Event.RUN_REPORTING if reporting else Event.RUN_SILENT
                self._record_change(backend, event)

    def _delete(self, backend: Backend) -> None:
        del self._by_id[backend.id]
        self._forget(backend, (backend.label, *backend.earlier_labels))

    def _forget(self, backend: Backend, labels: Iterable[int]) -> None:
        self._forget_end(backend)
        # Its last callers may have left requests unanswered.
        backend.waiting.clear()
        self._labels.delete(backend, labels)

    def dump(self) -> list[dict[str, object]]:
        """Return the runs for a state dump.

        Returns
        -------
        list of dict
            JSON-serializable.
        """
        return [
            {
                "id": backend.id,
                "started_ms": backend.started_ms,
                "service": backend.service,
                "draining": backend.draining,
                "evacuated": backend.evacuated,
                "ended": backend.ended,
                "reporting": backend.reporting,
                "flows": backend.flows,
                "in_flight": backend.in_flight,
                "failures": backend.failures,
            }
            | describe_run(backend, self._now_s())
            for backend in self._by_id.values()
        ]


def _store_evidence(backend: Backend, run: BackendRun, source: bytes) -> None:
    """Store who told of a run, and how old the newest report was there."""
    backend.source = source
    backend.report_age_s = run.report_age_ms / 1000
    backend.restored = run.restored
