"""Selects the control instances that an entry instance follows.

Two of the own failure domain where these suffice, else one of the own failure domain
and one or two of others, so that updates survive the loss of an instance or a network
partition; `_own_domain` decides these numbers. Instances in contact with a Raft leader
are preferred: only they receive new routing tables. Here, a control instance is
reachable while it sent a message within the last second, the lease of a control
instance; see `Subscription.reachable_links`.
"""

from collections.abc import Iterable, Sequence

from agatethread.registry._control_link import ControlLink
from agatethread.registry._presence import UNKNOWN_RANK, EntryRank

#: Time after a poll for which its reply is awaited before another instance is polled.
_POLL_REPLY_TIMEOUT_S = 0.4
#: Age of an unanswered request after which a control instance of another failure
#: domain counts as silent; detects a partition sooner than the lease does.
_SILENT_TIMEOUT_S = 0.3
#: Most control instances that an entry instance follows; tolerates the loss of two.
FOLLOWED_COUNT = 3


def choose_followed(
    reachable: Sequence[ControlLink],
    failure_domain: str,
    others_count: int = FOLLOWED_COUNT - 1,
) -> list[ControlLink]:
    """Return the control instances to follow.

    Parameters
    ----------
    reachable : sequence of ControlLink
        Control instances that sent a message within the lease.
    failure_domain : str
        Failure domain of the entry instance.
    others_count : int, optional
        Number of instances to follow besides the first; not of its failure domain, if
        others are reachable.

    Returns
    -------
    list of ControlLink
        The first is of the own failure domain, if one is reachable.
    """

    # Does not sort by the time of the last answer, which changes at each poll.
    def sort_key(link: ControlLink) -> tuple[bool, bool, bytes]:
        is_other_domain = link.failure_domain != failure_domain
        return (is_other_domain, not link.complete, link.address)

    ranked = sorted(reachable, key=sort_key)
    first = ranked[:1]
    first_domains = {link.failure_domain for link in first}
    others = [link for link in ranked[1:] if link.failure_domain not in first_domains]
    relayed = {address for link in first for address in link.controls}
    others = sorted(
        others or ranked[1:],
        key=lambda link: (
            not link.hears_leader,
            # The first instance can't relay changes of an instance it does not reach.
            bool(relayed) and link.address in relayed,
        ),
    )
    return first + others[:others_count]


def follows_enough(
    followed: Sequence[ControlLink], count: int = FOLLOWED_COUNT
) -> bool:
    """Return whether enough control instances are followed.

    Parameters
    ----------
    followed : sequence of ControlLink
        Followed control instances.
    count : int, optional
        Number of control instances to follow.

    Returns
    -------
    bool
        False also if none of them is in contact with a Raft leader, since a control
        instance that is not followed may be.
    """
    has_leader = any(link.hears_leader for link in followed)
    return has_leader and len(followed) >= count


def choose_routes_source(
    followed: Sequence[ControlLink], routes_version: int
) -> ControlLink | None:
    """Return the control instance that sends routing tables.

    A single instance sends each table, since tables are large and may change often. It
    must be in contact with a Raft leader, to receive new tables. All followed instances
    may send tables while one of them has a newer table than this process.

    Parameters
    ----------
    followed : sequence of ControlLink
        Followed control instances.
    routes_version : int
        Version of the current table.

    Returns
    -------
    ControlLink or None
        None if every followed instance may send tables.
    """
    if any(link.routes_version > routes_version for link in followed):
        return None
    return next((link for link in followed if link.hears_leader), None)


def is_cut_off(
    links: Iterable[ControlLink], reachable: Sequence[ControlLink], failure_domain: str
) -> bool:
    """Return whether the own failure domain is cut off from all others.

    An instance that reaches a control instance of another failure domain, or one with
    a leader, can still receive changes of evacuations and must apply the current ones.

    Parameters
    ----------
    links : iterable of ControlLink
        All known control instances.
    reachable : sequence of ControlLink
        Control instances that sent a message within the lease.
    failure_domain : str
        Failure domain of this instance.

    Returns
    -------
    bool
        Whether only control instances of the own failure domain are reachable, and
        none of these is in contact with a Raft leader. False if none is reachable, or
        if the own failure domain has at least half of all known control instances.
    """
    all_links = list(links)
    own_domain = [link for link in all_links if link.failure_domain == failure_domain]
    if len(all_links) <= 2 * len(own_domain):
        return False
    return bool(reachable) and all(
        link.failure_domain == failure_domain and not link.hears_leader
        for link in reachable
    )


def are_other_domains_unreachable(
    links: Iterable[ControlLink], failure_domain: str, now_s: float
) -> bool:
    """Return whether no control instance of another failure domain answers.

    An instance does not answer if a request to it is unanswered for 0.3 s. Requires two
    such instances, since a single one may have failed by itself.

    Parameters
    ----------
    links : iterable of ControlLink
        All known control instances.
    failure_domain : str
        Failure domain of this instance.
    now_s : float
        Current time.

    Returns
    -------
    bool
        Whether two of them do not answer, or the only one. True if none is known.
    """
    others = [link for link in links if link.failure_domain not in ("", failure_domain)]
    silent = [
        link for link in others if now_s - link.unanswered_since_s >= _SILENT_TIMEOUT_S
    ]
    return len(silent) >= min(2, len(others))


def most_complete_rank(
    reachable: Iterable[ControlLink], failure_domain: str = ""
) -> EntryRank:
    """Return the rank of an entry instance among all entry instances.

    Parameters
    ----------
    reachable : iterable of ControlLink
        Control instances that sent a message within the lease.
    failure_domain : str, optional
        Failure domain of the entry instance.

    Returns
    -------
    EntryRank
        Rank from the control instance that counts the most entry instances; among
        equals one of the own failure domain. `UNKNOWN_RANK` if there is none.
    """
    best = max(
        reachable,
        key=lambda link: (link.rank.count, link.failure_domain == failure_domain),
        default=None,
    )
    return best.rank if best else UNKNOWN_RANK


def has_additional_state(link: ControlLink, others: Sequence[ControlLink]) -> bool:
    """Return whether a control instance has state that none of the others has.

    Parameters
    ----------
    link : ControlLink
        Control instance to compare.
    others : sequence of ControlLink
        Control instances to compare with; with `link` among them, the result is False.

    Returns
    -------
    bool
        Whether it alone knows every backend server, or receives every routing table.
    """
    has_runs = link.settled and not any(other.settled for other in others)
    has_routes = link.hears_leader and not any(other.hears_leader for other in others)
    return has_runs or has_routes


def should_poll(
    link: ControlLink,
    reachable: Iterable[ControlLink],
    now_s: float,
    routes_version: int,
) -> bool:
    """Return whether to poll a control instance that answered a probe or greeted.

    Parameters
    ----------
    link : ControlLink
        Control instance that answered a probe or sent a greeting.
    reachable : iterable of ControlLink
        Control instances that sent a message within the lease.
    now_s : float
        Current time.
    routes_version : int
        Version of the current routing table; 0 if there is none.

    Returns
    -------
    bool
        False if instances that are polled already send the same state.
    """
    oldest_s = now_s - _POLL_REPLY_TIMEOUT_S
    sources = [
        other
        for other in reachable
        if other.complete
        or other.polled_s > oldest_s
        or (other.seen_index > 0 and not other.is_unfollowed)
    ]
    offers_first_table = link.routes_version > 0 and not routes_version
    if offers_first_table and not any(other.routes_version for other in sources):
        return True
    return not sources or has_additional_state(link, sources)
