"""Calls that wait until everyone has acknowledged a change."""

import asyncio


class IndexWaiters:
    """Futures, each with the index that has to be acknowledged."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, index: int) -> asyncio.Future[None]:
        """Make a future that is done when an index is acknowledged.

        Parameters
        ----------
        index : int
            The index.

        Returns
        -------
        Future
            Dropped at the next call of `settle` once it is cancelled.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((index, future))
        return future

    def settle(self, acknowledged: int) -> None:
        """End the futures whose index everyone has acknowledged.

        Parameters
        ----------
        acknowledged : int
            Highest index that all have.
        """
        still_waiting = []
        for index, future in self._waiting:
            if future.done():
                continue
            if index <= acknowledged:
                future.set_result(None)
            else:
                still_waiting.append((index, future))
        self._waiting = still_waiting
