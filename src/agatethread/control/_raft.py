"""Log replication by Raft (Ongaro and Ousterhout, USENIX ATC 2014).

Pre-vote and check-quorum are from Ongaro's dissertation (2014), sections 9.6 and 6.2.
"""

import asyncio
import random
from collections.abc import Callable

from mode import Service

from agatethread.control._disk_health import DiskHealth
from agatethread.control._followers import Follower, LeadershipConfirmations
from agatethread.control._log import ReplicatedLog
from agatethread.control._members import (
    find_member,
    has_majority,
    replicated_index,
    voter_names,
)
from agatethread.control._proposals import PendingProposals
from agatethread.control._replicated_state import ReplicatedState
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._storage import LogStorage
from agatethread.control._vote_state import LogEnd, VoteState
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
#: Part of the election timeout that applies after a start.
_FIRST_TIMEOUT_RATIO = 0.25

Connect = Callable[[ControlMember], PeerCalls]

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
        self.name = name
        self._settings = settings
        self._storage = storage
        self._peers = dict(peers)
        self._connect = connect
        self._now_s = now_s
        self._random = random.Random(seed)
        self.documents = ReplicatedState()  # also routes, members and drains
        self.role = Role.FOLLOWER
        self.leader = ""
        self._recover()
        #: Time of a leader's last message, or of the start; a pre-vote depends on it.
        self._leader_contact_s = now_s()
        #: The leader that sent that message; empty if there was none.
        self._contacted_leader = ""
        #: Whether this member is about to stop; then it is no candidate.
        self.is_leaving = False
        #: Start of the election timeout; reset by a leader, a granted vote, candidacy.
        self._timeout_start_s = now_s()
        # Short, for an early election after all members have restarted; if there is a
        # leader, the pre-vote is refused and has no effect.
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
        self._vote_state = VoteState(self._storage, recovered.hard_state)
        self.documents.restore(recovered.snapshot)
        self._log = ReplicatedLog(self._storage, recovered.snapshot, recovered.entries)
        self.commit_index = self._log.snapshot_index
        self._recovered_commit_index = recovered.commit_index
        self._static_members = Members(
            members=[
                ControlMember(name=name, voter=True)
                for name in sorted({self.name, *self._peers})
            ]
        )
        self._refresh_members()

    def _refresh_members(self) -> None:
        # The newest members in the log apply, committed or not (Ongaro's
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

    def _get_peer(self, name: str) -> PeerCalls:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = self._connect(find_member(self.members, name))
        return peer

    def _other_members(self) -> list[str]:
        return [
            member.name for member in self.members.members if member.name != self.name
        ]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._log.last_index

    def committed_entries(self) -> list[LogEntry]:
        """Return the committed entries that are not yet in a snapshot.

        Returns
        -------
        list of LogEntry
            In order.
        """
        return self._log.entries_between(self._log.snapshot_index, self.commit_index)

    @property
    def term(self) -> int:
        """The current term of this member."""
        return self._vote_state.term

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after the state has changed.

        Parameters
        ----------
        listener : callable
            Called without arguments; also after a snapshot was installed.
        """
        self._listeners.append(listener)

    def _has_enough_votes(self, granted_names: list[str]) -> bool:
        if self._vote_state.may_vote:
            return has_majority(self.members, granted_names)
        # May have lost votes and entries.
        return set(voter_names(self.members)).issubset(granted_names)

    def _draw_timeout_s(self) -> float:
        return self._settings.election_timeout_s * self._random.uniform(1.0, 2.0)

    @Service.task
    async def _run_election_timer(self) -> None:
        while not self.should_stop:
            await self.sleep(_ELECTION_POLL_S)
            if self.should_stop:
                return
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            if self._now_s() - self._timeout_start_s < self._timeout_s:
                continue
            if not self._may_be_candidate:
                continue
            try:
                await self._run_election()
            except DiskFullError as error:
                log.error(Event.CANDIDACY_FAILED, error=str(error))
                self._disk_health.pause_candidacy()

    @property
    def _may_be_candidate(self) -> bool:
        return (
            self.is_voter and not self.is_leaving and self._disk_health.may_be_candidate
        )

    def _check_quorum(self) -> None:
        min_answer_s = self._now_s() - 2 * self._settings.election_timeout_s
        reachable = [
            name
            for name, follower in self._followers.items()
            if follower.last_answer_s > min_answer_s
        ]
        if not has_majority(self.members, [self.name, *reachable]):
            log.warning(Event.QUORUM_LOST, term=self.term)
            self._become_follower("")

    async def _run_election(self) -> None:
        contact_s, term = self._leader_contact_s, self.term
        self._timeout_start_s = self._now_s()
        self._timeout_s = self._draw_timeout_s()
        if not await self._collect_votes(term + 1, pre_vote=True):
            return
        if self._leader_contact_s != contact_s or self.term != term or self.should_stop:
            return

        self.role = Role.CANDIDATE
        self.leader = ""
        self._vote_state.start_candidacy(self.name)
        term = self.term
        is_elected = await self._collect_votes(term, pre_vote=False)
        is_current = self.role is Role.CANDIDATE and self.term == term
        if is_elected and is_current and not self.should_stop:
            self._become_leader()

    async def _collect_votes(self, term: int, pre_vote: bool) -> bool:
        # Tasks: `as_completed` would start plain coroutines in the order of a set, and
        # runs with equal seeds would differ.
        requests = [
            asyncio.ensure_future(
                self._request_vote(
                    self._get_peer(name),
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
        granted_names = [self.name]
        for next_vote in asyncio.as_completed(requests):
            granted_names += await next_vote
            if self._has_enough_votes(granted_names):
                return True
        return self._has_enough_votes(granted_names)

    async def _request_vote(self, peer: PeerCalls, request: VoteRequest) -> list[str]:
        """Return the name of a voter that grants its vote; an empty list otherwise."""
        try:
            reply = await peer.vote(request)
        except UnavailableError:
            return []
        if self.should_stop:
            return []
        if reply.term > self.term and not reply.granted:
            self._adopt_term_of_reply(reply.term)
        return [request.receiver] if reply.granted else []

    def _adopt_term_of_reply(self, term: int) -> None:
        try:
            self._adopt_term(term)
        except DiskFullError as error:
            # The task of a reply that comes after the majority is not awaited.
            log.error(Event.TERM_NOT_SAVED, error=str(error))
            self._disk_health.pause_candidacy()

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._vote_state.adopt_term(term)
            self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        has_led = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        self.leader = leader
        if has_led:
            log.info(Event.LEADERSHIP_ENDED, term=self.term, leader=leader)
            self._fail_pending()

    def _become_leader(self) -> None:
        self._vote_state.enable_voting()
        # A leader commits entries of earlier terms only with one of its own term.
        self._log.append([LogEntry(index=self.last_index + 1, term=self.term)])
        log.info(Event.LEADERSHIP_STARTED, term=self.term, last_index=self.last_index)
        self.role = Role.LEADER
        self.leader = self.name
        self._disk_health.record_success()
        self._followers.clear()
        self._update_followers()
        self._contacted_leader = ""
        self._advance_commit()

    def _update_followers(self) -> None:
        """Start replication to new members; wake tasks of removed members to end."""
        others = self._other_members()
        for name in others:
            if name not in self._followers:
                follower = Follower(self.last_index + 1, self._last_contact_s(name))
                self._followers[name] = follower
                self.add_future(self._replicate(name, follower, self.term))
        for name in [
            follower_name
            for follower_name in self._followers
            if follower_name not in others
        ]:
            self._followers.pop(name).wake.set()

    def _last_contact_s(self, name: str) -> float:
        # The previous leader has been silent since its last message, not only since
        # the election. Of the others nothing is known before they answer.
        if name == self._contacted_leader:
            return self._leader_contact_s
        return self._now_s()

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
        """
        if request.pre_vote:
            return VoteReply(term=self.term, granted=self._grants_pre_vote(request))

        if request.term > self.term:
            self._adopt_term(request.term)
        granted = self._vote_state.grant_vote(request, self._log_end)
        if granted:
            self._timeout_start_s = self._now_s()
        return VoteReply(term=self.term, granted=granted)

    def _grants_pre_vote(self, request: VoteRequest) -> bool:
        silent_s = self._now_s() - self._leader_contact_s
        has_leader = self.role is Role.LEADER or (
            self.leader and silent_s < self._settings.election_timeout_s
        )
        return (
            not has_leader
            and request.term > self.term
            and self._vote_state.is_log_eligible(request, self._log_end)
        )

    @property
    def _log_end(self) -> LogEnd:
        return (self._log.term_at(self.last_index), self.last_index)

    async def _replicate(self, name: str, follower: Follower, term: int) -> None:
        peer = self._get_peer(name)
        while self._followers.get(name) is follower and self._is_leader_of(term):
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
                interval_s = self._settings.heartbeat_interval_s
                await asyncio.wait_for(follower.wake.wait(), interval_s)
            except TimeoutError:
                continue

    def _is_leader_of(self, term: int) -> bool:
        return self.role is Role.LEADER and self.term == term and not self.should_stop

    async def _send_to(self, name: str, follower: Follower, peer: PeerCalls) -> bool:
        """Send missing entries to a follower; return whether more are left to send."""
        term, round_number = self.term, self._confirmations.round_number
        if follower.next_index <= self._log.snapshot_index:
            reply = await peer.install_snapshot(self._snapshot_request(name))
        else:
            request = self._append_request(name, follower.next_index)
            reply = await peer.append(request)
        if not self._is_leader_of(term) or self._followers.get(name) is not follower:
            return False
        if reply.term > self.term:
            self._adopt_term(reply.term)
            return False

        follower.last_answer_s = self._now_s()
        follower.confirmed_round = round_number
        self._confirmations.complete_confirmed(self._followers)
        if not reply.success:
            retry_index = min(follower.next_index - 1, reply.match_index + 1)
            follower.next_index = max(1, retry_index)
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
        match_indexes = {
            name: follower.match_index for name, follower in self._followers.items()
        }
        match_indexes[self.name] = self.last_index
        index = replicated_index(self.members, match_indexes)
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self._commit_to(index)
            self._wake_followers()

    def _accept_leader(self, term: int, leader: str) -> bool:
        if term < self.term:
            return False
        if term > self.term:
            self._adopt_term(term)
        self._become_follower(leader)
        self._leader_contact_s = self._now_s()
        self._contacted_leader = leader
        self._timeout_start_s = self._leader_contact_s
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
        if not self._accept_leader(request.term, request.leader):
            return AppendReply(term=self.term)
        if request.previous_index > self.last_index:
            return AppendReply(term=self.term, match_index=self.last_index)
        if request.previous_index >= self._log.snapshot_index:
            if self._log.term_at(request.previous_index) != request.previous_term:
                return AppendReply(term=self.term, match_index=self.commit_index)

        self._write_new(list(request.entries))
        match_index = request.previous_index + len(request.entries)
        self._vote_state.enable_voting()
        self._commit_to(min(request.commit_index, match_index))
        return AppendReply(term=self.term, success=True, match_index=match_index)

    def _write_new(self, entries: list[LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self._log.snapshot_index:
                continue
            if entry.index <= self.last_index:
                if self._log.term_at(entry.index) == entry.term:
                    continue
                self._log.truncate_after(entry.index - 1)
                self._refresh_members()
            self._log.append(entries[position:])
            self._refresh_members()
            return

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
        if not self._accept_leader(request.term, request.leader):
            return AppendReply(term=self.term)
        if request.last_index > self.commit_index:
            snapshot = ControlState.FromString(request.state)
            self._log.compact(snapshot)
            self.documents.restore(snapshot)
            self.commit_index = snapshot.last_index
            self._refresh_members()
            self._notify_listeners()
        self._vote_state.enable_voting()
        match_index = max(request.last_index, self.commit_index)
        return AppendReply(term=self.term, success=True, match_index=match_index)

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
            self._storage.save_commit_index(index)
        except DiskFullError as error:
            log.warning(Event.COMMIT_NOT_SAVED, error=str(error))
        self._notify_listeners()
        if self.role is Role.LEADER and not self.is_voter:
            log.info(Event.LEADER_NOT_VOTER, term=self.term)
            self._become_follower("")

    def _fail_pending(self) -> None:
        self._proposals.fail_all(self.leader)
        for confirmation in self._confirmations.pop_all():
            if not confirmation.done():
                confirmation.set_exception(NotLeaderError(self.leader))

    def _compact(self) -> None:
        applied_count = self.commit_index - self._log.snapshot_index
        if applied_count < self._settings.snapshot_entry_count:
            return
        try:
            self._log.compact(self.documents.snapshot())
        except DiskFullError as error:
            log.error(Event.LOG_NOT_COMPACTED, error=str(error))

    def _notify_listeners(self) -> None:
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

    @property
    def can_change_members(self) -> bool:
        """Whether this member leads and no earlier change is uncommitted."""
        return (
            self.has_committed_in_term
            and self._log.latest_members_index() <= self.commit_index
        )

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and has committed an entry of its term."""
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
            self._record_write_failure()
            raise
        self._disk_health.record_success()
        if entry.HasField("members"):
            self._refresh_members()
            self._update_followers()
        outcome = self._proposals.add(entry)
        self._wake_followers()
        self._advance_commit()
        return await outcome

    def _record_write_failure(self) -> None:
        if self._disk_health.record_failure():
            log.error(Event.LEADER_WRITE_FAILED, term=self.term)
            self._become_follower("")

    def _wake_followers(self) -> None:
        for follower in self._followers.values():
            follower.wake.set()

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
        confirmation = self._confirmations.start()
        self._wake_followers()
        self._confirmations.complete_confirmed(self._followers)
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
        return self._now_s() - follower.last_answer_s if follower else 0.0

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
        return self.last_index - (follower.match_index if follower else 0)

    @property
    def leader_silence_s(self) -> float:
        """Time since a leader's last message or the start; 0 while leading."""
        if self.role is Role.LEADER:
            return 0.0
        return self._now_s() - self._leader_contact_s

    async def on_stop(self) -> None:
        """Fail pending calls and close the files."""
        self._become_follower("")
        self._fail_pending()
        self._storage.close()
