"""What must hold, and what was seen to be broken.

Promises with a time bound are judged only while nothing is disturbed, as the users do:
some seconds after the end of the last fault.
"""

import asyncio
from dataclasses import dataclass, field

#: After the last fault, before bounded promises are judged again.
CALM_AFTER_S = 4.0


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise."""

    at_s: float
    promise: str
    detail: str


@dataclass
class Promises:
    """Breaches so far, and when the last fault ended."""

    breaches: list[Breach] = field(default_factory=list)
    active: set[str] = field(default_factory=set)
    last_fault_s: float = float("-inf")
    started_s: float = 0.0

    def now_s(self) -> float:
        """Read the clock of the run."""
        return asyncio.get_running_loop().time() - self.started_s

    def begin(self, fault: str) -> None:
        """Note that a fault begins."""
        self.active.add(fault)
        self.last_fault_s = self.now_s()

    def end(self, fault: str) -> None:
        """Note that a fault has ended."""
        self.active.discard(fault)
        self.last_fault_s = self.now_s()

    def is_calm(self, for_s: float = CALM_AFTER_S) -> bool:
        """Tell whether nothing has been disturbed for some time."""
        return not self.active and self.now_s() - self.last_fault_s >= for_s

    def broken(self, promise: str, detail: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(round(self.now_s(), 3), promise, detail))
