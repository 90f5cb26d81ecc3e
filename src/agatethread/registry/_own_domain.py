"""Decides when following control instances of the own failure domain suffices.

Traffic between failure domains then grows with the number of control instances, not of
entry instances. The own failure domain suffices while two of its control instances are
in contact with a Raft leader, have sent every backend server, and are polled by each
control instance that this process or control instances of other failure domains reach.
Here, a control instance is reachable while it sent a message within the last second,
its lease; see `Subscription.reachable_links`.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from agatethread.observability import Event, make_logger
from agatethread.registry._control_link import ControlLink
from agatethread.registry._selection import FOLLOWED_COUNT

#: Control instances of the own failure domain that suffice; tolerates loss of one.
OWN_DOMAIN_COUNT = 2
#: Time for which the own failure domain may lack a control instance that others reach,
#: since control instances detect a start or an end at different times.
_VIEW_DIFFERENCE_TIMEOUT_S = 0.6
#: Time for which the own failure domain has to suffice again before the others are
#: unfollowed; following them again transfers all changes since.
_RECOVERY_DELAY_S = 2.0
#: Time for the own failure domain to send its state after a start or after all were
#: unreachable, before others are asked for the same state.
_INITIAL_SYNC_TIMEOUT_S = 1.0

log = make_logger("registry")


def choose_own_domain(
    reachable: Iterable[ControlLink],
    failure_domain: str,
    allow_incomplete: bool = False,
) -> list[ControlLink]:
    """Return the control instances of the own failure domain to follow alone.

    Parameters
    ----------
    reachable : iterable of ControlLink
        Control instances that sent a message within their lease of 1 s.
    failure_domain : str
        Failure domain of the entry instance.
    allow_incomplete : bool, optional
        Whether to accept instances that are still sending their state.

    Returns
    -------
    list of ControlLink
        `OWN_DOMAIN_COUNT` of them, the same ones at all entry instances; empty if
        fewer are in contact with a Raft leader, know every backend server and have sent
        them.
    """
    own_domain = [
        link
        for link in reachable
        if link.failure_domain == failure_domain and _is_usable(link, allow_incomplete)
    ]
    own_domain.sort(key=lambda link: link.address)
    return own_domain[:OWN_DOMAIN_COUNT] if len(own_domain) >= OWN_DOMAIN_COUNT else []


def _is_usable(link: ControlLink, allow_incomplete: bool = False) -> bool:
    """Return whether a control instance has the full state, and sent it if required."""
    is_synchronized = link.complete or allow_incomplete
    return link.hears_leader and link.settled and is_synchronized


def choose_other_count(
    links: Iterable[ControlLink], reachable: Iterable[ControlLink], failure_domain: str
) -> int:
    """Return the number of control instances of other failure domains to follow.

    Parameters
    ----------
    links : iterable of ControlLink
        All known control instances.
    reachable : iterable of ControlLink
        Control instances that sent a message within their lease of 1 s.
    failure_domain : str
        Failure domain of the entry instance.

    Returns
    -------
    int
        One if there are several control instances in the own failure domain and some
        in others, and of the own ones two are reachable, or a reachable one has sent
        its full state; else `FOLLOWED_COUNT` less one.
    """
    known_domains = [link.failure_domain for link in links]
    own_domain = [link for link in reachable if link.failure_domain == failure_domain]
    has_several = known_domains.count(failure_domain) >= OWN_DOMAIN_COUNT
    has_others = any(domain != failure_domain for domain in known_domains)
    is_covered = len(own_domain) >= OWN_DOMAIN_COUNT or any(map(_is_usable, own_domain))
    return 1 if has_several and has_others and is_covered else FOLLOWED_COUNT - 1


def find_controls_missed_by(
    own_domain: Sequence[ControlLink], reachable: Iterable[ControlLink]
) -> set[bytes]:
    """Return the control instances that those of the own failure domain do not reach.

    The own failure domain would not relay the changes of such an instance.

    Parameters
    ----------
    own_domain : sequence of ControlLink
        Control instances of the own failure domain.
    reachable : iterable of ControlLink
        All control instances that sent a message within their lease of 1 s.

    Returns
    -------
    set of bytes
        Packed addresses of instances that are in `reachable`, or polled one of these in
        the last second, but polled none of `own_domain`.
    """
    missing: set[bytes] = set()
    for link in reachable:
        missing.add(link.address)
        missing |= link.controls
    for link in own_domain:
        missing.discard(link.address)
        missing -= link.controls
    return missing


def add_own_domain_controls(
    followed: Sequence[ControlLink],
    reachable: Iterable[ControlLink],
    failure_domain: str,
) -> list[ControlLink]:
    """Return the followed control instances with more of the own failure domain.

    Only followed instances can show that the own failure domain suffices again.

    Parameters
    ----------
    followed : sequence of ControlLink
        Followed control instances.
    reachable : iterable of ControlLink
        Control instances that sent a message within their lease of 1 s.
    failure_domain : str
        Failure domain of the entry instance.

    Returns
    -------
    list of ControlLink
        Contains `OWN_DOMAIN_COUNT` of the own failure domain, or all reachable ones if
        these are fewer.
    """
    own_domain = [link for link in followed if link.failure_domain == failure_domain]
    missing_count = max(0, OWN_DOMAIN_COUNT - len(own_domain))
    added = sorted(
        (
            link
            for link in reachable
            if link.failure_domain == failure_domain and link not in followed
        ),
        key=lambda link: link.address,
    )
    return [*followed, *added[:missing_count]]


def has_self_sufficient_domain(
    failure_domain: str, others: Iterable[ControlLink]
) -> bool:
    """Return whether some failure domain has enough control instances of its own.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this control instance.
    others : iterable of ControlLink
        Other control instances.

    Returns
    -------
    bool
        Whether there are several failure domains, and entry instances of one may follow
        only its own control instances.
    """
    counts = Counter([failure_domain, *(link.failure_domain for link in others)])
    return max(counts.values()) >= OWN_DOMAIN_COUNT and len(counts) > 1


class OwnDomainSelector:
    """Decides at each poll whether the own failure domain suffices.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry instance.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, failure_domain: str, now_s: Callable[[], float]):
        self._failure_domain = failure_domain
        self._now_s = now_s
        self._last_consistent_s = float("-inf")
        #: Since when the own failure domain suffices again; None while it does not, and
        #: -inf if no recovery delay applies, as before the first loss.
        self._sufficient_since_s: float | None = float("-inf")
        self._first_reply_s: float | None = None
        self._is_sufficient = False

    def choose(self, reachable: Sequence[ControlLink]) -> list[ControlLink]:
        """Return the control instances of the own failure domain, if they suffice.

        Parameters
        ----------
        reachable : sequence of ControlLink
            Control instances that sent a message within their lease of 1 s.

        Returns
        -------
        list of ControlLink
            Empty if other failure domains have to be followed, too.
        """
        now_s = self._now_s()
        if not reachable:
            # No recovery delay applies when the own failure domain answers again.
            self._first_reply_s, self._sufficient_since_s = None, float("-inf")
            return []
        if self._first_reply_s is None:
            self._first_reply_s = now_s
        own_domain = self._select(reachable, now_s)
        if bool(own_domain) != self._is_sufficient:
            self._is_sufficient = bool(own_domain)
            self._log_change(own_domain, reachable)
        return own_domain

    def _select(
        self, reachable: Sequence[ControlLink], now_s: float
    ) -> list[ControlLink]:
        is_initial_sync = now_s - self._first_reply_s < _INITIAL_SYNC_TIMEOUT_S
        own_domain = choose_own_domain(reachable, self._failure_domain, is_initial_sync)
        if own_domain and not find_controls_missed_by(own_domain, reachable):
            self._last_consistent_s = now_s
        if (
            not own_domain
            or now_s - self._last_consistent_s > _VIEW_DIFFERENCE_TIMEOUT_S
        ):
            # No recovery delay applies after an initial sync.
            if not is_initial_sync:
                self._sufficient_since_s = None
            return []
        if self._sufficient_since_s is None:
            self._sufficient_since_s = now_s
        return (
            own_domain if now_s - self._sufficient_since_s >= _RECOVERY_DELAY_S else []
        )

    def _log_change(
        self, own_domain: Sequence[ControlLink], reachable: Sequence[ControlLink]
    ) -> None:
        if own_domain:
            followed = [link.address.hex() for link in own_domain]
            log.info(Event.FOLLOWS_OWN_DOMAIN, followed=followed)
            return
        candidates = [
            link for link in reachable if link.failure_domain == self._failure_domain
        ]
        states = [
            f"{link.address.hex()} leader={link.hears_leader} settled={link.settled} "
            f"complete={link.complete}"
            for link in candidates
        ]
        unreachable = [
            address.hex() for address in find_controls_missed_by(candidates, reachable)
        ]
        log.info(Event.FOLLOWS_OTHER_DOMAINS, at_home=states, unheard=unreachable)
