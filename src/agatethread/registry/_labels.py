"""The labels that packets carry, which every instance derives alike."""

from xxhash import xxh32_intdigest

from agatethread.registry._report import START_NOT_TOLD


def label_of(number: int, started_ms: int = START_NOT_TOLD) -> int:
    """Derive the label that packets carry from the number and start of a run.

    Every instance derives the same, so none has to remember labels given out.
    Each start has a label of its own: an instance that has not heard of a start yet
    would else take its flows for those of the run before, and reset them.

    Parameters
    ----------
    number : int
        64 bits that name the backend server.
    started_ms : int, optional
        When the run started.

    Returns
    -------
    int
        32 bits, never 0: a caller that knows no backend server sends 0.
    """
    data = number.to_bytes(8, "big")
    if started_ms != START_NOT_TOLD:
        data += started_ms.to_bytes(8, "big")
    return xxh32_intdigest(data) or 1
