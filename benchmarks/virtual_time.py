"""An event loop in virtual time, for experiments and tests over the real code."""

import asyncio
import selectors


class _SkippingSelector(selectors.SelectSelector):
    """Never waits: the time it was to wait passes at once."""

    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.skipped_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is ready."""

    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Read the virtual clock.

        Returns
        -------
        float
            Seconds.
        """
        return 1000.0 + self._skipping.skipped_s
