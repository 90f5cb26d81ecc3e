"""When a stopping instance asks for no more packets: in turn within its domain.

The load that this answers is a rolling restart. Each instance is out of the routers'
choice for about 2.3 s, also if its successor is told to stop after 1.2 s. With more
than half of a failure domain out, the routers send to all its instances, so also to
the one whose process has just ended: those packets are lost. So one goes when the one
before it is up again; routers notice its going later than the other's coming.
"""

from collections.abc import Callable

from agatethread.registry import DomainView
from agatethread.settings import DEFAULT_POLICIES, Policies

#: Routers ask each half second, and send elsewhere after two misses. A longer notice
#: would leave more instances out at a time when they restart in turn.
NOTICE_S = 1.2
#: Share of the time until it is killed that the notice may take at most.
_GRACE_RATIO = 0.6
#: Left over of the time until it is killed, for ending what is open.
_MARGIN_S = 0.8
#: No control instance answers within three polls: nobody can be asked.
_UNANSWERED_S = 0.3
#: Share of a failure domain's instances that may be out at a time. Half of them is
#: where the routers change their rule; the others also have to carry the load.
_MOST_AWAY_RATIO = 0.25


class Departure:
    """Tells a stopping instance when it may ask for no more packets.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    grace_s : float
        Time from the order to stop until the process is killed.
    policies : Policies, optional
        How long it waits for others at most.
    """

    def __init__(
        self,
        now_s: Callable[[], float],
        grace_s: float,
        policies: Policies = DEFAULT_POLICIES,
    ):
        self._now_s = now_s
        #: When the order came.
        self.asked_s = now_s()
        #: How long it goes on to forward afterwards.
        self.notice_s = min(NOTICE_S, _GRACE_RATIO * grace_s)
        self._longest_wait_s = min(
            policies.turn_wait_s, grace_s - self.notice_s - _MARGIN_S
        )

    def may_go(self, domain: DomainView | None) -> bool:
        """Decide.

        Parameters
        ----------
        domain : DomainView or None
            The failure domain, as told since the order came; None if nobody answered.

        Returns
        -------
        bool
            Whether to ask for no more packets now.
        """
        waited_s = self._now_s() - self.asked_s
        if waited_s >= self._longest_wait_s:
            return True
        if domain is None:
            return waited_s >= _UNANSWERED_S
        most_away = max(1, int(_MOST_AWAY_RATIO * (domain.others + 1)))
        return domain.away + domain.ahead < most_away
