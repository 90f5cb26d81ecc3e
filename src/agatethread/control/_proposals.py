"""Proposed log entries that are not committed yet."""

import asyncio

from agatethread.exceptions import NotLeaderError
from agatethread.wire.control_pb2 import LogEntry, Outcome


class PendingProposals:
    """Futures of proposed entries, by index."""

    def __init__(self) -> None:
        self._pending: dict[int, tuple[int, asyncio.Future[Outcome]]] = {}

    def add(self, entry: LogEntry) -> asyncio.Future[Outcome]:
        """Add an entry that was appended to the log.

        Parameters
        ----------
        entry : LogEntry
            The appended entry.

        Returns
        -------
        asyncio.Future
            Future of its outcome; fails with `NotLeaderError` if another entry was
            committed at the index.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending[entry.index] = (entry.term, future)
        return future

    def complete(self, entry: LogEntry, outcome: Outcome, leader: str) -> None:
        """Complete the future at the index of a committed entry.

        Parameters
        ----------
        entry : LogEntry
            The committed entry.
        outcome : Outcome
            Outcome of the entry.
        leader : str
            Name of the current leader, for the `NotLeaderError`.
        """
        term, future = self._pending.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(outcome)
        else:
            future.set_exception(NotLeaderError(leader))

    def fail_all(self, leader: str) -> None:
        """Fail all futures, after this member has lost leadership or when it stops.

        Parameters
        ----------
        leader : str
            Name of the current leader.
        """
        for _, future in self._pending.values():
            if not future.done():
                future.set_exception(NotLeaderError(leader))
        self._pending.clear()
