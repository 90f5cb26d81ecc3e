"""Optional features, enabled only in deployments that need them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Parts:
    """The optional features that are enabled.

    Attributes
    ----------
    relays_openings : bool
        Whether entry instances under pressure relay openings to the dispatchers of
        their failure domain, which place them by exact counts, queue them for a slot
        and refuse the less urgent ones first.
    judges_answers : bool
        Whether backend servers get less new work, or none, depending on their answers
        to callers.
    """

    relays_openings: bool = False
    judges_answers: bool = False


#: No optional feature is enabled.
NO_PARTS = Parts()
