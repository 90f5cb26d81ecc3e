"""Under which name a disk takes part in the log.

The name belongs to the disk and not to the address: an instance that comes back to its
address with an empty disk has forgotten its votes and entries, and is a new member.
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


def claim_name(
    storage: LogStorage,
    target: str,
    is_first_start: bool,
    founders: Sequence[ControlMember],
) -> str:
    """Read the name of a disk, or give it one.

    Parameters
    ----------
    storage : LogStorage
        The disk.
    target : str
        Address of this instance.
    is_first_start : bool
        Whether the whole system starts for the first time, so that an empty disk has
        never held anything.
    founders : sequence of ControlMember
        The first members; each is named by its address.

    Returns
    -------
    str
        The name.

    Raises
    ------
    DiskFullError
        If it could not be written.
    """
    known = storage.read_hard_state()
    if known.member_name:
        return known.member_name

    if not is_first_start or storage.was_set_aside:
        name = f"{target}#{secrets.token_hex(4)}"
        storage.save_hard_state(HardState(member_name=name))
        log.warning(Event.EMPTY_DISK, name=name)
        return name

    # The members before the name: if only they are written, the next start takes the
    # disk for an empty one, and the instance joins instead of voting.
    members = Members(members=founders)
    storage.save_snapshot(ControlState(members=members), [])
    storage.save_hard_state(HardState(member_name=target, may_vote=True))
    log.info(Event.FIRST_START, name=target, founders=len(founders))
    return target
