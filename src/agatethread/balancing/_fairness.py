"""Fair sharing of placements among callers.

Handles a caller that opens many times as many flows as the others while places are
scarce: its openings are queued behind those of all other callers until it is within its
share again. Exceeding the share alone causes no refusal while a place is free.

A caller is what the data path distinguishes: a source address or a client account.
Programs that share an address count as one caller.
"""

from dataclasses import dataclass, field, replace

from agatethread.balancing._records import Opening

#: Counts cover the current and the previous window: the last 0.5 to 1 s.
_WINDOW_S = 0.5
#: Callers counted in a window of a service: more than a dispatcher can serve in that
#: time. Bounds the memory.
_MAX_CALLERS = 2_048
#: Multiple of the mean of the other callers above which a caller exceeds its share:
#: more than the random variation between callers with equal work.
_OVERUSE_FACTOR = 4.0
#: Openings in both windows up to which no caller exceeds its share: allows two bursts
#: of a few flows.
_MIN_OVERUSE_COUNT = 12


@dataclass(slots=True)
class _Window:
    """Openings in a window, by caller (Misra-Gries summary).

    A row is the counter of one caller. An opening of a caller without a row lowers all
    rows by one if no row is free. Each row is then too low by at most
    `opening_count / (limit_count + 1)`.
    """

    #: Time of the window's start in units of its length.
    index: int = 0
    opening_count: int = 0
    rows: dict[int, int] = field(default_factory=dict)
    #: Callers counted before the rows ran out, and those of them that have no row in
    #: the previous window.
    caller_count: int = 0
    first_seen_count: int = 0
    is_truncated: bool = False

    def record(self, caller: int, previous: "_Window", limit_count: int) -> None:
        """Count an opening."""
        self.opening_count += 1
        count = self.rows.get(caller)
        if count is not None:
            self.rows[caller] = count + 1
            return
        if len(self.rows) >= limit_count:
            self.is_truncated = True
            self.rows = {
                other_caller: remaining_count - 1
                for other_caller, remaining_count in self.rows.items()
                if remaining_count > 1
            }
            return
        self.rows[caller] = 1
        if not self.is_truncated:
            self.caller_count += 1
            self.first_seen_count += caller not in previous.rows


class CallerCounts:
    """Openings of the last 0.5 to 1 s, by caller, in bounded memory.

    A caller's count is never too high. In each window it is too low by at most
    `opening_count / (limit_count + 1)`; with fewer callers than rows it is exact. The
    number of callers is never overestimated, so `exceeds_share` is never True for a
    caller within its share.

    Parameters
    ----------
    limit_count : int, optional
        Callers that a window has a row for.
    """

    def __init__(self, limit_count: int = _MAX_CALLERS):
        self._limit_count = limit_count
        self._current = _Window()
        self._previous = _Window()

    def __len__(self) -> int:
        return len(self._current.rows) + len(self._previous.rows)

    def record(self, caller: int, now_s: float) -> None:
        """Count an opening that was placed or queued.

        Parameters
        ----------
        caller : int
            The caller.
        now_s : float
            Current time, never less than in earlier calls.
        """
        self._advance_windows(now_s)
        self._current.record(caller, self._previous, self._limit_count)

    def count(self, caller: int, now_s: float) -> int:
        """Return the number of a caller's recent openings.

        Parameters
        ----------
        caller : int
            The caller.
        now_s : float
            Current time.

        Returns
        -------
        int
            Openings counted in the last 0.5 to 1 s.
        """
        self._advance_windows(now_s)
        return self._current.rows.get(caller, 0) + self._previous.rows.get(caller, 0)

    def exceeds_share(self, caller: int, now_s: float) -> bool:
        """Return whether a caller exceeds its share.

        Parameters
        ----------
        caller : int
            The caller.
        now_s : float
            Current time.

        Returns
        -------
        bool
            True if it had more than a few recent openings and several times the mean of
            the other callers; False without other callers.
        """
        own_count = self.count(caller, now_s)
        other_caller_count = self._estimate_caller_count() - 1
        if own_count <= _MIN_OVERUSE_COUNT or other_caller_count < 1:
            return False
        total_count = self._current.opening_count + self._previous.opening_count
        mean_count = (total_count - own_count) / other_caller_count
        return own_count > _OVERUSE_FACTOR * mean_count

    def _advance_windows(self, now_s: float) -> None:
        index = int(now_s // _WINDOW_S)
        elapsed_windows = index - self._current.index
        if elapsed_windows <= 0:
            return
        self._previous = self._current if elapsed_windows == 1 else _Window()
        self._current = _Window(index)

    def _estimate_caller_count(self) -> int:
        current, previous = self._current, self._previous
        if previous.is_truncated:
            # A caller without a row in the previous window may still be in its
            # caller_count.
            return max(current.caller_count, previous.caller_count)
        return previous.caller_count + current.first_seen_count


def defer_if_over_share(
    opening: Opening, exceeds_share: bool, waiting_count: int
) -> Opening:
    """Return an opening, deferred if its caller exceeds its share and others wait.

    Handles a caller that opens many more flows than others while places are scarce.

    Parameters
    ----------
    opening : Opening
        The opening.
    exceeds_share : bool
        Whether its caller exceeds its share.
    waiting_count : int
        Other openings that are queued for the same servers.

    Returns
    -------
    Opening
        A copy that is queued behind all others; the opening itself if its caller is
        within its share or no other opening is queued.
    """
    if not exceeds_share or not waiting_count:
        return opening
    return replace(opening, is_deferred=True)
