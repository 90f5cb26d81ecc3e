"""Which control instances an entry instance follows, and what for.

It follows two of its own failure domain where these are enough, see `_home`. Else it
follows three, one of its own failure domain and two of others, so that neither the
death of one nor a cut keeps a drain from it. Those that hear a leader go first among
the others: only they learn of a new routing table.
"""

from collections.abc import Iterable, Sequence

from agatethread.registry._link import HubLink
from agatethread.registry._presence import NO_RANK, EntryRank

#: One that was asked for all it knows so lately may still answer: a poll.
_ANSWER_S = 0.4
#: One that has not answered for so long may be out of reach: many round trips.
_SILENT_S = 0.3
#: Control instances that an entry instance follows: the loss of two is borne.
FOLLOWED_COUNT = 3


def choose_followed(
    live: Sequence[HubLink], failure_domain: str, others_count: int = FOLLOWED_COUNT - 1
) -> list[HubLink]:
    """Choose the control instances to follow.

    Parameters
    ----------
    live : sequence of HubLink
        Those that answered lately.
    failure_domain : str
        Of the entry instance.
    others_count : int, optional
        How many to follow besides the first.

    Returns
    -------
    list of HubLink
        The first is of its own failure domain, if one is there.
    """

    # When one was heard last is no criterion, or links would change at each poll.
    def rank(link: HubLink) -> tuple[bool, bool, bytes]:
        is_away = link.failure_domain != failure_domain
        return (is_away, not link.complete, link.address)

    ranked = sorted(live, key=rank)
    first = ranked[:1]
    domains = {link.failure_domain for link in first}
    others = [link for link in ranked[1:] if link.failure_domain not in domains]
    # What one that the first does not hear takes would come through nobody else.
    heard = {address for link in first for address in link.controls}
    others = sorted(
        others or ranked[1:],
        key=lambda link: (not link.hears_leader, bool(heard) and link.address in heard),
    )
    return first + others[:others_count]


def is_enough(followed: Sequence[HubLink], count: int = FOLLOWED_COUNT) -> bool:
    """Tell whether no other control instance has to be looked for.

    Parameters
    ----------
    followed : sequence of HubLink
        Those that are followed.
    count : int, optional
        How many are to be.

    Returns
    -------
    bool
        False also without a leader in sight: another one may hear one.
    """
    has_leader = any(link.hears_leader for link in followed)
    return has_leader and len(followed) >= count


def choose_routes_teller(
    followed: Sequence[HubLink], routes_version: int
) -> HubLink | None:
    """Choose who tells of routing tables, so that each comes once.

    With three that told, a change of 240 routes every 0.17 s took a tenth of a link of
    2 Mbit/s, and one of 1,600 routes two thirds. One that does not hear a leader learns
    of no table; if one that does is late, all are asked: what they told at the poll
    before is known by now if nothing is wrong.

    Parameters
    ----------
    followed : sequence of HubLink
        Those that are followed.
    routes_version : int
        Of the table that is known.

    Returns
    -------
    HubLink or None
        None if all are to tell.
    """
    if any(link.routes_version > routes_version for link in followed):
        return None
    return next((link for link in followed if link.hears_leader), None)


def is_cut_off(
    links: Iterable[HubLink], live: Sequence[HubLink], failure_domain: str
) -> bool:
    """Tell whether the own failure domain is cut off from all others.

    An instance that hears a control instance of another domain, or one that hears a
    leader, can still be told of orders, and has to obey those that it knows.

    Parameters
    ----------
    links : iterable of HubLink
        All known control instances.
    live : sequence of HubLink
        Those that answered lately.
    failure_domain : str
        Of this instance.

    Returns
    -------
    bool
        Whether it hears control instances of its own domain only, and these are fewer
        than half of all and hear no leader.
    """
    known = list(links)
    at_home = [link for link in known if link.failure_domain == failure_domain]
    if len(known) <= 2 * len(at_home):
        return False
    return bool(live) and all(
        link.failure_domain == failure_domain and not link.hears_leader for link in live
    )


def are_silent(links: Iterable[HubLink], failure_domain: str, now_s: float) -> bool:
    """Tell whether no control instance of another failure domain answers.

    One that was not asked lately says nothing, and is not cut off by that; and the one
    that was asked last may be gone by itself. When a second one is asked, several are.

    Parameters
    ----------
    links : iterable of HubLink
        All known control instances.
    failure_domain : str
        Of this instance.
    now_s : float
        Present time.

    Returns
    -------
    bool
        Whether two of them, or the only one, were asked in vain for many round trips.
    """
    others = [link for link in links if link.failure_domain not in ("", failure_domain)]
    silent = [link for link in others if now_s - link.unanswered_s >= _SILENT_S]
    return len(silent) >= min(2, len(others))


def widest_rank(live: Iterable[HubLink], failure_domain: str = "") -> EntryRank:
    """Find an entry instance's rank among all.

    Parameters
    ----------
    live : iterable of HubLink
        The control instances that answered lately.
    failure_domain : str, optional
        Of the entry instance.

    Returns
    -------
    EntryRank
        As the one says that knows of the most; of several one at home, which hears all
        entry instances there. `NO_RANK` if none does.
    """
    widest = max(
        live,
        key=lambda link: (link.rank.count, link.failure_domain == failure_domain),
        default=None,
    )
    return widest.rank if widest else NO_RANK


def knows_more(link: HubLink, others: Sequence[HubLink]) -> bool:
    """Tell whether a control instance knows what none of some others can.

    Parameters
    ----------
    link : HubLink
        The control instance.
    others : sequence of HubLink
        The others.

    Returns
    -------
    bool
        Whether it alone knows every backend server, or every routing table.
    """
    has_runs = link.settled and not any(one.settled for one in others)
    has_routes = link.hears_leader and not any(one.hears_leader for one in others)
    return has_runs or has_routes


def needs_asking(
    link: HubLink, live: Iterable[HubLink], now_s: float, routes_version: int
) -> bool:
    """Tell whether one that has just said that it is there is asked for all it knows.

    Parameters
    ----------
    link : HubLink
        The control instance.
    live : iterable of HubLink
        Those that answered lately.
    now_s : float
        Present time.
    routes_version : int
        Of the table that is known; 0 if there is none, and nothing can be served.

    Returns
    -------
    bool
        False if one as good tells already.
    """
    oldest_s = now_s - _ANSWER_S
    telling = [
        one
        for one in live
        if one.complete
        or one.polled_s > oldest_s
        or (one.seen_index > 0 and not one.is_left)
    ]
    has_first_table = link.routes_version > 0 and not routes_version
    if has_first_table and not any(one.routes_version for one in telling):
        return True
    return not telling or knows_more(link, telling)
