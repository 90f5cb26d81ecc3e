"""State of one member of the log that elections, replication and callers share."""

from collections.abc import Callable, Iterable

from agatethread.control._disk_health import DiskHealth
from agatethread.control._followers import LeadershipConfirmations
from agatethread.control._log import ReplicatedLog
from agatethread.control._members import find_member, has_majority, voter_names
from agatethread.control._proposals import PendingProposals
from agatethread.control._replicated_state import ReplicatedState
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._storage import LogStorage
from agatethread.control._vote_state import LogEnd, VoteState
from agatethread.exceptions import DiskFullError, NotLeaderError
from agatethread.observability import Event, make_logger
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import ControlMember, LogEntry, Members

Connect = Callable[[ControlMember], PeerCalls]

log = make_logger("raft")


class MemberState:
    """Log, members, term and role of one member.

    Parameters
    ----------
    name : str
        Name of this member.
    settings : ControlSettings
        Timing and snapshot threshold.
    storage : LogStorage
        Files of this member.
    peers : dict of str to PeerCalls
        The other members, if the settings name them all.
    now_s : callable
        Monotonic clock.
    connect : callable or None
        Returns the calls to a member that the log names; without it the members are
        `peers` and this one and don't change.
    should_stop : callable
        Returns whether the member is stopping.
    """

    def __init__(
        self,
        name: str,
        settings: ControlSettings,
        storage: LogStorage,
        peers: dict[str, PeerCalls],
        now_s: Callable[[], float],
        connect: Connect | None,
        should_stop: Callable[[], bool],
    ):
        self.name = name
        self.settings = settings
        self.now_s = now_s
        self.should_stop = should_stop
        self._storage = storage
        self._peers = dict(peers)
        self._connect = connect
        self.documents = ReplicatedState()  # also routes, members and drains
        self.role = Role.FOLLOWER
        self.leader = ""
        #: Whether this member is about to stop; then it is no candidate.
        self.is_leaving = False
        self.disk_health = DiskHealth(now_s)
        self.proposals = PendingProposals()
        self.confirmations = LeadershipConfirmations(
            lambda names: has_majority(self.members, [self.name, *names])
        )
        self.listeners: list[Callable[[], None]] = []
        recovered_index = self._recover()
        self.commit_to(min(recovered_index, self.last_index))

    def _recover(self) -> int:
        """Read the files; return the commit index that they hold."""
        recovered = self._storage.recover()
        self.vote_state = VoteState(self._storage, recovered.hard_state)
        self.documents.restore(recovered.snapshot)
        self.log = ReplicatedLog(self._storage, recovered.snapshot, recovered.entries)
        self.commit_index = self.log.snapshot_index
        self._static_members = Members(
            members=[
                ControlMember(name=name, voter=True)
                for name in sorted({self.name, *self._peers})
            ]
        )
        self.refresh_members()
        return recovered.commit_index

    def refresh_members(self) -> None:
        """Read the members from the log; the newest apply, committed or not."""
        # Ongaro's dissertation, section 4.1.
        self.members = (
            self.log.latest_members()
            or (self.documents.members if self._connect else None)
            or self._static_members
        )

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.name in voter_names(self.members)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.log.last_index

    @property
    def log_end(self) -> LogEnd:
        """Term and index of the last entry."""
        return (self.log.term_at(self.last_index), self.last_index)

    @property
    def term(self) -> int:
        """The current term."""
        return self.vote_state.term

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and has committed an entry of its term."""
        return (
            self.role is Role.LEADER
            and self.log.term_at(self.commit_index) == self.term
        )

    def is_leader_of(self, term: int) -> bool:
        """Return whether this member leads in a term and is not stopping.

        Parameters
        ----------
        term : int
            The term.

        Returns
        -------
        bool
            False also if a newer term has begun.
        """
        is_current = self.role is Role.LEADER and self.term == term
        return is_current and not self.should_stop()

    def other_members(self) -> list[str]:
        """Return the names of all members but this one.

        Returns
        -------
        list of str
            Names, in order.
        """
        return [
            member.name for member in self.members.members if member.name != self.name
        ]

    def get_peer(self, name: str) -> PeerCalls:
        """Return the client functions for another member.

        Parameters
        ----------
        name : str
            Name of the member.

        Returns
        -------
        PeerCalls
            The client functions.
        """
        peer = self._peers.get(name)
        if peer is None:
            peer = self._connect(find_member(self.members, name))
            self._peers[name] = peer
        return peer

    def adopt_term(self, term: int) -> None:
        """Store a newer term, in which this member follows.

        Parameters
        ----------
        term : int
            A term; nothing changes if it is not newer.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed.
        """
        if term > self.term:
            self.vote_state.adopt_term(term)
            self.become_follower("")

    def become_follower(self, leader: str) -> None:
        """Follow; the pending calls of a former leader fail.

        Parameters
        ----------
        leader : str
            Name of the leader; empty if none is known.
        """
        has_led = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        self.leader = leader
        if has_led:
            log.info(Event.LEADERSHIP_ENDED, term=self.term, leader=leader)
            self.fail_pending()

    def fail_pending(self) -> None:
        """Fail the proposals and confirmations that are not complete."""
        self.proposals.fail_all(self.leader)
        for confirmation in self.confirmations.pop_all():
            if not confirmation.done():
                confirmation.set_exception(NotLeaderError(self.leader))

    def write_new(self, entries: list[LogEntry]) -> None:
        """Append the leader's entries that the log lacks; remove what contradicts them.

        Parameters
        ----------
        entries : list of LogEntry
            In order; the entry before the first one matches.

        Raises
        ------
        DiskFullError
            If they could not be written.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.log.snapshot_index:
                continue
            if entry.index <= self.last_index:
                if self.log.term_at(entry.index) == entry.term:
                    continue
                self.log.truncate_after(entry.index - 1)
                self.refresh_members()
            self.log.append(entries[position:])
            self.refresh_members()
            return

    def commit_to(self, index: int) -> None:
        """Apply the entries up to an index.

        Parameters
        ----------
        index : int
            Index of the last committed entry; nothing changes if it is not newer.
        """
        if index <= self.commit_index:
            return
        for entry in self.log.entries_between(self.commit_index, index):
            outcome = self.documents.apply(entry.index, entry.term, entry.command)
            if entry.HasField("members"):
                self.documents.members.CopyFrom(entry.members)
            self.proposals.complete(entry, outcome, self.leader)
        self.commit_index = index
        self._compact()
        try:
            self._storage.save_commit_index(index)
        except DiskFullError as error:
            log.warning(Event.COMMIT_NOT_SAVED, error=str(error))
        self.notify_listeners()
        if self.role is Role.LEADER and not self.is_voter:
            log.info(Event.LEADER_NOT_VOTER, term=self.term)
            self.become_follower("")

    def _compact(self) -> None:
        applied_count = self.commit_index - self.log.snapshot_index
        if applied_count < self.settings.snapshot_entry_count:
            return
        try:
            self.log.compact(self.documents.snapshot())
        except DiskFullError as error:
            log.error(Event.LOG_NOT_COMPACTED, error=str(error))

    def notify_listeners(self) -> None:
        """Call the listeners after a change of the applied state."""
        for listener in self.listeners:
            listener()

    def has_votes_of(self, names: Iterable[str]) -> bool:
        """Return whether the votes of some members elect this one.

        Parameters
        ----------
        names : iterable of str
            Members that have granted their vote, this one included.

        Returns
        -------
        bool
            Whether they are a majority; of a member that may have lost votes and
            entries, whether they are all voters.
        """
        if self.vote_state.may_vote:
            return has_majority(self.members, names)
        return set(voter_names(self.members)).issubset(names)
