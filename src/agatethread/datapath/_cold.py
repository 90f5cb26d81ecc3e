"""How many new flows a backend server gets while it is cold.

The load that this answers: a failure domain that is readmitted, or a release, brings
back many servers at once that bear few requests in their first seconds, while each of
dozens of entry instances sees them idle. Some services tell how much a cold server
bears; then no second may bring it more from all instances together, which don't see
each other.

Two steps: while a warm server can take a flow, a cold one gets none. Where only cold
ones are left, each of them takes flows from a few instances that control instances
rank, so that all keep to the limit without asking each other.
"""

from collections import deque
from collections.abc import Mapping

from agatethread.datapath._backend import Backend
from agatethread.registry import NO_RANK, EntryRank

#: Parts of a fleet that may give out a server's whole limit at a time: two halves of a
#: cut, and the instances of which one rank has passed to another.
_SHARES = 3
#: Length of the sliding window that the limit holds for, and what packets that set out
#: later may gain on those before.
_WINDOW_S = 1.0
_OVERTAKING_S = 0.2


def count_share(limit_per_s: float, number: int, rank: EntryRank) -> int:
    """Count the new flows that this instance may send a cold server in any second.

    Parameters
    ----------
    limit_per_s : float
        What the server may get from all instances in any second.
    number : int
        The server's number, alike on all instances.
    rank : EntryRank
        This instance's rank among all.

    Returns
    -------
    int
        0 where other instances have it all.
    """
    shared = int(limit_per_s / _SHARES)
    if not shared or not rank.count:
        return 0
    distance = (rank.position - number) % rank.count
    if distance >= shared:
        return 0
    return max(1, shared // rank.count)


class ColdLimits:
    """What cold servers got from this instance, and whether they may get more.

    Parameters
    ----------
    overshoot : float, optional
        How many times its rate a cold server may get in a second.
    slack_per_s : float, optional
        Requests that it may get in a second besides.
    """

    def __init__(self, overshoot: float = 1.0, slack_per_s: float = 0.0):
        self._overshoot = overshoot
        self._slack_per_s = slack_per_s
        self._given: dict[Backend, deque[float]] = {}
        #: Requests a second that a cold server of a service bears, where it is told.
        self.rates_per_s: Mapping[str, float] = {}
        #: This instance's rank among all, as control instances told it.
        self.rank = NO_RANK

    def spares(self, backend: Backend, now_s: float) -> bool:
        """Tell whether a server gets no new flow while a warm one can take it.

        Parameters
        ----------
        backend : Backend
            The server.
        now_s : float
            Present time.

        Returns
        -------
        bool
            Whether it is cold, and its service tells how much it bears.
        """
        return now_s < backend.warm_s and backend.service in self.rates_per_s

    def permits(self, backend: Backend, now_s: float) -> bool:
        """Tell whether this instance may send a cold server a new flow.

        Parameters
        ----------
        backend : Backend
            One that is spared; a warm one was asked for before.
        now_s : float
            Present time.

        Returns
        -------
        bool
            Whether it keeps to its share with it.
        """
        if not self.spares(backend, now_s):
            return False
        rate_per_s = self.rates_per_s[backend.service]
        limit_per_s = rate_per_s * self._overshoot + self._slack_per_s
        share = count_share(limit_per_s, backend.number, self.rank)
        given = self._given.get(backend, ())
        oldest_s = now_s - _WINDOW_S - _OVERTAKING_S
        return sum(1 for at_s in given if at_s > oldest_s) < share

    def note(self, backend: Backend, now_s: float) -> None:
        """Note that a server was sent a new flow.

        Parameters
        ----------
        backend : Backend
            The server.
        now_s : float
            Present time.
        """
        if not self.spares(backend, now_s):
            return
        given = self._given.setdefault(backend, deque())
        given.append(now_s)
        while given[0] <= now_s - _WINDOW_S - _OVERTAKING_S:
            given.popleft()

    def sweep(self, now_s: float) -> None:
        """Forget the servers that are warm by now.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        for backend in list(self._given):
            if not self.spares(backend, now_s):
                del self._given[backend]


#: Cold servers are not limited.
NO_COLD_LIMITS = ColdLimits()
