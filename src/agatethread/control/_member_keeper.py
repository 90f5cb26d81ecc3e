"""Takes part in the log, and as its leader keeps its members up to date."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agatethread.control._member_changes import Progress, next_members
from agatethread.control._members import find_member
from agatethread.control._raft import RaftNode
from agatethread.control._roles import PeerCalls
from agatethread.exceptions import AgatethreadError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.wire.control_pb2 import ControlMember, JoinRequest, Members

#: Without a leader for so long it asks to be taken in: longer than an election.
_JOIN_AFTER_S = 1.5
#: An instance that asked to be taken in is remembered for a few of its calls.
_JOINER_KEPT_S = 2.0
#: A change that is not agreed by then is tried again from what is known then.
_CHANGE_LIMIT_S = 2.5

log = make_logger("members")

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class MemberKeeper:
    """Joins the log with this instance, and changes its members while it leads.

    Parameters
    ----------
    node : RaftNode
        This member of the log.
    address : ControlMember
        This instance's addresses and failure domain.
    voter_count : int
        Voters that are needed to bear the losses to be borne.
    targets : callable
        Lists the log addresses of the control instances in sight.
    connect : callable
        Makes the calls to an address.
    now_s : callable
        Monotonic clock.
    spawn : callable
        Runs a coroutine beside.
    """

    def __init__(
        self,
        node: RaftNode,
        address: ControlMember,
        voter_count: int,
        targets: Callable[[], list[str]],
        connect: Callable[[str], PeerCalls],
        now_s: Callable[[], float],
        spawn: Spawn,
    ):
        self._node = node
        self._myself = ControlMember()
        self._myself.CopyFrom(address)
        self._myself.name = node.name
        self._voter_count = voter_count
        self._targets = targets
        self._connect = connect
        self._now_s = now_s
        self._spawn = spawn
        self._calls: dict[str, PeerCalls] = {}
        self._joiners: dict[str, tuple[float, ControlMember]] = {}
        self._is_changing = False

    def on_join(self, member: ControlMember) -> bool:
        """Note that an instance wants to take part.

        Parameters
        ----------
        member : ControlMember
            The instance.

        Returns
        -------
        bool
            Whether this member leads and will see to it.
        """
        if not self._node.has_committed_in_term:
            return False
        self._joiners[member.name] = (self._now_s(), member)
        return True

    def ask_to_join(self) -> None:
        """Ask all in sight to be taken in, unless a leader is heard."""
        is_member = find_member(self._node.members, self._node.name) is not None
        if is_member and self._node.heard_leader_ago_s < _JOIN_AFTER_S:
            return
        for target in self._targets():
            self._spawn(self._join(target))

    async def _join(self, target: str) -> None:
        if target not in self._calls:
            self._calls[target] = self._connect(target)
        try:
            await self._calls[target].join(JoinRequest(member=self._myself))
        except UnavailableError as error:
            log.debug(Event.JOIN_FAILED, target=target, error=str(error))

    def manage(self) -> None:
        """Make the next change of the members, if this one leads and one is due."""
        node = self._node
        if self._is_changing or not node.can_change_members:
            return
        oldest_s = self._now_s() - _JOINER_KEPT_S
        self._joiners = {
            name: (at, one)
            for name, (at, one) in self._joiners.items()
            if at > oldest_s
        }
        joiners = [one for _, one in self._joiners.values()]
        members = next_members(
            node.members, node.name, joiners, self._progress(), self._voter_count
        )
        if members is not None:
            self._is_changing = True
            self._spawn(self._change(members))

    def _progress(self) -> dict[str, Progress]:
        node = self._node
        return {
            member.name: Progress(
                node.silence_s(member.name), node.lag_count(member.name)
            )
            for member in node.members.members
            if member.name != node.name
        }

    async def _change(self, members: Members) -> None:
        log.info(
            Event.MEMBERS_CHANGE,
            voters=[one.name for one in members.members if one.voter],
            learners=[one.name for one in members.members if not one.voter],
            term=self._node.term,
        )
        try:
            change = self._node.propose_members(members)
            await asyncio.wait_for(change, _CHANGE_LIMIT_S)
        except (AgatethreadError, TimeoutError) as error:
            log.warning(Event.MEMBERS_NOT_CHANGED, why=repr(error))
        finally:
            self._is_changing = False
