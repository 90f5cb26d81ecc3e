"""Receives the leader's log: entries, or a snapshot in their place."""

from agatethread.control._elections import Elections
from agatethread.control._member_state import MemberState
from agatethread.wire.control_pb2 import (
    AppendReply,
    AppendRequest,
    ControlState,
    SnapshotRequest,
)


class LogReceiver:
    """Handles the calls of the leader.

    Parameters
    ----------
    state : MemberState
        State of this member.
    elections : Elections
        Is told of each message of a leader.
    """

    def __init__(self, state: MemberState, elections: Elections):
        self._state = state
        self._elections = elections

    def _accept_leader(self, term: int, leader: str) -> bool:
        if term < self._state.term:
            return False
        self._state.adopt_term(term)
        self._state.become_follower(leader)
        self._elections.record_contact(leader)
        return True

    def on_append(self, request: AppendRequest) -> AppendReply:
        """Store a leader's entries.

        Parameters
        ----------
        request : AppendRequest
            The entries, and index and term of the entry before them.

        Returns
        -------
        AppendReply
            Whether they were written, and the last index that matches the leader's log.

        Raises
        ------
        DiskFullError
            If they could not be written.
        """
        state = self._state
        if not self._accept_leader(request.term, request.leader):
            return AppendReply(term=state.term)
        if request.previous_index > state.last_index:
            return AppendReply(term=state.term, match_index=state.last_index)
        if request.previous_index >= state.log.snapshot_index:
            if state.log.term_at(request.previous_index) != request.previous_term:
                return AppendReply(term=state.term, match_index=state.commit_index)

        state.write_new(list(request.entries))
        match_index = request.previous_index + len(request.entries)
        state.vote_state.enable_voting()
        state.commit_to(min(request.commit_index, match_index))
        return AppendReply(term=state.term, success=True, match_index=match_index)

    def on_snapshot(self, request: SnapshotRequest) -> AppendReply:
        """Replace a log that is too far behind by the leader's snapshot.

        Parameters
        ----------
        request : SnapshotRequest
            The snapshot.

        Returns
        -------
        AppendReply
            The last index that matches the leader's log.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        state = self._state
        if not self._accept_leader(request.term, request.leader):
            return AppendReply(term=state.term)
        if request.last_index > state.commit_index:
            snapshot = ControlState.FromString(request.state)
            state.log.compact(snapshot)
            state.documents.restore(snapshot)
            state.commit_index = snapshot.last_index
            state.refresh_members()
            state.notify_listeners()
        state.vote_state.enable_voting()
        match_index = max(request.last_index, state.commit_index)
        return AppendReply(term=state.term, success=True, match_index=match_index)
