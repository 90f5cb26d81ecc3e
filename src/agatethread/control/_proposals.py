"""Who waits for the outcome of which entry of the log."""

import asyncio

from agatethread.exceptions import NotLeaderError
from agatethread.wire.control_pb2 import LogEntry, Outcome


class Proposals:
    """Waiting proposers by the index of their entry."""

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[int, asyncio.Future[Outcome]]] = {}

    def wait_for(self, entry: LogEntry) -> asyncio.Future[Outcome]:
        """Wait for an entry that was appended.

        Parameters
        ----------
        entry : LogEntry
            The entry.

        Returns
        -------
        asyncio.Future
            Its outcome.
        """
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[entry.index] = (entry.term, waiting)
        return waiting

    def answer(self, entry: LogEntry, outcome: Outcome, leader: str) -> None:
        """Tell the outcome of a committed entry to whoever waits at its index.

        Parameters
        ----------
        entry : LogEntry
            The entry.
        outcome : Outcome
            What applying it gave.
        leader : str
            Whom to ask instead, where another leader's entry came to be here.
        """
        term, waiting = self._waiting.pop(entry.index, (0, None))
        if waiting is None or waiting.done():
            return
        if term == entry.term:
            waiting.set_result(outcome)
        else:
            waiting.set_exception(NotLeaderError(leader))

    def fail(self, leader: str) -> None:
        """Tell everyone that the outcome is not known here.

        Parameters
        ----------
        leader : str
            Whom to ask instead.
        """
        for _, waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(NotLeaderError(leader))
        self._waiting.clear()
