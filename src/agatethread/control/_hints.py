"""What a control instance's disk holds only so that a restart is quick."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from agatethread.control._raft import RaftNode
from agatethread.exceptions import DiskFullError
from agatethread.observability import Event, make_logger
from agatethread.registry import KnownEntry, RegistryHub, RunTable, save_hints

log = make_logger("control")


@dataclass(frozen=True, slots=True)
class _Version:
    runs: int = 0
    entries: tuple[KnownEntry, ...] = ()
    commit: int = 0


class HintKeeper:
    """Saves what is known of others, and the commit index, after they have changed.

    Parameters
    ----------
    folder : str
        The data folder.
    runs : RunTable
        The backend servers.
    hub : RegistryHub
        Knows the entry instances.
    find_node : callable
        Finds this member of the log; None while the log is not open.
    spawn : callable
        Runs a coroutine beside.
    keeps_runs : bool, optional
        Whether more than the commit index is saved.
    """

    def __init__(
        self,
        folder: str,
        runs: RunTable,
        hub: RegistryHub,
        find_node: Callable[[], RaftNode | None],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        keeps_runs: bool = True,
    ):
        self._folder = folder
        self._runs = runs
        self._hub = hub
        self._find_node = find_node
        self._spawn = spawn
        self._keeps_runs = keeps_runs
        self._is_saving = False
        self._writing: asyncio.Future[None] | None = None
        #: Runs' changes, entry instances and commit index that the disk holds.
        self._saved = _Version()

    def save(self) -> None:
        """Save what has changed, unless that is under way."""
        node = self._find_node()
        now = _Version(
            self._runs.changed_index,
            self._hub.entries(),
            node.commit_index if node else 0,
        )
        if not self._is_saving and now != self._saved:
            self._is_saving = True
            self._spawn(self._write(now, node))

    async def _write(self, now: _Version, node: RaftNode | None) -> None:
        runs = self._runs.snapshot()
        try:
            # In threads: a slow disk must not hold up reports.
            saved = self._saved
            has_changed = (now.runs, now.entries) != (saved.runs, saved.entries)
            if self._keeps_runs and has_changed:
                await self._in_thread(save_hints, self._folder, runs, now.entries)
            if node is not None and now.commit != saved.commit:
                await self._in_thread(node.sync_commit_index)
            self._saved = now
        except (OSError, DiskFullError) as error:
            log.warning(Event.HINTS_NOT_SAVED, error=str(error))
        finally:
            self._is_saving = False

    async def _in_thread(self, write: Callable[..., None], *arguments: object) -> None:
        # A thread goes on when the task that waits for it is cancelled.
        self._writing = asyncio.ensure_future(asyncio.to_thread(write, *arguments))
        await asyncio.shield(self._writing)

    async def finish(self) -> None:
        """Wait for a write that is under way, so that the folder may be removed."""
        if self._writing is not None:
            await asyncio.wait([self._writing])
