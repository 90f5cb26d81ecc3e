"""Chooses the entry instances that place the openings of each failure domain.

With far more entry instances than slots, no entry instance can tell a busy backend
server from a free one by its own flows. A few dispatchers therefore place the openings
of all. Each control instance chooses the dispatchers of its own failure domain, among
the entry instances that poll it or another control instance of the domain. The choice
is a function of the serving instances and is not stored.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from xxhash import xxh32_intdigest

from agatethread.balancing import choose_dispatchers
from agatethread.registry._control_link import ControlLink
from agatethread.registry._presence import PollingInstance
from agatethread.wire.registry_pb2 import (
    PRESENCE_SERVING,
    BackendRun,
    Dispatchers,
    HubState,
)

#: An entry instance without a poll for this time, more than two poll intervals, is not
#: chosen: an opening relayed to a failed dispatcher is lost until its caller resends.
_ENTRY_TIMEOUT_S = 1.0
#: Dispatchers reported by a control instance are used for this time.
_CONTROL_TIMEOUT_S = 2.0


def count_slots(runs: Iterable[BackendRun], failure_domain: str) -> int:
    """Return the number of slots of a failure domain's backend servers.

    Parameters
    ----------
    runs : iterable of BackendRun
        All runs.
    failure_domain : str
        Name of the failure domain.

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


def list_serving_entries(
    failure_domain: str, entries: Iterable[tuple[bytes, PollingInstance]], now_s: float
) -> list[bytes]:
    """Return the entry instances of a failure domain that serve callers.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain.
    entries : iterable of tuple of (bytes, PollingInstance)
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
        and now_s - entry.last_poll_s < _ENTRY_TIMEOUT_S
    ]


def list_serving_at_other_controls(
    failure_domain: str, links: Iterable[ControlLink], now_s: float
) -> list[bytes]:
    """Return the entry instances that poll the domain's other control instances.

    An entry instance may poll only one of them. If each chose among those that poll it,
    a domain would have two sets of dispatchers for the same backend servers.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain.
    links : iterable of ControlLink
        The reachable control instances.
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
        and now_s - link.serving_received_s < _ENTRY_TIMEOUT_S
        for address in link.serving
    ]


def choose_for_domain(
    failure_domain: str,
    entries: Iterable[tuple[bytes, PollingInstance]],
    slot_count: int,
    now_s: float,
    serving_at_other_controls: Iterable[bytes] = (),
) -> Dispatchers:
    """Return the dispatchers of a failure domain, chosen among its entry instances.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain.
    entries : iterable of tuple of (bytes, PollingInstance)
        Entry instances by their packed addresses, also of other failure domains.
    slot_count : int
        Slots of the domain's backend servers.
    now_s : float
        Present time.
    serving_at_other_controls : iterable of bytes, optional
        Entry instances that poll other control instances of the domain.

    Returns
    -------
    Dispatchers
        Without addresses where no entry instance serves.
    """
    serving = {
        *list_serving_entries(failure_domain, entries, now_s),
        *serving_at_other_controls,
    }
    return Dispatchers(
        failure_domain=failure_domain,
        addresses=choose_dispatchers(sorted(serving), slot_count),
        entry_count=len(serving),
    )


def merge_dispatchers(
    links: Iterable[ControlLink], now_s: float
) -> dict[str, Dispatchers]:
    """Return the dispatchers of all failure domains, as reported by control instances.

    Parameters
    ----------
    links : iterable of ControlLink
        The reachable control instances.
    now_s : float
        Present time.

    Returns
    -------
    dict of str to Dispatchers
        By failure domain: as reported by a reachable control instance of that domain,
        or by any other if there is none.
    """
    links = list(links)
    merged: dict[str, Dispatchers] = {}
    for from_own_domain in (True, False):
        for link, dispatchers in _list_recent(links, now_s):
            if (dispatchers.failure_domain == link.failure_domain) is from_own_domain:
                merged.setdefault(dispatchers.failure_domain, dispatchers)
    return merged


def list_by_own_control(
    links: Iterable[ControlLink], now_s: float
) -> dict[str, Dispatchers]:
    """Return the dispatchers that control instances chose for their own domains.

    Only these may be forwarded: two control instances that forwarded to each other what
    a third reported would go on using its report after the third has failed.

    Parameters
    ----------
    links : iterable of ControlLink
        The reachable control instances.
    now_s : float
        Present time.

    Returns
    -------
    dict of str to Dispatchers
        By failure domain.
    """
    by_domain: dict[str, Dispatchers] = {}
    for link, dispatchers in _list_recent(links, now_s):
        if dispatchers.failure_domain == link.failure_domain:
            by_domain.setdefault(dispatchers.failure_domain, dispatchers)
    return by_domain


def _list_recent(
    links: Iterable[ControlLink], now_s: float
) -> Iterator[tuple[ControlLink, Dispatchers]]:
    """Yield recent dispatchers that are not empty, by control instance address.

    With this order all instances choose the same.
    """
    for link in sorted(links, key=lambda link: link.address):
        if now_s - link.dispatchers_received_s >= _CONTROL_TIMEOUT_S:
            continue
        for dispatchers in link.dispatchers:
            if dispatchers.addresses:
                yield link, dispatchers


def compute_digest(all_dispatchers: Sequence[Dispatchers]) -> int:
    """Return a digest of all dispatchers, so that only changes have to be sent.

    Parameters
    ----------
    all_dispatchers : sequence of Dispatchers
        In the order of their failure domains.

    Returns
    -------
    int
        32 bits; 0 where there are none.
    """
    if not all_dispatchers:
        return 0
    data = b"".join(
        each.SerializeToString(deterministic=True) for each in all_dispatchers
    )
    return xxh32_intdigest(data) or 1


class DispatcherDirectory:
    """The dispatchers of each failure domain as a control instance reports them.

    Parameters
    ----------
    failure_domain : str
        Of the control instance.
    list_entries : callable
        Lists the entry instances that poll it.
    list_runs : callable
        Lists the runs of backend servers.
    list_controls : callable
        Lists the other reachable control instances.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        list_entries: Callable[[], Iterable[tuple[bytes, PollingInstance]]],
        list_runs: Callable[[], Iterable[BackendRun]],
        list_controls: Callable[[], Iterable[ControlLink]],
        now_s: Callable[[], float],
    ):
        self._failure_domain = failure_domain
        self._list_entries = list_entries
        self._list_runs = list_runs
        self._list_controls = list_controls
        self._now_s = now_s
        #: No dispatchers are chosen before this time, so that every entry instance can
        #: have polled this control instance.
        self._first_choice_s = now_s() + _ENTRY_TIMEOUT_S
        self._dispatchers: Sequence[Dispatchers] = ()
        self._digest = 0
        self._serving: Sequence[bytes] = ()

    def __call__(self) -> Sequence[Dispatchers]:
        """Return the dispatchers of each failure domain.

        Returns
        -------
        sequence of Dispatchers
            As of the last call of `refresh`.
        """
        return self._dispatchers

    def add_to_reply(self, state: HubState, subscriber: PollingInstance) -> None:
        """Add the dispatchers to a reply if the receiver's digest differs.

        Parameters
        ----------
        state : HubState
            Part of the reply; it is changed.
        subscriber : PollingInstance
            The receiver. Another control instance of the domain also gets the entry
            instances that poll this one.
        """
        state.dispatchers_digest = self._digest
        if subscriber.dispatchers_digest != self._digest:
            state.dispatchers.extend(self._dispatchers)
        if subscriber.is_control and subscriber.failure_domain == self._failure_domain:
            state.serving.extend(self._serving)

    def refresh(self) -> None:
        """Choose the dispatchers again; to be called a few times a second."""
        now_s = self._now_s()
        domain, controls = self._failure_domain, list(self._list_controls())
        entries = list(self._list_entries())
        self._serving = list_serving_entries(domain, entries, now_s)
        by_domain = list_by_own_control(controls, now_s)
        if now_s >= self._first_choice_s:
            by_domain[domain] = choose_for_domain(
                domain,
                entries,
                count_slots(self._list_runs(), domain),
                now_s,
                list_serving_at_other_controls(domain, controls, now_s),
            )
        self._dispatchers = [by_domain[name] for name in sorted(by_domain)]
        self._digest = compute_digest(self._dispatchers)
