"""Selection of a backend server by this instance's load counts and recent failures."""

from agatethread.routing._endpoints import Endpoint

#: Share of its weight with which a new backend server starts (slow start).
_INITIAL_RAMP_SHARE = 0.1


def _ramp_share(endpoint: Endpoint, now_s: float, ramp_s: float) -> float:
    if ramp_s <= 0:
        return 1.0
    elapsed_share = (now_s - endpoint.ramp_from_s) / ramp_s
    if elapsed_share >= 1.0:
        return 1.0
    return max(_INITIAL_RAMP_SHARE, elapsed_share)


def _is_usable(endpoint: Endpoint, now_s: float) -> bool:
    if endpoint.gone or endpoint.drained or endpoint.closing:
        return False
    if endpoint.is_unreachable or endpoint.weight <= 0:
        return False
    return endpoint.penalty_until_s <= now_s < endpoint.lease_until_s


def choose_for_stream(
    endpoints: list[Endpoint], now_s: float, ramp_s: float
) -> Endpoint | None:
    """Return the backend server with the fewest open flows for its weight.

    Parameters
    ----------
    endpoints : list of Endpoint
        The service's backend servers.
    now_s : float
        Current time.
    ramp_s : float
        Time over which a new backend server's share grows to its full weight.

    Returns
    -------
    Endpoint or None
        None if no backend server may receive another flow.
    """
    selected, lowest_load = None, (0.0, 0.0)
    for endpoint in endpoints:
        if not _is_usable(endpoint, now_s):
            continue
        streams = endpoint.streams + endpoint.inherited_streams
        if streams >= endpoint.connection_limit:
            continue
        share = endpoint.weight * _ramp_share(endpoint, now_s, ramp_s)
        load = ((streams + 1) / share, endpoint.last_used_s)
        if selected is None or load < lowest_load:
            selected, lowest_load = endpoint, load
    return selected


def choose_for_request(
    endpoints: list[Endpoint], now_s: float, ramp_s: float, avoid: Endpoint | None
) -> Endpoint | None:
    """Return a backend server with a free slot: least loaded, then least recently used.

    Parameters
    ----------
    endpoints : list of Endpoint
        The service's backend servers.
    now_s : float
        Current time.
    ramp_s : float
        Time over which a new backend server's usable slots grow to all of them.
    avoid : Endpoint or None
        Backend server that has just failed this request; used only if there is no
        other.

    Returns
    -------
    Endpoint or None
        None if there is no free slot.
    """
    selected, lowest_load = None, (False, 0.0, 0.0)
    for endpoint in endpoints:
        if not _is_usable(endpoint, now_s):
            continue
        slots = endpoint.slots
        ramped_slots = max(1, int(slots * _ramp_share(endpoint, now_s, ramp_s)))
        if endpoint.request_load >= min(slots, ramped_slots):
            continue
        relative_load = (endpoint.request_load + 1) / (slots * endpoint.weight)
        load = (endpoint is avoid, relative_load, endpoint.last_used_s)
        if selected is None or load < lowest_load:
            selected, lowest_load = endpoint, load
    return selected
