"""The member name that a disk has in the log.

An instance that restarts with an empty disk has lost its votes and entries, so it joins
as a new member: its disk gets a new name, also at the same address.
"""

import secrets
from collections.abc import Sequence

from agatethread.control._storage import LogStorage
from agatethread.observability import Event, make_logger
from agatethread.wire.control_pb2 import (
    ControlMember,
    ControlState,
    HardState,
    Members,
)

log = make_logger("identity")


def load_or_create_member_name(
    storage: LogStorage,
    target: str,
    is_first_start: bool,
    founders: Sequence[ControlMember],
) -> str:
    """Return the member name of a disk; create and store one if it has none.

    Parameters
    ----------
    storage : LogStorage
        Files of the log.
    target : str
        Address at which other control instances reach this one's Raft service,
        ``IP:port``.
    is_first_start : bool
        Whether the whole system starts for the first time: then an empty disk has
        lost nothing.
    founders : sequence of ControlMember
        The initial members; each has its address as name.

    Returns
    -------
    str
        The member name.

    Raises
    ------
    DiskFullError
        If it could not be written.
    """
    hard_state = storage.read_hard_state()
    if hard_state.member_name:
        return hard_state.member_name

    if not is_first_start or storage.was_set_aside:
        name = f"{target}#{secrets.token_hex(4)}"
        storage.save_hard_state(HardState(member_name=name))
        log.warning(Event.EMPTY_DISK, name=name)
        return name

    # Members before the name: after a crash between the two writes the disk has no name
    # at the next start. Both writes are repeated, or the instance joins as a new member
    # if `is_first_start` has been unset by then.
    members = Members(members=founders)
    storage.save_snapshot(ControlState(members=members), [])
    storage.save_hard_state(HardState(member_name=target, may_vote=True))
    log.info(Event.FIRST_START, name=target, founders=len(founders))
    return target
