"""Which change of the members comes next: a decision without a network.

Options weighed: joint consensus (Ongaro and Ousterhout 2014, section 6) and one change
at a time (Ongaro's dissertation, section 4.1). One at a time is enough here: at most a
few members change, and each step is committed within milliseconds. Its known weakness,
an even number of voters in between, lasts as long as one step.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from agatethread.wire.control_pb2 import ControlMember, Members

#: A voter that has been silent for so long is replaced, if another stands ready. Below
#: the 4 s after which a further loss has to be borne, above a restart.
REPLACE_AFTER_S = 3.0
#: A learner that has been silent for so long is dropped; it joins again by itself.
FORGET_AFTER_S = 20.0
#: Entries that a learner may lack and still be called caught up.
_CAUGHT_UP_LAG = 2
#: Time since its last answer within which a learner counts as present.
_PRESENT_S = 0.5


@dataclass(frozen=True, slots=True)
class Progress:
    """What the leader knows of one member."""

    silent_s: float
    lag_count: int

    @property
    def is_caught_up(self) -> bool:
        """Whether it could vote at once."""
        return self.silent_s < _PRESENT_S and self.lag_count <= _CAUGHT_UP_LAG


def next_members(
    members: Members,
    leader: str,
    joiners: Iterable[ControlMember],
    progress: Mapping[str, Progress],
    voter_target: int,
) -> Members | None:
    """Find the next change of the members, one voter at a time.

    Parameters
    ----------
    members : Members
        The present ones.
    leader : str
        Name of the one that asks.
    joiners : iterable of ControlMember
        Instances that want to take part.
    progress : mapping of str to Progress
        Of every member but the leader.
    voter_target : int
        Voters that are needed to bear the losses to be borne.

    Returns
    -------
    Members or None
        None if nothing is to be changed.
    """
    ready = [
        member
        for member in members.members
        if not member.voter and _of(progress, member.name).is_caught_up
    ]
    voters = [member for member in members.members if member.voter]
    silent = [
        voter
        for voter in voters
        if voter.name != leader and _of(progress, voter.name).silent_s > REPLACE_AFTER_S
    ]
    target = _feasible_target(voter_target, len(voters) + len(ready))

    return (
        _add_learner(members, joiners)
        or _swap_lost_disk(members, voters, ready)
        or _drop_surplus(members, voters, silent, target, leader)
        or _promote(members, voters, silent, ready, target)
        or _forget_learner(members, progress)
    )


def _of(progress: Mapping[str, Progress], name: str) -> Progress:
    return progress.get(name, Progress(silent_s=0.0, lag_count=1 << 30))


def _feasible_target(wanted: int, available: int) -> int:
    # An even number of voters bears no more losses than the odd one below it.
    return min(wanted, available if available % 2 else available - 1)


def _changed(
    members: Members, keep: Callable[[ControlMember], bool], *added: ControlMember
) -> Members:
    kept = [member for member in members.members if keep(member)]
    return Members(members=[*kept, *added])


def _with_role(member: ControlMember, voter: bool) -> ControlMember:
    changed = ControlMember()
    changed.CopyFrom(member)
    changed.voter = voter
    return changed


def _add_learner(members: Members, joiners: Iterable[ControlMember]) -> Members | None:
    known = {member.name for member in members.members}
    for joiner in joiners:
        if joiner.name not in known:
            return _changed(members, lambda _: True, _with_role(joiner, False))
    return None


def _swap_lost_disk(
    members: Members, voters: list[ControlMember], ready: list[ControlMember]
) -> Members | None:
    # The voter's address answers under another name, so its disk is gone: it can't
    # vote any more, every majority of the old voters holds one of the others, and
    # so does every majority of the new ones. That makes one step of two safe.
    for learner in ready:
        for voter in voters:
            if voter.target == learner.target:
                gone = {voter.name, learner.name}
                return _changed(
                    members,
                    lambda one, gone=gone: one.name not in gone,
                    _with_role(learner, True),
                )
    return None


def _drop_surplus(
    members: Members,
    voters: list[ControlMember],
    silent: list[ControlMember],
    target: int,
    leader: str,
) -> Members | None:
    if len(voters) <= target:
        return None
    if silent:
        return _changed(members, lambda one: one.name != silent[0].name)
    counts = _count_domains(voters)
    others = [voter for voter in voters if voter.name != leader]
    if not others:
        return None
    spare = max(others, key=lambda one: (counts[one.failure_domain], one.name))
    return _changed(
        members, lambda one: one.name != spare.name, _with_role(spare, False)
    )


def _count_domains(voters: list[ControlMember]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for voter in voters:
        counts[voter.failure_domain] = counts.get(voter.failure_domain, 0) + 1
    return counts


def _promote(
    members: Members,
    voters: list[ControlMember],
    silent: list[ControlMember],
    ready: list[ControlMember],
    target: int,
) -> Members | None:
    if not ready or (len(voters) >= target and not silent):
        return None
    silent_names = {voter.name for voter in silent}
    staying = [voter for voter in voters if voter.name not in silent_names]
    counts = _count_domains(staying)
    best = min(ready, key=lambda one: (counts.get(one.failure_domain, 0), one.name))
    return _changed(members, lambda one: one.name != best.name, _with_role(best, True))


def _forget_learner(
    members: Members, progress: Mapping[str, Progress]
) -> Members | None:
    for member in members.members:
        if member.voter or _of(progress, member.name).silent_s <= FORGET_AFTER_S:
            continue
        gone = member.name
        return _changed(members, lambda one, gone=gone: one.name != gone)
    return None
