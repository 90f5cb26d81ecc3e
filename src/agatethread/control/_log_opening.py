"""Opens the log on disk, with retries, and loads what serves it."""

import asyncio
import importlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from agatethread.control._member_name import load_or_create_member_name
from agatethread.control._raft import RaftNode
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.control._storage import LogStorage
from agatethread.exceptions import DiskFullError, LogCorruptError
from agatethread.observability import Event, make_logger

if TYPE_CHECKING:
    from agatethread.control._log_port import LogPort

#: Loaded only after the registry serves, since it loads gRPC.
_LOG_PORT_MODULE = "agatethread.control._log_port"
#: Interval between attempts after a disk error or a corrupt file.
_RETRY_INTERVAL_S = 0.5

log = make_logger("control")


async def open_log(
    settings: RoutingControlSettings,
    make_node: Callable[[str, LogStorage], RaftNode],
    should_stop: Callable[[], bool],
    sleep: Callable[[float], Awaitable[None]],
) -> RaftNode | None:
    """Open the log of a control instance; retry until it succeeds.

    Parameters
    ----------
    settings : RoutingControlSettings
        Settings of the control instance.
    make_node : callable
        Returns the member of the log for a name and a storage.
    should_stop : callable
        Returns whether the instance is stopping.
    sleep : callable
        Waits for a number of seconds, or until the instance stops.

    Returns
    -------
    RaftNode or None
        The member, not started; None if the instance stops.
    """
    while not should_stop():
        node = _try_to_open(settings, make_node)
        if node is not None:
            return node
        await sleep(_RETRY_INTERVAL_S)
    return None


def _try_to_open(
    settings: RoutingControlSettings, make_node: Callable[[str, LogStorage], RaftNode]
) -> RaftNode | None:
    storage = None
    try:
        storage = LogStorage(settings.data_dir)
        name = load_or_create_member_name(
            storage, settings.target, settings.is_first_start, settings.seeds
        )
        return make_node(name, storage)
    except LogCorruptError as error:
        log.error(Event.LOG_SET_ASIDE, error=str(error))
        _set_aside(storage)
    except (DiskFullError, OSError) as error:
        # A file that can't be read raises OSError.
        log.error(Event.LOG_NOT_OPENED, error=str(error))
    if storage is not None:
        storage.close()
    return None


def _set_aside(storage: LogStorage) -> None:
    # A member that lost a part of its log must not vote under its name again: the
    # instance joins as a new member, as with an empty disk.
    try:
        storage.set_aside()
    except DiskFullError as error:
        log.error(Event.LOG_NOT_SET_ASIDE, error=str(error))


async def load_log_port() -> "type[LogPort]":
    """Return the class `LogPort`, whose module is imported in a thread.

    Returns
    -------
    type of LogPort
        The class.
    """
    module = await asyncio.to_thread(importlib.import_module, _LOG_PORT_MODULE)
    return module.LogPort


def report_opened(node: RaftNode) -> None:
    """Report in the process log that the Raft log is open.

    Parameters
    ----------
    node : RaftNode
        The member.
    """
    log.info(
        Event.LOG_OPENED,
        name=node.name,
        last_index=node.last_index,
        term=node.term,
        members=len(node.members.members),
    )
