"""Backend servers as one entry instance knows them, and what it has seen of each."""

from collections.abc import Callable

from xxhash import xxh32_intdigest

from agatethread.datapath._packets import FlowKey
from agatethread.observability import Counters, Event, make_logger
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

#: Flows that wait, remembered for each run: a few are enough to judge it by.
_MOST_WAITING = 64

log = make_logger("backends")


def label_of(number: int) -> int:
    """Derive the label that packets carry from the number of a run.

    Every entry instance derives the same, so none has to remember labels given out.

    Parameters
    ----------
    number : int
        64 bits that name the run.

    Returns
    -------
    int
        32 bits, never 0: a caller that knows no backend server sends 0.
    """
    return xxh32_intdigest(number.to_bytes(8, "big")) or 1


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
        "slots",
        "told_s",
        "unreachable",
        "waiting",
        "waits_since_s",
        "warm_s",
    )

    def __init__(self, run: BackendRun):
        self.id = run.id
        self.number = run.number
        self.label = label_of(run.number)
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

        States only go forward, so it does not matter in which order two control
        instances are heard.

        Parameters
        ----------
        run : BackendRun
            Its state.
        """
        backend = self._by_id.get(run.id)
        if backend is None:
            if not run.service:
                # Its end is all that is known; it can't be given work.
                return
            backend = self._add(run)
        elif run.sequence > backend.sequence:
            backend.slots = max(1, run.slots)
        if run.sequence > backend.sequence:
            backend.sequence = run.sequence
            backend.warm_s = self._now_s() + run.warm_up_ms / 1000
        backend.told_s = self._now_s()
        if run.draining and not backend.draining:
            backend.draining = True
            self._log_change(backend, Event.RUN_DRAINING)
        if run.ended and not backend.ended:
            self._end(backend)

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
            service=backend.service,
            sequence=backend.sequence,
        )

    def judge(self, is_reporting: Callable[[str], bool]) -> None:
        """Note which runs control instances hold for alive; forget long ended ones.

        Parameters
        ----------
        is_reporting : callable
            Tells it of a run's id.
        """
        oldest_s = self._now_s() - _ENDED_KEPT_S
        for backend in list(self._by_id.values()):
            if backend.ended:
                if backend.ended_s < oldest_s:
                    self._forget(backend)
                continue
            reporting = is_reporting(backend.id)
            if reporting != backend.reporting:
                backend.reporting = reporting
                event = Event.RUN_REPORTING if reporting else Event.RUN_SILENT
                self._log_change(backend, event)

    def _forget(self, backend: Backend) -> None:
        del self._by_id[backend.id]
        if self._by_label.get(backend.label) is backend:
            del self._by_label[backend.label]

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
