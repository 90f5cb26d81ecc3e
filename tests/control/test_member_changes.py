import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agatethread.control._member_changes import Progress, next_members
from agatethread.control._members import has_majority, replicated_index, voter_names
from agatethread.wire.control_pb2 import ControlMember, Members

PRESENT = Progress(silent_s=0.1, lag_count=0)
SILENT = Progress(silent_s=5.0, lag_count=9)
BEHIND = Progress(silent_s=0.1, lag_count=50)


def member(name, voter=True, target=None, domain=None):
    """A member; its address and failure domain are its name's first letter."""
    return ControlMember(
        name=name,
        target=target or name[0],
        failure_domain=domain or name[0],
        voter=voter,
    )


def members(*parts):
    return Members(members=parts)


def trio(*more):
    """Three voters, and others."""
    return members(member("a"), member("b"), member("c"), *more)


class TestNextMembers(unittest.TestCase):
    def after(self, present, joiners=(), silent=(), behind=(), target=3):
        """Names of voters and learners after all changes that follow."""
        for _ in range(10):
            progress = {one.name: PRESENT for one in present.members}
            progress |= dict.fromkeys(silent, SILENT) | dict.fromkeys(behind, BEHIND)
            changed = next_members(present, "a", joiners, progress, target)
            if changed is None:
                break
            self.check_step(present, changed)
            present = changed
        learners = [one.name for one in present.members if not one.voter]
        return sorted(voter_names(present)), sorted(learners)

    def check_step(self, before, after):
        old, new = set(voter_names(before)), set(voter_names(after))
        self.assertLessEqual(len(old - new), 1)
        self.assertLessEqual(len(new - old), 1)

    def test_nothing_changes_without_a_reason(self):
        """Three voters that answer stay as they are."""
        self.assertEqual(self.after(trio()), (["a", "b", "c"], []))

    def test_newcomer_learns_first(self):
        """A newcomer is added without a vote."""
        found = self.after(trio(), joiners=[member("d")])
        self.assertEqual(found, (["a", "b", "c"], ["d"]))

    def test_silent_voter_is_replaced_by_one_that_is_ready(self):
        """A learner that has caught up takes the place of a silent voter."""
        found = self.after(trio(member("d", voter=False)), silent=["c"])
        self.assertEqual(found, (["a", "b", "d"], []))

    def test_silent_voter_stays_while_nobody_is_ready(self):
        """A voter is not given up for a learner that lacks entries."""
        learner = member("d", voter=False)
        found = self.after(trio(learner), silent=["c"], behind=["d"])
        self.assertEqual(found, (["a", "b", "c"], ["d"]))

    def test_lost_disk_is_swapped_in_one_step(self):
        """A disk that was lost gives way to the new one at its address."""
        fresh = member("c#1", voter=False, target="c")
        found = self.after(trio(fresh))
        self.assertEqual(found, (["a", "b", "c#1"], []))

    def test_lost_disk_votes_only_when_it_has_caught_up(self):
        """The new disk at an old address has no vote while it lacks entries."""
        fresh = member("c#1", voter=False, target="c")
        found = self.after(trio(fresh), behind=["c#1"])
        self.assertEqual(found, (["a", "b", "c"], ["c#1"]))

    def test_voters_grow_to_the_target_over_failure_domains(self):
        """More voters are taken from the failure domains that have fewest."""
        learners = (
            member("d", voter=False, domain="a"),
            member("e", voter=False, domain="b"),
            member("f", voter=False, domain="a"),
        )
        found = self.after(trio(*learners), target=5)
        self.assertEqual(found, (["a", "b", "c", "d", "e"], ["f"]))

    def test_even_number_of_voters_is_not_kept(self):
        """With four instances three vote, since four bear no more losses."""
        found = self.after(trio(member("d", voter=False)), target=5)
        self.assertEqual(found, (["a", "b", "c"], ["d"]))


class MemberMachine(RuleBasedStateMachine):
    """Losses and newcomers in any order; majorities before and after always meet."""

    def __init__(self):
        super().__init__()
        self.present = trio()
        self.silent: set[str] = set()
        self.lost: set[str] = set()
        self.joiners: dict[str, ControlMember] = {}
        self.count = 0

    def step(self):
        progress = {
            one.name: SILENT if one.name in self.silent else PRESENT
            for one in self.present.members
        }
        leaders = [n for n in voter_names(self.present) if n not in self.silent]
        if not leaders:
            return
        joiners = list(self.joiners.values())
        changed = next_members(self.present, leaders[0], joiners, progress, 3)
        if changed is None:
            return
        # Only a change that the present voters can agree on comes to pass.
        alive = {one.name for one in changed.members} - self.silent
        if not has_majority(changed, alive):
            return
        self.check(self.present, changed)
        self.present = changed

    def check(self, before, after):
        old = set(voter_names(before)) - self.lost
        new = set(voter_names(after)) - self.lost
        needed_old = len(voter_names(before)) // 2 + 1
        needed_new = len(voter_names(after)) // 2 + 1
        # Sets of these sizes always share a member if they don't fit beside each other.
        assert needed_old + needed_new > len(old | new), (old, new)

    @rule(nth=st.integers(0, 5))
    def silence(self, nth):
        names = [one.name for one in self.present.members]
        self.silent.add(names[nth % len(names)])

    @rule()
    def return_all(self):
        self.silent = set(self.lost)

    @rule(nth=st.integers(0, 5))
    def lose_disk(self, nth):
        voters = [n for n in voter_names(self.present) if n not in self.lost]
        if len(self.lost & set(voter_names(self.present))) or not voters:
            return
        gone = voters[nth % len(voters)]
        self.lost.add(gone)
        self.silent.add(gone)
        self.count += 1
        target = next(o.target for o in self.present.members if o.name == gone)
        name = f"{target}#{self.count}"
        self.joiners[name] = member(name, target=target)

    @rule()
    def arrive(self):
        self.count += 1
        name = f"n{self.count}"
        self.joiners = {name: member(name, target=name)}

    @rule()
    def manage(self):
        self.step()

    @invariant()
    def enough_voters(self):
        assert 2 <= len(voter_names(self.present)) <= 4


TestMemberMachine = MemberMachine.TestCase
TestMemberMachine.settings = settings(max_examples=100, stateful_step_count=30)


class TestReplicatedIndex(unittest.TestCase):
    def test_learners_do_not_count(self):
        """An entry that only learners hold is not agreed."""
        present = trio(member("d", voter=False), member("e", voter=False))
        held = {"a": 9, "d": 9, "e": 9, "b": 4, "c": 3}
        self.assertEqual(replicated_index(present, held), 4)

    def test_without_voters_nothing_is_agreed(self):
        """An instance that knows no members agrees on nothing."""
        self.assertEqual(replicated_index(members(), {"a": 9}), 0)
        self.assertFalse(has_majority(members(), []))
