"""Joins the log and, on the leader, changes its members.

These are control instances; they are unrelated to `agatethread.membership`.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agatethread.control._member_changes import MemberProgress, compute_next_members
from agatethread.control._members import find_member
from agatethread.control._raft import RaftNode
from agatethread.control._roles import PeerCalls
from agatethread.exceptions import AgatethreadError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.wire.control_pb2 import ControlMember, JoinRequest, Members

#: Without a message from a leader for longer, the instance asks to join; longer than an
#: election.
_JOIN_AFTER_SILENCE_S = 1.5
#: Retention of a join request; covers several retries of the call.
_JOIN_REQUEST_RETENTION_S = 2.0
#: Longest wait for a commit; then the next change is computed from the current members.
_CHANGE_TIMEOUT_S = 2.5

log = make_logger("members")

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class MembershipManager:
    """Joins this instance to the log, and changes the members while it leads.

    Parameters
    ----------
    node : RaftNode
        This member of the log.
    address : ControlMember
        This instance's addresses and failure domain, without a name.
    voter_count : int
        Wanted number of voters; 2f + 1 for f losses to be tolerated.
    list_targets : callable
        Returns the Raft addresses of the reachable control instances.
    connect : callable
        Returns the client functions for an address.
    now_s : callable
        Monotonic clock.
    spawn : callable
        Starts a coroutine as a task.
    """

    def __init__(
        self,
        node: RaftNode,
        address: ControlMember,
        voter_count: int,
        list_targets: Callable[[], list[str]],
        connect: Callable[[str], PeerCalls],
        now_s: Callable[[], float],
        spawn: Spawn,
    ):
        self._node = node
        self._own_member = ControlMember()
        self._own_member.CopyFrom(address)
        self._own_member.name = node.name
        self._voter_count = voter_count
        self._list_targets = list_targets
        self._connect = connect
        self._now_s = now_s
        self._spawn = spawn
        self._calls: dict[str, PeerCalls] = {}
        self._joiners: dict[str, tuple[float, ControlMember]] = {}
        self._is_changing = False

    def on_join(self, member: ControlMember) -> bool:
        """Store an instance's request to join.

        Parameters
        ----------
        member : ControlMember
            The instance.

        Returns
        -------
        bool
            Whether this member leads and handles the request.
        """
        if not self._node.has_committed_in_term:
            return False
        self._joiners[member.name] = (self._now_s(), member)
        return True

    def request_join(self) -> None:
        """Send join requests to all reachable control instances, if needed.

        They are sent if this instance is not a member, or has had no message from a
        leader for `_JOIN_AFTER_SILENCE_S`.
        """
        is_member = find_member(self._node.members, self._node.name) is not None
        if is_member and self._node.leader_silence_s < _JOIN_AFTER_SILENCE_S:
            return
        for target in self._list_targets():
            self._spawn(self._join(target))

    async def _join(self, target: str) -> None:
        if target not in self._calls:
            self._calls[target] = self._connect(target)
        try:
            await self._calls[target].join(JoinRequest(member=self._own_member))
        except UnavailableError as error:
            log.debug(Event.JOIN_FAILED, target=target, error=str(error))

    def start_next_change(self) -> None:
        """Start the next membership change, if this member leads and one is due."""
        node = self._node
        if self._is_changing or not node.can_change_members:
            return
        oldest_s = self._now_s() - _JOIN_REQUEST_RETENTION_S
        self._joiners = {
            name: (requested_s, member)
            for name, (requested_s, member) in self._joiners.items()
            if requested_s > oldest_s
        }
        joiners = [member for _, member in self._joiners.values()]
        members = compute_next_members(
            node.members, node.name, joiners, self._progress(), self._voter_count
        )
        if members is not None:
            self._is_changing = True
            self._spawn(self._commit_change(members))

    def _progress(self) -> dict[str, MemberProgress]:
        node = self._node
        return {
            member.name: MemberProgress(
                node.silence_s(member.name), node.lag_count(member.name)
            )
            for member in node.members.members
            if member.name != node.name
        }

    async def _commit_change(self, members: Members) -> None:
        log.info(
            Event.MEMBERS_CHANGE,
            voters=[member.name for member in members.members if member.voter],
            learners=[member.name for member in members.members if not member.voter],
            silent_s={
                name: round(progress.silent_s, 2)
                for name, progress in self._progress().items()
            },
            term=self._node.term,
        )
        try:
            change = self._node.propose_members(members)
            await asyncio.wait_for(change, _CHANGE_TIMEOUT_S)
        except (AgatethreadError, TimeoutError) as error:
            log.warning(Event.MEMBERS_NOT_CHANGED, why=repr(error))
        finally:
            self._is_changing = False
