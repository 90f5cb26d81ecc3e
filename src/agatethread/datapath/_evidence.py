"""Evidence that a run of a backend server is alive, or can't be reached."""

from dataclasses import dataclass
from enum import Enum


class ProbeOutcome(Enum):
    """What a connection to a backend server showed; the value is used in logs."""

    ACCEPTED = "accepted"
    #: Nothing listens at the address.
    REFUSED = "refused"
    NO_REPLY = "no_reply"
    #: The fault is in this process or its host.
    INCONCLUSIVE = "inconclusive"


@dataclass(frozen=True, slots=True)
class UnreachableVerdict:
    """The evidence on which a run was found unreachable.

    Attributes
    ----------
    at_s : float
        Time of the verdict.
    silent_s : float
        Time for which the run answered nobody.
    flows_waiting : int
        Flows at this instance that waited for an answer.
    answered_by : str
        Id of another run that had just answered.
    waiting_everywhere, observers : int
        Waiting flows at all instances, and the number of these instances.
    """

    at_s: float
    silent_s: float
    flows_waiting: int
    answered_by: str
    waiting_everywhere: int
    observers: int
