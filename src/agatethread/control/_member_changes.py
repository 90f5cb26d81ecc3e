"""Computes the next membership change of the log, without network access.

A change adds or removes one voter (Ongaro's dissertation, section 4.1), replaces a
voter whose disk was lost, or begins or ends the replacement of another voter. Such a
replacement is a joint consensus (Ongaro and Ousterhout 2014, section 6): neither of its
two steps waits for the voter that leaves or for the one that comes.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from agatethread.control._members import is_replacing
from agatethread.wire.control_pb2 import ControlMember, Members

#: A learner that is silent for longer is removed; the instance then sends a new join
#: request.
LEARNER_TIMEOUT_S = 20.0
#: Entries that a learner may lack and still count as caught up.
_CAUGHT_UP_LAG_COUNT = 2
#: A learner that has not answered for longer does not count as caught up.
_CAUGHT_UP_SILENCE_S = 0.5


@dataclass(frozen=True, slots=True)
class MemberRequests:
    """What instances have asked of the leader.

    Attributes
    ----------
    joiners : tuple of ControlMember
        Instances that want to join, or to stay after they had announced their stop.
    leaving_names : frozenset of str
        Members that are about to stop.
    """

    joiners: tuple[ControlMember, ...] = ()
    leaving_names: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class MemberProgress:
    """Replication progress of one member, as the leader knows it."""

    silent_s: float
    lag_count: int

    @property
    def is_caught_up(self) -> bool:
        """Whether the member can become a voter."""
        return (
            self.silent_s < _CAUGHT_UP_SILENCE_S
            and self.lag_count <= _CAUGHT_UP_LAG_COUNT
        )


def compute_next_members(
    members: Members,
    leader: str,
    requests: MemberRequests,
    progress: Mapping[str, MemberProgress],
    voter_count: int,
    voter_timeout_s: float,
) -> Members | None:
    """Return the members after the next change.

    Parameters
    ----------
    members : Members
        The current members.
    leader : str
        Name of the leader, which calls this.
    requests : MemberRequests
        What instances have asked for.
    progress : mapping of str to MemberProgress
        Progress of every member but the leader.
    voter_count : int
        Wanted number of voters; 2f + 1 for f losses to be tolerated.
    voter_timeout_s : float
        A voter that is silent for longer is replaced if a learner is ready.

    Returns
    -------
    Members or None
        None if no change is due.
    """
    departed_names = _find_departed(
        members, leader, requests, progress, voter_timeout_s
    )
    if is_replacing(members):
        return _complete_replacement(members, departed_names)

    ready = [
        member
        for member in members.members
        if not member.voter
        and member.name not in departed_names
        and _progress_of(progress, member.name).is_caught_up
    ]
    voters = [member for member in members.members if member.voter]
    departed = [voter for voter in voters if voter.name in departed_names]
    wanted_voter_count = _feasible_voter_count(voter_count, len(voters) + len(ready))

    return (
        _add_learner(members, requests.joiners)
        or _unmark_returned(members, requests.joiners)
        or _replace_lost_disk(members, voters, ready)
        or _reduce_voters(members, voters, departed, wanted_voter_count, leader)
        or _begin_replacement(members, voters, departed, ready)
        or _promote_learner(members, voters, ready, wanted_voter_count)
        or _balance_domains(members, voters, ready, leader)
        or _mark_leaving(members, requests.leaving_names)
        or _remove_silent_learner(members, progress)
    )


def _find_departed(
    members: Members,
    leader: str,
    requests: MemberRequests,
    progress: Mapping[str, MemberProgress],
    voter_timeout_s: float,
) -> set[str]:
    """Return the members that are about to stop or have stopped, as far as known."""
    announced = {member.name for member in members.members if member.leaving}
    silent = {
        member.name
        for member in members.members
        if member.name != leader
        and _progress_of(progress, member.name).silent_s > voter_timeout_s
    }
    return announced | silent | requests.leaving_names


def _progress_of(progress: Mapping[str, MemberProgress], name: str) -> MemberProgress:
    # Without progress, a member counts as far behind, but not as silent.
    return progress.get(name, MemberProgress(silent_s=0.0, lag_count=1 << 30))


def _feasible_voter_count(voter_count: int, available_count: int) -> int:
    # An even number of voters tolerates no more losses than the odd one below it.
    return min(
        voter_count,
        available_count if available_count % 2 else available_count - 1,
    )


def _replace_members(
    members: Members, is_kept: Callable[[ControlMember], bool], *added: ControlMember
) -> Members:
    kept = [member for member in members.members if is_kept(member)]
    return Members(members=[*kept, *added])


def _remove_member(members: Members, name: str) -> Members:
    return _replace_members(members, lambda member: member.name != name)


def _with(member: ControlMember, **changes: bool) -> ControlMember:
    copy = ControlMember()
    copy.CopyFrom(member)
    for field, value in changes.items():
        setattr(copy, field, value)
    return copy


def _update_member(members: Members, member: ControlMember, **changes: bool) -> Members:
    return _replace_members(
        members, lambda other: other.name != member.name, _with(member, **changes)
    )


def _add_learner(members: Members, joiners: Iterable[ControlMember]) -> Members | None:
    member_names = {member.name for member in members.members}
    for joiner in joiners:
        if joiner.name not in member_names:
            return _replace_members(members, lambda _: True, _with(joiner, voter=False))
    return None


def _unmark_returned(
    members: Members, joiners: Iterable[ControlMember]
) -> Members | None:
    returned_names = {joiner.name for joiner in joiners}
    for member in members.members:
        if member.leaving and member.name in returned_names:
            return _update_member(members, member, leaving=False)
    return None


def _mark_leaving(members: Members, leaving_names: frozenset[str]) -> Members | None:
    # A later leader knows of the mark, and replaces the voter once a learner is ready.
    for member in members.members:
        if member.name not in leaving_names or member.leaving:
            continue
        if member.voter:
            return _update_member(members, member, leaving=True)
        return _remove_member(members, member.name)
    return None


def _replace_lost_disk(
    members: Members, voters: list[ControlMember], ready: list[ControlMember]
) -> Members | None:
    # A learner has the voter's address under another name, so the voter's disk is lost
    # and the voter can't vote any more. Each majority of the old voters that can still
    # form consists of unchanged voters and intersects each majority of the new voters,
    # so it is safe to replace the voter in one step.
    for learner in ready:
        for voter in voters:
            if voter.target == learner.target:
                replaced_names = {voter.name, learner.name}
                return _replace_members(
                    members,
                    lambda member, names=replaced_names: member.name not in names,
                    _with(learner, voter=True),
                )
    return None


def _reduce_voters(
    members: Members,
    voters: list[ControlMember],
    departed: list[ControlMember],
    wanted_voter_count: int,
    leader: str,
) -> Members | None:
    if len(voters) <= wanted_voter_count:
        return None
    if departed:
        return _remove_member(members, departed[0].name)
    counts = _count_voters_by_domain(voters)
    others = [voter for voter in voters if voter.name != leader]
    if not others:
        return None
    demoted = max(others, key=lambda voter: (counts[voter.failure_domain], voter.name))
    return _update_member(members, demoted, voter=False)


def _count_voters_by_domain(voters: list[ControlMember]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for voter in voters:
        counts[voter.failure_domain] = counts.get(voter.failure_domain, 0) + 1
    return counts


def _select_learner(
    staying: list[ControlMember], ready: list[ControlMember]
) -> ControlMember:
    """Return the ready learner whose failure domain has the fewest voters."""
    counts = _count_voters_by_domain(staying)
    return min(
        ready,
        key=lambda learner: (counts.get(learner.failure_domain, 0), learner.name),
    )


def _begin_replacement(
    members: Members,
    voters: list[ControlMember],
    departed: list[ControlMember],
    ready: list[ControlMember],
) -> Members | None:
    if not departed or not ready:
        return None
    staying = [voter for voter in voters if voter not in departed]
    return _replace_voter(members, departed[0], _select_learner(staying, ready))


def _balance_domains(
    members: Members,
    voters: list[ControlMember],
    ready: list[ControlMember],
    leader: str,
) -> Members | None:
    # Else the loss of one failure domain could take a majority of the voters.
    counts = _count_voters_by_domain(voters)
    others = [voter for voter in voters if voter.name != leader]
    if not ready or not others:
        return None
    outgoing = max(others, key=lambda voter: (counts[voter.failure_domain], voter.name))
    incoming = _select_learner(voters, ready)
    incoming_count = counts.get(incoming.failure_domain, 0)
    if counts[outgoing.failure_domain] - incoming_count < 2:
        return None
    return _replace_voter(members, outgoing, incoming)


def _replace_voter(
    members: Members, outgoing: ControlMember, incoming: ControlMember
) -> Members:
    """Return the members with both sets of voters, the old and the new one."""
    return _replace_members(
        members,
        lambda member: member.name not in (outgoing.name, incoming.name),
        _with(outgoing, outgoing=True),
        _with(incoming, voter=True, incoming=True),
    )


def _complete_replacement(members: Members, departed_names: set[str]) -> Members:
    """Return the members with the new voters only; who is still there may learn."""
    completed = []
    for member in members.members:
        if member.outgoing and member.name in departed_names:
            continue
        is_voter = member.voter and not member.outgoing
        completed.append(_with(member, voter=is_voter, incoming=False, outgoing=False))
    return Members(members=completed)


def _promote_learner(
    members: Members,
    voters: list[ControlMember],
    ready: list[ControlMember],
    wanted_voter_count: int,
) -> Members | None:
    if not ready or len(voters) >= wanted_voter_count:
        return None
    return _update_member(members, _select_learner(voters, ready), voter=True)


def _remove_silent_learner(
    members: Members, progress: Mapping[str, MemberProgress]
) -> Members | None:
    for member in members.members:
        silent_s = _progress_of(progress, member.name).silent_s
        if not member.voter and silent_s > LEARNER_TIMEOUT_S:
            return _remove_member(members, member.name)
    return None
