"""Which instances place openings, and on which backend servers.

The load that this answers: more entry instances than a service has slots for each. A
few of them place for all; the choice needs no agreement, since it is a function of what
all know.
"""

from collections.abc import Sequence
from math import ceil

from xxhash import xxh64_intdigest

#: Slots for each dispatcher. With ten and more, servers of one dispatcher even out, so
#: that an opening seldom waits while another's are free; with many more it would place
#: more openings than a small instance and its link bear.
_SLOTS_EACH = 12
#: Entry instances for each dispatcher at least: the others serve callers only.
_ENTRIES_EACH = 4
#: What one poll's answer can name.
_MOST = 16


def _weight(dispatcher: bytes, number: int) -> int:
    return xxh64_intdigest(dispatcher + number.to_bytes(8, "big"))


def choose_dispatchers(entries: Sequence[bytes], slot_count: int) -> tuple[bytes, ...]:
    """Choose which entry instances of a failure domain place its openings.

    Parameters
    ----------
    entries : sequence of bytes
        Packed addresses of those that serve, in any order.
    slot_count : int
        Slots of the domain's backend servers.

    Returns
    -------
    tuple of bytes
        Alike for the same entries; one that joins or leaves changes one choice. Empty
        where nobody serves.
    """
    by_slots = ceil(slot_count / _SLOTS_EACH)
    by_entries = ceil(len(entries) / _ENTRIES_EACH)
    count = min(max(1, by_slots), by_entries, _MOST)
    ranked = sorted(set(entries), key=lambda address: (_weight(address, 0), address))
    return tuple(ranked[:count])


def choose_for_service(
    dispatchers: Sequence[bytes], service: str, slot_count: int
) -> tuple[bytes, ...]:
    """Choose which dispatchers of a failure domain place a service's openings.

    The load that this answers: a failure domain has as many dispatchers as all its
    services need. Shared out among all of them, one service's servers would be too few
    for each to even out.

    Parameters
    ----------
    dispatchers : sequence of bytes
        Packed addresses of those of the failure domain, in any order.
    service : str
        The service.
    slot_count : int
        Slots of its backend servers in the failure domain.

    Returns
    -------
    tuple of bytes
        One at least, where there is any.
    """
    number = xxh64_intdigest(service.encode())
    ranked = sorted(dispatchers, key=lambda one: (_weight(one, number), one))
    return tuple(ranked[: max(1, ceil(slot_count / _SLOTS_EACH))])


def share_out(
    numbers: Sequence[int], dispatchers: Sequence[bytes]
) -> dict[bytes, tuple[int, ...]]:
    """Share backend servers out among dispatchers.

    Rendezvous hashing with bounded loads: each server goes to the dispatcher that
    weighs most for it among those that have room, so that counts differ by one at most
    and few servers move when one comes or goes.

    Parameters
    ----------
    numbers : sequence of int
        64 bits that name each server, in any order.
    dispatchers : sequence of bytes
        Packed addresses, in any order.

    Returns
    -------
    dict of bytes to tuple of int
        The numbers by dispatcher; empty without dispatchers.
    """
    shares: dict[bytes, list[int]] = {one: [] for one in dispatchers}
    if not shares:
        return {}
    least, with_one_more = divmod(len(set(numbers)), len(shares))
    for number in sorted(set(numbers)):
        ranked = sorted(shares, key=lambda one: (-_weight(one, number), one))
        for dispatcher in ranked:
            held = len(shares[dispatcher])
            if held < least:
                break
            if held == least and with_one_more:
                with_one_more -= 1
                break
        shares[dispatcher].append(number)
    return {dispatcher: tuple(held) for dispatcher, held in shares.items()}
