"""Selection of dispatchers and assignment of backend servers to them.

Handles failure domains with more entry instances than slots per instance: a few of them
place the openings of all. Every instance computes the same result from shared data.
"""

from collections.abc import Sequence
from math import ceil

from xxhash import xxh64_intdigest

#: The slots of one small backend server, so that many instances share the placement
#: work and no link carries the openings of all.
_SLOTS_PER_DISPATCHER = 2
#: Most dispatchers that a message can list.
_MAX_DISPATCHERS = 128


def _rendezvous_weight(dispatcher: bytes, server_id: int) -> int:
    return xxh64_intdigest(dispatcher + server_id.to_bytes(8, "big"))


def choose_dispatchers(entries: Sequence[bytes], slot_count: int) -> tuple[bytes, ...]:
    """Return the entry instances that place the openings of a failure domain.

    Parameters
    ----------
    entries : sequence of bytes
        Packed addresses of the serving entry instances, in any order.
    slot_count : int
        Slots of the domain's backend servers.

    Returns
    -------
    tuple of bytes
        Packed addresses; the same for the same entries in any order. An entry instance
        that joins or leaves changes at most one. Empty without entries.
    """
    wanted_count = ceil(slot_count / _SLOTS_PER_DISPATCHER)
    count = min(max(1, wanted_count), _MAX_DISPATCHERS)
    ranked = sorted(
        set(entries), key=lambda address: (_rendezvous_weight(address, 0), address)
    )
    return tuple(ranked[:count])


def assign_servers(
    server_ids: Sequence[int], dispatchers: Sequence[bytes]
) -> dict[bytes, tuple[int, ...]]:
    """Return the backend servers assigned to each dispatcher.

    Rendezvous hashing with bounded loads: each server goes to the dispatcher of highest
    weight that has capacity left, so that counts differ by at most one and few servers
    move when a server or dispatcher is added or removed.

    Parameters
    ----------
    server_ids : sequence of int
        64-bit identifier of each server, in any order.
    dispatchers : sequence of bytes
        Packed addresses, in any order.

    Returns
    -------
    dict of bytes to tuple of int
        Server identifiers by dispatcher; empty without dispatchers.
    """
    shares: dict[bytes, list[int]] = {address: [] for address in dispatchers}
    if not shares:
        return {}
    min_count, remainder = divmod(len(set(server_ids)), len(shares))
    for server_id in sorted(set(server_ids)):
        ranked = sorted(
            shares,
            key=lambda address: (-_rendezvous_weight(address, server_id), address),
        )
        for dispatcher in ranked:
            assigned = len(shares[dispatcher])
            if assigned < min_count:
                break
            if assigned == min_count and remainder:
                remainder -= 1
                break
        shares[dispatcher].append(server_id)
    return {dispatcher: tuple(assigned) for dispatcher, assigned in shares.items()}
