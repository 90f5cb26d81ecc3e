"""Opens the log on the disk as soon as the disk allows."""

from collections.abc import Awaitable, Callable

from agatethread.control._identity import claim_name
from agatethread.control._raft import RaftNode
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.control._storage import LogStorage
from agatethread.exceptions import DiskFullError, LogCorruptError
from agatethread.observability import Event, make_logger

#: Pause between two tries: a disk that is full or stalled may recover at any time.
_REOPEN_S = 0.5

log = make_logger("control")


async def open_log(
    settings: RoutingControlSettings,
    make_node: Callable[[str, LogStorage], RaftNode],
    should_stop: Callable[[], bool],
    sleep: Callable[[float], Awaitable[None]],
) -> RaftNode | None:
    """Open the log of a control instance, and try again until that succeeds.

    Parameters
    ----------
    settings : RoutingControlSettings
        Of the instance.
    make_node : callable
        Makes the member of the log from its name and its storage.
    should_stop : callable
        Tells whether the instance stops.
    sleep : callable
        Waits for some seconds, or until the instance stops.

    Returns
    -------
    RaftNode or None
        The member, not started; None if the instance stops.
    """
    while not should_stop():
        storage = LogStorage(settings.data_dir)
        try:
            name = claim_name(
                storage, settings.target, settings.is_first_start, settings.seeds
            )
            node = make_node(name, storage)
        except LogCorruptError as error:
            log.error(Event.LOG_SET_ASIDE, error=str(error))
            _set_aside(storage)
        except DiskFullError as error:
            log.error(Event.LOG_NOT_OPENED, error=str(error))
        else:
            if not should_stop():
                return node
        storage.close()
        await sleep(_REOPEN_S)
    return None


def _set_aside(storage: LogStorage) -> None:
    # A member that forgot a part of its log must not vote under its name again: the
    # instance joins as a new member, like one with an empty disk.
    try:
        storage.set_aside()
    except DiskFullError as error:
        log.error(Event.LOG_NOT_SET_ASIDE, error=str(error))


def note_opened(node: RaftNode) -> None:
    """Log that a member of the log takes part.

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
