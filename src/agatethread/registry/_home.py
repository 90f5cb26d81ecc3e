"""When an entry instance follows the control instances of its own failure domain only.

The load that this answers: 100 entry instances and more in a few failure domains with
two control instances each. Each change, and each answer to a poll, would cross between
failure domains twice for each entry instance; told at home it crosses once for each
control instance.

Those at home are enough while two of them know all that can be known: they hear a
leader, have told every backend server, and hear each control instance that others do.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from agatethread.observability import Event, make_logger
from agatethread.registry._following import FOLLOWED_COUNT
from agatethread.registry._link import HubLink

#: Control instances at home that are enough: the loss of one is borne without a gap.
HOME_COUNT = 2
#: How long others may hear a control instance that those at home don't: they hear of a
#: start or an end up to a poll and a lease apart.
_DISAGREE_S = 0.6
#: How long those at home have to be enough again before the others are left: leaving
#: and following again costs all that changed meanwhile.
_REGAINED_S = 2.0
#: Time in which those at home tell all they know after a start or when all were out of
#: sight: the others would tell it the same once more.
_FIRST_TELLING_S = 1.0

log = make_logger("registry")


def choose_home(
    live: Iterable[HubLink], failure_domain: str, may_be_incomplete: bool = False
) -> list[HubLink]:
    """Choose the control instances of the own failure domain that are enough.

    Parameters
    ----------
    live : iterable of HubLink
        Those that answered lately.
    failure_domain : str
        Of the entry instance.
    may_be_incomplete : bool, optional
        Whether one may still be telling what it knows.

    Returns
    -------
    list of HubLink
        `HOME_COUNT` of them, the same ones at all entry instances; empty if there are
        fewer that hear a leader, know every backend server and have told them.
    """
    home = [
        link
        for link in live
        if link.failure_domain == failure_domain and _is_whole(link, may_be_incomplete)
    ]
    home.sort(key=lambda link: link.address)
    return home[:HOME_COUNT] if len(home) >= HOME_COUNT else []


def _is_whole(link: HubLink, may_be_incomplete: bool = False) -> bool:
    """Tell whether a control instance knows all, and has told it or still does."""
    has_told = link.complete or may_be_incomplete
    return link.hears_leader and link.settled and has_told


def count_others(
    links: Iterable[HubLink], live: Iterable[HubLink], failure_domain: str
) -> int:
    """Count the control instances of other failure domains to follow.

    Parameters
    ----------
    links : iterable of HubLink
        All known control instances.
    live : iterable of HubLink
        Those that answered lately.
    failure_domain : str
        Of the entry instance.

    Returns
    -------
    int
        One where several are at home, and one of them knows all or two answer: those
        at home and that one bear a loss. Else as many as make up the usual number.
    """
    known_domains = [link.failure_domain for link in links]
    at_home = [link for link in live if link.failure_domain == failure_domain]
    has_several = known_domains.count(failure_domain) >= HOME_COUNT
    has_others = any(domain != failure_domain for domain in known_domains)
    is_told = len(at_home) >= HOME_COUNT or any(map(_is_whole, at_home))
    return 1 if has_several and has_others and is_told else FOLLOWED_COUNT - 1


def find_unheard(home: Sequence[HubLink], live: Iterable[HubLink]) -> set[bytes]:
    """Find the control instances that others hear, and those at home don't.

    What such a one takes and tells would not come through those at home.

    Parameters
    ----------
    home : sequence of HubLink
        Those at home.
    live : iterable of HubLink
        All that answered lately.

    Returns
    -------
    set of bytes
        Their packed addresses.
    """
    heard: set[bytes] = set()
    for link in live:
        heard.add(link.address)
        heard |= link.controls
    for link in home:
        heard.discard(link.address)
        heard -= link.controls
    return heard


def add_home(
    followed: Sequence[HubLink], live: Iterable[HubLink], failure_domain: str
) -> list[HubLink]:
    """Add control instances at home to those that are followed.

    Only one that is followed can show that those at home are enough again.

    Parameters
    ----------
    followed : sequence of HubLink
        Those that are followed.
    live : iterable of HubLink
        Those that answered lately.
    failure_domain : str
        Of the entry instance.

    Returns
    -------
    list of HubLink
        With `HOME_COUNT` at home, if as many answered.
    """
    at_home = [link for link in followed if link.failure_domain == failure_domain]
    missing_count = max(0, HOME_COUNT - len(at_home))
    added = sorted(
        (
            link
            for link in live
            if link.failure_domain == failure_domain and link not in followed
        ),
        key=lambda link: link.address,
    )
    return [*followed, *added[:missing_count]]


def has_home_pair(failure_domain: str, others: Iterable[HubLink]) -> bool:
    """Tell whether some failure domain has control instances enough of its own.

    Parameters
    ----------
    failure_domain : str
        Of the control instance that asks.
    others : iterable of HubLink
        The other control instances.

    Returns
    -------
    bool
        Whether entry instances there may follow these only.
    """
    counts = Counter([failure_domain, *(link.failure_domain for link in others)])
    return max(counts.values()) >= HOME_COUNT and len(counts) > 1


class HomeChoice:
    """Decides at each poll whether those at home are enough.

    Parameters
    ----------
    failure_domain : str
        Of the entry instance.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, failure_domain: str, now_s: Callable[[], float]):
        self._failure_domain = failure_domain
        self._now_s = now_s
        self._agreed_s = float("-inf")
        #: Since when those at home are enough again; None while they are not.
        self._enough_since_s: float | None = float("-inf")
        self._first_heard_s: float | None = None
        self._is_enough = False

    def choose(self, live: Sequence[HubLink]) -> list[HubLink]:
        """Choose those at home, if they are enough.

        Parameters
        ----------
        live : sequence of HubLink
            Those that answered lately.

        Returns
        -------
        list of HubLink
            Empty if others are to be followed, too.
        """
        now_s = self._now_s()
        if not live:
            # Nobody is to be told from those at home when they answer again.
            self._first_heard_s, self._enough_since_s = None, float("-inf")
            return []
        if self._first_heard_s is None:
            self._first_heard_s = now_s
        home = self._judge(live, now_s)
        if bool(home) != self._is_enough:
            self._is_enough = bool(home)
            self._log_change(home, live)
        return home

    def _judge(self, live: Sequence[HubLink], now_s: float) -> list[HubLink]:
        is_first = now_s - self._first_heard_s < _FIRST_TELLING_S
        home = choose_home(live, self._failure_domain, is_first)
        if home and not find_unheard(home, live):
            self._agreed_s = now_s
        if not home or now_s - self._agreed_s > _DISAGREE_S:
            if not is_first:
                self._enough_since_s = None
            return []
        if self._enough_since_s is None:
            self._enough_since_s = now_s
        return home if now_s - self._enough_since_s >= _REGAINED_S else []

    def _log_change(self, home: Sequence[HubLink], live: Sequence[HubLink]) -> None:
        if home:
            followed = [link.address.hex() for link in home]
            log.info(Event.HOME_IS_ENOUGH, followed=followed)
            return
        at_home = [one for one in live if one.failure_domain == self._failure_domain]
        states = [
            f"{one.address.hex()} leader={one.hears_leader} settled={one.settled} "
            f"complete={one.complete}"
            for one in at_home
        ]
        unheard = [address.hex() for address in find_unheard(at_home, live)]
        log.info(Event.HOME_NOT_ENOUGH, at_home=states, unheard=unheard)
