"""Decides whether a run seems unreachable, so that its open flows may be reset.

Handles a backend server with many long flows that crashes or is cut off. After a reset
a caller retries its request on another flow at once, instead of waiting for its
timeout. A reset while the run can still answer breaks a flow, and an instance sees no
answers, only acknowledgements that pass through it. So a run that is silent while
others answer is only suspected, and its flows stay unless connections to it fail too,
see `_liveness`.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from agatethread.datapath._backend import Backend
from agatethread.datapath._evidence import UnreachableVerdict
from agatethread.datapath._flows import Flow
from agatethread.settings import DEFAULT_POLICIES, Policies

#: A single flow may have lost its packets on the caller's path.
_MIN_WAITING_FLOWS = 3
#: Time without answers after which a run is unreachable. A full run refuses within
#: milliseconds; one whose queue is full of the longest requests answers some caller
#: each 0.14 s.
_MIN_SILENCE_S = 0.8
#: Silence after which a run is probed: longer than callers take to retransmit, and
#: short enough for two probes within the time after which it may be unreachable.
_PROBE_AFTER_S = 0.2
#: Chance of a probe at each check, ten times a second, by an instance where no flow
#: waits for the run.
_IDLE_PROBE_CHANCE = 0.3
#: With strong evidence from several instances, this multiple of the usual answer time
#: is enough; at least `_MIN_SILENCE_STRONG_S`, and at most `_MIN_SILENCE_S`.
_USUAL_ANSWER_FACTOR = 10.0
#: A run that slows down to half a second keeps its flows.
_MIN_SILENCE_STRONG_S = 0.6
#: Waiting flows and instances that count as strong evidence.
_STRONG_WAITING_FLOWS = 4
_STRONG_OBSERVERS = 3
#: Time from the first retransmission of a request to an ended run until its flow may
#: be reset: the second one follows after 0.4 s.
_MIN_REPEATED_S = 0.3
#: Age up to which an answer of another run shows that callers reach this instance, and
#: this instance reaches runs.
_RECENT_ANSWER_S = 0.5
#: Required if fewer than `_MIN_WAITING_FLOWS` flows wait at this instance, as the fault
#: may be in a single instance.
_MIN_OBSERVERS = 2
#: Required if no flow waits at this instance, as a run that is cut off from one failure
#: domain may be reachable from others.
_MIN_DOMAINS = 2


@dataclass(frozen=True, slots=True)
class PooledSighting:
    """Combined sightings of a run from all entry instances.

    Attributes
    ----------
    waiting : int
        Open flows that wait for the run.
    silent_s : float
        Longest wait at any instance, but at most the time since the last answer that
        an instance reported.
    observers : int
        Instances with waiting flows.
    domains : int
        Failure domains of these instances.
    """

    waiting: int = 0
    silent_s: float = 0.0
    observers: int = 0
    domains: int = 0


NO_POOLED_SIGHTING = PooledSighting()


def is_lost_at_ended_run(flow: Flow, now_s: float, running_since_s: float) -> bool:
    """Return whether a request will not be answered, as its run has ended.

    That the end was told of shows nothing: a run reports its end while it still serves
    its flows, and a control instance may conclude an end wrongly. So the flow goes on
    until its own request was sent again twice, and since the first time the run has
    answered no other caller, and connections to its address have failed or another run
    uses it.

    Parameters
    ----------
    flow : Flow
        Flow of a run that has ended, with its latest packet recorded.
    now_s : float
        Current time.
    running_since_s : float
        Time since which this process has not been suspended.

    Returns
    -------
    bool
        Whether its caller should retry the request on another flow.
    """
    backend, since_s = flow.backend, flow.repeated_since_s
    if since_s is None or now_s - since_s < _MIN_REPEATED_S:
        return False
    if since_s < running_since_s or backend.last_answer_s >= since_s:
        return False
    return backend.is_address_taken or backend.probes.failed_s >= since_s


def should_reset_flow(is_busy: bool, is_idempotent: bool) -> bool:
    """Return whether an open flow of an unreachable run is reset.

    Handles long flows with pauses between requests: after a reset during the pause the
    next request goes to another run instead of being lost.

    Parameters
    ----------
    is_busy : bool
        Whether a request waits for its answer.
    is_idempotent : bool
        Whether callers may retry the request.

    Returns
    -------
    bool
        Whether to reset the flow.
    """
    return is_idempotent or not is_busy


def detect_unreachable(
    backend: Backend,
    runs: Iterable[Backend],
    now_s: float,
    running_since_s: float,
    pooled: PooledSighting = NO_POOLED_SIGHTING,
    policies: Policies = DEFAULT_POLICIES,
) -> UnreachableVerdict | None:
    """Return the evidence that a run is silent while others of its service answer.

    Clears the waiting flows of the run if they may wait because this process was
    suspended.

    Parameters
    ----------
    backend : Backend
        The run.
    runs : iterable of Backend
        All runs of its service.
    now_s : float
        Current time.
    running_since_s : float
        Time since which this process has not been suspended.
    pooled : PooledSighting, optional
        Combined sightings of the run, with those of this instance.
    policies : Policies, optional
        Sets the required silence.

    Returns
    -------
    UnreachableVerdict or None
        None if there is too little evidence.
    """
    if backend.waiting and backend.waiting_since_s < running_since_s:
        # The suspension of this process may have caused the delay.
        backend.waiting.clear()
        return None
    silent_s = _observed_silence_s(backend, now_s, pooled)
    required_s = _required_silence_s(backend, pooled, policies)
    # Silence that began before the last suspension does not count.
    if silent_s < required_s or now_s - running_since_s < silent_s:
        return None
    answering = _find_recently_answering(backend, runs, now_s)
    if answering is None:
        return None
    return UnreachableVerdict(
        at_s=now_s,
        silent_s=round(silent_s, 3),
        flows_waiting=len(backend.waiting),
        answered_by=answering.id,
        waiting_everywhere=pooled.waiting,
        observers=pooled.observers,
    )


def should_probe(
    backend: Backend,
    now_s: float,
    pooled: PooledSighting,
    draw: Callable[[], float] = random.random,
) -> bool:
    """Return whether to find out by a connection if a silent run is alive.

    Parameters
    ----------
    backend : Backend
        The run.
    now_s : float
        Current time.
    pooled : PooledSighting
        Combined sightings of the run, with those of this instance.
    draw : callable, optional
        Returns a number from 0 to 1.

    Returns
    -------
    bool
        Whether enough flows wait for it, for some time, or it is marked as unreachable,
        unless it was probed just before. If no flow waits here, by chance, as many
        other instances see the same and tell if the run accepts.
    """
    if backend.ended or now_s < backend.probes.not_before_s:
        return False
    if backend.is_marked_unreachable(now_s):
        return True
    if _observed_silence_s(backend, now_s, pooled) < _PROBE_AFTER_S:
        return False
    return bool(backend.waiting) or draw() < _IDLE_PROBE_CHANCE


def _required_silence_s(
    backend: Backend, pooled: PooledSighting, policies: Policies
) -> float:
    """Return the silence after which a run is unreachable."""
    is_strong = (
        pooled.waiting >= _STRONG_WAITING_FLOWS
        and pooled.observers >= _STRONG_OBSERVERS
    )
    if not (policies.judges_by_answer_time and is_strong and backend.usual_answer_s):
        return _MIN_SILENCE_S
    usual_s = _USUAL_ANSWER_FACTOR * backend.usual_answer_s
    return min(max(usual_s, _MIN_SILENCE_STRONG_S), _MIN_SILENCE_S)


def _observed_silence_s(
    backend: Backend, now_s: float, pooled: PooledSighting
) -> float:
    """Return the silence of a run, or 0 if there is too little evidence."""
    own_s = now_s - backend.waiting_since_s if backend.waiting else 0.0
    if len(backend.waiting) >= _MIN_WAITING_FLOWS:
        return own_s
    if pooled.waiting < _MIN_WAITING_FLOWS or pooled.observers < _MIN_OBSERVERS:
        return 0.0
    if not backend.waiting and pooled.domains < _MIN_DOMAINS:
        return 0.0
    silent_s = max(own_s, pooled.silent_s)
    # An answer seen here within that time takes precedence over sightings of others.
    return silent_s if now_s - backend.last_answer_s >= silent_s else 0.0


def _find_recently_answering(
    backend: Backend, runs: Iterable[Backend], now_s: float
) -> Backend | None:
    oldest_s = max(now_s - _RECENT_ANSWER_S, backend.waiting_since_s)
    for other in runs:
        if other is not backend and other.last_answer_s > oldest_s:
            return other
    return None
