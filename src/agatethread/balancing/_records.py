"""What the decisions under load are told."""

from dataclasses import dataclass
from math import inf

#: Rank from which on openings go behind those of all urgencies.
BEHIND_ALL = 1_000


@dataclass(frozen=True, slots=True)
class Opening:
    """One caller's wish for a new flow, whose request follows at once.

    Attributes
    ----------
    urgency : int
        0 is the most urgent.
    asked_s : float
        When the caller asked first, by the clock of whoever decides.
    aim_s : float, optional
        Time from there within which the caller wants its answer.
    timeout_s : float, optional
        Time after which an answer is of no use to it.
    caller : int, optional
        Tells callers apart, so that none takes another's room.
    is_behind : bool, optional
        Whether it goes behind those of all urgencies that are not.
    """

    urgency: int
    asked_s: float
    aim_s: float = inf
    timeout_s: float = inf
    caller: int = 0
    is_behind: bool = False

    @property
    def rank(self) -> int:
        """Its place among the urgencies; 0 goes first."""
        return self.urgency + BEHIND_ALL if self.is_behind else self.urgency


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Load of the backend servers whose flows one instance places.

    Attributes
    ----------
    free_count : int
        Openings that can be placed at once.
    waiting_count : int
        Openings that wait for a place.
    place_count : int
        Openings and requests that the servers may have in progress together.
    place_time_s : float
        How long one of them usually keeps its place.
    """

    free_count: int
    waiting_count: int
    place_count: int
    place_time_s: float


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Where else an opening may be placed.

    Attributes
    ----------
    wait_s : float or None
        How long it would wait there; None if nobody knows, so that it finds out.
    crosses : bool, optional
        Whether that is another failure domain.
    """

    wait_s: float | None
    crosses: bool = False
