"""Log replication by Raft (Ongaro and Ousterhout, USENIX ATC 2014)."""

import asyncio
from collections.abc import Callable

from mode import Service

from agatethread.control._elections import Elections
from agatethread.control._log_receiver import LogReceiver
from agatethread.control._member_state import Connect, MemberState
from agatethread.control._replicated_state import ReplicatedState
from agatethread.control._replicator import Replicator
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._storage import LogStorage
from agatethread.exceptions import DiskFullError, NotLeaderError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import LogEntry, Members, Outcome

_ELECTION_POLL_S = 0.02

log = make_logger("raft")


class RaftNode(Service):
    """One member of the log.

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
    seed : int, optional
        Seed of the random election timeouts.
    connect : callable, optional
        Returns the calls to a member that the log names; without it the members are
        `peers` and this one and don't change.
    """

    def __init__(
        self,
        name: str,
        settings: ControlSettings,
        storage: LogStorage,
        peers: dict[str, PeerCalls],
        now_s: Callable[[], float],
        seed: int | None = None,
        connect: Connect | None = None,
    ):
        super().__init__()
        self._storage = storage
        self.member_state = MemberState(
            name, settings, storage, peers, now_s, connect, lambda: self.should_stop
        )
        self.elections = Elections(self.member_state, seed)
        self._replicator = Replicator(self.member_state, self.add_future)
        receiver = LogReceiver(self.member_state, self.elections)
        #: Handlers of the calls of other members.
        self.on_vote = self.elections.on_vote
        self.on_append = receiver.on_append
        self.on_snapshot = receiver.on_snapshot
        #: Progress of a member by name, as this leader knows it.
        self.silence_s = self._replicator.silence_s
        self.lag_count = self._replicator.lag_count

    @property
    def name(self) -> str:
        """Name of this member."""
        return self.member_state.name

    @property
    def role(self) -> Role:
        """Role of this member in its term."""
        return self.member_state.role

    @property
    def leader(self) -> str:
        """Name of the leader, as far as known; empty if none is."""
        return self.member_state.leader

    @property
    def term(self) -> int:
        """The current term of this member."""
        return self.member_state.term

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self.member_state.members

    @property
    def documents(self) -> ReplicatedState:
        """The applied state."""
        return self.member_state.documents

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.member_state.is_voter

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.member_state.last_index

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self.member_state.commit_index

    @property
    def leader_silence_s(self) -> float:
        """Time since a leader's last message or the start; 0 while leading."""
        return self.elections.leader_silence_s

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and has committed an entry of its term."""
        return self.member_state.has_committed_in_term

    @property
    def can_change_members(self) -> bool:
        """Whether this member leads and no earlier change is uncommitted."""
        state = self.member_state
        is_settled = state.log.latest_members_index() <= state.commit_index
        return state.has_committed_in_term and is_settled

    def committed_entries(self) -> list[LogEntry]:
        """Return the committed entries that are not yet in a snapshot.

        Returns
        -------
        list of LogEntry
            In order.
        """
        state = self.member_state
        return state.log.entries_between(state.log.snapshot_index, state.commit_index)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after the state has changed.

        Parameters
        ----------
        listener : callable
            Called without arguments; also after a snapshot was installed.
        """
        self.member_state.listeners.append(listener)

    def prepare_to_stop(self) -> None:
        """Be no candidate any more; the member is about to stop."""
        self.member_state.is_leaving = True

    @property
    def is_leaving(self) -> bool:
        """Whether the member is about to stop."""
        return self.member_state.is_leaving

    @Service.task
    async def _run_election_timer(self) -> None:
        while not self.should_stop:
            await self.sleep(_ELECTION_POLL_S)
            if self.should_stop:
                return
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            if not self.elections.is_due():
                continue
            try:
                await self.run_election()
            except DiskFullError as error:
                log.error(Event.CANDIDACY_FAILED, error=str(error))
                self.member_state.disk_health.pause_candidacy()

    def _check_quorum(self) -> None:
        if not self._replicator.has_quorum():
            log.warning(Event.QUORUM_LOST, term=self.term)
            self.member_state.become_follower("")

    async def run_election(self) -> None:
        """Try to be elected, and lead if that succeeds.

        Raises
        ------
        DiskFullError
            If the candidacy or the first entry of the term could not be written.
        """
        if await self.elections.run():
            self._become_leader()

    def _become_leader(self) -> None:
        state = self.member_state
        state.vote_state.enable_voting()
        # A leader commits entries of earlier terms only with one of its own term.
        state.log.append([LogEntry(index=state.last_index + 1, term=state.term)])
        log.info(Event.LEADERSHIP_STARTED, term=state.term, last_index=state.last_index)
        state.role = Role.LEADER
        state.leader = state.name
        state.disk_health.record_success()
        self._replicator.start(self.elections.take_last_contact())
        self._replicator.advance_commit()

    async def propose(self, command: bytes) -> Outcome:
        """Add a command to the log and wait until it is committed and applied.

        Parameters
        ----------
        command : bytes
            A serialized `Command`.

        Returns
        -------
        Outcome
            Outcome of the command.

        Raises
        ------
        NotLeaderError
            If this member does not lead, or lost leadership before the outcome was
            known; the command may still be committed.
        DiskFullError
            If it could not be written; it was not accepted.
        """
        return await self._propose(LogEntry(command=command))

    async def propose_members(self, members: Members) -> Outcome:
        """Change the members and wait until the change is committed.

        Parameters
        ----------
        members : Members
            The new members; one voter at most is added, removed or replaced.

        Returns
        -------
        Outcome
            Outcome of the committed change.

        Raises
        ------
        NotLeaderError
            If this member does not lead or `can_change_members` is false; try later.
        DiskFullError
            If it could not be written.
        """
        if not self.can_change_members:
            raise NotLeaderError(self.leader)
        return await self._propose(LogEntry(members=members))

    async def _propose(self, entry: LogEntry) -> Outcome:
        state = self.member_state
        if state.role is not Role.LEADER:
            raise NotLeaderError(state.leader)

        entry.index = state.last_index + 1
        entry.term = state.term
        try:
            state.log.append([entry])
        except DiskFullError:
            self._record_write_failure()
            raise
        state.disk_health.record_success()
        if entry.HasField("members"):
            state.refresh_members()
            self._replicator.update_followers()
        outcome = state.proposals.add(entry)
        self._replicator.wake_followers()
        self._replicator.advance_commit()
        return await outcome

    def _record_write_failure(self) -> None:
        if self.member_state.disk_health.record_failure():
            log.error(Event.LEADER_WRITE_FAILED, term=self.term)
            self.member_state.become_follower("")

    async def confirm_leadership(self, timeout_s: float) -> None:
        """Wait until a majority of the voters confirms that this member leads.

        Afterwards the state here includes every change committed before the call. Uses
        no leader lease, since the clock of a suspended process is unreliable.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait.

        Raises
        ------
        NotLeaderError
            If this member does not lead.
        UnavailableError
            If too few answered in time.
        """
        if not self.has_committed_in_term:
            raise NotLeaderError(self.leader)
        confirmation = self.member_state.confirmations.start()
        self._replicator.wake_followers()
        self._replicator.complete_confirmed()
        try:
            await asyncio.wait_for(confirmation, timeout_s)
        except TimeoutError:
            raise UnavailableError("leadership was not confirmed in time") from None

    def sync_commit_index(self) -> None:
        """Sync the saved commit index; blocks until the disk has written it.

        Raises
        ------
        DiskFullError
            If it could not be synced.
        """
        self._storage.sync_commit_index()

    async def on_stop(self) -> None:
        """Fail pending calls and close the files."""
        self.member_state.become_follower("")
        self.member_state.fail_pending()
        self._storage.close()
