"""Which entry instances place the openings of each failure domain.

The load that this answers: far more entry instances than a service has slots for each,
so that none can tell a busy backend server from a free one by its own flows. A few that
place for all can. Control instances choose them, each for its own failure domain, whose
entry instances all ask it; nothing of this is kept, and the choice is a function of the
instances that serve.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from xxhash import xxh32_intdigest

from agatethread.balancing import choose_dispatchers
from agatethread.registry._link import HubLink
from agatethread.registry._presence import Subscriber
from agatethread.wire.registry_pb2 import (
    PRESENCE_SERVING,
    BackendRun,
    Dispatchers,
    HubState,
)

#: An instance that polls each 0.4 s and was not heard for so long is left out: openings
#: that are relayed to a dead one wait for the caller's next copy.
_HEARD_S = 1.0
#: What a control instance told is used for so long after it was heard last.
_TOLD_S = 2.0


def count_slots(runs: Iterable[BackendRun], failure_domain: str) -> int:
    """Count the slots of a failure domain's backend servers.

    Parameters
    ----------
    runs : iterable of BackendRun
        All runs.
    failure_domain : str
        Its name.

    Returns
    -------
    int
        Of all services together, since the same instances place for all of them.
    """
    return sum(
        run.slots
        for run in runs
        if run.failure_domain == failure_domain and not run.ended and not run.silent
    )


def list_serving(
    failure_domain: str, entries: Iterable[tuple[bytes, Subscriber]], now_s: float
) -> list[bytes]:
    """List the entry instances of a failure domain that serve callers.

    Parameters
    ----------
    failure_domain : str
        Its name.
    entries : iterable of tuple of (bytes, Subscriber)
        Entry instances by their packed addresses, also of other failure domains.
    now_s : float
        Present time.

    Returns
    -------
    list of bytes
        Their packed addresses.
    """
    return [
        address
        for address, entry in entries
        if entry.failure_domain == failure_domain
        and entry.presence == PRESENCE_SERVING
        and now_s - entry.heard_s < _HEARD_S
    ]


def list_heard_by_others(
    failure_domain: str, links: Iterable[HubLink], now_s: float
) -> list[bytes]:
    """List the entry instances that ask the domain's other control instances.

    An entry instance may ask one of them only. If each chose among those that ask it,
    a domain would have two sets of dispatchers for the same backend servers.

    Parameters
    ----------
    failure_domain : str
        Its name.
    links : iterable of HubLink
        The control instances that answered lately.
    now_s : float
        Present time.

    Returns
    -------
    list of bytes
        Their packed addresses.
    """
    return [
        address
        for link in links
        if link.failure_domain == failure_domain
        and now_s - link.serving_told_s < _HEARD_S
        for address in link.serving
    ]


def choose_for_domain(
    failure_domain: str,
    entries: Iterable[tuple[bytes, Subscriber]],
    slot_count: int,
    now_s: float,
    heard_by_others: Iterable[bytes] = (),
) -> Dispatchers:
    """Choose the dispatchers of a failure domain among its entry instances.

    Parameters
    ----------
    failure_domain : str
        Its name.
    entries : iterable of tuple of (bytes, Subscriber)
        Entry instances by their packed addresses, also of other failure domains.
    slot_count : int
        Slots of the domain's backend servers.
    now_s : float
        Present time.
    heard_by_others : iterable of bytes, optional
        Those that other control instances of the domain hear.

    Returns
    -------
    Dispatchers
        Without addresses where nobody serves.
    """
    serving = {*list_serving(failure_domain, entries, now_s), *heard_by_others}
    return Dispatchers(
        failure_domain=failure_domain,
        addresses=choose_dispatchers(sorted(serving), slot_count),
        entry_count=len(serving),
    )


def merge_dispatchers(links: Iterable[HubLink], now_s: float) -> dict[str, Dispatchers]:
    """Merge what control instances told of the dispatchers of all failure domains.

    Parameters
    ----------
    links : iterable of HubLink
        The control instances that answered lately.
    now_s : float
        Present time.

    Returns
    -------
    dict of str to Dispatchers
        By failure domain: as a control instance of that domain says where one is heard,
        else as any other does.
    """
    links = list(links)
    merged: dict[str, Dispatchers] = {}
    for by_its_own in (True, False):
        for link, one in _told_lately(links, now_s):
            if (one.failure_domain == link.failure_domain) is by_its_own:
                merged.setdefault(one.failure_domain, one)
    return merged


def list_first_hand(links: Iterable[HubLink], now_s: float) -> dict[str, Dispatchers]:
    """List what control instances told of the dispatchers of their own failure domain.

    Only this may be told on: two that told each other what they had from a third would
    keep it alive when that one is gone.

    Parameters
    ----------
    links : iterable of HubLink
        The control instances that answered lately.
    now_s : float
        Present time.

    Returns
    -------
    dict of str to Dispatchers
        By failure domain.
    """
    heard: dict[str, Dispatchers] = {}
    for link, one in _told_lately(links, now_s):
        if one.failure_domain == link.failure_domain:
            heard.setdefault(one.failure_domain, one)
    return heard


def _told_lately(
    links: Iterable[HubLink], now_s: float
) -> Iterator[tuple[HubLink, Dispatchers]]:
    """List what names anybody, in an order that is alike on all instances."""
    for link in sorted(links, key=lambda link: link.address):
        if now_s - link.dispatchers_told_s >= _TOLD_S:
            continue
        for one in link.dispatchers:
            if one.addresses:
                yield link, one


def digest_of(known: Sequence[Dispatchers]) -> int:
    """Sum up who the dispatchers are, so that only changes have to be told.

    Parameters
    ----------
    known : sequence of Dispatchers
        In the order of their failure domains.

    Returns
    -------
    int
        32 bits; 0 where nobody is known.
    """
    if not known:
        return 0
    data = b"".join(one.SerializeToString(deterministic=True) for one in known)
    return xxh32_intdigest(data) or 1


class DispatcherDirectory:
    """What a control instance tells of dispatchers.

    Parameters
    ----------
    failure_domain : str
        Of the control instance.
    entries_in_sight : callable
        Lists the entry instances that ask it.
    list_runs : callable
        Lists the runs of backend servers.
    list_controls : callable
        Lists the other control instances that answered lately.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        entries_in_sight: Callable[[], Iterable[tuple[bytes, Subscriber]]],
        list_runs: Callable[[], Iterable[BackendRun]],
        list_controls: Callable[[], Iterable[HubLink]],
        now_s: Callable[[], float],
    ):
        self._failure_domain = failure_domain
        self._entries_in_sight = entries_in_sight
        self._list_runs = list_runs
        self._list_controls = list_controls
        self._now_s = now_s
        #: Before it has heard its entry instances it would choose among a few of them.
        self._chooses_from_s = now_s() + _HEARD_S
        self._known: Sequence[Dispatchers] = ()
        self._digest = 0
        self._serving: Sequence[bytes] = ()

    def __call__(self) -> Sequence[Dispatchers]:
        """Tell the dispatchers of each failure domain.

        Returns
        -------
        sequence of Dispatchers
            As they were chosen last.
        """
        return self._known

    def add_to(self, state: HubState, subscriber: Subscriber) -> None:
        """Add to a reply what the receiver lacks of this.

        Parameters
        ----------
        state : HubState
            Goes with the reply; it is changed.
        subscriber : Subscriber
            The receiver. Another control instance of the domain is also told which
            entry instances ask this one.
        """
        state.dispatchers_digest = self._digest
        if subscriber.dispatchers_digest != self._digest:
            state.dispatchers.extend(self._known)
        if subscriber.is_control and subscriber.failure_domain == self._failure_domain:
            state.serving.extend(self._serving)

    def refresh(self) -> None:
        """Choose anew; to be called a few times a second."""
        now_s = self._now_s()
        domain, controls = self._failure_domain, list(self._list_controls())
        entries = list(self._entries_in_sight())
        self._serving = list_serving(domain, entries, now_s)
        heard = list_first_hand(controls, now_s)
        if now_s >= self._chooses_from_s:
            heard[domain] = choose_for_domain(
                domain,
                entries,
                count_slots(self._list_runs(), domain),
                now_s,
                list_heard_by_others(domain, controls, now_s),
            )
        self._known = [heard[domain] for domain in sorted(heard)]
        self._digest = digest_of(self._known)
