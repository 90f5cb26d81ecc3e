"""What this entry instance says of silent runs, and what it was told of them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from agatethread.datapath._backend import Backend
from agatethread.datapath._silence import NOTHING_TOLD, Told
from agatethread.wire.registry_pb2 import Sighting, Sightings

#: What was told is believed for so long: control instances say it again each 0.1 s, and
#: some of these may be lost.
_BELIEVED_S = 0.6
#: Longer silence says no more, and must fit the 32 bits of a message.
_LONGEST_TOLD_S = 3_600.0


@dataclass(frozen=True, slots=True)
class _Heard:
    at_s: float
    told: Told


class SharedSilence:
    """What control instances told last of each run, by its label.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._heard: dict[int, _Heard] = {}
        #: When this instance said last that flows wait for a run.
        self._said_s: dict[int, float] = {}

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
            self._heard[one.label] = _Heard(now_s, told)

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
        heard = self._heard.get(backend.label)
        if heard is None or self._now_s() - heard.at_s > _BELIEVED_S:
            return NOTHING_TOLD
        return heard.told

    def labels(self) -> list[int]:
        """List the runs of which something was told or said lately.

        Returns
        -------
        list of int
            Their labels.
        """
        oldest_s = self._now_s() - _BELIEVED_S
        self._heard = {
            label: heard
            for label, heard in self._heard.items()
            if heard.at_s >= oldest_s
        }
        self._said_s = {
            label: said_s
            for label, said_s in self._said_s.items()
            if said_s >= oldest_s
        }
        return [*self._heard, *self._said_s]

    def observe(self, backends: Iterable[Backend]) -> list[Sighting]:
        """List what is to be told of runs.

        Parameters
        ----------
        backends : iterable of Backend
            Those that flows wait for here or, as was told, elsewhere.

        Returns
        -------
        list of Sighting
            Those that flows wait for here, and those that have answered here though
            flows wait for them elsewhere.
        """
        now_s = self._now_s()
        sightings = []
        for backend in backends:
            if backend.waiting:
                self._said_s[backend.label] = now_s
                silent_s = now_s - backend.waits_since_s
                sightings.append(_sighting(backend, len(backend.waiting), silent_s))
            elif self._has_news(backend, now_s):
                answered_ago_s = now_s - backend.answered_s
                sightings.append(_sighting(backend, 0, answered_ago_s))
        return sightings

    def _has_news(self, backend: Backend, now_s: float) -> bool:
        """Tell whether an answer here speaks against what others hold for true."""
        if backend.unreachable:
            return False
        if backend.label in self._said_s:
            # What this instance said itself has ended.
            return True
        told = self.of(backend)
        return bool(told.waiting) and now_s - backend.answered_s < told.silent_s


def _sighting(backend: Backend, waiting: int, silent_s: float) -> Sighting:
    # A run that never answered is silent since the start of the clock.
    silent_ms = round(min(silent_s, _LONGEST_TOLD_S) * 1000)
    return Sighting(label=backend.label, waiting=waiting, silent_ms=silent_ms)
