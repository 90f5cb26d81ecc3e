"""Records breaches of the promises that the system makes to its users.

A promise with a time limit is checked only in calm, some seconds after the last fault.
An open flow is never reset while those that it involves are undisturbed, whatever
happens to others; planned work disturbs nobody.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

#: Time after the last fault until promises with a time limit are checked again, and
#: after a disturbance until those that it touched count as undisturbed.
CALM_AFTER_S = 4.0
#: In place of the names of those that a fault disturbs: all, or nobody.
EVERYONE: frozenset[str] = frozenset({"everyone"})
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise."""

    at_s: float
    promise: str
    detail: str


@dataclass
class Disturbance:
    """An unplanned fault, with the names of the instances and servers that it touches.

    A fault of the control instances or of the network touches everyone.
    """

    parties: frozenset[str] = EVERYONE
    ended_s: float = float("inf")

    def touches(self, names: Collection[str]) -> bool:
        """Return whether it touches one of some instances and servers."""
        return self.parties == EVERYONE or not self.parties.isdisjoint(names)


@dataclass
class PromiseMonitor:
    """The recorded breaches, the active faults and the time of the last fault."""

    breaches: list[Breach] = field(default_factory=list)
    active_faults: dict[str, Disturbance] = field(default_factory=dict)
    last_fault_s: float = float("-inf")
    started_s: float = 0.0
    _ended_disturbances: list[Disturbance] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return asyncio.get_running_loop().time() - self.started_s

    def begin_fault(
        self, fault: str, parties: frozenset[str] = EVERYONE
    ) -> Disturbance:
        """Record the start of a fault; its parties may be narrowed afterwards."""
        disturbance = self.active_faults[fault] = Disturbance(parties)
        self.last_fault_s = self.now_s()
        return disturbance

    def end_fault(self, fault: str) -> None:
        """Record the end of a fault."""
        now_s = self.last_fault_s = self.now_s()
        disturbance = self.active_faults.pop(fault, None)
        if disturbance is not None:
            disturbance.ended_s = now_s
            self._ended_disturbances.append(disturbance)

    def is_calm(self, duration_s: float = CALM_AFTER_S) -> bool:
        """Return whether there has been no fault for some time."""
        return not self.active_faults and self.now_s() - self.last_fault_s >= duration_s

    def are_undisturbed(self, names: Collection[str]) -> bool:
        """Return whether no fault has touched some instances and servers lately."""
        oldest_s = self.now_s() - CALM_AFTER_S
        self._ended_disturbances = [
            each for each in self._ended_disturbances if each.ended_s > oldest_s
        ]
        recent = [*self.active_faults.values(), *self._ended_disturbances]
        return not any(each.touches(names) for each in recent)

    def record_breach(self, promise: str, detail: str) -> None:
        """Record a breach."""
        self.breaches.append(Breach(round(self.now_s(), 3), promise, detail))
