"""Retry times for refused callers.

Handles many callers that are refused at once in an outage or a burst. A common retry
time would make all of them return together, so each gets the time at which the servers
can serve it after the callers refused before it.
"""

from math import floor, inf

#: Upper bound of retry times; callers that would have to wait longer retry and get a
#: newer estimate.
_MAX_RETRY_AFTER_S = 30.0
#: Bounds of the jitter by which a caller may retry earlier: for each urgency level,
#: counted as 1 for the most urgent, and as a share of the wait. Jitter spreads the
#: retries of callers that different instances refuse.
_JITTER_PER_URGENCY_S = 0.05
_MAX_JITTER_RATIO = 0.5
#: Interval of removing partners whose retry times have passed; until it is removed,
#: each of them delays new reservations by a turn.
_CLEANUP_INTERVAL_S = 0.1
#: Maximum work reserved for one second as a multiple of the capacity. Does not apply to
#: the end of the schedule, where callers are placed if no earlier second has room.
_MAX_RESERVED_RATIO = 1.5


def choose_retry_after_s(expected_wait_s: float, urgency: int, draw: float) -> float:
    """Return the time after which a refused caller should retry.

    Handles many callers with the same expected wait: their retries are spread over the
    time before its end, less urgent ones more widely. No retry is later than the wait,
    so that no server is idle while callers hold back.

    Parameters
    ----------
    expected_wait_s : float
        Time until the servers can serve the caller.
    urgency : int
        0 is the most urgent.
    draw : float
        Random number from 0 to 1.

    Returns
    -------
    float
        Seconds; for waits above `_MAX_RETRY_AFTER_S`, between half of it and all of it.
    """
    if expected_wait_s >= _MAX_RETRY_AFTER_S:
        return _MAX_RETRY_AFTER_S * (1 - _MAX_JITTER_RATIO * draw)
    max_jitter_s = _JITTER_PER_URGENCY_S * (1 + urgency)
    jitter_s = min(max_jitter_s, _MAX_JITTER_RATIO * expected_wait_s)
    return expected_wait_s - jitter_s * draw


class RetrySchedule:
    """Schedule of retry times, shared fairly among the partners that callers belong to.

    Partners take turns, so a partner with thousands of refused callers does not delay
    the first caller of another. Reserved times are not moved: new callers of other
    partners are placed between them, which overbooks a second by a bounded ratio. The
    turn of a caller that does not retry is unused for other refused callers until its
    time has passed.
    """

    def __init__(self) -> None:
        self._latest_reserved_s = -inf
        #: Latest time reserved for each partner; past ones are removed at intervals.
        self._latest_by_partner: dict[str, float] = {}
        self._next_cleanup_s = -inf
        #: Reserved work by second.
        self._reserved_work_s: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._latest_by_partner)

    def reserve(
        self, partner: str, wait_s: float, turn_s: float, now_s: float
    ) -> float:
        """Reserve a retry time for one more caller and return it.

        Parameters
        ----------
        partner : str
            Partner that the caller belongs to.
        wait_s : float
            Expected wait without any reserved retries.
        turn_s : float
            Time that the servers need for one more caller.
        now_s : float
            Current time.

        Returns
        -------
        float
            Seconds from now: one round of turns after the partner's latest time, or
            later if that second has no capacity left; at most one turn after all
            reserved times, and at most `_MAX_RETRY_AFTER_S`.
        """
        own_latest_s = self._latest_by_partner.pop(partner, -inf)
        self._remove_past(now_s)
        earliest_s, latest_s = now_s + wait_s, now_s + _MAX_RETRY_AFTER_S
        fair_turn_s = max(own_latest_s, earliest_s) + turn_s * (
            1 + len(self._latest_by_partner)
        )
        self._latest_reserved_s = min(
            max(self._latest_reserved_s, earliest_s) + turn_s, latest_s
        )
        reserved_s = self._latest_reserved_s
        if fair_turn_s < reserved_s:
            reserved_s = min(self._find_free_time(fair_turn_s, turn_s), reserved_s)
        self._latest_by_partner[partner] = reserved_s
        second = floor(reserved_s)
        self._reserved_work_s[second] = self._reserved_work_s.get(second, 0.0) + turn_s
        return reserved_s - now_s

    def _find_free_time(self, from_s: float, turn_s: float) -> float:
        """Return the earliest time, from a given one on, with capacity left.

        Infinity if there is none up to the latest reserved time.
        """
        second = floor(from_s)
        while self._reserved_work_s.get(second, 0.0) + turn_s > _MAX_RESERVED_RATIO:
            if second > self._latest_reserved_s:
                return inf
            second += 1
        excess_s = max(0.0, self._reserved_work_s.get(second, 0.0) - 1.0)
        # Spread the overbooked work over the second.
        return max(from_s, second + excess_s / (_MAX_RESERVED_RATIO - 1))

    def _remove_past(self, now_s: float) -> None:
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + _CLEANUP_INTERVAL_S
        self._latest_by_partner = {
            partner: last_s
            for partner, last_s in self._latest_by_partner.items()
            if last_s > now_s
        }
        current_second = floor(now_s)
        self._reserved_work_s = {
            second: work_s
            for second, work_s in self._reserved_work_s.items()
            if second >= current_second
        }
