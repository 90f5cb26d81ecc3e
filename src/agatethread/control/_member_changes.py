"""Computes the next membership change of the log, without network access.

Each change adds or removes one voter (Ongaro's dissertation, section 4.1), or replaces
a voter whose disk was lost. Joint consensus (Ongaro and Ousterhout 2014, section 6) is
not needed, since few members change and each step commits quickly. An even number of
voters lasts for one step only.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from agatethread.wire.control_pb2 import ControlMember, Members

#: A voter that is silent for longer is replaced if a learner is ready. Longer than a
#: restart; shorter than the 4 s after which a further loss must be tolerated.
VOTER_TIMEOUT_S = 3.0
#: A learner that is silent for longer is removed; the instance then sends a new join
#: request.
LEARNER_TIMEOUT_S = 20.0
#: Entries that a learner may lack and still count as caught up.
_CAUGHT_UP_LAG_COUNT = 2
#: A learner that has not answered for longer does not count as caught up.
_CAUGHT_UP_SILENCE_S = 0.5


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
    joiners: Iterable[ControlMember],
    progress: Mapping[str, MemberProgress],
    voter_count: int,
) -> Members | None:
    """Return the members after the next change, which affects one voter at most.

    A voter whose disk was lost is replaced in a single change.

    Parameters
    ----------
    members : Members
        The current members.
    leader : str
        Name of the leader, which calls this.
    joiners : iterable of ControlMember
        Instances that have asked to join.
    progress : mapping of str to MemberProgress
        Progress of every member but the leader.
    voter_count : int
        Wanted number of voters; 2f + 1 for f losses to be tolerated.

    Returns
    -------
    Members or None
        None if no change is due.
    """
    ready = [
        member
        for member in members.members
        if not member.voter and _progress_of(progress, member.name).is_caught_up
    ]
    voters = [member for member in members.members if member.voter]
    silent = [
        voter
        for voter in voters
        if voter.name != leader
        and _progress_of(progress, voter.name).silent_s > VOTER_TIMEOUT_S
    ]
    wanted_voter_count = _feasible_voter_count(voter_count, len(voters) + len(ready))

    return (
        _add_learner(members, joiners)
        or _replace_lost_disk(members, voters, ready)
        or _reduce_voters(members, voters, silent, wanted_voter_count, leader)
        or _promote_learner(members, voters, silent, ready, wanted_voter_count)
        or _remove_silent_learner(members, progress)
    )


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


def _with_voter(member: ControlMember, voter: bool) -> ControlMember:
    copy = ControlMember()
    copy.CopyFrom(member)
    copy.voter = voter
    return copy


def _add_learner(members: Members, joiners: Iterable[ControlMember]) -> Members | None:
    member_names = {member.name for member in members.members}
    for joiner in joiners:
        if joiner.name not in member_names:
            return _replace_members(members, lambda _: True, _with_voter(joiner, False))
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
                    _with_voter(learner, True),
                )
    return None


def _reduce_voters(
    members: Members,
    voters: list[ControlMember],
    silent: list[ControlMember],
    wanted_voter_count: int,
    leader: str,
) -> Members | None:
    if len(voters) <= wanted_voter_count:
        return None
    if silent:
        return _replace_members(members, lambda member: member.name != silent[0].name)
    counts = _count_voters_by_domain(voters)
    others = [voter for voter in voters if voter.name != leader]
    if not others:
        return None
    demoted = max(others, key=lambda voter: (counts[voter.failure_domain], voter.name))
    return _replace_members(
        members, lambda member: member.name != demoted.name, _with_voter(demoted, False)
    )


def _count_voters_by_domain(voters: list[ControlMember]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for voter in voters:
        counts[voter.failure_domain] = counts.get(voter.failure_domain, 0) + 1
    return counts


def _promote_learner(
    members: Members,
    voters: list[ControlMember],
    silent: list[ControlMember],
    ready: list[ControlMember],
    wanted_voter_count: int,
) -> Members | None:
    if not ready or (len(voters) >= wanted_voter_count and not silent):
        return None
    silent_names = {voter.name for voter in silent}
    staying = [voter for voter in voters if voter.name not in silent_names]
    counts = _count_voters_by_domain(staying)
    promoted = min(
        ready,
        key=lambda learner: (counts.get(learner.failure_domain, 0), learner.name),
    )
    return _replace_members(
        members,
        lambda member: member.name != promoted.name,
        _with_voter(promoted, True),
    )


def _remove_silent_learner(
    members: Members, progress: Mapping[str, MemberProgress]
) -> Members | None:
    for member in members.members:
        if (
            member.voter
            or _progress_of(progress, member.name).silent_s <= LEARNER_TIMEOUT_S
        ):
            continue
        removed_name = member.name
        return _replace_members(
            members, lambda other, name=removed_name: other.name != name
        )
    return None
