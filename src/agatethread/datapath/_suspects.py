"""Finds runs that may be unreachable, and marks those that are.

A run is a suspect if flows wait for its answer, at this or another instance.
"""

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._reachability import detect_unreachable
from agatethread.datapath._sightings import SightingExchange
from agatethread.settings import Policies


def find_suspects(
    loads: FlowLoads, view: BackendView, sighting_exchange: SightingExchange
) -> set[Backend]:
    """Return the runs that may be unreachable.

    Flows wait for them here or at other instances, or this instance has reported so
    shortly before.

    Parameters
    ----------
    loads : FlowLoads
        Flows of this instance.
    view : BackendView
        Known runs.
    sighting_exchange : SightingExchange
        Sightings of this and other instances.

    Returns
    -------
    set of Backend
        Known runs that have not ended.
    """
    suspects = loads.runs_with_waiting_flows()
    pooled = (view.get_by_label(label) for label in sighting_exchange.labels())
    suspects.update(backend for backend in pooled if backend is not None)
    return {backend for backend in suspects if not backend.ended}


def mark_if_unreachable(
    backend: Backend,
    view: BackendView,
    sighting_exchange: SightingExchange,
    now_s: float,
    running_since_s: float,
    policies: Policies,
) -> bool:
    """Mark a run if it is unreachable.

    Parameters
    ----------
    backend : Backend
        The run.
    view : BackendView
        Known runs.
    sighting_exchange : SightingExchange
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
        Whether the run is marked as unreachable by recent evidence.
    """
    runs, pooled = (
        view.runs_of_service(backend.service),
        sighting_exchange.get_pooled(backend),
    )
    if detect_unreachable(backend, runs, now_s, running_since_s, pooled, policies):
        backend.mark_unreachable(now_s)
    return backend.is_marked_unreachable(now_s)
