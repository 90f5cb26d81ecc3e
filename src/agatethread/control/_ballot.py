"""A member's term and vote, as they stand on its disk."""

from agatethread.control._storage import LogStorage
from agatethread.wire.control_pb2 import HardState, VoteRequest

#: Term and index of a log's last entry: the later log is the one with the larger pair.
LogEnd = tuple[int, int]


class Ballot:
    """Term and vote; each change is on the disk before it counts.

    Parameters
    ----------
    storage : LogStorage
        The disk.
    hard_state : HardState
        As recovered.
    """

    def __init__(self, storage: LogStorage, hard_state: HardState):
        self._storage = storage
        self._member_name = hard_state.member_name
        self.term = hard_state.term
        self._voted_for = hard_state.voted_for
        # An empty disk may be a lost one, that forgot its votes and entries. Until a
        # leader has filled it, it votes only for a log that never held anything, and
        # such a log needs every member's vote: one that holds entries says no.
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

    def adopt(self, term: int) -> None:
        """Take a newer term, without a vote in it.

        Parameters
        ----------
        term : int
            The term.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed.
        """
        self._save(term, "")

    def stand(self, name: str) -> None:
        """Take the next term and vote for oneself.

        Parameters
        ----------
        name : str
            This member.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed.
        """
        self._save(self.term + 1, name)

    def allow(self) -> None:
        """Let a disk vote that a leader has filled.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        if not self.may_vote:
            self.may_vote = True
            self._save(self.term, self._voted_for)

    def would_vote(self, request: VoteRequest, log_end: LogEnd) -> bool:
        """Tell whether a candidate's log allows a vote for it.

        Parameters
        ----------
        request : VoteRequest
            The candidate's request.
        log_end : tuple of (int, int)
            Term and index of this member's last entry.

        Returns
        -------
        bool
            Whether the log is up to date, and this disk may vote for it.
        """
        is_up_to_date = (request.last_term, request.last_index) >= log_end
        return is_up_to_date and (self.may_vote or request.last_index == 0)

    def vote(self, request: VoteRequest, log_end: LogEnd) -> bool:
        """Give a candidate the vote of its term, if it may have it.

        Parameters
        ----------
        request : VoteRequest
            The candidate's request, of a term that was adopted.
        log_end : tuple of (int, int)
            Term and index of this member's last entry.

        Returns
        -------
        bool
            Whether it has the vote.

        Raises
        ------
        DiskFullError
            If it could not be written; there is no vote.
        """
        if request.term != self.term:
            return False
        if self._voted_for not in ("", request.candidate):
            return False
        if not self.would_vote(request, log_end):
            return False
        self._save(self.term, request.candidate)
        return True
