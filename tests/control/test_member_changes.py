import unittest
from itertools import combinations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agatethread.control._member_changes import (
    MemberProgress,
    MemberRequests,
    compute_next_members,
)
from agatethread.control._members import has_majority, replicated_index, voter_names
from agatethread.wire.control_pb2 import ControlMember, Members

PRESENT = MemberProgress(silent_s=0.1, lag_count=0)
SILENT = MemberProgress(silent_s=5.0, lag_count=9)
BEHIND = MemberProgress(silent_s=0.1, lag_count=50)
VOTER_TIMEOUT_S = 1.0


def make_member(name, voter=True, target=None, domain=None):
    """Return a member; its address and domain default to the name's first letter."""
    return ControlMember(
        name=name,
        target=target or name[0],
        failure_domain=domain or name[0],
        voter=voter,
    )


def make_members(*listed):
    return Members(members=listed)


def quorums(members):
    """Return all sets of members that can commit an entry or elect a leader."""
    names = voter_names(members)
    subsets = (
        frozenset(chosen)
        for count in range(len(names) + 1)
        for chosen in combinations(names, count)
    )
    return [chosen for chosen in subsets if has_majority(members, chosen)]


def three_voters(*more):
    """Return three voters and further members."""
    return make_members(make_member("a"), make_member("b"), make_member("c"), *more)


class TestNextMembers(unittest.TestCase):
    def names_after_changes(
        self, current, joiners=(), silent=(), behind=(), target=3, leaving=()
    ):
        """Return the names of voters and learners after changes until none is due."""
        requests = MemberRequests(tuple(joiners), frozenset(leaving))
        for _ in range(10):
            progress = {member.name: PRESENT for member in current.members}
            progress |= dict.fromkeys(silent, SILENT) | dict.fromkeys(behind, BEHIND)
            changed = compute_next_members(
                current, "a", requests, progress, target, VOTER_TIMEOUT_S
            )
            if changed is None:
                break
            self.check_step(current, changed)
            current = changed
        learners = [member.name for member in current.members if not member.voter]
        return sorted(voter_names(current)), sorted(learners)

    def check_step(self, before, after):
        old, new = set(voter_names(before)), set(voter_names(after))
        self.assertLessEqual(len(old - new), 1)
        self.assertLessEqual(len(new - old), 1)

    def assert_quorums_meet(self, before, after):
        for old in quorums(before):
            for new in quorums(after):
                self.assertTrue(old & new, (old, new))

    def test_keeps_members_when_all_answer(self):
        """With three voters that answer, no change is due."""
        self.assertEqual(
            self.names_after_changes(three_voters()), (["a", "b", "c"], [])
        )

    def test_adds_joining_member_as_learner(self):
        """An instance that joins is added without a vote."""
        found_names = self.names_after_changes(
            three_voters(), joiners=[make_member("d")]
        )
        self.assertEqual(found_names, (["a", "b", "c"], ["d"]))

    def test_replaces_silent_voter_by_ready_learner(self):
        """A learner that has caught up takes the place of a silent voter."""
        found_names = self.names_after_changes(
            three_voters(make_member("d", voter=False)), silent=["c"]
        )
        self.assertEqual(found_names, (["a", "b", "d"], []))

    def test_keeps_silent_voter_without_ready_learner(self):
        """A silent voter is not replaced by a learner that lacks entries."""
        learner = make_member("d", voter=False)
        found_names = self.names_after_changes(
            three_voters(learner), silent=["c"], behind=["d"]
        )
        self.assertEqual(found_names, (["a", "b", "c"], ["d"]))

    def test_replacement_waits_neither_for_old_voter_nor_for_new_one(self):
        """The voters that stay commit each step of a replacement alone."""
        before = three_voters(make_member("d", voter=False))
        progress = {"b": PRESENT, "c": SILENT, "d": PRESENT}
        begun = compute_next_members(
            before, "a", MemberRequests(), progress, 3, VOTER_TIMEOUT_S
        )
        # The learner crashes now.
        progress["d"] = SILENT
        done = compute_next_members(
            begun, "a", MemberRequests(), progress, 3, VOTER_TIMEOUT_S
        )
        for members in (begun, done):
            self.assertTrue(has_majority(members, ["a", "b"]))
        self.assertFalse(has_majority(begun, ["a", "d"]))
        self.assertEqual(voter_names(done), ["a", "b", "d"])
        self.assert_quorums_meet(before, begun)
        self.assert_quorums_meet(begun, done)

    def test_replaces_voter_that_announces_its_stop(self):
        """A voter that announces its stop is replaced while it still answers."""
        found_names = self.names_after_changes(
            three_voters(make_member("d", voter=False)), leaving=["c"]
        )
        self.assertEqual(found_names, (["a", "b", "d"], []))

    def test_replaces_leader_that_announces_its_stop(self):
        """A leader that announces its stop hands its vote over like any other."""
        found_names = self.names_after_changes(
            three_voters(make_member("d", voter=False)), leaving=["a"]
        )
        self.assertEqual(found_names, (["b", "c", "d"], []))

    def test_replaces_voter_by_learner_that_comes_after_its_stop(self):
        """The log keeps the announcement of a voter that stopped without successor."""
        current = three_voters()
        for requests in (
            MemberRequests(leaving_names=frozenset("c")),
            MemberRequests(joiners=(make_member("d"),)),
            MemberRequests(),
            MemberRequests(),
        ):
            progress = {member.name: PRESENT for member in current.members}
            current = compute_next_members(
                current, "a", requests, progress, 3, VOTER_TIMEOUT_S
            )
        self.assertEqual(voter_names(current), ["a", "b", "d"])

    def test_keeps_voter_that_returns_after_its_stop(self):
        """A voter that joins again after its announced stop is not replaced."""
        marked = make_member("c")
        marked.leaving = True
        current = make_members(make_member("a"), make_member("b"), marked)
        found_names = self.names_after_changes(current, joiners=[make_member("c")])
        self.assertEqual(found_names, (["a", "b", "c"], []))
        progress = {"b": PRESENT, "c": PRESENT}
        unmarked = compute_next_members(
            current,
            "a",
            MemberRequests((make_member("c"),)),
            progress,
            3,
            VOTER_TIMEOUT_S,
        )
        self.assertFalse(any(member.leaving for member in unmarked.members))

    def test_removes_learner_that_announces_its_stop(self):
        """A learner that announces its stop is no candidate for a vote."""
        found_names = self.names_after_changes(
            three_voters(make_member("d", voter=False)), leaving=["d"], silent=["c"]
        )
        self.assertEqual(found_names, (["a", "b", "c"], []))

    def test_replaces_lost_disk_in_one_step(self):
        """A voter whose disk was lost is replaced by the new member at its address."""
        replacement = make_member("c#1", voter=False, target="c")
        found_names = self.names_after_changes(three_voters(replacement))
        self.assertEqual(found_names, (["a", "b", "c#1"], []))

    def test_keeps_lost_disk_until_replacement_caught_up(self):
        """The new member at an old address has no vote while it lacks entries."""
        replacement = make_member("c#1", voter=False, target="c")
        found_names = self.names_after_changes(
            three_voters(replacement), behind=["c#1"]
        )
        self.assertEqual(found_names, (["a", "b", "c"], ["c#1"]))

    def test_promotes_learners_of_domains_with_fewest_voters(self):
        """Learners are promoted in the failure domains with the fewest voters."""
        learners = (
            make_member("d", voter=False, domain="a"),
            make_member("e", voter=False, domain="b"),
            make_member("f", voter=False, domain="a"),
        )
        found_names = self.names_after_changes(three_voters(*learners), target=5)
        self.assertEqual(found_names, (["a", "b", "c", "d", "e"], ["f"]))

    def test_spreads_voters_over_domains_again(self):
        """Guards against a failure domain that keeps a majority of the voters."""
        current = make_members(
            make_member("a"),
            make_member("b"),
            make_member("d", domain="b"),
            make_member("c", voter=False),
        )
        found_names = self.names_after_changes(current)
        self.assertEqual(found_names, (["a", "b", "c"], ["d"]))

    def test_keeps_voters_that_are_spread(self):
        """Learners of domains with as many voters or one more are not swapped in."""
        learners = [
            make_member(f"{name}2", voter=False, target=f"{name}2") for name in "abc"
        ]
        learners.append(make_member("d", voter=False))
        found_names = self.names_after_changes(three_voters(*learners))
        self.assertEqual(found_names[0], ["a", "b", "c"])

    def test_avoids_even_number_of_voters(self):
        """Of four instances three vote, since four tolerate no more losses."""
        found_names = self.names_after_changes(
            three_voters(make_member("d", voter=False)), target=5
        )
        self.assertEqual(found_names, (["a", "b", "c"], ["d"]))


class MemberMachine(RuleBasedStateMachine):
    """Losses and joins in any order; old and new majorities always overlap."""

    def __init__(self):
        super().__init__()
        self.members = three_voters()
        self.silent_names: set[str] = set()
        self.lost_names: set[str] = set()
        self.leaving_names: set[str] = set()
        self.joiners: dict[str, ControlMember] = {}
        self.joined_count = 0

    def step(self):
        progress = {
            member.name: SILENT if member.name in self.silent_names else PRESENT
            for member in self.members.members
        }
        leaders = [
            name for name in voter_names(self.members) if name not in self.silent_names
        ]
        if not leaders:
            return
        joiners = list(self.joiners.values())
        requests = MemberRequests(tuple(joiners), frozenset(self.leaving_names))
        changed = compute_next_members(
            self.members, leaders[0], requests, progress, 3, VOTER_TIMEOUT_S
        )
        if changed is None:
            return
        # A change is made only if the reachable voters can commit it.
        alive = {member.name for member in changed.members} - self.silent_names
        if not has_majority(changed, alive):
            return
        self.check(self.members, changed)
        self.members = changed

    def check(self, before, after):
        for old in quorums(before):
            for new in quorums(after):
                if (old | new) & self.lost_names:
                    continue  # a lost disk does not vote under its old name
                assert old & new, (old, new)

    @rule(nth=st.integers(0, 5))
    def silence(self, nth):
        names = [member.name for member in self.members.members]
        self.silent_names.add(names[nth % len(names)])

    @rule()
    def return_all(self):
        self.silent_names = set(self.lost_names)
        self.leaving_names = set()

    @rule(nth=st.integers(0, 5))
    def leave(self, nth):
        names = [member.name for member in self.members.members]
        self.leaving_names.add(names[nth % len(names)])

    @rule(nth=st.integers(0, 5))
    def lose_disk(self, nth):
        voters = [
            name for name in voter_names(self.members) if name not in self.lost_names
        ]
        if len(self.lost_names & set(voter_names(self.members))) or not voters:
            return
        lost_name = voters[nth % len(voters)]
        self.lost_names.add(lost_name)
        self.silent_names.add(lost_name)
        self.joined_count += 1
        target = next(m.target for m in self.members.members if m.name == lost_name)
        name = f"{target}#{self.joined_count}"
        self.joiners[name] = make_member(name, target=target)

    @rule()
    def join(self):
        self.joined_count += 1
        name = f"n{self.joined_count}"
        self.joiners = {name: make_member(name, target=name)}

    @rule()
    def manage(self):
        self.step()

    @invariant()
    def enough_voters(self):
        assert 2 <= len(voter_names(self.members)) <= 4


TestMemberMachine = MemberMachine.TestCase
TestMemberMachine.settings = settings(max_examples=100, stateful_step_count=30)


class TestReplicatedIndex(unittest.TestCase):
    def test_ignores_learners(self):
        """Entries that only learners hold do not count as replicated."""
        current = three_voters(
            make_member("d", voter=False), make_member("e", voter=False)
        )
        held = {"a": 9, "d": 9, "e": 9, "b": 4, "c": 3}
        self.assertEqual(replicated_index(current, held), 4)

    def test_returns_zero_without_voters(self):
        """Without members there is no replicated index and no majority."""
        self.assertEqual(replicated_index(make_members(), {"a": 9}), 0)
        self.assertFalse(has_majority(make_members(), []))
