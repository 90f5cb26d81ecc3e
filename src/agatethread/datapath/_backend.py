"""State of one run of a backend server at an entry instance."""

from agatethread.datapath._evidence import ProbeOutcome, UnreachableVerdict
from agatethread.datapath._packets import FlowKey
from agatethread.datapath._probe_record import ProbeRecord
from agatethread.observability import Event, make_logger
from agatethread.registry import derive_label
from agatethread.settings import DEFAULT_POLICIES, Policies
from agatethread.wire import unpack_address
from agatethread.wire.registry_pb2 import (
    RUN_END_ADDRESS_TAKEN,
    RUN_END_REPLACED,
    RUN_END_UNKNOWN,
    BackendRun,
    RunEnd,
)

#: Consecutive missing answers to openings or requests from which a run is avoided. A
#: single one may be due to a lost packet or a full queue.
_AVOIDANCE_MIN_FAILURES = 2
#: Longer than the 200 ms after which a caller sends the first copy of an opening.
_INITIAL_AVOIDANCE_S = 0.5
#: Time between two openings to an avoided run. Longer than the 200 ms after which a
#: caller sends the first copy of an opening.
_TRIAL_INTERVAL_S = 0.3

#: Weight of the newest answer in the moving average of the answer time.
_ANSWER_TIME_WEIGHT = 0.1
#: Time after the last evidence of a missing answer for which flows may be reset.
#: Longer than the 1.6 s within which callers retransmit a packet, and shorter than the
#: 4 s after which the end of a cut no longer excuses a reset.
_UNREACHABLE_VALID_S = 2.0
_MAX_WAITING_FLOWS = 64

log = make_logger("backends")


class Backend:
    """One run of a backend server, as seen by this instance.

    A run lasts from one start of the backend server to its end. Variables named
    `backend` hold a run.

    Parameters
    ----------
    run : BackendRun
        First known state of the run.
    policies : Policies, optional
        Sets the longest time for which the run is avoided, i.e. gets no new flows if
        another run can take them.
    """

    __slots__ = (
        "address",
        "last_answer_s",
        "draining",
        "earlier_labels",
        "ended",
        "ended_s",
        "end",
        "end_source",
        "evacuated",
        "failure_domain",
        "failures",
        "flows",
        "has_successor",
        "id",
        "in_flight",
        "label",
        "label_retaken_s",
        "_max_avoidance_s",
        "number",
        "penalty_until_s",
        "probes",
        "report_age_s",
        "reporting",
        "restored",
        "sequence",
        "service",
        "is_label_taken",
        "reporting_changed_s",
        "slots",
        "started_ms",
        "source",
        "updated_s",
        "last_unanswered_s",
        "unreachable",
        "usual_answer_s",
        "verdict",
        "waiting",
        "waiting_since_s",
        "warm_s",
        "weight_valid_until_s",
        "weight",
    )

    def __init__(self, run: BackendRun, policies: Policies = DEFAULT_POLICIES):
        self._max_avoidance_s = policies.longest_avoidance_s
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
        #: Time of the last update from a control instance, and its packed address.
        self.updated_s = 0.0
        self.source = b""
        #: Age of the newest report at that control instance, and whether it knew the
        #: run from its disk only.
        self.report_age_s = 0.0
        self.restored = False
        self.draining = False
        self.ended = False
        self.ended_s = 0.0
        #: How the end is known, and the packed address of the control instance that
        #: told of it.
        self.end = RUN_END_UNKNOWN
        self.end_source = b""
        #: Whether a run that became known after its end has its address.
        self.has_successor = False
        #: Whether the failure domain of the run is evacuated.
        self.evacuated = False
        #: Whether control instances receive its reports; assumed until they say no.
        self.reporting = True
        #: Time of the last change of `reporting`.
        self.reporting_changed_s = 0.0
        #: Whether the run gets no flows because another run has the same label.
        self.is_label_taken = False
        #: Time at which it got a label back that had been taken.
        self.label_retaken_s = 0.0
        #: Time until which the run counts as cold.
        self.warm_s = 0.0
        #: Factor on its share of new flows, 0 to 1, set by control instances.
        self.weight = 1.0
        #: Time at which `weight` expires.
        self.weight_valid_until_s = 0.0
        #: Flows recorded by this instance.
        self.flows = 0
        #: Recorded flows with an opening or a request in progress.
        self.in_flight = 0
        #: Time of the last packet that showed an answer to a caller.
        self.last_answer_s = 0.0
        #: Moving average of the answer time; 0 before the first answer.
        self.usual_answer_s = 0.0
        #: Consecutive missing answers.
        self.failures = 0
        #: Time until which the run is avoided.
        self.penalty_until_s = 0.0
        #: Flows with a retransmitted request since the last answer to any caller.
        self.waiting: set[FlowKey] = set()
        #: Time from which the flow that was added first to `waiting` waits.
        self.waiting_since_s = 0.0
        #: Whether it was found unreachable and has not answered since; see
        #: `is_marked_unreachable` and `_reachability`.
        self.unreachable = False
        #: Time of the last evidence of a missing answer.
        self.last_unanswered_s = 0.0
        #: Connections to it.
        self.probes = ProbeRecord()
        #: Evidence of the last time that the run was found unreachable.
        self.verdict: UnreachableVerdict | None = None

    @property
    def is_address_taken(self) -> bool:
        """Whether another run reports from its address: a connection shows nothing."""
        if self.has_successor:
            return True
        return self.end in (RUN_END_REPLACED, RUN_END_ADDRESS_TAKEN)

    def usable_weight(self, now_s: float) -> float:
        """Return the current factor on the run's share of new flows.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        float
            0 to 1; 1 if there is no weight or it has expired.
        """
        return self.weight if now_s < self.weight_valid_until_s else 1.0

    def is_marked_unreachable(self, now_s: float) -> bool:
        """Return whether the run is unreachable by recent evidence.

        After a network cut ends, an instance with few flows may send the run nothing
        for seconds, so its mark stays. With old evidence it would reset flows of a run
        that answers again.

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
        if self.ended and self.last_answer_s <= self.ended_s < now_s:
            self._log_answer_after_end(now_s)
        self.last_answer_s = now_s
        self.failures = 0
        self.penalty_until_s = 0.0
        self.waiting.clear()
        if self.unreachable:
            log.info(Event.BACKEND_ANSWERS, run=self.id)
        self.unreachable = False
        self.probes.clear_failures()

    def _log_answer_after_end(self, now_s: float) -> None:
        log.info(
            Event.BACKEND_ANSWERS_AFTER_END,
            run=self.id,
            end=RunEnd.Name(self.end),
            ended_ago_s=round(now_s - self.ended_s, 3),
        )

    def record_probe(self, outcome: ProbeOutcome, started_s: float) -> None:
        """Record the outcome of a connection to the run.

        An accepted one shows that the run is alive, so that its flows stay. A refused
        one shows nothing while it drains: it may have stopped listening, and serve.

        Parameters
        ----------
        outcome : ProbeOutcome
            The outcome.
        started_s : float
            Time at which the connection was begun.
        """
        is_draining = self.draining and not self.ended
        if is_draining and outcome is ProbeOutcome.REFUSED:
            outcome = ProbeOutcome.INCONCLUSIVE
        self.probes.record(outcome, started_s)
        if outcome is ProbeOutcome.ACCEPTED:
            self.unreachable = False

    @property
    def last_reply_s(self) -> float:
        """Time of the last answer or accepted connection seen here; 0 for none."""
        return max(self.last_answer_s, self.probes.accepted_s)

    def record_answer_time(self, took_s: float) -> None:
        """Record how long a caller waited for an answer.

        Parameters
        ----------
        took_s : float
            Time from the request to the packet that acknowledges its answer.
        """
        previous_s = self.usual_answer_s or took_s
        self.usual_answer_s = previous_s + (took_s - previous_s) * _ANSWER_TIME_WEIGHT

    def add_waiting_flow(self, key: FlowKey, since_s: float) -> None:
        """Record that the answer to a request on an open flow is missing.

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
        """Record a missing answer; from the second one in a row, avoid the run.

        Parameters
        ----------
        since_s : float
            Time at which the packet was forwarded.
        now_s : float
            Current time.
        """
        if self.last_answer_s >= since_s:
            # The run answers other callers, so the packet was lost, maybe at a full
            # queue of the run.
            return
        if self.ended:
            # It gets no new flows anyway.
            return
        self.last_unanswered_s = now_s
        self.failures += 1
        excess_count = self.failures - _AVOIDANCE_MIN_FAILURES
        if excess_count < 0:
            return
        pause_s = self._avoid(_INITIAL_AVOIDANCE_S * 2 ** min(excess_count, 8), now_s)
        log.info(
            Event.BACKEND_AVOIDED,
            run=self.id,
            failures=self.failures,
            last_answer_ago_s=self._last_answer_ago_s(now_s),
            pause_s=pause_s,
        )

    def _avoid(self, pause_s: float, now_s: float) -> float:
        """Avoid the run for a limited pause, and return the pause."""
        pause_s = min(pause_s, self._max_avoidance_s)
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
        # The caller of this method resets these flows, except for requests that can't
        # be retried.
        self.waiting.clear()
        self.failures = max(self.failures, _AVOIDANCE_MIN_FAILURES)
        if self.penalty_until_s < now_s + _INITIAL_AVOIDANCE_S:
            self._avoid(_INITIAL_AVOIDANCE_S, now_s)

    def start_trial(self, now_s: float) -> None:
        """Avoid the run while the opening that was just placed on it may be answered.

        Does nothing if the run has not been avoided since its last answer.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        if self.failures >= _AVOIDANCE_MIN_FAILURES:
            self._avoid(_TRIAL_INTERVAL_S, now_s)
