"""Backend servers as one entry instance knows them."""

from collections.abc import Callable, Iterable

from agatethread.datapath._backend import Backend
from agatethread.observability import Counters, Event, make_logger
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire.registry_pb2 import BackendRun

#: How long an ended run is remembered here, so that its flows are reset and not left
#: waiting: the longest life of a flow.
_ENDED_KEPT_S = 60.0
#: Labels of earlier runs that lead to the newest run of an id. Flows live as long as
#: `_ENDED_KEPT_S`; a backend server that starts more often in that time serves none.
_MOST_EARLIER_LABELS = 8

#: Reporting intervals after which every run of a readmitted failure domain has said
#: whether it is cold; until then it counts as cold.
_READMITTED_INTERVALS = 1.5

log = make_logger("backends")


class BackendView:
    """All runs by id, label and service.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts changes.
    policies : Policies, optional
        How runs are judged.
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
        self._readmitted_cold_s = _READMITTED_INTERVALS * report_interval_s
        self._now_s = now_s
        self._counters = counters
        self._by_id: dict[str, Backend] = {}
        self._by_label: dict[int, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._evacuated: frozenset[str] = frozenset()
        #: Evacuated failure domain that is served all the same; empty for none.
        self._exempt = ""
        #: Runs whose end was learned since somebody asked last.
        self._newly_ended: list[Backend] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def find(self, label: int) -> Backend | None:
        """Find the run that a label names.

        Parameters
        ----------
        label : int
            As a packet carries it.

        Returns
        -------
        Backend or None
            None if no such run was ever told of.
        """
        return self._by_label.get(label)

    def of_service(self, service: str) -> list[Backend]:
        """List a service's runs that have not ended.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list of Backend
            Also those that get no new work.
        """
        return self._by_service.get(service, [])

    def take(self, run: BackendRun) -> None:
        """Take what a control instance says of a run.

        Runs of an id and their states only go forward, so it does not matter in which
        order two control instances are heard.

        Parameters
        ----------
        run : BackendRun
            Its state.
        """
        backend = self._by_id.get(run.id)
        if backend is None and not run.service:
            # Its end is all that is known; it can't be given work.
            return
        if backend is not None and run.started_ms < backend.started_ms:
            return
        if backend is None:
            backend = self._add(run)
        elif run.started_ms > backend.started_ms:
            backend = self._replace(backend, run)
        self._refresh(backend, run)

    def _refresh(self, backend: Backend, run: BackendRun) -> None:
        if run.sequence > backend.sequence:
            backend.slots = max(1, run.slots)
            backend.sequence = run.sequence
            backend.warm_s = self._now_s() + run.warm_up_ms / 1000
        backend.told_s = self._now_s()
        if run.draining and not backend.draining:
            backend.draining = True
            self._log_change(backend, Event.RUN_DRAINING)
        if run.ended and not backend.ended:
            self._end(backend)
            self._newly_ended.append(backend)

    def take_evacuations(self, failure_domains: frozenset[str]) -> None:
        """Take the failure domains whose runs get no new flows.

        Open flows go on to their end: their callers would lose what is under way.

        Parameters
        ----------
        failure_domains : frozenset of str
            All of them.
        """
        log.info(Event.EVACUATIONS_IN_FORCE, domains=sorted(failure_domains))
        readmitted = self._evacuated - failure_domains
        self._evacuated = failure_domains
        known_cold_s = self._now_s() + self._readmitted_cold_s
        for backend in self._by_id.values():
            backend.evacuated = self._is_evacuated(backend)
            if backend.failure_domain in readmitted:
                backend.warm_s = max(backend.warm_s, known_cold_s)

    def exempt(self, failure_domain: str) -> None:
        """Give a failure domain's runs new flows though it is evacuated.

        Parameters
        ----------
        failure_domain : str
            Its name; empty for none.
        """
        if failure_domain == self._exempt:
            return
        if self._evacuated & {failure_domain, self._exempt}:
            log.info(Event.EVACUATION_EXEMPT, domain=failure_domain)
        self._exempt = failure_domain
        for backend in self._by_id.values():
            backend.evacuated = self._is_evacuated(backend)

    def is_answered_outside(self, failure_domain: str, since_s: float) -> bool:
        """Tell whether callers hear from any run of the other failure domains.

        Parameters
        ----------
        failure_domain : str
            Whose runs do not count.
        since_s : float
            Since when.

        Returns
        -------
        bool
            Whether one has answered since.
        """
        return any(
            backend.answered_s > since_s
            for backend in self._by_id.values()
            if backend.failure_domain != failure_domain
        )

    def _is_evacuated(self, backend: Backend) -> bool:
        domain = backend.failure_domain
        return domain in self._evacuated and domain != self._exempt

    def take_newly_ended(self) -> list[Backend]:
        """Hand out the runs whose end was learned since the last call.

        Returns
        -------
        list of Backend
            Without those that a later run of their id has replaced: it may hold flows
            that were placed on them.
        """
        ended, self._newly_ended = self._newly_ended, []
        return ended

    def _add(self, run: BackendRun) -> Backend:
        backend = Backend(run, self._policies)
        backend.evacuated = self._is_evacuated(backend)
        self._by_id[run.id] = backend
        holder = self._by_label.get(backend.label)
        if holder is not None and not holder.ended:
            # The same one of the two must give way on every instance.
            loser = max(holder, backend, key=lambda one: one.id)
            loser.shares_label = True
            log.error(Event.LABEL_SHARED, kept=holder.id, other=backend.id)
            if loser is holder:
                self._by_label[backend.label] = backend
        else:
            self._by_label[backend.label] = backend
        self._by_service.setdefault(backend.service, []).append(backend)
        self._log_change(backend, Event.RUN_KNOWN)
        return backend

    def _replace(self, earlier: Backend, run: BackendRun) -> Backend:
        """Take a later run of an id in place of the earlier one.

        The earlier run's flows and counts are gone with it. Its label leads to the
        later run: an instance that did not know of it yet has placed flows on it under
        the earlier label, and those must not be reset. Of flows that it does not hold,
        the backend server tells their callers itself.
        """
        if not earlier.ended:
            self._end(earlier)
        if not run.service:
            # Only its end is known: nothing is left under this id.
            earlier.started_ms = run.started_ms
            return earlier
        labels = [*earlier.earlier_labels, earlier.label]
        self._drop_labels(earlier, labels)
        backend = self._add(run)
        backend.earlier_labels = labels[-_MOST_EARLIER_LABELS:]
        for label in backend.earlier_labels:
            self._by_label.setdefault(label, backend)
        return backend

    def _drop_labels(self, backend: Backend, labels: Iterable[int]) -> None:
        for label in labels:
            if self._by_label.get(label) is backend:
                del self._by_label[label]

    def _end(self, backend: Backend) -> None:
        backend.ended = True
        backend.ended_s = self._now_s()
        self._by_service[backend.service].remove(backend)
        self._log_change(backend, Event.BACKEND_ENDED)

    def _log_change(self, backend: Backend, event: Event) -> None:
        self._counters[event.replace(" ", "_")] += 1
        log.info(
            event,
            run=backend.id,
            started_ms=backend.started_ms,
            service=backend.service,
            sequence=backend.sequence,
        )

    def judge(self, is_reporting: Callable[[str, int], bool]) -> None:
        """Note which runs control instances hold for alive; forget long ended ones.

        Parameters
        ----------
        is_reporting : callable
            Tells it of a run's id and start time.
        """
        oldest_s = self._now_s() - _ENDED_KEPT_S
        for backend in list(self._by_id.values()):
            if backend.ended:
                if backend.ended_s < oldest_s:
                    self._forget(backend)
                continue
            reporting = is_reporting(backend.id, backend.started_ms)
            if reporting != backend.reporting:
                backend.reporting = reporting
                backend.silent_since_s = self._now_s()
                event = Event.RUN_REPORTING if reporting else Event.RUN_SILENT
                self._log_change(backend, event)

    def _forget(self, backend: Backend) -> None:
        del self._by_id[backend.id]
        self._drop_labels(backend, (backend.label, *backend.earlier_labels))

    def dump(self) -> list[dict[str, object]]:
        """List the runs for a state dump.

        Returns
        -------
        list of dict
            Ready for JSON.
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
            for backend in self._by_id.values()
        ]
