"""Which callers take more than their share, and what that means for their openings.

The load that this answers: under pressure one caller opens many times as many flows as
each of the others. In the order in which openings come, all wait for it. Here only its
own openings wait longer: they go behind all others while it is over its share, and
before them again as soon as it is not. Nobody is refused for it beside a free place.

A caller is whatever the data path tells apart: a source address, a client account. Many
programs behind one address are one caller, and share what one gets while others wait;
without pressure, or with nobody else there, they have all there is.
"""

from dataclasses import dataclass, field, replace

from agatethread.balancing._records import Opening

#: What is counted are this window and the one before, so the last 0.5 to 1 s.
_WINDOW_S = 0.5
#: Callers counted in a window, some 100 bytes each for each service: more than a
#: dispatcher can place openings of in that time.
_MOST_CALLERS = 2_048
#: Times the mean of the others from which on a caller is over. Callers with like work
#: differ by less.
_OVER_FACTOR = 4.0
#: Openings within the windows up to which nobody is over: a program may open half a
#: dozen flows at once, and do so twice.
_FLOOR_COUNT = 12


@dataclass(slots=True)
class _Window:
    """Openings in a window, by caller.

    Once a caller finds all rows in use, one is taken off each row: then rows are too
    low, by no more than the openings of the window divided by the rows and one.
    """

    number: int = 0
    opening_count: int = 0
    rows: dict[int, int] = field(default_factory=dict)
    #: Callers seen before the rows ran out, and those not in the window before.
    caller_count: int = 0
    new_count: int = 0
    is_short: bool = False

    def note(self, caller: int, before: "_Window", limit_count: int) -> None:
        """Count an opening."""
        self.opening_count += 1
        count = self.rows.get(caller)
        if count is not None:
            self.rows[caller] = count + 1
            return
        if len(self.rows) >= limit_count:
            self.is_short = True
            self.rows = {one: left - 1 for one, left in self.rows.items() if left > 1}
            return
        self.rows[caller] = 1
        if not self.is_short:
            self.caller_count += 1
            self.new_count += caller not in before.rows


class CallerShares:
    """Openings of the last second, by caller, in bounded memory.

    A caller's count is never too high, and too low by no more than the openings of a
    window divided by its rows and one; with fewer callers than rows it is exact. The
    callers are never counted too many. So nobody is found over who is not.

    Parameters
    ----------
    limit_count : int, optional
        Callers that a window has a row for.
    """

    def __init__(self, limit_count: int = _MOST_CALLERS):
        self._limit_count = limit_count
        self._current = _Window()
        self._before = _Window()

    def __len__(self) -> int:
        return len(self._current.rows) + len(self._before.rows)

    def note(self, caller: int, now_s: float) -> None:
        """Count an opening that was taken on: given a place, or a turn among others.

        Parameters
        ----------
        caller : int
            Whose it is.
        now_s : float
            Present time, never less than before.
        """
        self._advance(now_s)
        self._current.note(caller, self._before, self._limit_count)

    def count(self, caller: int, now_s: float) -> int:
        """Count the openings of a caller that were taken on lately.

        Parameters
        ----------
        caller : int
            The caller.
        now_s : float
            Present time.

        Returns
        -------
        int
            Its count in the last 0.5 to 1 s.
        """
        self._advance(now_s)
        return self._current.rows.get(caller, 0) + self._before.rows.get(caller, 0)

    def is_over(self, caller: int, now_s: float) -> bool:
        """Tell whether a caller has taken clearly more than its share lately.

        Parameters
        ----------
        caller : int
            The caller.
        now_s : float
            Present time.

        Returns
        -------
        bool
            Whether it took more than a few openings, and several times the mean of the
            other callers. With no other caller there it never has.
        """
        own_count = self.count(caller, now_s)
        other_callers = self._caller_count() - 1
        if own_count <= _FLOOR_COUNT or other_callers < 1:
            return False
        total_count = self._current.opening_count + self._before.opening_count
        mean_count = (total_count - own_count) / other_callers
        return own_count > _OVER_FACTOR * mean_count

    def _advance(self, now_s: float) -> None:
        number = int(now_s // _WINDOW_S)
        passed_count = number - self._current.number
        if passed_count <= 0:
            return
        self._before = self._current if passed_count == 1 else _Window()
        self._current = _Window(number)

    def _caller_count(self) -> int:
        current, before = self._current, self._before
        if before.is_short:
            # A caller without a row there may have been counted there all the same.
            return max(current.caller_count, before.caller_count)
        return before.caller_count + current.new_count


def rank_opening(opening: Opening, is_over: bool, waiting_count: int) -> Opening:
    """Put an opening behind all others if its caller takes more than its share.

    The load that this answers: a caller that opens twenty times as much as others while
    there are fewer places than openings. Where nobody else waits, nothing is changed.

    Parameters
    ----------
    opening : Opening
        The opening.
    is_over : bool
        Whether its caller has taken more than its share lately.
    waiting_count : int
        Other openings that wait for the same servers.

    Returns
    -------
    Opening
        The same, to go behind all others or as it was.
    """
    if not is_over or not waiting_count:
        return opening
    return replace(opening, is_behind=True)
