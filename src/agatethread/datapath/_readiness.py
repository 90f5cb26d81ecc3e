"""Whether this instance should get packets: a decision of its own."""

from collections.abc import Callable

from agatethread.settings import DEFAULT_POLICIES, Policies

#: A pause between two checks that means that the process stood still.
_PAUSE_S = 2.0
#: It goes without knowing every backend server if none of the control instances can
#: tell for so long: some service is better than none.
_LONGEST_WAIT_S = 4.0


class Readiness:
    """Turns true once enough is known, and false while stopping.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    policies : Policies, optional
        How long it waits after a pause to hear from a control instance.
    """

    def __init__(
        self, now_s: Callable[[], float], policies: Policies = DEFAULT_POLICIES
    ):
        self._relearn_wait_s = policies.relearn_wait_s
        self._now_s = now_s
        self._started_s = now_s()
        self._checked_s = self._started_s
        self._relearn_until_s = 0.0
        self._was_ready = False
        self.stopping = False

    def check(
        self,
        has_table: bool,
        has_backends: bool,
        is_complete: bool,
        heard_control_s: float,
    ) -> bool:
        """Decide.

        Parameters
        ----------
        has_table : bool
            Whether there is a routing table.
        has_backends : bool
            Whether any backend server is known.
        is_complete : bool
            Whether all backend servers are known that report.
        heard_control_s : float
            When a control instance was last heard.

        Returns
        -------
        bool
            Whether it should get packets.
        """
        now_s = self._now_s()
        if now_s - self._checked_s > _PAUSE_S:
            self._relearn_until_s = now_s + self._relearn_wait_s
        woke_s = self._relearn_until_s - self._relearn_wait_s
        self._checked_s = now_s
        if self.stopping or not has_table or not has_backends:
            return False
        if self._was_ready:
            # What it knew before the pause may be wrong by now.
            return now_s >= self._relearn_until_s or heard_control_s > woke_s
        if not is_complete and now_s - self._started_s < _LONGEST_WAIT_S:
            return False
        self._was_ready = True
        return True
