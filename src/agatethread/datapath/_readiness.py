"""Readiness of an entry instance to get packets."""

from collections.abc import Callable

from agatethread.settings import DEFAULT_POLICIES, Policies

#: A longer gap between two checks means that the process was suspended long enough for
#: its state to be outdated.
_MAX_CHECK_GAP_S = 2.0
#: Time after the start from which the instance serves with an incomplete list of runs.
_MAX_INCOMPLETE_S = 4.0


class Readiness:
    """Decides whether an entry instance is ready to get packets.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    policies : Policies, optional
        Sets the wait for a control instance after the process was suspended.
    """

    def __init__(
        self, now_s: Callable[[], float], policies: Policies = DEFAULT_POLICIES
    ):
        self._resume_wait_s = policies.relearn_wait_s
        self._now_s = now_s
        self._started_s = now_s()
        self._last_check_s = self._started_s
        self._resume_until_s = 0.0
        self._has_been_ready = False
        self.stopping = False

    def check(
        self,
        has_table: bool,
        has_backends: bool,
        is_complete: bool,
        last_delta_s: float,
    ) -> bool:
        """Return whether the instance is ready to get packets.

        Parameters
        ----------
        has_table : bool
            Whether there is a routing table.
        has_backends : bool
            Whether any run is known.
        is_complete : bool
            Whether all reporting runs are known.
        last_delta_s : float
            Time of the last delta (update of runs) from a control instance.

        Returns
        -------
        bool
            Whether routers should send it packets.
        """
        now_s = self._now_s()
        if now_s - self._last_check_s > _MAX_CHECK_GAP_S:
            self._resume_until_s = now_s + self._resume_wait_s
        resumed_s = self._resume_until_s - self._resume_wait_s
        self._last_check_s = now_s
        if self.stopping or not has_table or not has_backends:
            return False
        if self._has_been_ready:
            # The state from before the suspension may be outdated.
            return now_s >= self._resume_until_s or last_delta_s > resumed_s
        if not is_complete and now_s - self._started_s < _MAX_INCOMPLETE_S:
            return False
        self._has_been_ready = True
        return True
