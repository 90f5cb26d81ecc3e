"""State of one run of a backend server at an entry instance."""

from agatethread.datapath._packets import FlowKey
from agatethread.observability import Event, make_logger
from agatethread.registry import derive_label
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire import unpack_address
from agatethread.wire.registry_pb2 import BackendRun

#: Consecutive unanswered openings; a single one may be a lost packet or a full queue.
_FAILURES_BEFORE_PENALTY = 2
#: Covers a few copies of an opening, which callers send 200 ms apart.
_INITIAL_PENALTY_S = 0.5
#: Longer than the 200 ms after which a caller sends the next copy of an opening.
_TRIAL_TIMEOUT_S = 0.3

#: Weight of the newest answer in the moving average of the answer time.
_ANSWER_TIME_WEIGHT = 0.1
#: Time after the last unanswered packet for which flows may be reset. Longer than the
#: 1.6 s within which callers send again.
_UNREACHABLE_VALID_S = 2.0
_MAX_WAITING_FLOWS = 64

log = make_logger("backends")


class Backend:
    """One run of a backend server, with the counts of this instance.

    Parameters
    ----------
    run : BackendRun
        First known state of the run.
    policies : Policies, optional
        Sets the longest time for which new flows avoid the run.
    """

    __slots__ = (
        "address",
        "last_answer_s",
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
        "reporting_changed_s",
        "slots",
        "started_ms",
        "updated_s",
        "last_unanswered_s",
        "unreachable",
        "usual_answer_s",
        "waiting",
        "waiting_since_s",
        "warm_s",
        "weight_valid_until_s",
        "weight",
    )

    def __init__(self, run: BackendRun, policies: Policies = DEFAULT_POLICIES):
        self.longest_avoidance_s = policies.longest_avoidance_s
        self.id = run.id
        self.number = run.number
        self.started_ms = run.started_ms
        self.label = derive_label(run.number, run.started_ms)
        #: Labels of earlier runs with the same id, latest last.
        self.earlier_labels: list[int] = []
        self.service = run.service
        self.address = unpack_address(run.address)
        self.failure_domain = run.failure_domain
        self.slots = max(1, run.slots)
        self.sequence = 0
        #: Time of the last update from a control instance.
        self.updated_s = 0.0
        self.draining = False
        self.ended = False
        self.ended_s = 0.0
        #: Whether the failure domain of the run is evacuated.
        self.evacuated = False
        #: Whether control instances receive its reports.
        self.reporting = True
        #: Time of the last change of `reporting`.
        self.reporting_changed_s = 0.0
        #: Whether another run that is used instead has the same label.
        self.shares_label = False
        #: Time at which it is warmed up after its start.
        self.warm_s = 0.0
        #: Share of its usual new work, 0 to 1, set by control instances, and the time
        #: at which it expires; see `usable_weight`.
        self.weight = 1.0
        self.weight_valid_until_s = 0.0
        #: Open flows and unanswered requests seen by this instance.
        self.flows = 0
        self.in_flight = 0
        #: Time of the last packet that showed an answer to a caller.
        self.last_answer_s = 0.0
        #: Moving average of the answer time; 0 before the first answer.
        self.usual_answer_s = 0.0
        self.failures = 0
        self.penalty_until_s = 0.0
        #: Open flows that wait for an answer since the last answer to any caller, and
        #: the time from which the first of them waits.
        self.waiting: set[FlowKey] = set()
        self.waiting_since_s = 0.0
        #: Whether it is considered unreachable, see `_reachability`.
        self.unreachable = False
        #: Time of the last packet that showed a missing answer.
        self.last_unanswered_s = 0.0

    def usable_weight(self, now_s: float) -> float:
        """Return the share of its usual new work that the run gets.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        float
            0 to 1; 1 if there is no current weight.
        """
        return self.weight if now_s < self.weight_valid_until_s else 1.0

    def is_marked_unreachable(self, now_s: float) -> bool:
        """Return whether the run is unreachable by recent evidence.

        A run is reachable again after a network cut. An instance with few flows may
        not try the run for seconds after that; by old evidence it would reset flows of
        a run that answers.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether open flows of the run may be reset.
        """
        return (
            self.unreachable and now_s - self.last_unanswered_s < _UNREACHABLE_VALID_S
        )

    def record_answer(self, now_s: float) -> None:
        """Record that the run answered a caller.

        Parameters
        ----------
        now_s : float
            Time of the answer.
        """
        self.last_answer_s = now_s
        self.failures = 0
        self.penalty_until_s = 0.0
        self.waiting.clear()
        if self.unreachable:
            self.unreachable = False
            log.info(Event.BACKEND_ANSWERS, run=self.id)

    def record_answer_time(self, took_s: float) -> None:
        """Record how long a caller waited for an answer.

        Parameters
        ----------
        took_s : float
            Time from the request.
        """
        previous_s = self.usual_answer_s or took_s
        self.usual_answer_s = previous_s + (took_s - previous_s) * _ANSWER_TIME_WEIGHT

    def add_waiting_flow(self, key: FlowKey, since_s: float) -> None:
        """Record that an open flow waits for an answer.

        Parameters
        ----------
        key : FlowKey
            The flow.
        since_s : float
            Time at which its packet was first forwarded.
        """
        if self.last_answer_s >= since_s:
            return
        if not self.waiting:
            self.waiting_since_s = since_s
        if len(self.waiting) < _MAX_WAITING_FLOWS:
            self.waiting.add(key)

    def record_failure(self, since_s: float, now_s: float) -> None:
        """Record a missing answer and avoid the run after several of them.

        Parameters
        ----------
        since_s : float
            Time at which the packet was forwarded.
        now_s : float
            Current time.
        """
        if self.last_answer_s >= since_s:
            # The run answers other callers, so the packet was lost or its queue full.
            return
        self.last_unanswered_s = now_s
        self.failures += 1
        excess_count = self.failures - _FAILURES_BEFORE_PENALTY
        if excess_count < 0:
            return
        pause_s = self._penalize(_INITIAL_PENALTY_S * 2 ** min(excess_count, 8), now_s)
        log.info(
            Event.BACKEND_AVOIDED,
            run=self.id,
            failures=self.failures,
            last_answer_ago_s=self._last_answer_ago_s(now_s),
            pause_s=pause_s,
        )

    def _penalize(self, pause_s: float, now_s: float) -> float:
        """Stop new flows for a pause and return its length after the limit."""
        pause_s = min(pause_s, self.longest_avoidance_s)
        self.penalty_until_s = now_s + pause_s
        return pause_s

    def _last_answer_ago_s(self, now_s: float) -> float | None:
        return round(now_s - self.last_answer_s, 3) if self.last_answer_s else None

    def mark_unreachable(self, now_s: float) -> None:
        """Mark the run as unreachable until it answers a caller.

        Until then it gets one new flow at a time.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        self.unreachable = True
        self.last_unanswered_s = now_s
        # The waiting flows are reset now, or wait for a late answer.
        self.waiting.clear()
        self.failures = max(self.failures, _FAILURES_BEFORE_PENALTY)
        if self.penalty_until_s < now_s + _INITIAL_PENALTY_S:
            self._penalize(_INITIAL_PENALTY_S, now_s)

    def start_trial(self, now_s: float) -> None:
        """Stop further openings to an avoided run while one opening tries it.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        if self.failures >= _FAILURES_BEFORE_PENALTY:
            self._penalize(_TRIAL_TIMEOUT_S, now_s)
