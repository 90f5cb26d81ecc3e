"""A network in memory that loses, doubles and delays what is sent."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable


class Network:
    """Carries messages between named nodes, with faults.

    Parameters
    ----------
    seed : int
        Of every chance.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.loss = 0.0
        self.duplicate = 0.0
        self.longest_delay_s = 0.004
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self._held: dict[str, list[tuple[str, str, Callable[[], None]]]] = defaultdict(
            list
        )

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Send a message.

        Parameters
        ----------
        source, target : str
            Names of nodes.
        deliver : callable
            Hands it over.
        """
        copies = 2 if self.random.random() < self.duplicate else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                self._send_copy(source, target, deliver)

    def _send_copy(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        if source in self.frozen:
            self._held[source].append((source, target, deliver))
            return
        delay_s = self.random.uniform(0.0005, self.longest_delay_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._arrive, source, target, deliver)

    def _arrive(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        if target in self.dead or source in self.dead:
            return
        if frozenset((source, target)) in self.cut:
            return
        if target in self.frozen:
            self._held[target].append((source, target, deliver))
            return
        deliver()

    def thaw(self, name: str) -> None:
        """Let a frozen node go on, with all that was held.

        Parameters
        ----------
        name : str
            The node.
        """
        self.frozen.discard(name)
        for source, target, deliver in self._held.pop(name, []):
            self._send_copy(source, target, deliver)
