"""Backend servers as one entry instance knows them, and what it has seen of each."""

from collections.abc import Callable, Iterable

from xxhash import xxh32_intdigest

from agatethread.datapath._packets import FlowKey
from agatethread.observability import Counters, Event, make_logger
from agatethread.registry import START_NOT_TOLD
from agatethread.wire import unpack_address
from agatethread.wire.registry_pb2 import BackendRun

#: Openings without an answer, in a row, after which a backend server is avoided: one
#: may be a lost packet or a full queue.
_FAILURES_BEFORE_PENALTY = 2
#: The first pause is long enough for a few callers' second copies (200 ms apart) to
#: show whether it answers; the longest costs a server that is back little.
_FIRST_PENALTY_S = 0.5
_LONGEST_PENALTY_S = 4.0
#: Time given to the one opening that tries an avoided server again: a caller sends its
#: next copy after 200 ms.
_TRIAL_S = 0.3
#: How long an ended run is remembered here, so that its flows are reset and not left
#: waiting: the longest life of a flow.
_ENDED_KEPT_S = 60.0

#: Labels of earlier runs that lead to the newest run of an id. Flows live as long as
#: `_ENDED_KEPT_S`; a backend server that starts more often in that time serves none.
_MOST_EARLIER_LABELS = 8
#: Flows that wait, remembered for each run: a few are enough to judge it by.
_MOST_WAITING = 64

log = make_logger("backends")


def label_of(number: int, started_ms: int = START_NOT_TOLD) -> int:
    """Derive the label that packets carry from the number and start of a run.

    Every entry instance derives the same, so none has to remember labels given out.
    Each start has a label of its own: an instance that has not heard of a start yet
    would else take its flows for those of the run before, and reset them.

    Parameters
    ----------
    number : int
        64 bits that name the backend server.
    started_ms : int, optional
        When the run started.

    Returns
    -------
    int
        32 bits, never 0: a caller that knows no backend server sends 0.
    """
    data = number.to_bytes(8, "big")
    if started_ms != START_NOT_TOLD:
        data += started_ms.to_bytes(8, "big")
    return xxh32_intdigest(data) or 1


class Backend:
    """One run of a backend server, with this instance's own counts.

    Parameters
    ----------
    run : BackendRun
        What was told of it first.
    """

    __slots__ = (
        "address",
        "answered_s",
        "draining",
        "earlier_labels",
        "ended",
        "ended_s",
        "failure_domain",
        "failures",
        "flows",
        "id",
        "in_flight",
        "label",
        "number",
        "penalty_until_s",
        "reporting",
        "sequence",
        "service",
        "shares_label",
        "silent_since_s",
        "slots",
        "started_ms",
        "told_s",
        "unreachable",
        "waiting",
        "waits_since_s",
        "warm_s",
    )

    def __init__(self, run: BackendRun):
        self.id = run.id
        self.number = run.number
        self.started_ms = run.started_ms
        self.label = label_of(run.number, run.started_ms)
        #: Labels of earlier runs of its id, latest last.
        self.earlier_labels: list[int] = []
        self.service = run.service
        self.address = unpack_address(run.address)
        self.failure_domain = run.failure_domain
        self.slots = max(1, run.slots)
        self.sequence = 0
        #: When a control instance last told of a change.
        self.told_s = 0.0
        self.draining = False
        self.ended = False
        self.ended_s = 0.0
        #: Whether control instances hold it for alive.
        self.reporting = True
        #: When they stopped to.
        self.silent_since_s = 0.0
        #: Whether another run has the same label; then only one of them is used.
        self.shares_label = False
        #: When it stops being slow after its start.
        self.warm_s = 0.0
        #: Open flows and unanswered requests that this instance has seen.
        self.flows = 0
        self.in_flight = 0
        #: When a caller last showed that it had heard from this run.
        self.answered_s = 0.0
        self.failures = 0
        self.penalty_until_s = 0.0
        #: Open flows that wait for it, since it answered anybody, and since when.
        self.waiting: set[FlowKey] = set()
        self.waits_since_s = 0.0
        #: Whether it is held for gone, see `_silence`.
        self.unreachable = False

    def answer(self, now_s: float) -> None:
        """Note that a caller has heard from it.

        Parameters
        ----------
        now_s : float
            Time of it.
        """
        self.answered_s = now_s
        self.failures = 0
        self.penalty_until_s = 0.0
        self.waiting.clear()
        if self.unreachable:
            self.unreachable = False
            log.info(Event.BACKEND_ANSWERS, run=self.id)

    def wait(self, key: FlowKey, since_s: float) -> None:
        """Note that an open flow waits for an answer.

        Parameters
        ----------
        key : FlowKey
            The flow.
        since_s : float
            When its packet was first forwarded.
        """
        if self.answered_s >= since_s:
            return
        if not self.waiting:
            self.waits_since_s = since_s
        if len(self.waiting) < _MOST_WAITING:
            self.waiting.add(key)

    def fail(self, since_s: float, now_s: float) -> None:
        """Note that a caller waits for an answer to a packet.

        Parameters
        ----------
        since_s : float
            When the packet was forwarded.
        now_s : float
            Present time.
        """
        if self.answered_s >= since_s:
            # It answers others: the packet was lost, or its queue was full.
            return
        self.failures += 1
        beyond = self.failures - _FAILURES_BEFORE_PENALTY
        if beyond < 0:
            return
        pause_s = min(_FIRST_PENALTY_S * 2 ** min(beyond, 8), _LONGEST_PENALTY_S)
        self.penalty_until_s = now_s + pause_s
        log.info(
            Event.BACKEND_AVOIDED,
            run=self.id,
            failures=self.failures,
            last_answer_ago_s=self._answered_ago_s(now_s),
            pause_s=pause_s,
        )

    def _answered_ago_s(self, now_s: float) -> float | None:
        return round(now_s - self.answered_s, 3) if self.answered_s else None

    def hold_for_gone(self, now_s: float) -> None:
        """Give it no new flows but one at a time, until it answers somebody.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        self.unreachable = True
        self.failures = max(self.failures, _FAILURES_BEFORE_PENALTY)
        self.penalty_until_s = max(self.penalty_until_s, now_s + _FIRST_PENALTY_S)

    def start_trial(self, now_s: float) -> None:
        """Let nobody else try it until this opening shows whether it answers.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        if self.failures >= _FAILURES_BEFORE_PENALTY:
            self.penalty_until_s = now_s + _TRIAL_S


class BackendView:
    """All runs by id, label and service.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts changes.
    """

    def __init__(self, now_s: Callable[[], float], counters: Counters):
        self._now_s = now_s
        self._counters = counters
        self._by_id: dict[str, Backend] = {}
        self._by_label: dict[int, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
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

    def live(self) -> list[Backend]:
        """List the runs that have not ended.

        Returns
        -------
        list of Backend
            Of all services.
        """
        return [one for runs in self._by_service.values() for one in runs]

    def _add(self, run: BackendRun) -> Backend:
        backend = Backend(run)
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
                "ended": backend.ended,
                "reporting": backend.reporting,
                "flows": backend.flows,
                "in_flight": backend.in_flight,
                "failures": backend.failures,
            }
            for backend in self._by_id.values()
        ]
