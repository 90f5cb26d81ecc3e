"""Finds and checks runs that flows wait for at any instance."""

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._reachability import is_unreachable
from agatethread.datapath._sightings import SightingExchange
from agatethread.settings import Policies


def find_suspects(
    loads: FlowLoads, view: BackendView, shared: SightingExchange
) -> set[Backend]:
    """Return the runs that flows wait for, here or at other instances.

    Parameters
    ----------
    loads : FlowLoads
        Flows of this instance.
    view : BackendView
        Known runs.
    shared : SightingExchange
        Sightings of other instances.

    Returns
    -------
    set of Backend
        Runs that have not ended.
    """
    suspects = loads.runs_with_waiting_flows()
    pooled = (view.get_by_label(label) for label in shared.labels())
    suspects.update(backend for backend in pooled if backend is not None)
    return {backend for backend in suspects if not backend.ended}


def check_suspect(
    backend: Backend,
    view: BackendView,
    shared: SightingExchange,
    now_s: float,
    running_since_s: float,
    policies: Policies,
) -> bool:
    """Check a run that flows wait for and mark it if it is unreachable.

    Parameters
    ----------
    backend : Backend
        The run.
    view : BackendView
        Known runs.
    shared : SightingExchange
        Sightings of other instances.
    now_s : float
        Current time.
    running_since_s : float
        Time since which this process has not been suspended.
    policies : Policies
        Sets the required silence.

    Returns
    -------
    bool
        Whether the run is unreachable by recent evidence.
    """
    runs, pooled = view.runs_of_service(backend.service), shared.get_pooled(backend)
    if is_unreachable(backend, runs, now_s, running_since_s, pooled, policies):
        backend.mark_unreachable(now_s)
    return backend.is_marked_unreachable(now_s)
