"""Limits the new flows that a cold backend server gets.

Handles many servers that start at once, after a readmission or a release, for services
that set a rate for cold servers. A cold server gets no new flow while a warm one can
take it. If only cold servers are left, each of them gets flows from a few instances,
chosen by the rank that control instances assign, so that all instances together keep
to the limit without coordination.
"""

from collections import deque
from collections.abc import Mapping

from agatethread.datapath._backend import Backend
from agatethread.registry import UNKNOWN_RANK, EntryRank

#: Groups of instances that may use the whole limit at a time: both sides of a network
#: cut, and instances whose rank has just changed.
_MAX_INDEPENDENT_GROUPS = 3
_WINDOW_S = 1.0
#: Later packets may arrive earlier by this much.
_REORDERING_S = 0.2


def compute_share(limit_per_s: float, number: int, rank: EntryRank) -> int:
    """Return how many new flows this instance may send a cold server in any second.

    Parameters
    ----------
    limit_per_s : float
        New flows that the server may get from all instances in any second.
    number : int
        Number of the server, the same on all instances.
    rank : EntryRank
        Rank of this instance among all.

    Returns
    -------
    int
        0 if other instances have the whole limit.
    """
    group_limit = int(limit_per_s / _MAX_INDEPENDENT_GROUPS)
    if not group_limit or not rank.count:
        return 0
    distance = (rank.position - number) % rank.count
    if distance >= group_limit:
        return 0
    return max(1, group_limit // rank.count)


class ColdLimits:
    """Rate limits for the new flows of cold servers.

    Parameters
    ----------
    overshoot : float, optional
        Factor on the rate of a cold server.
    slack_per_s : float, optional
        Requests per second in addition to that.
    """

    def __init__(self, overshoot: float = 1.0, slack_per_s: float = 0.0):
        self._overshoot = overshoot
        self._slack_per_s = slack_per_s
        self._placements_s: dict[Backend, deque[float]] = {}
        #: Rate of a cold server by service, for services that set one.
        self.rates_per_s: Mapping[str, float] = {}
        #: Rank of this instance among all, assigned by control instances.
        self.rank = UNKNOWN_RANK

    def is_limited(self, backend: Backend, now_s: float) -> bool:
        """Return whether a server gets no new flow while a warm one can take it.

        Parameters
        ----------
        backend : Backend
            The server.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether it is cold and its service sets a rate for cold servers.
        """
        return now_s < backend.warm_s and backend.service in self.rates_per_s

    def allows_flow(self, backend: Backend, now_s: float) -> bool:
        """Return whether this instance may send a cold server a new flow.

        Parameters
        ----------
        backend : Backend
            The server; called only if no warm server can take the flow.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the flow is within the share of this instance.
        """
        if not self.is_limited(backend, now_s):
            return False
        rate_per_s = self.rates_per_s[backend.service]
        limit_per_s = rate_per_s * self._overshoot + self._slack_per_s
        share = compute_share(limit_per_s, backend.number, self.rank)
        placements_s = self._placements_s.get(backend, ())
        oldest_s = now_s - _WINDOW_S - _REORDERING_S
        return sum(1 for placed_s in placements_s if placed_s > oldest_s) < share

    def record_flow(self, backend: Backend, now_s: float) -> None:
        """Record a new flow of a server.

        Parameters
        ----------
        backend : Backend
            The server.
        now_s : float
            Current time.
        """
        if not self.is_limited(backend, now_s):
            return
        placements_s = self._placements_s.setdefault(backend, deque())
        placements_s.append(now_s)
        while placements_s[0] <= now_s - _WINDOW_S - _REORDERING_S:
            placements_s.popleft()

    def sweep(self, now_s: float) -> None:
        """Delete the records of servers that are warm.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        for backend in list(self._placements_s):
            if not self.is_limited(backend, now_s):
                del self._placements_s[backend]


#: Limits for no service.
NO_COLD_LIMITS = ColdLimits()
