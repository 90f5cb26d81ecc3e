"""Stores the weights that control instances assign to runs."""

from collections.abc import Callable

from agatethread.datapath._backend import Backend
from agatethread.observability import Event, make_logger
from agatethread.wire.registry_pb2 import RunWeights

#: Validity of received weights; several intervals of their messages, which come each
#: 0.2 s. Without renewal a run gets its full share, since a slow run is better than too
#: few runs.
WEIGHT_VALIDITY_S = 1.5

#: Weight up to which a run is logged as on trial.
_TRIAL_PERCENT = 10

log = make_logger("weights")


class RunWeightStore:
    """Applies weights to runs, and stores those with less than their full share.

    Parameters
    ----------
    find_run : callable
        Returns the run of a label, if known.
    """

    def __init__(self, find_run: Callable[[int], Backend | None]):
        self._find_run = find_run
        self._reduced: set[Backend] = set()

    def __len__(self) -> int:
        return len(self._reduced)

    def apply(self, weights: RunWeights, now_s: float) -> None:
        """Apply the weights of a control instance in place of the earlier ones.

        Parameters
        ----------
        weights : RunWeights
            All runs with less than their full share.
        now_s : float
            Present time.
        """
        reduced: set[Backend] = set()
        for run_weight in weights.runs:
            backend = self._find_run(run_weight.label)
            if backend is None or backend.label != run_weight.label:
                # The run is unknown, or an earlier one of the same server.
                continue
            reduced.add(backend)
            _set_weight(backend, min(run_weight.percent, 100), now_s)
        for backend in self._reduced - reduced:
            _set_weight(backend, 100, now_s)
        self._reduced = reduced

    def sweep(self, now_s: float) -> None:
        """Reset weights that were not renewed in time.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        for backend in [
            run for run in self._reduced if run.weight_valid_until_s <= now_s
        ]:
            _set_weight(backend, 100, now_s)
            self._reduced.discard(backend)

    def dump(self) -> dict[str, float]:
        """Return the weights for a state dump.

        Returns
        -------
        dict of str to float
            By the run's id; runs with their full share are left out.
        """
        return {
            backend.id: backend.weight for backend in sorted(self._reduced, key=_id_of)
        }


def _id_of(backend: Backend) -> str:
    return backend.id


def _set_weight(backend: Backend, percent: int, now_s: float) -> None:
    percent_before = round(100 * backend.weight)
    backend.weight = percent / 100
    backend.weight_valid_until_s = now_s + WEIGHT_VALIDITY_S
    if _stage(percent) != _stage(percent_before):
        log.info(
            Event.BACKEND_SHARE_CHANGED,
            run=backend.id,
            percent=percent,
            percent_before=percent_before,
        )


def _stage(percent: int) -> int:
    """Return the stage of a weight, logged on change: trials, partial or full."""
    return (percent > _TRIAL_PERCENT) + (percent >= 100)
