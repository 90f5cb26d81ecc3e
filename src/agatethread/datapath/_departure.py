"""Decides when a stopping instance may leave.

To leave is to become not ready, and to go on forwarding packets for the notice time
until routers send elsewhere. Handles a rolling restart: if more than half of the
instances of a failure domain are not ready, routers send to all of them, also to ended
processes. So these instances leave in turn: one waits while too many others are away,
i.e. not ready, or ahead, i.e. due to leave before it.
"""

from collections.abc import Callable

from agatethread.registry import DomainView
from agatethread.settings import DEFAULT_POLICIES, Policies

#: Routers probe every half second and send elsewhere after two failures. With
#: a longer notice more instances are away at a time during a rolling restart.
NOTICE_S = 1.2
#: Largest share of the grace time that the notice takes.
_MAX_NOTICE_RATIO = 0.6
#: Part of the grace time that is left for the shutdown.
_SHUTDOWN_MARGIN_S = 0.8
#: Time without an answer of any control instance after which the instance leaves; the
#: instance polls every 0.1 s while it waits to leave.
_NO_ANSWER_TIMEOUT_S = 0.3
#: Largest share of a failure domain's instances that are away at a time. The others
#: have to carry the load.
_MAX_AWAY_RATIO = 0.25


class Departure:
    """Decides when a stopping instance may leave.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    grace_s : float
        Time from the stop request until the process is killed.
    policies : Policies, optional
        Sets the longest wait for other instances; a short grace time reduces it.
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
        # Without time to wait, which may be negative, the instance leaves at once.
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
            Whether it may become not ready.
        """
        waited_s = self._now_s() - self.requested_s
        if waited_s >= self._max_wait_s:
            return True
        if domain is None:
            return waited_s >= _NO_ANSWER_TIMEOUT_S
        max_away = max(1, int(_MAX_AWAY_RATIO * (domain.others + 1)))
        return domain.away + domain.ahead < max_away
