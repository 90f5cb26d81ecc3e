"""Selection of dispatchers and assignment of backend servers to them.

Handles failure domains with more entry instances than slots per instance: a few of them
place the openings of all. Every instance computes the same result from shared data.
"""

from collections.abc import Sequence
from math import ceil

from xxhash import xxh64_intdigest

#: Slots of the failure domain for each dispatcher. With fewer dispatchers, placement
#: and its traffic would be concentrated on a few instances and their links.
_SLOTS_PER_DISPATCHER = 2
#: Maximum number of dispatchers that a message can list.
_MAX_DISPATCHERS = 128


def _rendezvous_weight(dispatcher: bytes, server_id: int) -> int:
    return xxh64_intdigest(dispatcher + server_id.to_bytes(8, "big"))


def choose_dispatchers(
    entry_addresses: Sequence[bytes], slot_count: int
) -> tuple[bytes, ...]:
    """Return the entry instances that place the openings of a failure domain.

    Parameters
    ----------
    entry_addresses : sequence of bytes
        Packed addresses of the serving entry instances, in any order.
    slot_count : int
        Slots of the domain's backend servers.

    Returns
    -------
    tuple of bytes
        Packed addresses; the same for the same instances in any order. With the same
        `slot_count`, an entry instance that joins or leaves replaces at most one
        dispatcher, or changes their number by one. Empty without entry instances.
    """
    # Server id 0 stands for no server: the order depends on the address only.
    wanted_count = ceil(slot_count / _SLOTS_PER_DISPATCHER)
    count = min(max(1, wanted_count), _MAX_DISPATCHERS)
    ranked = sorted(
        set(entry_addresses),
        key=lambda address: (_rendezvous_weight(address, 0), address),
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
    assigned_by_dispatcher: dict[bytes, list[int]] = {
        address: [] for address in dispatchers
    }
    if not assigned_by_dispatcher:
        return {}
    min_count, remainder = divmod(len(set(server_ids)), len(assigned_by_dispatcher))
    for server_id in sorted(set(server_ids)):
        ranked = sorted(
            assigned_by_dispatcher,
            key=lambda address: (-_rendezvous_weight(address, server_id), address),
        )
        for dispatcher in ranked:
            assigned = len(assigned_by_dispatcher[dispatcher])
            if assigned < min_count:
                break
            if assigned == min_count and remainder:
                remainder -= 1
                break
        assigned_by_dispatcher[dispatcher].append(server_id)
    return {
        dispatcher: tuple(assigned)
        for dispatcher, assigned in assigned_by_dispatcher.items()
    }
