"""One run of a backend server, and what an entry instance has seen of it."""

from agatethread.datapath._packets import FlowKey
from agatethread.observability import Event, make_logger
from agatethread.registry import label_of
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire import unpack_address
from agatethread.wire.registry_pb2 import BackendRun

#: Openings without an answer, in a row, after which a backend server is avoided: one
#: may be a lost packet or a full queue.
_FAILURES_BEFORE_PENALTY = 2
#: The first pause is long enough for a few callers' second copies (200 ms apart) to
#: show whether it answers.
_FIRST_PENALTY_S = 0.5
#: Time given to the one opening that tries an avoided server again: a caller sends its
#: next copy after 200 ms.
_TRIAL_S = 0.3

#: Weight of the newest answer in the usual time: about the last ten count.
_ANSWER_WEIGHT = 0.1
#: How long a run that answers nobody is held for gone after the last sign of it:
#: callers send again within 1.6 s, and a flow counts as safe 4 s after a cut healed.
_FRESH_S = 2.0
#: Flows that wait, remembered for each run: a few are enough to judge it by.
_MOST_WAITING = 64

log = make_logger("backends")


class Backend:
    """One run of a backend server, with this instance's own counts.

    Parameters
    ----------
    run : BackendRun
        What was told of it first.
    policies : Policies, optional
        How long it is avoided at most.
    """

    __slots__ = (
        "address",
        "answered_s",
        "draining",
        "earlier_labels",
        "ended",
        "ended_s",
        "evacuated",
        "failure_domain",
        "failures",
        "flows",
        "id",
        "in_flight",
        "label",
        "longest_avoidance_s",
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
        "unanswered_s",
        "unreachable",
        "usual_answer_s",
        "waiting",
        "waits_since_s",
        "warm_s",
        "weighed_until_s",
        "weight",
    )

    def __init__(self, run: BackendRun, policies: Policies = DEFAULT_POLICIES):
        self.longest_avoidance_s = policies.longest_avoidance_s
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
        #: Whether operators have its failure domain evacuated.
        self.evacuated = False
        #: Whether control instances hold it for alive.
        self.reporting = True
        #: When they stopped to.
        self.silent_since_s = 0.0
        #: Whether another run has the same label; then only one of them is used.
        self.shares_label = False
        #: When it stops being slow after its start.
        self.warm_s = 0.0
        #: Share of its usual new work that control instances leave to it, 0 to 1, and
        #: until when that is believed; see `usable_weight`.
        self.weight = 1.0
        self.weighed_until_s = 0.0
        #: Open flows and unanswered requests that this instance has seen.
        self.flows = 0
        self.in_flight = 0
        #: When a caller last showed that it had heard from this run.
        self.answered_s = 0.0
        #: How long callers usually wait for it; 0 before the first answer.
        self.usual_answer_s = 0.0
        self.failures = 0
        self.penalty_until_s = 0.0
        #: Open flows that wait for it, since it answered anybody, and since when.
        self.waiting: set[FlowKey] = set()
        self.waits_since_s = 0.0
        #: Whether it is held for gone, see `_silence`.
        self.unreachable = False
        #: When a caller last showed that it did not hear from it.
        self.unanswered_s = 0.0

    def usable_weight(self, now_s: float) -> float:
        """Tell which share of its usual new work it gets.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        float
            0 to 1; 1 where nothing was told lately.
        """
        return self.weight if now_s < self.weighed_until_s else 1.0

    def is_gone(self, now_s: float) -> bool:
        """Tell whether it is held for gone on evidence that is fresh.

        A cut makes a run unreachable as an end does, and heals. An instance that gets
        few flows may not try the run for seconds after that, while its callers are
        served through others; a reset would then end a flow of a run that answers.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        bool
            Whether open flows may be ended for it.
        """
        return self.unreachable and now_s - self.unanswered_s < _FRESH_S

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

    def note_answer_time(self, took_s: float) -> None:
        """Note how long a caller waited for an answer.

        Parameters
        ----------
        took_s : float
            Time from the request.
        """
        before_s = self.usual_answer_s or took_s
        self.usual_answer_s = before_s + (took_s - before_s) * _ANSWER_WEIGHT

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
        self.unanswered_s = now_s
        self.failures += 1
        beyond = self.failures - _FAILURES_BEFORE_PENALTY
        if beyond < 0:
            return
        pause_s = self._avoid(_FIRST_PENALTY_S * 2 ** min(beyond, 8), now_s)
        log.info(
            Event.BACKEND_AVOIDED,
            run=self.id,
            failures=self.failures,
            last_answer_ago_s=self._answered_ago_s(now_s),
            pause_s=pause_s,
        )

    def _avoid(self, pause_s: float, now_s: float) -> float:
        """Give it no new flows for a pause; return how long it is in fact."""
        pause_s = min(pause_s, self.longest_avoidance_s)
        self.penalty_until_s = now_s + pause_s
        return pause_s

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
        self.unanswered_s = now_s
        # Their callers are told, or wait for an answer that may still come.
        self.waiting.clear()
        self.failures = max(self.failures, _FAILURES_BEFORE_PENALTY)
        if self.penalty_until_s < now_s + _FIRST_PENALTY_S:
            self._avoid(_FIRST_PENALTY_S, now_s)

    def start_trial(self, now_s: float) -> None:
        """Let nobody else try it until this opening shows whether it answers.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        if self.failures >= _FAILURES_BEFORE_PENALTY:
            self._avoid(_TRIAL_S, now_s)
