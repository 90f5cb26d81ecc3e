"""What is known of an opening before it is placed, and what is logged when it is."""

from collections.abc import Callable, Iterable, Sequence

from agatethread.datapath._backend import Backend
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._flows import Flow
from agatethread.datapath._packets import Packet
from agatethread.datapath._placing import may_take_work
from agatethread.observability import Event, make_logger
from agatethread.routing import Route

#: A cold backend server that is warm by then is waited for: copies of an opening and
#: of the try that follows it come within twice 1.4 s.
_WORTH_WAITING_S = 2.8

log = make_logger("forwarder")


def judge_earlier(
    flow: Flow | None, packet: Packet, route: Route, now_s: float
) -> tuple[str, tuple[Backend, ...]]:
    """Find the service and the runs that the same opening went to before.

    A first opening from a port that was used before is another flow, and the route may
    have moved since.

    Parameters
    ----------
    flow : Flow or None
        What is recorded under the packet's addresses.
    packet : Packet
        The opening.
    route : Route
        Its route.
    now_s : float
        Present time.

    Returns
    -------
    tuple of (str, tuple of Backend)
        Empty where it did not come before.
    """
    if flow is None or not packet.copy:
        return "", ()
    flow.backend.fail(flow.waits_since_s, now_s)
    service = flow.backend.service
    if all(target.service != service for target in route.targets):
        return "", ()
    return service, (*flow.tried, flow.backend)


def is_warm_soon(
    route: Route,
    runs_of: Callable[[str], Iterable[Backend]],
    cold: ColdLimits,
    now_s: float,
) -> bool:
    """Tell whether a cold run can take an opening before its caller gives up.

    Parameters
    ----------
    route : Route
        Of the opening.
    runs_of : callable
        Lists a service's runs.
    cold : ColdLimits
        Which runs are cold.
    now_s : float
        Present time.

    Returns
    -------
    bool
        Whether one is warm by the time of a copy, or of the caller's next try.
    """
    return any(
        backend.warm_s <= now_s + _WORTH_WAITING_S
        for target in route.targets
        for backend in runs_of(target.service)
        if may_take_work(backend) and cold.spares(backend, now_s)
    )


def log_placed(
    packet: Packet,
    backend: Backend,
    tried: Sequence[Backend],
    now_s: float,
    table_version: int,
    waited_s: float = 0.0,
) -> None:
    """Log that an opening was placed, and what decided it.

    Parameters
    ----------
    packet : Packet
        The opening.
    backend : Backend
        Where it goes.
    tried : sequence of Backend
        Runs that got it before and did not answer.
    now_s : float
        Present time.
    table_version : int
        Of the routing table in force.
    waited_s : float, optional
        How long its caller has waited, as far as the instance knows that relayed it.
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
        told_ago_s=round(now_s - backend.told_s, 3),
        tried=[one.id for one in tried],
        table_version=table_version,
        waited_s=round(waited_s, 3),
    )
