"""Which entry instances of a failure domain serve, as a control instance hears them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from agatethread.wire.registry_pb2 import (
    PRESENCE_LEAVING,
    PRESENCE_SERVING,
    PRESENCE_UNKNOWN,
    DomainCounts,
    Presence,
)

#: A serving instance polls each 0.4 s; one silent for five polls is not serving.
_SILENT_S = 2.0


class Subscriber(Protocol):
    """What is looked at of one that polls."""

    failure_domain: str
    heard_s: float
    presence: Presence


@dataclass(frozen=True, slots=True)
class DomainView:
    """The other entry instances of one's own failure domain.

    Attributes
    ----------
    others : int
        All of them.
    away : int
        Those that do not serve.
    ahead : int
        Those that wait to leave and go first.
    """

    others: int
    away: int
    ahead: int


@dataclass(frozen=True, slots=True)
class EntryRank:
    """An entry instance's rank among all that a control instance hears."""

    position: int
    count: int


#: Nobody has told it yet.
NO_RANK = EntryRank(0, 0)


def rank_entries(
    entries: Iterable[tuple[str, bytes]], told: Mapping[str, int] = MappingProxyType({})
) -> dict[bytes, EntryRank]:
    """Rank entry instances; all that know the same ones rank them alike.

    Those of a failure domain stand together, so that a control instance that hears only
    its own domain's needs but the numbers of the others to rank them among all.

    Parameters
    ----------
    entries : iterable of tuple of (str, bytes)
        Failure domains and packed addresses of those that are heard.
    told : mapping of str to int, optional
        How many there are by failure domain, as control instances there say.

    Returns
    -------
    dict of bytes to EntryRank
        By address.
    """
    by_domain: dict[str, list[bytes]] = {domain: [] for domain in told}
    for domain, address in entries:
        by_domain.setdefault(domain, []).append(address)
    sizes = {
        domain: max(len(heard), told.get(domain, 0))
        for domain, heard in by_domain.items()
    }
    count = sum(sizes.values())
    ranks: dict[bytes, EntryRank] = {}
    first = 0
    for domain in sorted(by_domain):
        for position, address in enumerate(sorted(by_domain[domain]), first):
            ranks[address] = EntryRank(position, count)
        first += sizes[domain]
    return ranks


class _Told(Protocol):
    """What is looked at of a control instance that says how many it hears at home."""

    failure_domain: str
    rank: EntryRank


def count_told(hubs: Iterable[_Told]) -> dict[str, int]:
    """Count the entry instances of each failure domain, as control instances say.

    Parameters
    ----------
    hubs : iterable of HubLink
        The control instances.

    Returns
    -------
    dict of str to int
        By failure domain; as the one says that hears the most.
    """
    counts: dict[str, int] = {}
    for hub in hubs:
        known_count = counts.get(hub.failure_domain, 0)
        counts[hub.failure_domain] = max(known_count, hub.rank.count)
    return counts


def count_domain(
    subscribers: Mapping[bytes, Subscriber], address: bytes, now_s: float
) -> DomainCounts:
    """Count the other entry instances of a subscriber's failure domain.

    Parameters
    ----------
    subscribers : mapping of bytes to Subscriber
        All subscribers by their packed addresses.
    address : bytes
        The subscriber that asks.
    now_s : float
        Present time.

    Returns
    -------
    DomainCounts
        Without the subscriber itself.
    """
    domain = subscribers[address].failure_domain
    counts = DomainCounts()
    for other_address, other in subscribers.items():
        if other_address == address or other.failure_domain != domain:
            continue
        if other.presence == PRESENCE_UNKNOWN:
            continue
        counts.others += 1
        if now_s - other.heard_s > _SILENT_S:
            counts.away += 1
        elif other.presence == PRESENCE_LEAVING:
            counts.ahead += other_address < address
        elif other.presence != PRESENCE_SERVING:
            counts.away += 1
    return counts


def merge_counts(told: Iterable[DomainCounts]) -> DomainView | None:
    """Merge what several control instances say; the most cautious figure is taken.

    Parameters
    ----------
    told : iterable of DomainCounts
        One from each.

    Returns
    -------
    DomainView or None
        None if nobody said anything.
    """
    counts = list(told)
    if not counts:
        return None
    return DomainView(
        others=max(one.others for one in counts),
        away=max(one.away for one in counts),
        ahead=max(one.ahead for one in counts),
    )
