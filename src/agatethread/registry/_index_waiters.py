"""Futures of calls that wait until all receivers have acknowledged a change."""

import asyncio


class IndexWaiters:
    """Futures, each with the log index or version that it waits for."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, index: int) -> asyncio.Future[None]:
        """Return a future that completes when an index is acknowledged.

        Parameters
        ----------
        index : int
            The index.

        Returns
        -------
        Future
            Completes without a result. If it is cancelled, the next call of
            `complete_through` removes it.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((index, future))
        return future

    def complete_through(self, acknowledged_index: int) -> None:
        """Complete the futures whose index all receivers have acknowledged.

        Parameters
        ----------
        acknowledged_index : int
            Highest index that all have acknowledged.
        """
        remaining = []
        for index, future in self._waiters:
            if future.done():
                continue
            if index <= acknowledged_index:
                future.set_result(None)
            else:
                remaining.append((index, future))
        self._waiters = remaining
