"""What this entry instance says of silent runs, and what it was told of them."""

from collections.abc import Callable, Iterable

from agatethread.datapath._backends import Backend
from agatethread.datapath._silence import NOTHING_TOLD, Told
from agatethread.wire.registry_pb2 import Sighting, Sightings

#: What was told is believed for so long: control instances say it again each 0.2 s, and
#: two of these may be lost.
_BELIEVED_S = 0.6


class SharedSilence:
    """What control instances told last of each run, by its label.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._told: dict[int, tuple[float, Told]] = {}

    def take(self, sightings: Sightings) -> None:
        """Take what a control instance has put together.

        Parameters
        ----------
        sightings : Sightings
            Its message.
        """
        now_s = self._now_s()
        for one in sightings.runs:
            told = Told(one.waiting, one.silent_ms / 1000, one.observers, one.domains)
            self._told[one.label] = (now_s, told)

    def of(self, backend: Backend) -> Told:
        """Look up what was told of a run lately.

        Parameters
        ----------
        backend : Backend
            The run.

        Returns
        -------
        Told
            `NOTHING_TOLD` if there was nothing.
        """
        told_s, told = self._told.get(backend.label, (0.0, NOTHING_TOLD))
        return told if self._now_s() - told_s <= _BELIEVED_S else NOTHING_TOLD

    def observe(self, backends: Iterable[Backend]) -> list[Sighting]:
        """List what is to be told of runs; called each 0.2 s.

        Parameters
        ----------
        backends : iterable of Backend
            All that have not ended.

        Returns
        -------
        list of Sighting
            Those that flows wait for here, and those that have answered here though
            flows wait for them elsewhere.
        """
        now_s = self._now_s()
        self._told = {
            label: entry
            for label, entry in self._told.items()
            if now_s - entry[0] <= _BELIEVED_S
        }
        sightings = []
        for backend in backends:
            if backend.waiting:
                silent_s = now_s - backend.waits_since_s
                sightings.append(_sighting(backend, len(backend.waiting), silent_s))
                continue
            told = self.of(backend)
            answered_ago_s = now_s - backend.answered_s
            if told.waiting and answered_ago_s < told.silent_s:
                sightings.append(_sighting(backend, 0, answered_ago_s))
        return sightings


def _sighting(backend: Backend, waiting: int, silent_s: float) -> Sighting:
    silent_ms = round(silent_s * 1000)
    return Sighting(label=backend.label, waiting=waiting, silent_ms=silent_ms)
