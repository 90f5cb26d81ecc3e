"""Saves restart hints of a control instance: state that only speeds up a restart.

After a restart, registry and routing table are served from the hints and the commit
index, before backend servers report again and a leader is elected.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from agatethread.control._raft import RaftNode
from agatethread.exceptions import DiskFullError
from agatethread.observability import Event, make_logger
from agatethread.registry import KnownEntry, RegistryPublisher, RunTable, save_hints

log = make_logger("control")


@dataclass(frozen=True, slots=True)
class _SavedState:
    run_change_index: int = 0
    entries: tuple[KnownEntry, ...] = ()
    commit_index: int = 0


class HintSaver:
    """Saves backend servers, entry instances and the commit index when they change.

    Parameters
    ----------
    folder : str
        The data folder.
    runs : RunTable
        Runs of the backend servers.
    publisher : RegistryPublisher
        Lists the entry instances.
    get_node : callable
        Returns this member of the log; None while the log is not open.
    spawn : callable
        Starts a coroutine as a task.
    saves_registry : bool, optional
        Whether backend servers and entry instances are saved too.
    """

    def __init__(
        self,
        folder: str,
        runs: RunTable,
        publisher: RegistryPublisher,
        get_node: Callable[[], RaftNode | None],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        saves_registry: bool = True,
    ):
        self._folder = folder
        self._runs = runs
        self._publisher = publisher
        self._get_node = get_node
        self._spawn = spawn
        self._saves_registry = saves_registry
        self._is_writing = False
        self._pending_write: asyncio.Future[None] | None = None
        #: What the disk holds.
        self._saved = _SavedState()

    def save(self) -> None:
        """Start to save what has changed, unless a write is in progress."""
        node = self._get_node()
        current = _SavedState(
            self._runs.changed_index,
            self._publisher.known_entries(),
            node.commit_index if node else 0,
        )
        if not self._is_writing and current != self._saved:
            self._is_writing = True
            self._spawn(self._write(current, node))

    async def _write(self, current: _SavedState, node: RaftNode | None) -> None:
        runs = self._runs.snapshot()
        try:
            # In a thread: a slow disk must not delay reports.
            saved = self._saved
            has_changed = (current.run_change_index, current.entries) != (
                saved.run_change_index,
                saved.entries,
            )
            if self._saves_registry and has_changed:
                await self._in_thread(save_hints, self._folder, runs, current.entries)
            if node is not None and current.commit_index != saved.commit_index:
                await self._in_thread(node.sync_commit_index)
            self._saved = current
        except (OSError, DiskFullError) as error:
            log.warning(Event.HINTS_NOT_SAVED, error=str(error))
        finally:
            self._is_writing = False

    async def _in_thread(self, write: Callable[..., None], *arguments: object) -> None:
        # The thread continues if the waiting task is cancelled; `wait_for_write`
        # awaits it.
        self._pending_write = asyncio.ensure_future(
            asyncio.to_thread(write, *arguments)
        )
        await asyncio.shield(self._pending_write)

    async def wait_for_write(self) -> None:
        """Wait for a write in progress, so that the folder can be deleted."""
        if self._pending_write is not None:
            await asyncio.wait([self._pending_write])
