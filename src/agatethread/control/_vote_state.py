"""Durable term and vote of a member."""

from agatethread.control._storage import LogStorage
from agatethread.wire.control_pb2 import HardState, VoteRequest

#: Term and index of a log's last entry; the larger pair is the more recent log.
LogEnd = tuple[int, int]


class VoteState:
    """Term and vote of a member; both are written to disk before they change in memory.

    Parameters
    ----------
    storage : LogStorage
        Files that hold the term and the vote.
    hard_state : HardState
        The recovered term, vote and name.
    """

    def __init__(self, storage: LogStorage, hard_state: HardState):
        self._storage = storage
        self._member_name = hard_state.member_name
        self.term = hard_state.term
        self._voted_for = hard_state.voted_for
        # A member whose disk is empty may have lost votes and entries. Until a leader
        # has replicated to it, it grants votes only to candidates with an empty log,
        # and as a candidate it needs the votes of all voters: one that holds entries
        # refuses.
        self.may_vote = hard_state.may_vote

    def _save(self, term: int, voted_for: str) -> None:
        hard_state = HardState(
            term=term,
            voted_for=voted_for,
            may_vote=self.may_vote,
            member_name=self._member_name,
        )
        self._storage.save_hard_state(hard_state)
        self.term = term
        self._voted_for = voted_for

    def adopt_term(self, term: int) -> None:
        """Store a newer term without a vote.

        Parameters
        ----------
        term : int
            The newer term.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed.
        """
        self._save(term, "")

    def start_candidacy(self, name: str) -> None:
        """Start the next term and store a vote for this member.

        Parameters
        ----------
        name : str
            Name of this member.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed.
        """
        self._save(self.term + 1, name)

    def enable_voting(self) -> None:
        """Allow this member to vote, after a leader has replicated to it.

        Raises
        ------
        DiskFullError
            If it could not be written; `may_vote` is set in memory only.
        """
        if not self.may_vote:
            self.may_vote = True
            self._save(self.term, self._voted_for)

    def is_log_eligible(self, request: VoteRequest, log_end: LogEnd) -> bool:
        """Return whether a candidate's log is eligible for this member's vote.

        Parameters
        ----------
        request : VoteRequest
            The candidate's request.
        log_end : tuple of (int, int)
            Term and index of this member's last entry.

        Returns
        -------
        bool
            Whether it is at least as recent as this member's, and empty if this member
            may not vote yet.
        """
        is_up_to_date = (request.last_term, request.last_index) >= log_end
        return is_up_to_date and (self.may_vote or request.last_index == 0)

    def grant_vote(self, request: VoteRequest, log_end: LogEnd) -> bool:
        """Store the vote for a candidate, if it can be granted.

        Parameters
        ----------
        request : VoteRequest
            The candidate's request; its term has been adopted if it was newer.
        log_end : tuple of (int, int)
            Term and index of this member's last entry.

        Returns
        -------
        bool
            Whether the vote is granted.

        Raises
        ------
        DiskFullError
            If it could not be written; the vote is not granted.
        """
        if request.term != self.term:
            return False
        if self._voted_for not in ("", request.candidate):
            return False
        if not self.is_log_eligible(request, log_end):
            return False
        self._save(self.term, request.candidate)
        return True
