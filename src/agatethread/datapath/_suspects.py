"""Runs that flows wait for, here or at other instances, and whether they are gone."""

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._sightings import SharedSilence
from agatethread.datapath._silence import is_unreachable
from agatethread.settings import Policies


def find_suspects(
    loads: FlowLoads, view: BackendView, shared: SharedSilence
) -> set[Backend]:
    """List the runs that flows wait for, here or as was told elsewhere.

    Parameters
    ----------
    loads : FlowLoads
        What was seen here.
    view : BackendView
        Known runs.
    shared : SharedSilence
        What was told.

    Returns
    -------
    set of Backend
        Those that have not ended.
    """
    suspects = loads.waited_for()
    told = (view.find(label) for label in shared.labels())
    suspects.update(backend for backend in told if backend is not None)
    return {backend for backend in suspects if not backend.ended}


def judge_suspect(
    backend: Backend,
    view: BackendView,
    shared: SharedSilence,
    now_s: float,
    awake_since_s: float,
    policies: Policies,
) -> bool:
    """Decide whether a run is held for gone, and note it if so.

    Parameters
    ----------
    backend : Backend
        A run that flows wait for.
    view : BackendView
        Known runs.
    shared : SharedSilence
        What other instances see.
    now_s : float
        Present time.
    awake_since_s : float
        Since when this instance has run without a pause.
    policies : Policies
        How long a silence is enough.

    Returns
    -------
    bool
        Whether it is.
    """
    others, told = view.of_service(backend.service), shared.of(backend)
    if is_unreachable(backend, others, now_s, awake_since_s, told, policies):
        backend.hold_for_gone(now_s)
    return backend.is_gone(now_s)
