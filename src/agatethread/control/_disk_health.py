"""Decides when a member with failing disk writes gives up leadership."""

from collections.abc import Callable

#: Consecutive failed writes after which a leader steps down; one may be transient.
_STEP_DOWN_FAILURE_COUNT = 2
#: Time without candidacy after repeated failed writes, or a failed write of a
#: candidacy.
_CANDIDACY_PAUSE_S = 2.0


class DiskHealth:
    """Counts consecutive failed writes.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._failure_count = 0
        self._candidacy_paused_until_s = 0.0

    def record_success(self) -> None:
        """Record a successful write."""
        self._failure_count = 0

    def record_failure(self) -> bool:
        """Record a failed write.

        Returns
        -------
        bool
            Whether a leader should step down.
        """
        self._failure_count += 1
        if self._failure_count < _STEP_DOWN_FAILURE_COUNT:
            return False
        self.pause_candidacy()
        return True

    def pause_candidacy(self) -> None:
        """Prevent candidacy for `_CANDIDACY_PAUSE_S`."""
        self._candidacy_paused_until_s = self._now_s() + _CANDIDACY_PAUSE_S

    @property
    def may_be_candidate(self) -> bool:
        """Whether the member may become a candidate."""
        return self._now_s() >= self._candidacy_paused_until_s
