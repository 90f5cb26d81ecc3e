"""Timer service that calls functions periodically on the event loop."""

import asyncio
import time
from collections.abc import Callable

from mode import Service

Cancel = Callable[[], None]


class TimerService(Service):
    """Calls subscribers periodically until the service stops."""

    def __init__(self) -> None:
        super().__init__()
        self._handles: dict[int, asyncio.TimerHandle] = {}
        self._next_timer_id = 0

    @staticmethod
    def now_s() -> float:
        """Return the time of the monotonic clock.

        Returns
        -------
        float
            Seconds; advances also while the process is stopped, so pauses are detected.
        """
        return time.monotonic()

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> Cancel:
        """Call a function periodically.

        Parameters
        ----------
        interval_s : float
            Delay from one call to the next.
        callback : callable
            Called without arguments.

        Returns
        -------
        callable
            Cancels the subscription.
        """
        timer_id = self._next_timer_id
        self._next_timer_id += 1

        def run_and_reschedule() -> None:
            self._schedule(timer_id, interval_s, run_and_reschedule)
            callback()

        self._schedule(timer_id, interval_s, run_and_reschedule)
        return lambda: self._cancel(timer_id)

    def _schedule(
        self, timer_id: int, delay_s: float, callback: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        self._handles[timer_id] = loop.call_later(delay_s, callback)

    def _cancel(self, timer_id: int) -> None:
        handle = self._handles.pop(timer_id, None)
        if handle is not None:
            handle.cancel()

    async def on_stop(self) -> None:
        """Cancel every subscription."""
        for timer_id in list(self._handles):
            self._cancel(timer_id)
