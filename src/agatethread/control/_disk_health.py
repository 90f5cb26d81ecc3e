"""When a member whose disk refuses writes should let others lead."""

from collections.abc import Callable

#: Refused writes in a row after which a leader lets another one lead: one may pass.
_FAILURES_BORNE = 2
#: Pause before an instance that could not write stands for election again.
_PAUSE_S = 2.0


class DiskHealth:
    """Counts refused writes.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._failures = 0
        self._may_stand_s = 0.0

    def succeed(self) -> None:
        """Note that a write was made."""
        self._failures = 0

    def fail(self) -> bool:
        """Note that a write was refused.

        Returns
        -------
        bool
            Whether a leader should step down.
        """
        self._failures += 1
        if self._failures < _FAILURES_BORNE:
            return False
        self.pause()
        return True

    def pause(self) -> None:
        """Stand for no election for a while."""
        self._may_stand_s = self._now_s() + _PAUSE_S

    @property
    def may_stand(self) -> bool:
        """Whether the member may stand for election."""
        return self._now_s() >= self._may_stand_s
