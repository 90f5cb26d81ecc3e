"""Choose the backend server of a new flow.

The load that this answers: long flows with a request now and then, and flows of one
request each, on servers with two slots and a short queue. What counts is how many
requests a server works on at this moment; how many idle flows it holds matters little,
but is all that tells servers apart in a quiet second.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from agatethread.datapath._backend import Backend
from agatethread.datapath._cold import NO_COLD_LIMITS, ColdLimits
from agatethread.routing import Target
from agatethread.settings import DEFAULT_POLICIES, Policies

#: Share of a request that an open flow stands for: callers of long flows send one each
#: two seconds or so, which takes 22 ms.
_FLOW_LOAD = 0.02


def choose_service(targets: Sequence[Target], draw: Callable[[], float]) -> str:
    """Choose a service by the weights of a route.

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
    left = draw() * sum(target.weight for target in targets)
    for target in targets:
        left -= target.weight
        if left < 0:
            return target.service
    return next(target.service for target in targets if target.weight > 0)


def may_take_work(backend: Backend) -> bool:
    """Tell whether a run may be given a new flow at all.

    Parameters
    ----------
    backend : Backend
        The run.

    Returns
    -------
    bool
        Whether it reports, is not asked to be left alone, and its label is its own.
    """
    return backend.reporting and not _is_closed(backend)


def _is_closed(backend: Backend) -> bool:
    """Tell whether a run gets no new flow whoever is left.

    An evacuated failure domain stays empty also where nobody else is in sight, but for
    instances that are cut off with it, see `BackendView.exempt`.
    """
    if backend.draining or backend.evacuated:
        return True
    return backend.ended or backend.shares_label


def may_be_alive(
    backend: Backend, now_s: float, policies: Policies = DEFAULT_POLICIES
) -> bool:
    """Tell whether a run that is out of sight may be tried where no other is left.

    What no control instance in sight hears may be cut off from them alone, or be back
    before the caller's time is over; it is not known to be gone.

    Parameters
    ----------
    backend : Backend
        The run.
    now_s : float
        Present time.
    policies : Policies, optional
        For how long it is tried.

    Returns
    -------
    bool
        Whether it fell silent not long ago and had not said that it leaves.
    """
    if _is_closed(backend):
        return False
    return now_s - backend.silent_since_s < policies.out_of_sight_s


def _cost(
    backend: Backend, failure_domain: str, now_s: float, policies: Policies
) -> float:
    load = backend.in_flight + 1 + _FLOW_LOAD * backend.flows
    if now_s < backend.warm_s:
        load *= policies.cold_factor
    load /= backend.slots
    if backend.failure_domain != failure_domain:
        load += policies.domain_preference_count / backend.slots
    return load


def is_spared(
    backend: Backend, now_s: float, draw: Callable[[], float] = random.random
) -> bool:
    """Tell whether a run is left out of this opening, while another can take it.

    The load that this answers: an instance has less than one request in progress at a
    time, so a cost that is twice as high would take all work away from a run that is
    to get half. Left out by chance it gets the share that was told, from any number of
    instances.

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
        False always where it has all of its share.
    """
    weight = backend.usable_weight(now_s)
    return weight < 1.0 and draw() >= weight


def _take_least(
    candidates: Iterable[Backend],
    load_of: Callable[[Backend], float],
    now_s: float,
    tried: Sequence[Backend],
) -> Backend | None:
    """Take the least loaded run, by chance where loads are equal.

    One that did not answer this flow, is avoided or left out this time comes behind.
    """
    best, best_cost = None, (True, True, 0.0, 0.0)
    for backend in candidates:
        cost = (
            backend in tried,
            now_s < backend.penalty_until_s or is_spared(backend, now_s),
            load_of(backend),
            random.random(),
        )
        if best is None or cost < best_cost:
            best, best_cost = backend, cost
    return best


def choose_backend(
    backends: Iterable[Backend],
    failure_domain: str,
    now_s: float,
    tried: Sequence[Backend] = (),
    may_take: Callable[[Backend], bool] = may_take_work,
    policies: Policies = DEFAULT_POLICIES,
) -> Backend | None:
    """Choose the least loaded run, the nearest if loads are alike.

    Parameters
    ----------
    backends : iterable of Backend
        The service's runs.
    failure_domain : str
        Of this instance.
    now_s : float
        Present time.
    tried : sequence of Backend, optional
        Runs that have not answered this flow; taken only if there is no other.
    may_take : callable, optional
        Tells whether a run is a candidate.

    Returns
    -------
    Backend or None
        None when no run is a candidate.
    """
    return _take_least(
        filter(may_take, backends),
        lambda one: _cost(one, failure_domain, now_s, policies),
        now_s,
        tried,
    )


def count_places(backend: Backend) -> int:
    """Count the openings and requests that a run may have in progress at once.

    The load that this answers: every slot is in use, and who is urgent must not queue
    behind others at a server. A short request travels as long as it is worked on, to
    the server and as the word of its end; for a slot not to idle meanwhile there are
    three for each, and two more since they come and go at random.

    Parameters
    ----------
    backend : Backend
        The run.

    Returns
    -------
    int
        More than its slots, and less than it takes in before it sheds.
    """
    return 3 * backend.slots + 2


def choose_place(
    backends: Iterable[Backend],
    in_progress: Mapping[Backend, int],
    now_s: float,
    tried: Sequence[Backend] = (),
    policies: Policies = DEFAULT_POLICIES,
) -> Backend | None:
    """Choose the run with the least in progress by exact counts.

    Parameters
    ----------
    backends : iterable of Backend
        Those that may take work.
    in_progress : mapping of Backend to int
        Openings and requests that each has; those without any are left out.
    now_s : float
        Present time.
    tried : sequence of Backend, optional
        Runs that have not answered this flow; taken only if there is no other.
    policies : Policies, optional
        How much slower a cold one counts.

    Returns
    -------
    Backend or None
        None when no run has a place.
    """

    def load_of(backend: Backend) -> float:
        factor = policies.cold_factor if now_s < backend.warm_s else 1.0
        return factor * (in_progress.get(backend, 0) + 1) / backend.slots

    with_room = (
        backend
        for backend in backends
        if in_progress.get(backend, 0) < count_places(backend)
    )
    return _take_least(with_room, load_of, now_s, tried)


def place_flow(
    services: Sequence[str],
    runs_of: Callable[[str], Iterable[Backend]],
    failure_domain: str,
    now_s: float,
    tried: Sequence[Backend] = (),
    policies: Policies = DEFAULT_POLICIES,
    cold: ColdLimits = NO_COLD_LIMITS,
) -> Backend | None:
    """Choose the run of a new flow among all services that may take it.

    The load that this answers: a failure domain that is cut off with no run of the
    chosen service left in sight. Its callers are better served by another service of
    the route, or by a run that may come into sight again while they wait, than refused.

    Parameters
    ----------
    services : sequence of str
        Services of the route, the chosen one first.
    runs_of : callable
        Lists a service's runs.
    failure_domain : str
        Of this instance.
    now_s : float
        Present time.
    tried : sequence of Backend, optional
        Runs that have not answered this flow.
    policies : Policies, optional
        Which runs may be tried.
    cold : ColdLimits, optional
        Which cold runs get nothing, or little.

    Returns
    -------
    Backend or None
        None when no run may be given it.
    """
    if not policies.uses_other_services:
        services = services[:1]

    def is_warm(backend: Backend) -> bool:
        return may_take_work(backend) and not cold.spares(backend, now_s)

    def has_share_left(backend: Backend) -> bool:
        return may_take_work(backend) and cold.permits(backend, now_s)

    def is_out_of_sight(backend: Backend) -> bool:
        alive = may_be_alive(backend, now_s, policies)
        return alive and not cold.spares(backend, now_s)

    for may_take in (is_warm, has_share_left, is_out_of_sight):
        for service in services:
            backend = choose_backend(
                runs_of(service), failure_domain, now_s, tried, may_take, policies
            )
            if backend is not None:
                return backend
    return None


def order_services(targets: Sequence[Target], first: str) -> tuple[str, ...]:
    """List the services that a route's new flows may go to.

    Parameters
    ----------
    targets : sequence of Target
        The route's services and weights.
    first : str
        The chosen one.

    Returns
    -------
    tuple of str
        The chosen one, then the others with some weight, the heaviest first.
    """
    ranked = sorted(targets, key=lambda target: -target.weight)
    others = [target.service for target in ranked if target.weight > 0]
    return tuple(dict.fromkeys((first, *others)))
