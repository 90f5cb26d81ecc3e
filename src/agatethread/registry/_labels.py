"""Derives the labels that packets carry, the same on every instance."""

from xxhash import xxh32_intdigest

from agatethread.registry._report import START_UNKNOWN


def derive_label(number: int, started_ms: int = START_UNKNOWN) -> int:
    """Return the label that packets carry for a run, from its number and start time.

    Every instance derives the same label, so labels are not stored. Each start has its
    own label: otherwise an instance that has not received the start would assign its
    flows to the previous run, and reset them.

    Parameters
    ----------
    number : int
        64 bits that identify the backend server in datagrams.
    started_ms : int, optional
        When the run started.

    Returns
    -------
    int
        32 bits; never 0, the label that callers send before they know a backend server.
    """
    data = number.to_bytes(8, "big")
    if started_ms != START_UNKNOWN:
        data += started_ms.to_bytes(8, "big")
    return xxh32_intdigest(data) or 1
