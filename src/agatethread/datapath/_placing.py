"""Chooses the backend servers of new flows.

Handles long flows with occasional requests next to flows of one request each. The
server of the lowest cost is chosen: its requests in progress divided by its slots. Idle
flows add little, and decide between servers of equal load.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from agatethread.datapath._backend import Backend
from agatethread.datapath._cold import NO_COLD_LIMITS, ColdLimits
from agatethread.routing import Target
from agatethread.settings import DEFAULT_POLICIES, Policies

#: Requests in progress that an idle open flow counts as: callers of long flows send a
#: request of some 20 ms about every two seconds.
_IDLE_FLOW_LOAD = 0.02


def choose_service(targets: Sequence[Target], draw: Callable[[], float]) -> str:
    """Return a service drawn by the weights of a route.

    Parameters
    ----------
    targets : sequence of Target
        At least one with a weight.
    draw : callable
        Returns a number from 0 to 1.

    Returns
    -------
    str
        The service.
    """
    if len(targets) == 1:
        return targets[0].service
    remaining = draw() * sum(target.weight for target in targets)
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    # Rounding may leave a remainder of 0 after the last target.
    return next(target.service for target in targets if target.weight > 0)


def accepts_new_flows(backend: Backend) -> bool:
    """Return whether a run accepts new flows.

    Parameters
    ----------
    backend : Backend
        The run.

    Returns
    -------
    bool
        Whether it reports, is neither draining, evacuated nor ended, and shares its
        label with no other run.
    """
    return backend.reporting and not _refuses_new_flows(backend)


def _refuses_new_flows(backend: Backend) -> bool:
    """Return whether a run receives no new flow, even without an alternative.

    An evacuated failure domain receives none also when no other is reachable, but for
    instances that are cut off with it, see `BackendView.set_exempt_domain`.
    """
    if backend.draining or backend.evacuated:
        return True
    return backend.ended or backend.is_label_taken


def may_be_alive(
    backend: Backend, now_s: float, policies: Policies = DEFAULT_POLICIES
) -> bool:
    """Return whether an unreachable run may be tried without an alternative.

    Only the control instances may have lost contact to it, or it may be reachable again
    before the caller's timeout.

    Parameters
    ----------
    backend : Backend
        The run.
    now_s : float
        Present time.
    policies : Policies, optional
        How long a run is tried after its reports stopped.

    Returns
    -------
    bool
        Whether its reports stopped recently, without notice of its end.
    """
    if _refuses_new_flows(backend):
        return False
    return now_s - backend.reporting_changed_s < policies.out_of_sight_s


def _cost(
    backend: Backend, failure_domain: str, now_s: float, policies: Policies
) -> float:
    """Return the requests for each slot, more for cold runs and other domains."""
    load = backend.in_flight + 1 + _IDLE_FLOW_LOAD * backend.flows
    if now_s < backend.warm_s:
        load *= policies.cold_factor
    load /= backend.slots
    if backend.failure_domain != failure_domain:
        load += policies.domain_preference_count / backend.slots
    return load


def is_skipped_by_weight(
    backend: Backend, now_s: float, draw: Callable[[], float] = random.random
) -> bool:
    """Return whether a run is skipped for an opening, by chance and its weight.

    Handles instances with few requests in progress, where a higher cost would leave a
    run without any flow. A random choice gives it the share of its weight from any
    number of instances.

    Parameters
    ----------
    backend : Backend
        The run.
    now_s : float
        Present time.
    draw : callable, optional
        Returns a number from 0 to 1.

    Returns
    -------
    bool
        Always False with the full weight.
    """
    weight = backend.usable_weight(now_s)
    return weight < 1.0 and draw() >= weight


def _choose_least_loaded(
    candidates: Iterable[Backend],
    load_of: Callable[[Backend], float],
    now_s: float,
    tried: Sequence[Backend],
) -> Backend | None:
    """Return the least loaded run, a random one of equal loads.

    Runs that did not answer this flow rank last; before them rank the runs that are
    avoided because of a penalty, or skipped because of their weight.
    """
    least_loaded, least_cost = None, (True, True, 0.0, 0.0)
    for backend in candidates:
        cost = (
            backend in tried,
            now_s < backend.penalty_until_s or is_skipped_by_weight(backend, now_s),
            load_of(backend),
            random.random(),
        )
        if least_loaded is None or cost < least_cost:
            least_loaded, least_cost = backend, cost
    return least_loaded


def choose_backend(
    backends: Iterable[Backend],
    failure_domain: str,
    now_s: float,
    tried: Sequence[Backend] = (),
    is_candidate: Callable[[Backend], bool] = accepts_new_flows,
    policies: Policies = DEFAULT_POLICIES,
) -> Backend | None:
    """Return the least loaded run, of the own failure domain if loads are alike.

    Parameters
    ----------
    backends : iterable of Backend
        The service's runs.
    failure_domain : str
        Of this instance.
    now_s : float
        Present time.
    tried : sequence of Backend, optional
        Runs that have not answered this flow; chosen only without an alternative.
    is_candidate : callable, optional
        Returns whether a run is a candidate.
    policies : Policies, optional
        Cost of cold runs and of other failure domains.

    Returns
    -------
    Backend or None
        None when no run is a candidate.
    """
    return _choose_least_loaded(
        filter(is_candidate, backends),
        lambda backend: _cost(backend, failure_domain, now_s, policies),
        now_s,
        tried,
    )


def max_places(backend: Backend) -> int:
    """Return the number of openings and requests that a run may have in progress.

    Handles full load, when urgent openings must not queue at a server. Each slot has
    several places, so that it does not idle while packets and reports of finished
    requests are in transit, and two more absorb random arrivals.

    Parameters
    ----------
    backend : Backend
        The run.

    Returns
    -------
    int
        More than its slots, and less than a server accepts before it sheds requests.
    """
    return 3 * backend.slots + 2


def choose_backend_with_place(
    backends: Iterable[Backend],
    in_progress: Mapping[Backend, int],
    now_s: float,
    tried: Sequence[Backend] = (),
    policies: Policies = DEFAULT_POLICIES,
) -> Backend | None:
    """Return the run with a free place that has the least work for its slots.

    Used by the dispatcher of the runs, which counts all their work.

    Parameters
    ----------
    backends : iterable of Backend
        Runs that accept new flows.
    in_progress : mapping of Backend to int
        Openings and requests of each run; runs without any may be missing.
    now_s : float
        Present time.
    tried : sequence of Backend, optional
        Runs that have not answered this flow; chosen only without an alternative.
    policies : Policies, optional
        Cost factor of cold runs.

    Returns
    -------
    Backend or None
        None if no run has a free place.
    """

    def load_of(backend: Backend) -> float:
        factor = policies.cold_factor if now_s < backend.warm_s else 1.0
        return factor * (in_progress.get(backend, 0) + 1) / backend.slots

    with_room = (
        backend
        for backend in backends
        if in_progress.get(backend, 0) < max_places(backend)
    )
    return _choose_least_loaded(with_room, load_of, now_s, tried)


def place_flow(
    services: Sequence[str],
    runs_of: Callable[[str], Iterable[Backend]],
    failure_domain: str,
    now_s: float,
    tried: Sequence[Backend] = (),
    policies: Policies = DEFAULT_POLICIES,
    cold: ColdLimits = NO_COLD_LIMITS,
) -> Backend | None:
    """Return the run of a new flow among all services that may receive it.

    Places nothing itself. Handles a failure domain that is cut off, without a reachable
    run of the chosen service: another service of the route, or a run that may become
    reachable while the caller waits, is better than a refusal.

    Parameters
    ----------
    services : sequence of str
        Services of the route, the chosen one first.
    runs_of : callable
        Returns a service's runs.
    failure_domain : str
        Of this instance.
    now_s : float
        Present time.
    tried : sequence of Backend, optional
        Runs that have not answered this flow.
    policies : Policies, optional
        Whether other services and unreachable runs may be used.
    cold : ColdLimits, optional
        Limits of cold runs.

    Returns
    -------
    Backend or None
        None if no run may receive it.
    """
    if not policies.uses_other_services:
        services = services[:1]

    def is_warm(backend: Backend) -> bool:
        return accepts_new_flows(backend) and not cold.is_limited(backend, now_s)

    def is_within_cold_limit(backend: Backend) -> bool:
        return accepts_new_flows(backend) and cold.allows_flow(backend, now_s)

    def is_possibly_alive(backend: Backend) -> bool:
        is_alive = may_be_alive(backend, now_s, policies)
        return is_alive and not cold.is_limited(backend, now_s)

    for is_candidate in (is_warm, is_within_cold_limit, is_possibly_alive):
        for service in services:
            backend = choose_backend(
                runs_of(service), failure_domain, now_s, tried, is_candidate, policies
            )
            if backend is not None:
                return backend
    return None


def order_services(targets: Sequence[Target], first: str) -> tuple[str, ...]:
    """Return the services that a route's new flows may use.

    Parameters
    ----------
    targets : sequence of Target
        The route's services and weights.
    first : str
        The chosen service.

    Returns
    -------
    tuple of str
        The chosen service, then the others with a weight, the heaviest first.
    """
    ranked = sorted(targets, key=lambda target: -target.weight)
    others = [target.service for target in ranked if target.weight > 0]
    return tuple(dict.fromkeys((first, *others)))
