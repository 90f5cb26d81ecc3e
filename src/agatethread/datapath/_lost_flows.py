"""Finds open flows whose run will not answer, so that callers can go elsewhere."""

from agatethread.datapath._backend import Backend
from agatethread.datapath._flows import Flow, FlowLoads
from agatethread.datapath._packets import FlowKey
from agatethread.datapath._reachability import (
    is_lost_at_ended_run,
    should_reset_flow,
)
from agatethread.datapath._suspects import SuspectMonitor
from agatethread.routing import RouteTable

#: A longer gap between two calls of `tick` means that the process was suspended. Timers
#: call it every 0.2 s.
_MAX_TICK_GAP_S = 1.0


class LostFlows:
    """Decides which open flows are reset.

    Parameters
    ----------
    loads : FlowLoads
        Flows of this instance.
    suspects : SuspectMonitor
        Probes runs, and marks those that are unreachable.
    now_s : float
        Current time.
    """

    def __init__(self, loads: FlowLoads, suspects: SuspectMonitor, now_s: float):
        self._loads = loads
        self._suspects = suspects
        self._last_tick_s = self._running_since_s = now_s

    def tick(self, now_s: float) -> None:
        """Detect a suspension of the process; called by timers and per datagram.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        if now_s - self._last_tick_s > _MAX_TICK_GAP_S:
            # Answers that were due in the meantime do not count as missing.
            self._running_since_s = now_s
        self._last_tick_s = now_s

    def should_reset_request(
        self, key: FlowKey, backend: Backend, now_s: float
    ) -> bool:
        """Return whether to reset the flow of a request that can be retried.

        Probes a run that has ended if the request was sent again.

        Parameters
        ----------
        key : FlowKey
            Flow of the request, which was recorded before.
        backend : Backend
            Run that the request goes to.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the run will not answer it.
        """
        if not backend.ended:
            return backend.is_marked_unreachable(now_s)
        flow = self._loads.get_flow(key)
        if flow is None or flow.repeated_since_s is None:
            return False
        if not backend.is_address_taken:
            self._suspects.probe_if_due(backend, now_s)
        return is_lost_at_ended_run(flow, now_s, self._running_since_s)

    def find_at_unreachable_runs(
        self, suspects: set[Backend], table: RouteTable, now_s: float
    ) -> list[tuple[FlowKey, Flow]]:
        """Return the open flows to reset of runs that were found unreachable.

        Parameters
        ----------
        suspects : set of Backend
            Runs that may be unreachable; those that are get marked.
        table : RouteTable
            The routing table in force.
        now_s : float
            Current time.

        Returns
        -------
        list of tuple of (FlowKey, Flow)
            Idle flows, and those whose request can be retried.
        """
        lost = self._suspects.mark_unreachable_runs(
            suspects, now_s, self._running_since_s
        )
        return [
            (key, flow)
            for key, flow in (self._loads.open_flows_of(lost) if lost else ())
            if should_reset_flow(flow.busy, _is_idempotent(key, table))
        ]


def _is_idempotent(key: FlowKey, table: RouteTable) -> bool:
    route = table.routes.get((key.host, key.port))
    return route is not None and route.idempotent
