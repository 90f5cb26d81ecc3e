"""Counts and ranks the entry instances that poll a control instance."""

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

#: Time without a poll after which an entry instance counts as not serving; five polls.
_SERVING_TIMEOUT_S = 2.0


class PollingInstance(Protocol):
    """Fields of `Subscriber` that are read here."""

    failure_domain: str
    last_poll_s: float
    presence: Presence


@dataclass(frozen=True, slots=True)
class DomainView:
    """Counts of the other entry instances of the own failure domain.

    Attributes
    ----------
    others : int
        All other entry instances.
    away : int
        Entry instances that do not serve, or have not polled for 2 s.
    ahead : int
        Leaving entry instances with a lower address, which stop first.
    """

    others: int
    away: int
    ahead: int


@dataclass(frozen=True, slots=True)
class EntryRank:
    """Rank of an entry instance among all known to a control instance."""

    position: int
    count: int


#: Rank before the first reply of a control instance.
UNKNOWN_RANK = EntryRank(0, 0)


def rank_entries(
    entries: Iterable[tuple[str, bytes]],
    reported_counts: Mapping[str, int] = MappingProxyType({}),
) -> dict[bytes, EntryRank]:
    """Return the ranks of entry instances, independent of the order of input.

    Ranks are ordered by failure domain, so that a control instance that reaches only
    its own failure domain needs only the counts of the others.

    Parameters
    ----------
    entries : iterable of tuple of (str, bytes)
        Failure domains and packed addresses of the entry instances that polled this
        control instance within their lease.
    reported_counts : mapping of str to int, optional
        Counts by failure domain, as reported by control instances there.

    Returns
    -------
    dict of bytes to EntryRank
        Ranks by packed address.
    """
    by_domain: dict[str, list[bytes]] = {domain: [] for domain in reported_counts}
    for domain, address in entries:
        by_domain.setdefault(domain, []).append(address)
    sizes = {
        domain: max(len(addresses), reported_counts.get(domain, 0))
        for domain, addresses in by_domain.items()
    }
    count = sum(sizes.values())
    ranks: dict[bytes, EntryRank] = {}
    first = 0
    for domain in sorted(by_domain):
        for position, address in enumerate(sorted(by_domain[domain]), first):
            ranks[address] = EntryRank(position, count)
        first += sizes[domain]
    return ranks


class _EntryCountSource(Protocol):
    """Fields of a control instance that are used to count entry instances."""

    failure_domain: str
    rank: EntryRank


def count_entries_by_domain(controls: Iterable[_EntryCountSource]) -> dict[str, int]:
    """Return the reported number of entry instances of each failure domain.

    Between control instances, the count of a rank is that of one failure domain.

    Parameters
    ----------
    controls : iterable of ControlLink
        Control instances that report them.

    Returns
    -------
    dict of str to int
        Highest reported count by failure domain.
    """
    counts: dict[str, int] = {}
    for control in controls:
        previous_count = counts.get(control.failure_domain, 0)
        counts[control.failure_domain] = max(previous_count, control.rank.count)
    return counts


def count_domain_entries(
    subscribers: Mapping[bytes, PollingInstance], address: bytes, now_s: float
) -> DomainCounts:
    """Return counts of the other entry instances of a subscriber's failure domain.

    Parameters
    ----------
    subscribers : mapping of bytes to PollingInstance
        All subscribers by packed address.
    address : bytes
        Packed address of the requesting subscriber.
    now_s : float
        Current time.

    Returns
    -------
    DomainCounts
        Counts without the subscriber itself.
    """
    domain = subscribers[address].failure_domain
    counts = DomainCounts()
    for other_address, other in subscribers.items():
        if other_address == address or other.failure_domain != domain:
            continue
        # Control instances send no presence.
        if other.presence == PRESENCE_UNKNOWN:
            continue
        counts.others += 1
        if now_s - other.last_poll_s > _SERVING_TIMEOUT_S:
            counts.away += 1
        elif other.presence == PRESENCE_LEAVING:
            counts.ahead += other_address < address
        elif other.presence != PRESENCE_SERVING:
            counts.away += 1
    return counts


def merge_counts(reported_counts: Iterable[DomainCounts]) -> DomainView | None:
    """Return the highest of each count that control instances report.

    Parameters
    ----------
    reported_counts : iterable of DomainCounts
        Counts from each control instance.

    Returns
    -------
    DomainView or None
        None if there are no counts.
    """
    counts = list(reported_counts)
    if not counts:
        return None
    return DomainView(
        others=max(count.others for count in counts),
        away=max(count.away for count in counts),
        ahead=max(count.ahead for count in counts),
    )
