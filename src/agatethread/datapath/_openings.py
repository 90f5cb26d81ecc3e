"""Examines openings before they are placed, and logs their placement."""

from collections.abc import Callable, Iterable, Sequence

from agatethread.datapath._backend import Backend
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._flows import Flow
from agatethread.datapath._packets import Packet
from agatethread.datapath._placing import accepts_new_flows
from agatethread.observability import Event, make_logger
from agatethread.routing import Route

#: Time within which a cold backend server must be warm for an opening to wait; covers
#: the copies of an opening and those of the caller's next try, each 1.4 s.
_MAX_WARMUP_WAIT_S = 2.8

#: Time after the last packet of a flow within which an opening of its addresses is a
#: late copy; callers give up an opening after 1.4 s, and reuse a port much later.
_LATE_COPY_S = 1.5

log = make_logger("forwarder")


def is_late_copy(flow: Flow | None, now_s: float) -> bool:
    """Return whether an opening is a late copy of the opening of an open flow.

    Parameters
    ----------
    flow : Flow or None
        The flow that is recorded under the opening's addresses.
    now_s : float
        Present time.

    Returns
    -------
    bool
        Whether the flow is open, also at a run whose end was told of.
    """
    if flow is None or not flow.opened:
        return False
    return now_s - flow.last_packet_s <= _LATE_COPY_S


def record_failed_tries(
    flow: Flow | None, packet: Packet, route: Route, now_s: float
) -> tuple[str, tuple[Backend, ...]]:
    """Record that the last run did not answer; return the runs tried and their service.

    A first opening from a reused port is another flow, and the route may have changed
    in the meantime.

    Parameters
    ----------
    flow : Flow or None
        The flow that is recorded under the packet's addresses.
    packet : Packet
        The opening.
    route : Route
        Its route.
    now_s : float
        Present time.

    Returns
    -------
    tuple of (str, tuple of Backend)
        Empty for a first opening, or if the route has changed.
    """
    if flow is None or not packet.copy:
        return "", ()
    flow.backend.record_failure(flow.waiting_since_s, now_s)
    service = flow.backend.service
    if all(target.service != service for target in route.targets):
        return "", ()
    return service, (*flow.tried, flow.backend)


def has_run_warm_soon(
    route: Route,
    runs_of: Callable[[str], Iterable[Backend]],
    cold: ColdLimits,
    now_s: float,
) -> bool:
    """Return whether a cold run can accept an opening before the caller gives up.

    Parameters
    ----------
    route : Route
        Route of the opening.
    runs_of : callable
        Returns a service's runs.
    cold : ColdLimits
        Limits of cold runs.
    now_s : float
        Present time.

    Returns
    -------
    bool
        Whether one is warm by the time of a copy, or of the caller's next try.
    """
    return any(
        backend.warm_s <= now_s + _MAX_WARMUP_WAIT_S
        for target in route.targets
        for backend in runs_of(target.service)
        if accepts_new_flows(backend) and cold.is_limited(backend, now_s)
    )


def log_placement(
    packet: Packet,
    backend: Backend,
    tried: Sequence[Backend],
    now_s: float,
    table_version: int,
    waited_s: float = 0.0,
) -> None:
    """Log the placement of an opening with the state that led to it.

    Parameters
    ----------
    packet : Packet
        The opening.
    backend : Backend
        The chosen run.
    tried : sequence of Backend
        Runs that received it before and did not answer.
    now_s : float
        Present time.
    table_version : int
        Version of the routing table in force.
    waited_s : float, optional
        Time that its caller has waited, as measured by the relaying instance.
    """
    log.info(
        Event.FLOW_PLACED,
        flow=str(packet.key),
        copy=packet.copy,
        run=backend.id,
        label=backend.label,
        service=backend.service,
        in_flight=backend.in_flight,
        flows=backend.flows,
        failures=backend.failures,
        told_ago_s=round(now_s - backend.updated_s, 3),
        tried=[tried_backend.id for tried_backend in tried],
        table_version=table_version,
        waited_s=round(waited_s, 3),
    )
