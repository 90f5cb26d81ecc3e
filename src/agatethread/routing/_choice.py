"""Choose a backend server by our own counts first, and by outcomes."""

from agatethread.routing._endpoints import Endpoint

_LEAST_RAMP = 0.1


def _ramp(endpoint: Endpoint, now_s: float, ramp_s: float) -> float:
    if ramp_s <= 0:
        return 1.0
    grown = (now_s - endpoint.ramp_from_s) / ramp_s
    if grown >= 1.0:
        return 1.0
    return max(_LEAST_RAMP, grown)


def _is_usable(endpoint: Endpoint, now_s: float) -> bool:
    if endpoint.gone or endpoint.drained or endpoint.closing:
        return False
    if endpoint.out_of_sight or endpoint.weight <= 0:
        return False
    return endpoint.penalty_until_s <= now_s < endpoint.lease_until_s


def choose_for_stream(
    endpoints: list[Endpoint], now_s: float, ramp_s: float
) -> Endpoint | None:
    """Choose where a new flow goes: the fewest open streams for the weight.

    Parameters
    ----------
    endpoints : list of Endpoint
        The service's backend servers.
    now_s : float
        Present time.
    ramp_s : float
        Time over which a new one's share grows to full.

    Returns
    -------
    Endpoint or None
        None when none may take another flow.
    """
    best, best_load = None, (0.0, 0.0)
    for endpoint in endpoints:
        if not _is_usable(endpoint, now_s):
            continue
        streams = endpoint.streams + endpoint.inherited_streams
        if streams >= endpoint.connection_limit:
            continue
        share = endpoint.weight * _ramp(endpoint, now_s, ramp_s)
        load = ((streams + 1) / share, endpoint.last_used_s)
        if best is None or load < best_load:
            best, best_load = endpoint, load
    return best


def choose_for_request(
    endpoints: list[Endpoint], now_s: float, ramp_s: float, avoid: Endpoint | None
) -> Endpoint | None:
    """Choose where a request goes: a free slot, the least loaded, the longest unused.

    Parameters
    ----------
    endpoints : list of Endpoint
        The service's backend servers.
    now_s : float
        Present time.
    ramp_s : float
        Time over which a new one's slots open.
    avoid : Endpoint or None
        One that has just failed this request; taken only if there is no other.

    Returns
    -------
    Endpoint or None
        None when there is no free slot.
    """
    best, best_load = None, (False, 0.0, 0.0)
    for endpoint in endpoints:
        if not _is_usable(endpoint, now_s):
            continue
        slots = endpoint.slots
        open_slots = max(1, int(slots * _ramp(endpoint, now_s, ramp_s)))
        if endpoint.request_load >= min(slots, open_slots):
            continue
        used = (endpoint.request_load + 1) / (slots * endpoint.weight)
        load = (endpoint is avoid, used, endpoint.last_used_s)
        if best is None or load < best_load:
            best, best_load = endpoint, load
    return best
