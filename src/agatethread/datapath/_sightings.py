"""Sightings, exchanged with other entry instances through control instances.

A sighting tells how many flows of a run wait for an answer at an instance, and for how
long; or that none do, and when the run last answered there or accepted a connection.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from agatethread.datapath._backend import Backend
from agatethread.datapath._reachability import NO_POOLED_SIGHTING, PooledSighting
from agatethread.wire.registry_pb2 import Sighting, Sightings

#: Control instances repeat sightings every 0.1 s; single messages may be lost.
_SIGHTING_TIMEOUT_S = 0.6
#: Longest silence that is reported; keeps the milliseconds within 32 bits.
_MAX_SILENCE_S = 3_600.0


@dataclass(frozen=True, slots=True)
class _ReceivedSighting:
    received_s: float
    pooled: PooledSighting


class SightingExchange:
    """Stores received sightings by label, and makes those to send.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._received: dict[int, _ReceivedSighting] = {}
        #: Time of the last report of waiting flows by this instance, by label.
        self._last_report_times: dict[int, float] = {}

    def receive(self, sightings: Sightings) -> None:
        """Store the combined sightings from a control instance.

        Parameters
        ----------
        sightings : Sightings
            Message of the control instance.
        """
        now_s = self._now_s()
        for sighting in sightings.runs:
            pooled = PooledSighting(
                sighting.waiting,
                sighting.silent_ms / 1000,
                sighting.observers,
                sighting.domains,
            )
            self._received[sighting.label] = _ReceivedSighting(now_s, pooled)

    def get_pooled(self, backend: Backend) -> PooledSighting:
        """Return the current combined sighting of a run.

        Parameters
        ----------
        backend : Backend
            The run.

        Returns
        -------
        PooledSighting
            `NO_POOLED_SIGHTING` if there is none.
        """
        received = self._received.get(backend.label)
        if (
            received is None
            or self._now_s() - received.received_s > _SIGHTING_TIMEOUT_S
        ):
            return NO_POOLED_SIGHTING
        return received.pooled

    def labels(self) -> list[int]:
        """Return the labels of runs with current sightings, and delete expired ones.

        Returns
        -------
        list of int
            Labels with received or reported sightings; may repeat.
        """
        oldest_s = self._now_s() - _SIGHTING_TIMEOUT_S
        self._received = {
            label: received
            for label, received in self._received.items()
            if received.received_s >= oldest_s
        }
        self._last_report_times = {
            label: reported_s
            for label, reported_s in self._last_report_times.items()
            if reported_s >= oldest_s
        }
        return [*self._received, *self._last_report_times]

    def make_sightings(self, backends: Iterable[Backend]) -> list[Sighting]:
        """Return the sightings to send to control instances.

        Parameters
        ----------
        backends : iterable of Backend
            Runs that flows wait for at any instance.

        Returns
        -------
        list of Sighting
            Runs that flows wait for here, runs that flows no longer wait for here, and
            runs that have answered here while flows wait for them at other instances.
        """
        now_s = self._now_s()
        sightings = []
        for backend in backends:
            if backend.waiting:
                self._last_report_times[backend.label] = now_s
                silent_s = now_s - backend.waiting_since_s
                sightings.append(
                    _make_sighting(backend, len(backend.waiting), silent_s)
                )
            elif self._should_report_answer(backend, now_s):
                alive_ago_s = now_s - backend.last_reply_s
                sightings.append(_make_sighting(backend, 0, alive_ago_s))
        return sightings

    def _should_report_answer(self, backend: Backend, now_s: float) -> bool:
        """Return whether to report that no flow waits for a run here.

        Withdraws an earlier report of this instance, or contradicts others' sightings.
        """
        if backend.unreachable:
            return False
        if backend.label in self._last_report_times:
            # Flows reported by this instance no longer wait.
            return True
        pooled = self.get_pooled(backend)
        alive_ago_s = now_s - backend.last_reply_s
        return bool(pooled.waiting) and alive_ago_s < pooled.silent_s


def _make_sighting(backend: Backend, waiting: int, silent_s: float) -> Sighting:
    """Return a sighting; `silent_s` is the wait, or the age of the last answer."""
    # If the run never answered, the silence is the value of the clock.
    silent_ms = round(min(silent_s, _MAX_SILENCE_S) * 1000)
    return Sighting(label=backend.label, waiting=waiting, silent_ms=silent_ms)
