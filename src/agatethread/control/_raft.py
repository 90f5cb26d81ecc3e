"""Replicated log after Raft (Ongaro and Ousterhout, USENIX ATC 2014).

Pre-vote and check-quorum are from Ongaro's dissertation (2014), sections 9.6 and 6.2.
"""

import asyncio
import random
from collections.abc import Callable

from mode import Service

from agatethread.control._ballot import Ballot, LogEnd
from agatethread.control._disk_health import DiskHealth
from agatethread.control._followers import Follower, LeadershipConfirmations
from agatethread.control._log import ReplicatedLog
from agatethread.control._members import (
    find_member,
    has_majority,
    majority_count,
    replicated_index,
    voter_names,
)
from agatethread.control._proposals import PendingProposals
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._state import DocumentState
from agatethread.control._storage import LogStorage
from agatethread.exceptions import DiskFullError, NotLeaderError, UnavailableError
from agatethread.observability import Event, make_logger
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import (
    AppendReply,
    AppendRequest,
    ControlMember,
    ControlState,
    LogEntry,
    Members,
    Outcome,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

_ELECTION_POLL_S = 0.02
#: Share of the election timeout that is waited for after a start.
_FIRST_TIMEOUT_RATIO = 0.25

Connect = Callable[[ControlMember], PeerCalls]

log = make_logger("raft")


class RaftNode(Service):
    """One member of the log.

    Parameters
    ----------
    name : str
        This member.
    settings : ControlSettings
        Timing and snapshot threshold.
    storage : LogStorage
        Its disk.
    peers : dict of str to PeerCalls
        The other members, where the settings name them all.
    now_s : callable
        Monotonic clock.
    seed : int, optional
        Of the election timeouts.
    connect : callable, optional
        Makes the calls to a member that the log names; without it the members are
        `peers` and this one, for good.
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
        self.name = name
        self._settings = settings
        self._storage = storage
        self._peers = dict(peers)
        self._connect = connect
        self._now_s = now_s
        self._random = random.Random(seed)
        self.documents = DocumentState()
        self.role = Role.FOLLOWER
        self.leader = ""
        self._recover()
        #: When a leader was last heard: what others' candidacies are judged by.
        self._heard_leader_s = now_s()
        #: What the election timeout counts from; also an own candidacy restarts it.
        self._waiting_since_s = now_s()
        # After a restart of all nobody leads, and the sooner one stands the better; if
        # somebody does lead, the pre-vote is refused and nothing is disturbed.
        self._timeout_s = self._draw_timeout_s() * _FIRST_TIMEOUT_RATIO
        self._followers: dict[str, Follower] = {}
        self._listeners: list[Callable[[], None]] = []
        self._confirmations = LeadershipConfirmations(
            lambda names: has_majority(self.members, [self.name, *names])
        )
        self._disk_health = DiskHealth(now_s)
        self._proposals = PendingProposals()
        self._commit_to(min(self._recovered_commit_index, self.last_index))

    def _recover(self) -> None:
        recovered = self._storage.recover()
        self._ballot = Ballot(self._storage, recovered.hard_state)
        self.documents.restore(recovered.snapshot)
        self._log = ReplicatedLog(self._storage, recovered.snapshot, recovered.entries)
        self.commit_index = self._log.base_index
        self._recovered_commit_index = recovered.commit_index
        self._static_members = Members(
            members=[
                ControlMember(name=name, voter=True)
                for name in sorted({self.name, *self._peers})
            ]
        )
        self._refresh_members()

    def _refresh_members(self) -> None:
        # The newest members in the log are in force, committed or not (Ongaro's
        # dissertation, section 4.1).
        self.members = (
            self._log.latest_members()
            or (self.documents.members if self._connect else None)
            or self._static_members
        )

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.name in voter_names(self.members)

    def _call(self, name: str) -> PeerCalls:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = self._connect(find_member(self.members, name))
        return peer

    def _others(self) -> list[str]:
        return [one.name for one in self.members.members if one.name != self.name]

    # -- log ----------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._log.last_index

    def committed_entries(self) -> list[LogEntry]:
        """List the committed entries that are not yet in a snapshot.

        Returns
        -------
        list of LogEntry
            In order.
        """
        return self._log.entries_between(self._log.base_index, self.commit_index)

    @property
    def term(self) -> int:
        """The newest term that this member knows."""
        return self._ballot.term

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Be told after committed entries have been applied.

        Parameters
        ----------
        listener : callable
            Called without arguments.
        """
        self._listeners.append(listener)

    # -- elections ----------------------------------------------------------------

    @property
    def _majority(self) -> int:
        return majority_count(self.members)

    @property
    def _votes_needed(self) -> int:
        if self._ballot.may_vote:
            return self._majority
        return len(voter_names(self.members))

    def _draw_timeout_s(self) -> float:
        return self._settings.election_timeout_s * self._random.uniform(1.0, 2.0)

    @Service.task
    async def _watch_leader(self) -> None:
        while not self.should_stop:
            await self.sleep(_ELECTION_POLL_S)
            if self.should_stop:
                return
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            if self._now_s() - self._waiting_since_s < self._timeout_s:
                continue
            if not self.is_voter or not self._disk_health.may_be_candidate:
                continue
            try:
                await self._stand()
            except DiskFullError as error:
                log.error(Event.CANT_STAND, error=str(error))
                self._disk_health.pause_candidacy()

    def _check_quorum(self) -> None:
        oldest_s = self._now_s() - 2 * self._settings.election_timeout_s
        reached = [
            name
            for name, follower in self._followers.items()
            if follower.last_answer_s > oldest_s
        ]
        if not has_majority(self.members, [self.name, *reached]):
            log.warning(Event.QUORUM_LOST, term=self.term)
            self._become_follower("")

    async def _stand(self) -> None:
        heard_s, term = self._heard_leader_s, self.term
        self._waiting_since_s = self._now_s()
        self._timeout_s = self._draw_timeout_s()
        if not await self._collect_votes(term + 1, pre_vote=True):
            return
        if self._heard_leader_s != heard_s or self.term != term or self.should_stop:
            return

        self.role = Role.CANDIDATE
        self.leader = ""
        self._ballot.start_candidacy(self.name)
        term = self.term
        won = await self._collect_votes(term, pre_vote=False)
        is_current = self.role is Role.CANDIDATE and self.term == term
        if won and is_current and not self.should_stop:
            self._become_leader()

    async def _collect_votes(self, term: int, pre_vote: bool) -> bool:
        needed = self._votes_needed
        # Tasks, since `as_completed` starts coroutines in the order of a set, and equal
        # seeds would not give equal runs.
        asked = [
            asyncio.ensure_future(
                self._ask_vote(
                    self._call(name),
                    VoteRequest(
                        term=term,
                        candidate=self.name,
                        last_index=self.last_index,
                        last_term=self._log.term_at(self.last_index),
                        pre_vote=pre_vote,
                        receiver=name,
                    ),
                )
            )
            for name in voter_names(self.members)
            if name != self.name
        ]
        votes = 1
        for next_vote in asyncio.as_completed(asked):
            votes += await next_vote
            if votes >= needed:
                return True
        return votes >= needed

    async def _ask_vote(self, peer: PeerCalls, request: VoteRequest) -> bool:
        try:
            reply = await peer.vote(request)
        except UnavailableError:
            return False
        if reply.term > self.term and not reply.granted:
            self._adopt_term(reply.term)
        return reply.granted

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._ballot.adopt_term(term)
            self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        if self.role is Role.LEADER:
            log.info(Event.LEADER_NO_MORE, term=self.term, leader=leader)
            self._fail_waiting()
        self.role = Role.FOLLOWER
        self.leader = leader

    def _become_leader(self) -> None:
        log.info(Event.LEADER, term=self.term, last_index=self.last_index)
        self.role = Role.LEADER
        self.leader = self.name
        self._disk_health.record_success()
        self._ballot.enable_voting()
        self._followers.clear()
        # An entry of its own term lets it commit those of earlier terms.
        self._log.append([LogEntry(index=self.last_index + 1, term=self.term)])
        self._follow_members()
        self._advance_commit()

    def _follow_members(self) -> None:
        """Start to replicate to new members; tasks of those that left end alone."""
        others = self._others()
        for name in others:
            if name not in self._followers:
                follower = Follower(self.last_index + 1, last_answer_s=self._now_s())
                self._followers[name] = follower
                self.add_future(self._replicate(name, follower, self.term))
        for name in [one for one in self._followers if one not in others]:
            self._followers.pop(name).wake.set()

    def on_vote(self, request: VoteRequest) -> VoteReply:
        """Answer a candidate.

        Parameters
        ----------
        request : VoteRequest
            Its request.

        Returns
        -------
        VoteReply
            Whether it has this member's vote.
        """
        if request.pre_vote:
            return VoteReply(term=self.term, granted=self._would_vote(request))

        if request.term > self.term:
            self._adopt_term(request.term)
        granted = self._ballot.grant_vote(request, self._log_end)
        if granted:
            self._waiting_since_s = self._now_s()
        return VoteReply(term=self.term, granted=granted)

    def _would_vote(self, request: VoteRequest) -> bool:
        silent_s = self._now_s() - self._heard_leader_s
        has_leader = self.role is Role.LEADER or (
            self.leader and silent_s < self._settings.election_timeout_s
        )
        return (
            not has_leader
            and request.term > self.term
            and self._ballot.would_vote(request, self._log_end)
        )

    @property
    def _log_end(self) -> LogEnd:
        return (self._log.term_at(self.last_index), self.last_index)

    # -- replication --------------------------------------------------------------

    async def _replicate(self, name: str, follower: Follower, term: int) -> None:
        peer = self._call(name)
        while self._followers.get(name) is follower and self._leads(term):
            follower.wake.clear()
            try:
                more = await self._send_to(name, follower, peer)
            except UnavailableError:
                more = False
            except DiskFullError as error:
                log.error(Event.TERM_NOT_TAKEN, error=str(error))
                more = False
            if more:
                continue
            try:
                interval_s = self._settings.heartbeat_interval_s
                await asyncio.wait_for(follower.wake.wait(), interval_s)
            except TimeoutError:
                continue

    def _leads(self, term: int) -> bool:
        return self.role is Role.LEADER and self.term == term and not self.should_stop

    async def _send_to(self, name: str, follower: Follower, peer: PeerCalls) -> bool:
        """Send what a follower lacks; return whether there is more to send."""
        term, number = self.term, self._confirmations.round
        if follower.next_index <= self._log.base_index:
            reply = await peer.install_snapshot(self._snapshot_request(name))
        else:
            request = self._append_request(name, follower.next_index)
            reply = await peer.append(request)
        if not self._leads(term) or self._followers.get(name) is not follower:
            return False
        if reply.term > self.term:
            self._adopt_term(reply.term)
            return False

        follower.last_answer_s = self._now_s()
        follower.confirmed_round = number
        self._confirmations.complete_confirmed(self._followers)
        if not reply.success:
            earlier = min(follower.next_index - 1, reply.match_index + 1)
            follower.next_index = max(1, earlier)
            return True
        follower.match_index = max(follower.match_index, reply.match_index)
        follower.next_index = follower.match_index + 1
        self._advance_commit()
        return follower.next_index <= self.last_index

    def _append_request(self, name: str, next_index: int) -> AppendRequest:
        previous = next_index - 1
        return AppendRequest(
            term=self.term,
            leader=self.name,
            previous_index=previous,
            previous_term=self._log.term_at(previous),
            entries=self._log.batch_from(next_index),
            commit_index=self.commit_index,
            receiver=name,
        )

    def _snapshot_request(self, name: str) -> SnapshotRequest:
        snapshot = self._log.snapshot
        return SnapshotRequest(
            term=self.term,
            leader=self.name,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            state=snapshot.SerializeToString(deterministic=True),
            receiver=name,
        )

    def _advance_commit(self) -> None:
        held = {name: one.match_index for name, one in self._followers.items()}
        held[self.name] = self.last_index
        index = replicated_index(self.members, held)
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self._commit_to(index)
            self._wake_all()

    def _accept_leader(self, term: int, leader: str) -> bool:
        if term < self.term:
            return False
        if term > self.term:
            self._adopt_term(term)
        self._become_follower(leader)
        self._heard_leader_s = self._now_s()
        self._waiting_since_s = self._heard_leader_s
        return True

    def on_append(self, request: AppendRequest) -> AppendReply:
        """Take a leader's entries.

        Parameters
        ----------
        request : AppendRequest
            The entries and what precedes them.

        Returns
        -------
        AppendReply
            Whether they were written, and how far the log matches.

        Raises
        ------
        DiskFullError
            If they could not be written.
        """
        if not self._accept_leader(request.term, request.leader):
            return AppendReply(term=self.term)
        if request.previous_index > self.last_index:
            return AppendReply(term=self.term, match_index=self.last_index)
        if request.previous_index >= self._log.base_index:
            if self._log.term_at(request.previous_index) != request.previous_term:
                return AppendReply(term=self.term, match_index=self.commit_index)

        self._write_new(list(request.entries))
        match = request.previous_index + len(request.entries)
        self._ballot.enable_voting()
        self._commit_to(min(request.commit_index, match))
        return AppendReply(term=self.term, success=True, match_index=match)

    def _write_new(self, entries: list[LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self._log.base_index:
                continue
            if entry.index <= self.last_index:
                if self._log.term_at(entry.index) == entry.term:
                    continue
                self._log.truncate(entry.index - 1)
                self._refresh_members()
            self._log.append(entries[position:])
            self._refresh_members()
            return

    def on_snapshot(self, request: SnapshotRequest) -> AppendReply:
        """Take a leader's snapshot in place of a log that is too far behind.

        Parameters
        ----------
        request : SnapshotRequest
            The snapshot.

        Returns
        -------
        AppendReply
            How far the log now goes.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        if not self._accept_leader(request.term, request.leader):
            return AppendReply(term=self.term)
        if request.last_index > self.commit_index:
            snapshot = ControlState.FromString(request.state)
            self._log.compact(snapshot)
            self.documents.restore(snapshot)
            self.commit_index = snapshot.last_index
            self._refresh_members()
            self._tell_listeners()
        self._ballot.enable_voting()
        match = max(request.last_index, self.commit_index)
        return AppendReply(term=self.term, success=True, match_index=match)

    # -- commit -------------------------------------------------------------------

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        for entry in self._log.entries_between(self.commit_index, index):
            outcome = self.documents.apply(entry.index, entry.term, entry.command)
            if entry.HasField("members"):
                self.documents.members.CopyFrom(entry.members)
            self._proposals.complete(entry, outcome, self.leader)
        self.commit_index = index
        self._compact()
        try:
            self._storage.save_commit(index)
        except DiskFullError as error:
            log.warning(Event.COMMIT_NOT_SAVED, error=str(error))
        self._tell_listeners()
        if self.role is Role.LEADER and not self.is_voter:
            log.info(Event.LEADER_NO_VOTER, term=self.term)
            self._become_follower("")

    def _fail_waiting(self) -> None:
        self._proposals.fail_all(self.leader)
        for waiting in self._confirmations.pop_all():
            if not waiting.done():
                waiting.set_exception(NotLeaderError(self.leader))

    def _compact(self) -> None:
        applied_count = self.commit_index - self._log.base_index
        if applied_count < self._settings.snapshot_entry_count:
            return
        try:
            self._log.compact(self.documents.snapshot())
        except DiskFullError as error:
            log.error(Event.LOG_NOT_COMPACTED, error=str(error))

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    async def propose(self, command: bytes) -> Outcome:
        """Add a command to the log and wait until it is committed and applied.

        Parameters
        ----------
        command : bytes
            A serialized `Command`.

        Returns
        -------
        Outcome
            What applying it gave.

        Raises
        ------
        NotLeaderError
            If this member does not lead, or stopped leading before it knew the
            outcome; the change may yet be committed, and its id tells.
        DiskFullError
            If it could not be written; it was not accepted.
        """
        return await self._propose(LogEntry(command=command))

    async def propose_members(self, members: Members) -> Outcome:
        """Change the members and wait until the change is committed.

        Parameters
        ----------
        members : Members
            The members from now on; they differ by one voter at most from those before.

        Returns
        -------
        Outcome
            That it was committed.

        Raises
        ------
        NotLeaderError
            If this member does not lead, or the change before is not committed yet.
        DiskFullError
            If it could not be written.
        """
        if not self.can_change_members:
            raise NotLeaderError(self.leader)
        return await self._propose(LogEntry(members=members))

    @property
    def can_change_members(self) -> bool:
        """Whether this member leads and no earlier change is under way."""
        return (
            self.has_committed_in_term
            and self._log.latest_members_index() <= self.commit_index
        )

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and knows all that was ever committed."""
        return (
            self.role is Role.LEADER
            and self._log.term_at(self.commit_index) == self.term
        )

    async def _propose(self, entry: LogEntry) -> Outcome:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)

        entry.index = self.last_index + 1
        entry.term = self.term
        try:
            self._log.append([entry])
        except DiskFullError:
            self._note_write_failure()
            raise
        self._disk_health.record_success()
        if entry.HasField("members"):
            self._refresh_members()
            self._follow_members()
        waiting = self._proposals.add(entry)
        self._wake_all()
        self._advance_commit()
        return await waiting

    def _note_write_failure(self) -> None:
        if self._disk_health.record_failure():
            log.error(Event.LEADER_CANT_WRITE, term=self.term)
            self._become_follower("")

    def _wake_all(self) -> None:
        for follower in self._followers.values():
            follower.wake.set()

    # -- reads --------------------------------------------------------------------

    async def confirm_leadership(self, limit_s: float) -> None:
        """Wait until more than half of the voters confirm that this member leads now.

        What is committed here afterwards was the newest when the call was made. No
        clock is trusted: a process may have stood still without noticing.

        Parameters
        ----------
        limit_s : float
            Longest time to wait.

        Raises
        ------
        NotLeaderError
            If it does not lead.
        UnavailableError
            If too few answered in time.
        """
        if not self.has_committed_in_term:
            raise NotLeaderError(self.leader)
        waiting = self._confirmations.start()
        self._wake_all()
        self._confirmations.complete_confirmed(self._followers)
        try:
            await asyncio.wait_for(waiting, limit_s)
        except TimeoutError:
            raise UnavailableError("leadership was not confirmed in time") from None

    def sync_commit_index(self) -> None:
        """Sync the hint how far the log is committed; waits for the disk.

        Raises
        ------
        DiskFullError
            If it could not be synced.
        """
        self._storage.sync_commit()

    # -- observation --------------------------------------------------------------

    def silence_s(self, name: str) -> float:
        """Tell how long ago a member answered this leader.

        Parameters
        ----------
        name : str
            The member.

        Returns
        -------
        float
            Seconds.
        """
        follower = self._followers.get(name)
        return self._now_s() - follower.last_answer_s if follower else 0.0

    def lag_count(self, name: str) -> int:
        """Tell how many entries a member lacks, as far as this leader knows.

        Parameters
        ----------
        name : str
            The member.

        Returns
        -------
        int
            Entries.
        """
        follower = self._followers.get(name)
        return self.last_index - (follower.match_index if follower else 0)

    @property
    def leader_silence_s(self) -> float:
        """Time since a leader was heard; 0 while this member leads."""
        if self.role is Role.LEADER:
            return 0.0
        return self._now_s() - self._heard_leader_s

    async def on_stop(self) -> None:
        """Close the disk's files."""
        self._become_follower("")
        self._fail_waiting()
        self._storage.close()
