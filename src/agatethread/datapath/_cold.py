"""Limits the new flows that a cold run of a backend server gets.

Handles many runs that are cold at once, after a rollout or the readmission of a failure
domain, for services that set a rate for cold runs. A cold run gets no new flow while a
warm one can take it. If a service has only cold runs, each of them gets flows from a
few instances, chosen by the rank that control instances assign. So all instances
together keep to the limit without exchanging counts.
"""

from collections import deque
from collections.abc import Mapping

from agatethread.datapath._backend import Backend
from agatethread.registry import UNKNOWN_RANK, EntryRank

#: Number of groups of instances whose ranks may be assigned independently for a time:
#: both sides of a network cut, and instances whose rank has just changed. Each group
#: gets an equal part of the limit.
_MAX_INDEPENDENT_GROUPS = 3
_WINDOW_S = 1.0
#: Variation of the network delay: flows may arrive at the run this much closer together
#: than they were sent.
_REORDERING_S = 0.2


def compute_share(limit_per_s: float, number: int, rank: EntryRank) -> int:
    """Return how many new flows this instance may send a cold run in any second.

    Parameters
    ----------
    limit_per_s : float
        New flows that the run may get from all instances in any second.
    number : int
        Number of the run, the same on all instances.
    rank : EntryRank
        Rank of this instance among all.

    Returns
    -------
    int
        0 if this instance may send the run no flow.
    """
    group_limit = int(limit_per_s / _MAX_INDEPENDENT_GROUPS)
    if not group_limit or not rank.count:
        return 0
    distance = (rank.position - number) % rank.count
    if distance >= group_limit:
        return 0
    return max(1, group_limit // rank.count)


class ColdLimits:
    """Rate limits for the new flows of cold runs.

    Parameters
    ----------
    overshoot : float, optional
        Factor on the rate of cold runs, to get the limit.
    slack_per_s : float, optional
        New flows per second that are added to the limit.
    """

    def __init__(self, overshoot: float = 1.0, slack_per_s: float = 0.0):
        self._overshoot = overshoot
        self._slack_per_s = slack_per_s
        self._placement_times: dict[Backend, deque[float]] = {}
        #: New flows per second of a cold run, by service, for services that set a rate.
        self.rates_per_s: Mapping[str, float] = {}
        #: Rank of this instance among all, assigned by control instances.
        self.rank = UNKNOWN_RANK

    def is_limited(self, backend: Backend, now_s: float) -> bool:
        """Return whether a run is cold and its service limits cold runs.

        Parameters
        ----------
        backend : Backend
            The run.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether it gets no new flow while a warm run can take it.
        """
        return now_s < backend.warm_s and backend.service in self.rates_per_s

    def allows_flow(self, backend: Backend, now_s: float) -> bool:
        """Return whether this instance may send a cold run a new flow.

        Parameters
        ----------
        backend : Backend
            The run; called only if no warm run can take the flow.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the flow is within the share of this instance; False for a run that
            is not limited.
        """
        if not self.is_limited(backend, now_s):
            return False
        rate_per_s = self.rates_per_s[backend.service]
        limit_per_s = rate_per_s * self._overshoot + self._slack_per_s
        share = compute_share(limit_per_s, backend.number, self.rank)
        placement_times = self._placement_times.get(backend, ())
        oldest_s = now_s - _WINDOW_S - _REORDERING_S
        return sum(1 for placed_s in placement_times if placed_s > oldest_s) < share

    def record_flow(self, backend: Backend, now_s: float) -> None:
        """Record a new flow of a run; ignored if the run is not limited.

        Parameters
        ----------
        backend : Backend
            The run.
        now_s : float
            Current time.
        """
        if not self.is_limited(backend, now_s):
            return
        placement_times = self._placement_times.setdefault(backend, deque())
        placement_times.append(now_s)
        while placement_times[0] <= now_s - _WINDOW_S - _REORDERING_S:
            placement_times.popleft()

    def sweep(self, now_s: float) -> None:
        """Delete the records of runs that are no longer limited.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        for backend in list(self._placement_times):
            if not self.is_limited(backend, now_s):
                del self._placement_times[backend]


#: Limits no run.
NO_COLD_LIMITS = ColdLimits()
