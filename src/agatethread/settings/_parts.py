"""Parts of the product that are on only where a deployment calls for them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Parts:
    """Which parts are on; without them instances serve as they do by themselves.

    Attributes
    ----------
    relays_openings : bool
        Whether under pressure entry instances relay openings to the few of their
        failure domain that place them by exact counts, let them wait for a slot there,
        and refuse the less urgent first.
    judges_answers : bool
        Whether backend servers get less new work, or none, by the answers that callers
        have of them.
    """

    relays_openings: bool = False
    judges_answers: bool = False


#: Where nothing calls for any.
NO_PARTS = Parts()
