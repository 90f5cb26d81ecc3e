"""Which entry instances place the openings of each failure domain.

The load that this answers: far more entry instances than a service has slots for each,
so that none can tell a busy backend server from a free one by its own flows. A few that
place for all can. Control instances choose them, each for its own failure domain, whose
entry instances all ask it; nothing of this is kept, and the choice is a function of the
instances that serve.
"""

from collections.abc import Callable, Iterable, Sequence

from agatethread.balancing import choose_dispatchers
from agatethread.registry._link import HubLink
from agatethread.registry._presence import Subscriber
from agatethread.wire.registry_pb2 import PRESENCE_SERVING, BackendRun, Dispatchers

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
    told = [link for link in links if now_s - link.dispatchers_told_s < _TOLD_S]
    told.sort(key=lambda link: link.address)
    merged: dict[str, Dispatchers] = {}
    for link in told:
        for one in link.dispatchers:
            if one.failure_domain == link.failure_domain:
                merged.setdefault(one.failure_domain, one)
    for link in told:
        for one in link.dispatchers:
            merged.setdefault(one.failure_domain, one)
    return merged


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
        self._known: Sequence[Dispatchers] = ()
        self._serving: Sequence[bytes] = ()

    def __call__(self) -> Sequence[Dispatchers]:
        """Tell the dispatchers of each failure domain.

        Returns
        -------
        sequence of Dispatchers
            As they were chosen last.
        """
        return self._known

    def list_serving(self) -> Sequence[bytes]:
        """List the entry instances of the own failure domain that ask this instance.

        Returns
        -------
        sequence of bytes
            Packed addresses of those that serve.
        """
        return self._serving

    def refresh(self) -> None:
        """Choose anew; to be called a few times a second."""
        now_s = self._now_s()
        domain, controls = self._failure_domain, list(self._list_controls())
        self._serving = list_serving(domain, self._entries_in_sight(), now_s)
        # An entry instance asks one of the domain's control instances, or all of them.
        serving = set(self._serving).union(
            *(
                link.serving
                for link in controls
                if link.failure_domain == domain
                and now_s - link.serving_told_s < _HEARD_S
            )
        )
        slot_count = count_slots(self._list_runs(), domain)
        merged = merge_dispatchers(controls, now_s)
        merged[domain] = Dispatchers(
            failure_domain=domain,
            addresses=choose_dispatchers(sorted(serving), slot_count),
            entry_count=len(serving),
        )
        self._known = [merged[domain] for domain in sorted(merged)]
