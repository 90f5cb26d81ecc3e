"""Admission control for openings: place, queue, hand over or refuse.

Decides what to do with openings that exceed the free places. An opening is queued if a
place is expected for it before its caller gives up. Less urgent openings are queued
behind more urgent ones, so they are refused first.
"""

from enum import Enum
from math import inf

from agatethread.balancing._records import GroupLoad, Opening, PlacementAlternative

#: Callers resend an unanswered opening after 0.2 and 0.6 s and give the flow up after
#: 1.4 s; this leaves time for the backend server's answer.
MAX_PLACEMENT_DELAY_S = 1.3
#: Minimum gain in expected wait for handing an opening over to another failure domain:
#: several round trips and the cost of traffic between failure domains.
_OTHER_DOMAIN_MARGIN_S = 0.03
#: Minimum gain in expected wait for handing an opening over within the failure domain:
#: the transfer, and errors of the estimate by load reports that are out of date.
_OWN_DOMAIN_MARGIN_S = 0.003


class AdmissionDecision(Enum):
    """Admission decision for an opening."""

    PLACE = "place"
    WAIT = "wait"
    HAND_OVER = "hand over"
    REFUSE = "refuse"


def expected_wait_s(load: GroupLoad, ahead_count: int) -> float:
    """Return the estimated time until an opening is placed.

    Parameters
    ----------
    load : GroupLoad
        Load of the backend servers that it waits for.
    ahead_count : int
        Openings that are placed before it.

    Returns
    -------
    float
        Seconds; infinity if the servers have no places.
    """
    if load.free_count > ahead_count:
        return 0.0
    if not load.place_count:
        return inf
    queue_position = ahead_count - load.free_count + 1
    return queue_position * load.place_time_s / load.place_count


def placement_deadline_s(opening: Opening) -> float:
    """Return the latest time at which an opening may be placed.

    Parameters
    ----------
    opening : Opening
        The opening.

    Returns
    -------
    float
        Time after which an answer can't reach the caller before it gives up.
    """
    return opening.requested_s + min(MAX_PLACEMENT_DELAY_S, opening.timeout_s)


def decide_admission(
    opening: Opening,
    load: GroupLoad,
    ahead_count: int,
    now_s: float,
    alternative: PlacementAlternative | None = None,
) -> AdmissionDecision:
    """Return the admission decision for an opening.

    Parameters
    ----------
    opening : Opening
        The opening.
    load : GroupLoad
        Load of the backend servers that this instance places on.
    ahead_count : int
        Openings queued for the same servers that are placed first.
    now_s : float
        Current time.
    alternative : PlacementAlternative or None, optional
        Another instance that may place it; None if there is none.

    Returns
    -------
    AdmissionDecision
        Always `PLACE` while more places are free than openings are ahead.
    """
    if load.free_count > ahead_count:
        return AdmissionDecision.PLACE
    wait_s = expected_wait_s(load, ahead_count)
    if alternative is not None:
        margin_s = (
            _OTHER_DOMAIN_MARGIN_S if alternative.crosses else _OWN_DOMAIN_MARGIN_S
        )
        if (alternative.wait_s or 0.0) + margin_s < wait_s:
            return AdmissionDecision.HAND_OVER
    if now_s + wait_s <= placement_deadline_s(opening):
        return AdmissionDecision.WAIT
    return AdmissionDecision.REFUSE
