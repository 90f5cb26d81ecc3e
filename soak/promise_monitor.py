"""Records breaches of the promises that the system makes to its users.

A promise with a time limit is checked only in calm, some seconds after the last fault.
"""

import asyncio
from dataclasses import dataclass, field

#: Time after the last fault until promises with a time limit are checked again.
CALM_AFTER_S = 4.0


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise."""

    at_s: float
    promise: str
    detail: str


@dataclass
class PromiseMonitor:
    """The recorded breaches, the active faults and the time of the last fault."""

    breaches: list[Breach] = field(default_factory=list)
    active_faults: set[str] = field(default_factory=set)
    last_fault_s: float = float("-inf")
    started_s: float = 0.0

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return asyncio.get_running_loop().time() - self.started_s

    def begin_fault(self, fault: str) -> None:
        """Record the start of a fault."""
        self.active_faults.add(fault)
        self.last_fault_s = self.now_s()

    def end_fault(self, fault: str) -> None:
        """Record the end of a fault."""
        self.active_faults.discard(fault)
        self.last_fault_s = self.now_s()

    def is_calm(self, duration_s: float = CALM_AFTER_S) -> bool:
        """Return whether there has been no fault for some time."""
        return not self.active_faults and self.now_s() - self.last_fault_s >= duration_s

    def record_breach(self, promise: str, detail: str) -> None:
        """Record a breach."""
        self.breaches.append(Breach(round(self.now_s(), 3), promise, detail))
