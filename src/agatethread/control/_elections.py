"""Elections of one member: the timeout, the votes it asks for and those it grants.

Pre-vote is from Ongaro's dissertation (2014), section 9.6.
"""

import asyncio
import random

from agatethread.control._member_state import MemberState
from agatethread.control._members import voter_names
from agatethread.control._roles import PeerCalls, Role
from agatethread.exceptions import DiskFullError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.wire.control_pb2 import VoteReply, VoteRequest

#: Part of the election timeout that applies after a start.
_FIRST_TIMEOUT_RATIO = 0.25

log = make_logger("raft")


class Elections:
    """Election timeout and votes of one member.

    Parameters
    ----------
    state : MemberState
        State of the member.
    seed : int or None
        Seed of the random election timeouts.
    """

    def __init__(self, state: MemberState, seed: int | None):
        self._state = state
        self._random = random.Random(seed)
        #: Time of a leader's last message, or of the start; a pre-vote depends on it.
        self._leader_contact_s = state.now_s()
        #: The leader that sent that message; empty if there was none.
        self._contacted_leader = ""
        #: Start of the election timeout; reset by a leader, a granted vote, candidacy.
        self._timeout_start_s = state.now_s()
        # Short, for an early election after all members have restarted; if there is a
        # leader, the pre-vote is refused and has no effect.
        self._timeout_s = self._draw_timeout_s() * _FIRST_TIMEOUT_RATIO

    def _draw_timeout_s(self) -> float:
        timeout_s = self._state.settings.election_timeout_s
        return timeout_s * self._random.uniform(1.0, 2.0)

    @property
    def leader_silence_s(self) -> float:
        """Time since a leader's last message or the start; 0 while leading."""
        if self._state.role is Role.LEADER:
            return 0.0
        return self._state.now_s() - self._leader_contact_s

    def record_contact(self, leader: str) -> None:
        """Record a message of the leader.

        Parameters
        ----------
        leader : str
            Name of the leader.
        """
        self._leader_contact_s = self._state.now_s()
        self._contacted_leader = leader
        self._timeout_start_s = self._leader_contact_s

    def take_last_contact(self) -> dict[str, float]:
        """Return the time of the previous leader's last message, and forget it.

        Returns
        -------
        dict of str to float
            The time by name; empty if there was no message.
        """
        leader, self._contacted_leader = self._contacted_leader, ""
        return {leader: self._leader_contact_s} if leader else {}

    def is_due(self) -> bool:
        """Return whether this member should try to be elected.

        Returns
        -------
        bool
            Whether the timeout has passed and the member may be a candidate.
        """
        state = self._state
        if state.now_s() - self._timeout_start_s < self._timeout_s:
            return False
        may_lead = state.is_voter and not state.is_leaving
        return may_lead and state.disk_health.may_be_candidate

    async def run(self) -> bool:
        """Ask for the votes of the other members.

        Returns
        -------
        bool
            Whether this member is elected in its term.

        Raises
        ------
        DiskFullError
            If the candidacy could not be written.
        """
        state = self._state
        contact_s, term = self._leader_contact_s, state.term
        self._timeout_start_s = state.now_s()
        self._timeout_s = self._draw_timeout_s()
        if not await self._collect_votes(term + 1, pre_vote=True):
            return False
        has_changed = self._leader_contact_s != contact_s or state.term != term
        if has_changed or state.should_stop():
            return False

        state.role = Role.CANDIDATE
        state.leader = ""
        state.vote_state.start_candidacy(state.name)
        term = state.term
        is_elected = await self._collect_votes(term, pre_vote=False)
        is_current = state.role is Role.CANDIDATE and state.term == term
        return is_elected and is_current and not state.should_stop()

    async def _collect_votes(self, term: int, pre_vote: bool) -> bool:
        state = self._state
        last_term, last_index = state.log_end
        # Tasks: `as_completed` would start plain coroutines in the order of a set, and
        # runs with equal seeds would differ.
        requests = [
            asyncio.ensure_future(
                self.request_vote(
                    state.get_peer(name),
                    VoteRequest(
                        term=term,
                        candidate=state.name,
                        last_index=last_index,
                        last_term=last_term,
                        pre_vote=pre_vote,
                        receiver=name,
                    ),
                )
            )
            for name in voter_names(state.members)
            if name != state.name
        ]
        granted_names = [state.name]
        for next_vote in asyncio.as_completed(requests):
            granted_names += await next_vote
            if state.has_votes_of(granted_names):
                return True
        return state.has_votes_of(granted_names)

    async def request_vote(self, peer: PeerCalls, request: VoteRequest) -> list[str]:
        """Ask a voter for its vote.

        Parameters
        ----------
        peer : PeerCalls
            Client functions for the voter.
        request : VoteRequest
            The request, with the name of the voter.

        Returns
        -------
        list of str
            The name of the voter if it grants its vote; empty otherwise.
        """
        state = self._state
        try:
            reply = await peer.vote(request)
        except UnavailableError:
            return []
        if state.should_stop():
            return []
        if reply.term > state.term and not reply.granted:
            self._adopt_term_of_reply(reply.term)
        return [request.receiver] if reply.granted else []

    def _adopt_term_of_reply(self, term: int) -> None:
        try:
            self._state.adopt_term(term)
        except DiskFullError as error:
            # The task of a reply that comes after the majority is not awaited.
            log.error(Event.TERM_NOT_SAVED, error=str(error))
            self._state.disk_health.pause_candidacy()

    def on_vote(self, request: VoteRequest) -> VoteReply:
        """Handle a candidate's request for a vote.

        Parameters
        ----------
        request : VoteRequest
            The request.

        Returns
        -------
        VoteReply
            Whether the vote is granted.

        Raises
        ------
        DiskFullError
            If the vote could not be written; it is not granted.
        """
        state = self._state
        if request.pre_vote:
            granted = self._grants_pre_vote(request)
            return VoteReply(term=state.term, granted=granted)

        state.adopt_term(request.term)
        granted = state.vote_state.grant_vote(request, state.log_end)
        if granted:
            self._timeout_start_s = state.now_s()
        return VoteReply(term=state.term, granted=granted)

    def _grants_pre_vote(self, request: VoteRequest) -> bool:
        state = self._state
        silent_s = state.now_s() - self._leader_contact_s
        has_leader = state.role is Role.LEADER or (
            state.leader and silent_s < state.settings.election_timeout_s
        )
        return (
            not has_leader
            and request.term > state.term
            and state.vote_state.is_log_eligible(request, state.log_end)
        )
