"""Decides when a stopping instance may stop getting packets.

Handles a rolling restart. If more than half of the instances of a failure domain are
not ready, routers send to all of them, also to ended processes. So the instances of a
failure domain leave in turn.
"""

from collections.abc import Callable

from agatethread.registry import DomainView
from agatethread.settings import DEFAULT_POLICIES, Policies

#: Routers probe every half second and send elsewhere after two failures. A longer
#: notice would take more instances out at a time during a rolling restart.
NOTICE_S = 1.2
#: Largest share of the grace time that the notice takes.
_MAX_NOTICE_RATIO = 0.6
#: Part of the grace time that is left for the shutdown.
_SHUTDOWN_MARGIN_S = 0.8
#: Three polls of the control instances.
_CONTROL_TIMEOUT_S = 0.3
#: Largest share of a failure domain's instances that are away at a time. The others
#: have to carry the load, and routers send to all if more than half are away.
_MAX_AWAY_RATIO = 0.25


class Departure:
    """Decides when a stopping instance may stop getting packets.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    grace_s : float
        Time from the stop request until the process is killed.
    policies : Policies, optional
        Sets the longest wait for other instances.
    """

    def __init__(
        self,
        now_s: Callable[[], float],
        grace_s: float,
        policies: Policies = DEFAULT_POLICIES,
    ):
        self._now_s = now_s
        #: Time of the stop request.
        self.requested_s = now_s()
        #: Time for which it still forwards packets after leaving.
        self.notice_s = min(NOTICE_S, _MAX_NOTICE_RATIO * grace_s)
        self._max_wait_s = min(
            policies.turn_wait_s, grace_s - self.notice_s - _SHUTDOWN_MARGIN_S
        )

    def may_leave(self, domain: DomainView | None) -> bool:
        """Return whether the instance may leave now.

        Parameters
        ----------
        domain : DomainView or None
            State of its failure domain, reported since the stop request; None if no
            control instance answered.

        Returns
        -------
        bool
            Whether it may stop getting packets.
        """
        waited_s = self._now_s() - self.requested_s
        if waited_s >= self._max_wait_s:
            return True
        if domain is None:
            return waited_s >= _CONTROL_TIMEOUT_S
        max_away = max(1, int(_MAX_AWAY_RATIO * (domain.others + 1)))
        return domain.away + domain.ahead < max_away
