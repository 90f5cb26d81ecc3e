"""Replication of the leader's log to the other members.

Check-quorum is from Ongaro's dissertation (2014), section 6.2.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from agatethread.control._followers import Follower
from agatethread.control._member_state import MemberState
from agatethread.control._members import has_majority, replicated_index
from agatethread.control._roles import PeerCalls
from agatethread.exceptions import DiskFullError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.wire.control_pb2 import AppendRequest, SnapshotRequest

Spawn = Callable[[Coroutine[Any, Any, None]], object]

log = make_logger("raft")


class Replicator:
    """Sends the log to the other members while this one leads.

    Parameters
    ----------
    state : MemberState
        State of this member.
    spawn : callable
        Starts a coroutine as a task.
    """

    def __init__(self, state: MemberState, spawn: Spawn):
        self._state = state
        self._spawn = spawn
        self._followers: dict[str, Follower] = {}

    def start(self, last_contacts_s: Mapping[str, float]) -> None:
        """Start to replicate, at the begin of a term.

        Parameters
        ----------
        last_contacts_s : mapping of str to float
            Time of the last sign of life of members of which it is known.
        """
        self._followers.clear()
        self._update_followers(last_contacts_s)

    def update_followers(self) -> None:
        """Start replication to new members; end it to those removed."""
        self._update_followers({})

    def _update_followers(self, last_contacts_s: Mapping[str, float]) -> None:
        state = self._state
        others = state.other_members()
        for name in others:
            if name not in self._followers:
                # Of the others nothing is known before they answer.
                contact_s = last_contacts_s.get(name, state.now_s())
                follower = Follower(state.last_index + 1, contact_s)
                self._followers[name] = follower
                self._spawn(self._replicate(name, follower, state.term))
        for name in [name for name in self._followers if name not in others]:
            # Wakes the task, which then ends.
            self._followers.pop(name).wake.set()

    async def _replicate(self, name: str, follower: Follower, term: int) -> None:
        state = self._state
        peer = state.get_peer(name)
        while self._followers.get(name) is follower and state.is_leader_of(term):
            follower.wake.clear()
            try:
                has_more = await self._send_to(name, follower, peer)
            except UnavailableError:
                has_more = False
            except DiskFullError as error:
                log.error(Event.TERM_NOT_SAVED, error=str(error))
                has_more = False
            if has_more:
                continue
            try:
                interval_s = state.settings.heartbeat_interval_s
                await asyncio.wait_for(follower.wake.wait(), interval_s)
            except TimeoutError:
                continue

    async def _send_to(self, name: str, follower: Follower, peer: PeerCalls) -> bool:
        """Send missing entries to a follower; return whether more are left to send."""
        state = self._state
        term, round_number = state.term, state.confirmations.round_number
        if follower.next_index <= state.log.snapshot_index:
            reply = await peer.install_snapshot(self._snapshot_request(name))
        else:
            request = self._append_request(name, follower.next_index)
            reply = await peer.append(request)
        if not state.is_leader_of(term) or self._followers.get(name) is not follower:
            return False
        if reply.term > state.term:
            state.adopt_term(reply.term)
            return False

        follower.last_answer_s = state.now_s()
        follower.confirmed_round = round_number
        self.complete_confirmed()
        if not reply.success:
            retry_index = min(follower.next_index - 1, reply.match_index + 1)
            follower.next_index = max(1, retry_index)
            return True
        follower.match_index = max(follower.match_index, reply.match_index)
        follower.next_index = follower.match_index + 1
        self.advance_commit()
        return follower.next_index <= state.last_index

    def _append_request(self, name: str, next_index: int) -> AppendRequest:
        state = self._state
        previous = next_index - 1
        return AppendRequest(
            term=state.term,
            leader=state.name,
            previous_index=previous,
            previous_term=state.log.term_at(previous),
            entries=state.log.batch_from(next_index),
            commit_index=state.commit_index,
            receiver=name,
        )

    def _snapshot_request(self, name: str) -> SnapshotRequest:
        state = self._state
        snapshot = state.log.snapshot
        return SnapshotRequest(
            term=state.term,
            leader=state.name,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            state=snapshot.SerializeToString(deterministic=True),
            receiver=name,
        )

    def complete_confirmed(self) -> None:
        """Complete the confirmations of leadership that a majority has answered."""
        self._state.confirmations.complete_confirmed(self._followers)

    def advance_commit(self) -> None:
        """Commit what a majority of the voters holds, if it is of this term."""
        state = self._state
        match_indexes = {
            name: follower.match_index for name, follower in self._followers.items()
        }
        match_indexes[state.name] = state.last_index
        index = replicated_index(state.members, match_indexes)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)
            self.wake_followers()

    def wake_followers(self) -> None:
        """Send at once what the followers lack, or a heartbeat."""
        for follower in self._followers.values():
            follower.wake.set()

    def has_quorum(self) -> bool:
        """Return whether a majority of the voters has answered lately.

        Returns
        -------
        bool
            Whether it did within two election timeouts.
        """
        state = self._state
        min_answer_s = state.now_s() - 2 * state.settings.election_timeout_s
        reachable = [
            name
            for name, follower in self._followers.items()
            if follower.last_answer_s > min_answer_s
        ]
        return has_majority(state.members, [state.name, *reachable])

    def silence_s(self, name: str) -> float:
        """Return the time since a member last answered this leader.

        Parameters
        ----------
        name : str
            Name of the member.

        Returns
        -------
        float
            Seconds; 0 if it is no follower of this member.
        """
        follower = self._followers.get(name)
        return self._state.now_s() - follower.last_answer_s if follower else 0.0

    def lag_count(self, name: str) -> int:
        """Return how many entries a member lacks, as far as this leader knows.

        Parameters
        ----------
        name : str
            Name of the member.

        Returns
        -------
        int
            Number of entries.
        """
        follower = self._followers.get(name)
        return self._state.last_index - (follower.match_index if follower else 0)
