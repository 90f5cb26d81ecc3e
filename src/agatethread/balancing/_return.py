"""When callers that were refused should come back.

The load that this answers: an outage or a crowd leaves many callers refused at once. If
all are told the same time, all are back at that time, and most are refused again. Here
each is told the time at which the servers get to it after those refused before it.
"""

from math import inf

#: Longest time told; a caller that could be served after it tries again nearer to it.
_MOST_RETRY_AFTER_S = 30.0
#: Most of the time by which a caller may come sooner, for each step of urgency, and as
#: a share of the wait. Instances that refuse callers of the same servers know nothing
#: of each other; a whole wait of jitter would bring the callers of its end too soon.
_JITTER_EACH_S = 0.05
_MOST_JITTER_RATIO = 0.5


def choose_retry_after_s(expected_wait_s: float, urgency: int, draw: float) -> float:
    """Choose when a refused caller should come back.

    The load that this answers: many callers for whom the same wait is expected. They
    come spread before its end, the less urgent spread more; never after it, so that no
    server is idle while callers hold back.

    Parameters
    ----------
    expected_wait_s : float
        Time until the servers can serve it.
    urgency : int
        0 is the most urgent.
    draw : float
        Random number from 0 to 1.

    Returns
    -------
    float
        Seconds. Where it can't be served for very long, somewhere in the later half of
        the longest time that is told.
    """
    if expected_wait_s >= _MOST_RETRY_AFTER_S:
        return _MOST_RETRY_AFTER_S * (1 - _MOST_JITTER_RATIO * draw)
    most_jitter_s = _JITTER_EACH_S * (1 + urgency)
    jitter_s = min(most_jitter_s, _MOST_JITTER_RATIO * expected_wait_s)
    return expected_wait_s - jitter_s * draw


class ReturnTimes:
    """Times on which refused callers are expected back, one after the other.

    A caller that does not come back costs those refused after it its turn, until the
    time passes; callers that are not refused do not wait for it.
    """

    def __init__(self) -> None:
        self._last_s = -inf

    def book(self, wait_s: float, turn_s: float, now_s: float) -> float:
        """Find the time at which the servers get to one more caller.

        Parameters
        ----------
        wait_s : float
            Time until they have done what they hold already.
        turn_s : float
            Time that they need for one caller more.
        now_s : float
            Present time.

        Returns
        -------
        float
            Seconds from now, after all that were told a time before.
        """
        latest_s = now_s + _MOST_RETRY_AFTER_S
        next_s = max(self._last_s, now_s + wait_s) + turn_s
        self._last_s = min(next_s, latest_s)
        return self._last_s - now_s
