"""Joins the log and, on the leader, changes its members.

These are control instances; they are unrelated to `agatethread.membership`.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agatethread.control._member_changes import (
    MemberProgress,
    MemberRequests,
    compute_next_members,
)
from agatethread.control._members import find_member
from agatethread.control._raft import RaftNode
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.exceptions import AgatethreadError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.wire.control_pb2 import (
    ControlMember,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    Members,
)

#: Without a message from a leader for longer, the instance asks to join; longer than an
#: election.
_JOIN_AFTER_SILENCE_S = 1.5
#: Retention of a request to join or leave; covers several retries of the call.
_REQUEST_RETENTION_S = 2.0
#: Interval at which a member that is about to stop asks whether it may.
_LEAVE_INTERVAL_S = 0.1
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
    voter_timeout_s : float
        A voter that is silent for longer is replaced if a learner is ready.
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
        voter_timeout_s: float,
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
        self._voter_timeout_s = voter_timeout_s
        self._list_targets = list_targets
        self._connect = connect
        self._now_s = now_s
        self._spawn = spawn
        self._calls: dict[str, PeerCalls] = {}
        self._joiners: dict[str, tuple[float, ControlMember]] = {}
        #: Time of the last announcement of each member that is about to stop.
        self._leaving_s: dict[str, float] = {}
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
        self._leaving_s.pop(member.name, None)
        self._joiners[member.name] = (self._now_s(), member)
        self.start_next_change()
        return True

    def on_leave(self, name: str) -> LeaveReply:
        """Store a member's announcement that it is about to stop.

        Parameters
        ----------
        name : str
            Name of the member.

        Returns
        -------
        LeaveReply
            Whether this member leads, and whether the other one may stop.
        """
        if not self._node.has_committed_in_term:
            return LeaveReply()
        self._joiners.pop(name, None)
        self._leaving_s[name] = self._now_s()
        self.start_next_change()
        return LeaveReply(accepted=True, done=self._may_stop(name))

    def _may_stop(self, name: str) -> bool:
        if not self._node.can_change_members:
            return False
        member = find_member(self._node.members, name)
        if member is None or not member.voter:
            return True
        return member.leaving and not self._has_learner()

    def _has_learner(self) -> bool:
        """Return whether a learner answers, which may soon be ready to vote."""
        return any(
            self._node.silence_s(member.name) < self._voter_timeout_s
            for member in self._node.members.members
            if not member.voter and member.name not in self._leaving_s
        )

    async def leave(self, timeout_s: float) -> bool:
        """Announce that this member is about to stop, until it may.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait.

        Returns
        -------
        bool
            Whether the leader has replied that the member may stop.
        """
        self._node.prepare_to_stop()
        started_s = self._now_s()
        is_done = await self._leave_until(started_s + timeout_s)
        log.info(
            Event.VOTE_HANDED_OVER if is_done else Event.VOTE_NOT_HANDED_OVER,
            waited_s=round(self._now_s() - started_s, 3),
        )
        return is_done

    async def _leave_until(self, deadline_s: float) -> bool:
        while self._now_s() < deadline_s:
            if await self._announce_leaving():
                return True
            if self._node.leader_silence_s > _JOIN_AFTER_SILENCE_S:
                return False  # nobody leads who could change the members
            await asyncio.sleep(_LEAVE_INTERVAL_S)
        return False

    async def _announce_leaving(self) -> bool:
        node = self._node
        if node.role is Role.LEADER:
            return self.on_leave(node.name).done
        is_done = await self._send_leave()
        return is_done or not node.is_voter

    async def _send_leave(self) -> bool:
        leader = find_member(self._node.members, self._node.leader)
        if leader is None:
            return False
        try:
            call = self._get_calls(leader.target).leave
            reply = await call(LeaveRequest(name=self._node.name))
        except UnavailableError as error:
            log.debug(Event.LEAVE_FAILED, target=leader.target, error=str(error))
            return False
        return reply.done

    def request_join(self) -> None:
        """Send join requests to all reachable control instances, if needed.

        They are sent if this instance is not a member, is still marked as leaving, or
        has had no message from a leader for `_JOIN_AFTER_SILENCE_S`.
        """
        if self._node.is_leaving:
            return
        member = find_member(self._node.members, self._node.name)
        is_staying = member is not None and not member.leaving
        if is_staying and self._node.leader_silence_s < _JOIN_AFTER_SILENCE_S:
            return
        for target in self._list_targets():
            self._spawn(self._join(target))

    def _get_calls(self, target: str) -> PeerCalls:
        if target not in self._calls:
            self._calls[target] = self._connect(target)
        return self._calls[target]

    async def _join(self, target: str) -> None:
        try:
            await self._get_calls(target).join(JoinRequest(member=self._own_member))
        except UnavailableError as error:
            log.debug(Event.JOIN_FAILED, target=target, error=str(error))

    def start_next_change(self) -> None:
        """Start the next membership change, if this member leads and one is due."""
        node = self._node
        if self._is_changing or not node.can_change_members:
            return
        members = compute_next_members(
            node.members,
            node.name,
            self._recent_requests(),
            self._progress(),
            self._voter_count,
            self._voter_timeout_s,
        )
        if members is not None:
            self._is_changing = True
            self._spawn(self._commit_change(members))

    def _recent_requests(self) -> MemberRequests:
        oldest_s = self._now_s() - _REQUEST_RETENTION_S
        self._joiners = {
            name: (requested_s, member)
            for name, (requested_s, member) in self._joiners.items()
            if requested_s > oldest_s
        }
        self._leaving_s = {
            name: requested_s
            for name, requested_s in self._leaving_s.items()
            if requested_s > oldest_s
        }
        return MemberRequests(
            tuple(member for _, member in self._joiners.values()),
            frozenset(self._leaving_s),
        )

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
        node = self._node
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
            change = node.propose_members(members)
            await asyncio.wait_for(change, _CHANGE_TIMEOUT_S)
        except (AgatethreadError, TimeoutError) as error:
            log.warning(Event.MEMBERS_NOT_CHANGED, why=repr(error))
            return
        finally:
            self._is_changing = False
        # A replacement has two steps; the second one should not wait for the timer.
        self.start_next_change()


def make_membership_manager(
    settings: RoutingControlSettings,
    node: RaftNode,
    connect: Callable[[str], PeerCalls],
    list_targets: Callable[[], list[str]],
    now_s: Callable[[], float],
    spawn: Spawn,
) -> MembershipManager:
    """Return the membership manager of a control instance.

    Parameters
    ----------
    settings : RoutingControlSettings
        Settings of the instance.
    node, connect, list_targets, now_s, spawn
        As for `MembershipManager`.

    Returns
    -------
    MembershipManager
        The manager.
    """
    address = ControlMember(
        target=settings.target,
        api=settings.api,
        failure_domain=settings.failure_domain,
    )
    return MembershipManager(
        node,
        address,
        settings.voter_count,
        settings.voter_timeout_s,
        list_targets,
        connect,
        now_s,
        spawn,
    )
