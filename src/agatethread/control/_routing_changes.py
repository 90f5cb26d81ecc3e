"""Changes and reads of the routing table that the log holds."""

import asyncio
import zlib
from collections.abc import Callable

from agatethread.control._raft import RaftNode
from agatethread.exceptions import UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.routing import RoutingDocument, encode_table
from agatethread.wire.control_pb2 import Command, PutRoutes

#: A change that is not agreed by then has no clear outcome; its sender tries again.
_CHANGE_LIMIT_S = 2.5
#: A read that can't be confirmed by then is refused; its sender waits for a second.
_READ_LIMIT_S = 0.8

log = make_logger("control")


async def agree_on_routes(
    node: RaftNode, document: RoutingDocument, source: bytes, now_s: Callable[[], float]
) -> float | None:
    """Put a routing table in force, unless a higher version is.

    Parameters
    ----------
    node : RaftNode
        The member of the log that is asked.
    document : RoutingDocument
        The table, without faults.
    source : bytes
        What it was read from.
    now_s : callable
        Monotonic clock.

    Returns
    -------
    float or None
        Seconds until it was agreed; None if there was nothing to change.

    Raises
    ------
    NotLeaderError
        If another instance has to be asked.
    UnavailableError, DiskFullError
        If it is not known to have been agreed.
    """
    before = node.documents.routes.version
    if document.version <= before:
        log.info(Event.CHANGE_OVERTAKEN, version=document.version, version_held=before)
        return None
    put = PutRoutes(
        version=document.version,
        source=zlib.compress(source, 1),
        table=encode_table(document).SerializeToString(deterministic=True),
    )
    command = Command(put_routes=put).SerializeToString()
    started_s = now_s()
    try:
        outcome = await asyncio.wait_for(node.propose(command), _CHANGE_LIMIT_S)
    except TimeoutError:
        raise UnavailableError("the change was not agreed in time") from None
    took_s = now_s() - started_s
    log.info(
        Event.CHANGE_AGREED,
        version=document.version,
        version_before=before,
        index=outcome.index,
        term=node.term,
        took_s=round(took_s, 3),
    )
    return took_s


async def read_agreed_routes(node: RaftNode) -> bytes:
    """Read the newest agreed routing table.

    Parameters
    ----------
    node : RaftNode
        The member of the log that is asked.

    Returns
    -------
    bytes
        The source it was put with; empty if there was none yet.

    Raises
    ------
    NotLeaderError
        If another instance has to be asked.
    UnavailableError
        If it is not sure that it is the newest.
    """
    await node.confirm_leadership(_READ_LIMIT_S)
    source = node.documents.routes.source
    return zlib.decompress(source) if source else b""
