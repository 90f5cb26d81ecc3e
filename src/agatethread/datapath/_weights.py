"""What share of new work control instances leave to each run, as told to this one."""

from collections.abc import Callable

from agatethread.datapath._backend import Backend
from agatethread.observability import Event, make_logger
from agatethread.wire.registry_pb2 import RunWeights

#: What was told is believed for so long: control instances say it again each 0.2 s.
#: When nobody says anything any more, a run gets its whole share: callers are better
#: served by a slow run than by too few.
BELIEVED_S = 1.5

#: Runs with no more than this get trials only.
_TRIALS_PERCENT = 10

log = make_logger("weights")


class WeightBook:
    """The runs that get less than their share.

    Parameters
    ----------
    find : callable
        Finds a run by its label.
    """

    def __init__(self, find: Callable[[int], Backend | None]):
        self._find = find
        self._weighed: set[Backend] = set()

    def __len__(self) -> int:
        return len(self._weighed)

    def take(self, weights: RunWeights, now_s: float) -> None:
        """Take what a control instance tells, in place of what was told before.

        Parameters
        ----------
        weights : RunWeights
            All runs with less than their share.
        now_s : float
            Present time.
        """
        weighed: set[Backend] = set()
        for one in weights.runs:
            backend = self._find(one.label)
            if backend is None or backend.label != one.label:
                # An earlier run of the same server: nothing is held of the later one.
                continue
            weighed.add(backend)
            _weigh(backend, min(one.percent, 100), now_s)
        for backend in self._weighed - weighed:
            _weigh(backend, 100, now_s)
        self._weighed = weighed

    def sweep(self, now_s: float) -> None:
        """Forget what is not believed any more.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        for backend in [one for one in self._weighed if one.weighed_until_s <= now_s]:
            _weigh(backend, 100, now_s)
            self._weighed.discard(backend)

    def dump(self) -> dict[str, float]:
        """List the weights for a state dump.

        Returns
        -------
        dict of str to float
            By the run's id; runs with all of their share are left out.
        """
        return {one.id: one.weight for one in sorted(self._weighed, key=_id_of)}


def _id_of(backend: Backend) -> str:
    return backend.id


def _weigh(backend: Backend, percent: int, now_s: float) -> None:
    before = round(100 * backend.weight)
    backend.weight = percent / 100
    backend.weighed_until_s = now_s + BELIEVED_S
    if _stage(percent) != _stage(before):
        log.info(
            Event.BACKEND_WEIGHED,
            run=backend.id,
            percent=percent,
            percent_before=before,
        )


def _stage(percent: int) -> int:
    """Tell trials, some and all of its share apart; a line a step would be too much."""
    return (percent > _TRIALS_PERCENT) + (percent >= 100)
