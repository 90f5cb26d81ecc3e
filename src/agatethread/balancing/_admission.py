"""Who is placed, who waits, who goes elsewhere and who is refused.

The load that this answers: callers who want more than all slots together bear, for a
moment or for long, some of them urgent. A refused caller is back within milliseconds
and gives up after a few tries, so an opening that can be served in time waits; the less
urgent find more ahead of them, and so are refused first.
"""

from enum import Enum
from math import inf

from agatethread.balancing._records import Elsewhere, GroupLoad, Opening

#: A caller sends a copy of an opening that nobody answers after 0.2 and 0.6 s, and
#: gives the flow up after 1.4 s. By then the backend server's answer must have come.
PATIENCE_S = 1.3
#: By how much sooner an opening must be placed in another failure domain: the way there
#: and back several times, and its bytes are dearer than those at home.
_CROSSING_S = 0.03
#: The same within the failure domain: the way there, and what has changed meanwhile.
_MOVING_S = 0.003


class Verdict(Enum):
    """What becomes of an opening."""

    PLACE = "place"
    WAIT = "wait"
    HAND_OVER = "hand over"
    REFUSE = "refuse"


def expected_wait_s(load: GroupLoad, ahead_count: int) -> float:
    """Estimate how long an opening waits for a place.

    Parameters
    ----------
    load : GroupLoad
        Of the servers that it waits for.
    ahead_count : int
        Openings that get a place before it.

    Returns
    -------
    float
        Seconds; infinity where there is no place at all.
    """
    if load.free_count > ahead_count:
        return 0.0
    if not load.place_count:
        return inf
    behind_count = ahead_count - load.free_count + 1
    return behind_count * load.place_time_s / load.place_count


def latest_place_s(opening: Opening) -> float:
    """Find until when an opening is worth placing.

    Parameters
    ----------
    opening : Opening
        The opening.

    Returns
    -------
    float
        Time after which its caller has given up.
    """
    return opening.asked_s + min(PATIENCE_S, opening.timeout_s)


def judge_opening(
    opening: Opening,
    load: GroupLoad,
    ahead_count: int,
    now_s: float,
    elsewhere: Elsewhere | None = None,
) -> Verdict:
    """Decide what becomes of an opening.

    Parameters
    ----------
    opening : Opening
        The opening.
    load : GroupLoad
        Of the servers at hand.
    ahead_count : int
        Openings that wait for them and go first.
    now_s : float
        Present time.
    elsewhere : Elsewhere or None, optional
        Where else it may be placed; None if nowhere.

    Returns
    -------
    Verdict
        Never a refusal while a place is free.
    """
    if load.free_count > ahead_count:
        return Verdict.PLACE
    wait_s = expected_wait_s(load, ahead_count)
    if elsewhere is not None:
        margin_s = _CROSSING_S if elsewhere.crosses else _MOVING_S
        if (elsewhere.wait_s or 0.0) + margin_s < wait_s:
            return Verdict.HAND_OVER
    if now_s + wait_s <= latest_place_s(opening):
        return Verdict.WAIT
    return Verdict.REFUSE
