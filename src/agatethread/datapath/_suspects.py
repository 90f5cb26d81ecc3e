"""Finds runs that may be unreachable, probes them, and marks those that are.

A run is a suspect if flows wait for its answer, at this or another instance.
"""

from collections.abc import Callable

from agatethread.datapath._backend import Backend
from agatethread.datapath._backends import BackendView
from agatethread.datapath._flows import FlowLoads
from agatethread.datapath._reachability import detect_unreachable, should_probe
from agatethread.datapath._sightings import SightingExchange
from agatethread.observability import Event, make_logger
from agatethread.settings import Policies

log = make_logger("silence")


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


def _ignore_run(_: Backend) -> None:
    """Default of `SuspectMonitor.probe`."""


class SuspectMonitor:
    """Probes suspects, and marks the unreachable ones.

    Parameters
    ----------
    view : BackendView
        Known runs.
    policies : Policies
        Sets the required silence.
    sighting_exchange : SightingExchange
        Sightings of this and other instances.
    """

    def __init__(
        self,
        view: BackendView,
        policies: Policies,
        sighting_exchange: SightingExchange,
    ):
        self._view = view
        self._policies = policies
        self._sighting_exchange = sighting_exchange
        #: Runs marked as unreachable, probed until they accept or the mark expires.
        self._unreachable: set[Backend] = set()
        #: Starts a connection to a run that seems silent; without any, no run is
        #: considered unreachable.
        self.probe: Callable[[Backend], None] = _ignore_run

    def mark_unreachable_runs(
        self, suspects: set[Backend], now_s: float, running_since_s: float
    ) -> list[Backend]:
        """Probe silent runs, and mark those that connections fail to.

        Parameters
        ----------
        suspects : set of Backend
            Runs that may be unreachable, see `find_suspects`.
        now_s : float
            Current time.
        running_since_s : float
            Time since which this process has not been suspended.

        Returns
        -------
        list of Backend
            Runs that were not marked before.
        """
        self._unreachable = {
            backend
            for backend in self._unreachable
            if backend.is_marked_unreachable(now_s)
        }
        for backend in suspects | self._unreachable:
            pooled = self._sighting_exchange.get_pooled(backend)
            if should_probe(backend, now_s, pooled):
                self.probe(backend)
        marked = [
            backend
            for backend in suspects - self._unreachable
            if self._mark_if_unreachable(backend, now_s, running_since_s)
        ]
        self._unreachable.update(marked)
        return marked

    def probe_if_due(self, backend: Backend, now_s: float) -> None:
        """Probe a run that has ended, unless it was probed just before.

        Parameters
        ----------
        backend : Backend
            A run that leaves a request unanswered.
        now_s : float
            Current time.
        """
        if now_s >= backend.probes.not_before_s:
            self.probe(backend)

    def _mark_if_unreachable(
        self, backend: Backend, now_s: float, running_since_s: float
    ) -> bool:
        verdict = detect_unreachable(
            backend,
            self._view.runs_of_service(backend.service),
            now_s,
            running_since_s,
            self._sighting_exchange.get_pooled(backend),
            self._policies,
        )
        if not verdict:
            return False
        if not backend.probes.have_failed_twice(now_s - verdict.silent_s, now_s):
            return False
        backend.verdict = verdict
        backend.mark_unreachable(now_s)
        log.info(
            Event.BACKEND_UNREACHABLE,
            run=backend.id,
            flows_waiting=verdict.flows_waiting,
            silent_s=verdict.silent_s,
            answered_by=verdict.answered_by,
            waiting_everywhere=verdict.waiting_everywhere,
            observers=verdict.observers,
        )
        return True
