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
        self._is_closed = False
        #: The write in progress, which runs in a thread.
        self._pending_write: asyncio.Future[None] | None = None
        #: What the disk holds.
        self._saved = _SavedState()

    def save(self) -> None:
        """Start to save what has changed, unless a write is in progress."""
        if self._is_closed or self._pending_write is not None:
            return
        node = self._get_node()
        current = _SavedState(
            self._runs.changed_index,
            self._publisher.known_entries(),
            node.commit_index if node else 0,
        )
        if current != self._saved:
            write = self._choose_write(current, node)
            # In a thread: a slow disk must not delay reports.
            loop = asyncio.get_running_loop()
            self._pending_write = loop.run_in_executor(None, write)
            self._spawn(self._finish(self._pending_write, current))

    def _choose_write(
        self, current: _SavedState, node: RaftNode | None
    ) -> Callable[[], None]:
        """Return the function that writes what differs from the disk."""
        folder, runs, saved = self._folder, self._runs.snapshot(), self._saved
        has_new_registry = self._saves_registry and (
            (current.run_change_index, current.entries)
            != (saved.run_change_index, saved.entries)
        )
        has_new_index = node is not None and current.commit_index != saved.commit_index

        def write() -> None:
            if has_new_registry:
                save_hints(folder, runs, current.entries)
            if has_new_index:
                node.sync_commit_index()

        return write

    async def _finish(self, write: asyncio.Future[None], current: _SavedState) -> None:
        try:
            # The thread continues if this task is cancelled; `close` waits for it.
            await asyncio.shield(write)
            self._saved = current
        except (OSError, DiskFullError) as error:
            log.warning(Event.HINTS_NOT_SAVED, error=str(error))
        finally:
            if write.done():
                self._pending_write = None

    async def wait_for_write(self) -> None:
        """Wait for a write in progress."""
        if self._pending_write is not None:
            await asyncio.wait([self._pending_write])

    async def close(self) -> None:
        """Start no more writes, and wait for the one in progress.

        After it, no thread of this process writes to the folder.
        """
        self._is_closed = True
        await self.wait_for_write()
