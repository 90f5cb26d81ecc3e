"""Maps the labels in packets to runs; two runs may have the same label."""

from collections.abc import Callable, Iterable

from agatethread.datapath._backend import Backend
from agatethread.observability import Event, make_logger

log = make_logger("backends")


class RunLabels:
    """Runs by their labels.

    Of two runs with one label, the earlier one keeps it, since it has open flows; all
    instances decide alike. The later one gets the label when the other is deleted: a
    run that has ended may serve its flows on.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    propagation_s : float
        Time for all entry instances to delete a run that has ended.
    """

    def __init__(self, now_s: Callable[[], float], propagation_s: float):
        self._now_s = now_s
        self._propagation_s = propagation_s
        self._runs: dict[int, Backend] = {}

    def get(self, label: int) -> Backend | None:
        """Return the run for a label.

        Parameters
        ----------
        label : int
            Label of a packet.

        Returns
        -------
        Backend or None
            None if there is no such run.
        """
        return self._runs.get(label)

    def add(self, backend: Backend) -> None:
        """Add a run that is live, or live again, under its own label.

        Parameters
        ----------
        backend : Backend
            The run.
        """
        existing = self._runs.get(backend.label, backend)
        if existing is backend:
            self._runs[backend.label] = backend
            return
        kept, other = sorted((existing, backend), key=_start_order)
        self._runs[backend.label] = kept
        other.is_label_taken = True
        log.error(Event.LABEL_COLLISION, kept=kept.id, other=other.id)

    def add_earlier(self, backend: Backend, labels: Iterable[int]) -> None:
        """Map labels of earlier runs of the same id to a run, unless they are taken.

        Parameters
        ----------
        backend : Backend
            The latest run.
        labels : iterable of int
            Labels of the earlier runs.
        """
        for label in labels:
            self._runs.setdefault(label, backend)

    def delete(self, backend: Backend, labels: Iterable[int]) -> None:
        """Delete labels of a run; those that map to another run stay.

        Parameters
        ----------
        backend : Backend
            The run.
        labels : iterable of int
            Its own and earlier labels.
        """
        for label in labels:
            if self._runs.get(label) is backend:
                del self._runs[label]

    def retake(self, backend: Backend) -> None:
        """Give a live run its label once the other run was deleted.

        New flows follow after the propagation time: other instances would forward their
        packets to the other run.

        Parameters
        ----------
        backend : Backend
            A run whose label was taken.
        """
        now_s = self._now_s()
        holder = self._runs.get(backend.label)
        if holder is not backend:
            if holder is not None and holder.label == backend.label:
                return
            self._runs[backend.label] = backend
            backend.label_retaken_s = now_s
        if now_s - backend.label_retaken_s >= self._propagation_s:
            backend.is_label_taken = False
            log.info(Event.LABEL_RETAKEN, run=backend.id)


def _start_order(backend: Backend) -> tuple[int, str]:
    return (backend.started_ms, backend.id)
