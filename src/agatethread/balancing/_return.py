"""When callers that were refused should come back.

The load that this answers: an outage or a crowd leaves many callers refused at once. If
all are told the same time, all are back at that time, and most are refused again. Here
each is told the time at which the servers get to it after those refused before it.
"""

from math import floor, inf

#: Longest time told; a caller that could be served after it tries again nearer to it.
_MOST_RETRY_AFTER_S = 30.0
#: Most of the time by which a caller may come sooner, for each step of urgency, and as
#: a share of the wait. Instances that refuse callers of the same servers know nothing
#: of each other; a whole wait of jitter would bring the callers of its end too soon.
_JITTER_EACH_S = 0.05
_MOST_JITTER_RATIO = 0.5
#: Pause between two looks for owners whose times have passed; until then such a one
#: counts as one turn more.
_FORGET_PAUSE_S = 0.1
#: Most work that callers are told to bring in a second, as a ratio of what is done in
#: one, while there is room before the end. Half a second's work is a wait that most
#: callers' deadlines bear.
_MOST_WORK_RATIO = 1.5


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

    Owners of many callers take turns: one that had thousands refused does not put off
    another's first. Times once told stay, so those of an owner that has few lie between
    them, and for a while more come than can be served, by a bounded ratio. A caller
    that does not come back costs those refused after it its turn, until the time
    passes; callers that are not refused do not wait for it.
    """

    def __init__(self) -> None:
        self._last_s = -inf
        #: Last time told to each owner; those that have passed are forgotten.
        self._last_of: dict[str, float] = {}
        self._forget_at_s = -inf
        #: Work that the callers told bring in each second.
        self._work_s: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._last_of)

    def book(self, owner: str, wait_s: float, turn_s: float, now_s: float) -> float:
        """Find the time at which the servers get to one more caller.

        Parameters
        ----------
        owner : str
            Whose caller it is.
        wait_s : float
            Time until it would have its turn, had nobody been told to come back.
        turn_s : float
            Time that they need for one caller more.
        now_s : float
            Present time.

        Returns
        -------
        float
            Seconds from now: after all of this owner's that were told a time before,
            and as many of each other's; no later than after all of all owners'.
        """
        own_last_s = self._last_of.pop(owner, -inf)
        self._forget(now_s)
        first_s, latest_s = now_s + wait_s, now_s + _MOST_RETRY_AFTER_S
        in_turn_s = max(own_last_s, first_s) + turn_s * (1 + len(self._last_of))
        self._last_s = min(max(self._last_s, first_s) + turn_s, latest_s)
        booked_s = self._last_s
        if in_turn_s < booked_s:
            booked_s = min(self._find_room(in_turn_s, turn_s), booked_s)
        self._last_of[owner] = booked_s
        second = floor(booked_s)
        self._work_s[second] = self._work_s.get(second, 0.0) + turn_s
        return booked_s - now_s

    def _find_room(self, from_s: float, turn_s: float) -> float:
        """Find a time in a second for which not too many are told to come."""
        second = floor(from_s)
        while self._work_s.get(second, 0.0) + turn_s > _MOST_WORK_RATIO:
            if second > self._last_s:
                return inf
            second += 1
        beyond_s = max(0.0, self._work_s.get(second, 0.0) - 1.0)
        # What is more than can be done in it is spread over the second.
        return max(from_s, second + beyond_s / (_MOST_WORK_RATIO - 1))

    def _forget(self, now_s: float) -> None:
        if now_s < self._forget_at_s:
            return
        self._forget_at_s = now_s + _FORGET_PAUSE_S
        self._last_of = {
            owner: last_s for owner, last_s in self._last_of.items() if last_s > now_s
        }
        present = floor(now_s)
        self._work_s = {
            second: work_s
            for second, work_s in self._work_s.items()
            if second >= present
        }
