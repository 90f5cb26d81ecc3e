"""Inputs of admission decisions."""

from dataclasses import dataclass
from math import inf

#: Added to the urgency of deferred openings. Larger than any urgency that a routing
#: document can set, so that they are queued behind those of all set urgencies.
DEFERRED_RANK = 1_000


@dataclass(frozen=True, slots=True)
class Opening:
    """Request of a caller to open a flow.

    Attributes
    ----------
    urgency : int
        0 is the most urgent.
    requested_s : float
        When the caller first sent it, by the clock of the deciding instance.
    aim_s : float, optional
        Time after `requested_s` within which the caller wants its answer.
    timeout_s : float, optional
        Time after `requested_s` after which the caller discards an answer.
    caller : int, optional
        Identifies the caller for fair sharing.
    is_deferred : bool, optional
        Whether it is queued behind the openings of all urgencies.
    """

    urgency: int
    requested_s: float
    aim_s: float = inf
    timeout_s: float = inf
    caller: int = 0
    is_deferred: bool = False

    @property
    def rank(self) -> int:
        """Queueing rank; 0 goes first."""
        return self.urgency + DEFERRED_RANK if self.is_deferred else self.urgency


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Load of the backend servers that one instance places flows on.

    Attributes
    ----------
    free_count : int
        Free places.
    waiting_count : int
        All openings that are queued for a place, for load reports; admission decisions
        count only those ahead of an opening.
    place_count : int
        Places: openings and requests that the servers may have in progress together.
    place_time_s : float
        Duration for which an opening or request usually occupies a place.
    """

    free_count: int
    waiting_count: int
    place_count: int
    place_time_s: float


@dataclass(frozen=True, slots=True)
class PlacementAlternative:
    """Another instance that may place an opening.

    Attributes
    ----------
    wait_s : float or None
        Expected wait there; None if unknown, which is treated as no wait.
    crosses : bool, optional
        Whether a handover to it crosses into another failure domain.
    """

    wait_s: float | None
    crosses: bool = False
