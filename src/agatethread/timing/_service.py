"""Periodic and one-off calls on the process's monotonic clock."""

import asyncio
import time
from collections.abc import Callable

from mode import Service

Cancel = Callable[[], None]


class TimerService(Service):
    """Calls subscribers at intervals; all are dropped when the service stops."""

    def __init__(self) -> None:
        super().__init__()
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._next_id = 0

    @staticmethod
    def now_s() -> float:
        """Read the monotonic clock.

        Returns
        -------
        float
            Seconds; the clock goes on while the process is stopped by a signal.
        """
        return time.monotonic()

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> Cancel:
        """Call a function at an interval.

        Parameters
        ----------
        interval_s : float
            Seconds between calls.
        callback : callable
            Called without arguments.

        Returns
        -------
        callable
            Ends the subscription.
        """
        timer_id = self._next_id
        self._next_id += 1

        def run() -> None:
            self._arm(timer_id, interval_s, run)
            callback()

        self._arm(timer_id, interval_s, run)
        return lambda: self._cancel(timer_id)

    def _arm(self, timer_id: int, delay_s: float, run: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._handles[timer_id] = loop.call_later(delay_s, run)

    def _cancel(self, timer_id: int) -> None:
        handle = self._handles.pop(timer_id, None)
        if handle is not None:
            handle.cancel()

    async def on_stop(self) -> None:
        """Drop every subscription."""
        for timer_id in list(self._handles):
            self._cancel(timer_id)
