"""What a control instance's disk holds only so that a restart is quick."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agatethread.control._raft import RaftNode
from agatethread.exceptions import DiskFullError
from agatethread.observability import Event, make_logger
from agatethread.registry import RunTable, save_runs

log = make_logger("control")


class HintKeeper:
    """Saves the known backend servers and the commit index after they have changed.

    Parameters
    ----------
    folder : str
        The data folder.
    runs : RunTable
        The backend servers.
    find_node : callable
        Finds this member of the log; None while the log is not open.
    spawn : callable
        Runs a coroutine beside.
    """

    def __init__(
        self,
        folder: str,
        runs: RunTable,
        find_node: Callable[[], RaftNode | None],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ):
        self._folder = folder
        self._runs = runs
        self._find_node = find_node
        self._spawn = spawn
        self._is_saving = False
        #: Index of the runs' changes and commit index that the disk holds.
        self._saved = (0, 0)

    def save(self) -> None:
        """Save what has changed, unless that is under way."""
        node = self._find_node()
        now = (self._runs.changed_index, node.commit_index if node else 0)
        if not self._is_saving and now != self._saved:
            self._is_saving = True
            self._spawn(self._write(now, node))

    async def _write(self, now: tuple[int, int], node: RaftNode | None) -> None:
        runs = self._runs.snapshot()
        try:
            # In threads: a slow disk must not hold up reports.
            if now[0] != self._saved[0]:
                await asyncio.to_thread(save_runs, self._folder, runs)
            if node is not None and now[1] != self._saved[1]:
                await asyncio.to_thread(node.sync_commit_index)
            self._saved = now
        except (OSError, DiskFullError) as error:
            log.warning(Event.HINTS_NOT_SAVED, error=str(error))
        finally:
            self._is_saving = False
