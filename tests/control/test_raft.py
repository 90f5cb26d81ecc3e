import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agatethread.control import LogStorage, PeerCalls, RaftNode, Role
from agatethread.control._member_state import MemberState
from agatethread.control._members import has_majority
from agatethread.control._vote_state import VoteState
from agatethread.exceptions import DiskFullError, UnavailableError
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import VoteRequest
from benchmarks.control_world import ControlWorld
from benchmarks.virtual_time import VirtualLoop

NAMES = st.sampled_from(("control-0", "control-1", "control-2"))


class ControlMachine(RuleBasedStateMachine):
    """Runs a log under faults; checks it against the replies to operators."""

    def __init__(self):
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.sync = mock.patch("os.fsync")
        self.sync.start()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.world = self.runner.run(self._make())
        self.changes = 0
        self.lost = False

    async def _make(self):
        world = ControlWorld(Path(self.folder.name), seed=3)
        for name in world.names:
            await world.start(name)
        await asyncio.sleep(3)
        return world

    def run(self, coroutine, wait_s=0.0):
        async def main():
            result = await coroutine if coroutine is not None else None
            await asyncio.sleep(wait_s)
            return result

        return self.runner.run(main())

    @rule(ahead=st.integers(0, 1), wait_s=st.sampled_from((0.0, 0.05, 0.5)))
    def change(self, ahead, wait_s):
        """Send two changes, with equal or consecutive versions, at the same time."""
        newest = max(
            [node.documents.documents["tab"].version for node in self.nodes_with_tab()]
            or [0]
        )
        self.changes += 1

        async def send():
            self.world.apply(newest + 1, f"a{self.changes}")
            self.world.apply(newest + 1 + ahead, f"b{self.changes}")

        self.run(send(), wait_s)

    def nodes_with_tab(self):
        nodes = self.world.nodes.values()
        return [node for node in nodes if "tab" in node.documents.documents]

    @rule(name=NAMES, disk=st.sampled_from(("kept", "kept", "torn", "lost")))
    def restart(self, name, disk):
        """Kill and restart a member; at most one disk is lost in a run."""
        self.run(self.world.kill(name))
        if disk == "lost" and not self.lost:
            self.world.lose_disk(name)
            self.lost = True
        if disk == "torn" and (Path(self.folder.name) / name / "log").exists():
            self.world.tear_disk(name)
        self.run(self.world.start(name))

    @rule(name=NAMES, wait_s=st.sampled_from((0.3, 3.0)))
    def freeze(self, name, wait_s):
        self.world.network.frozen.add(name)
        self.run(None, wait_s)

    @rule()
    def thaw(self):
        async def thaw():
            for name in list(self.world.network.frozen):
                self.world.network.thaw(name)

        self.run(thaw())

    @rule(pair=st.tuples(NAMES, NAMES))
    def cut(self, pair):
        self.world.network.cut.add(frozenset(pair))

    @rule()
    def heal(self):
        self.world.network.cut.clear()

    @rule(loss=st.sampled_from((0.0, 0.2)), duplicate=st.sampled_from((0.0, 0.5)))
    def noise(self, loss, duplicate):
        self.world.network.loss = loss
        self.world.network.duplicate = duplicate

    @rule(wait_s=st.sampled_from((0.05, 0.7, 4.0)))
    def wait(self, wait_s):
        self.run(None, wait_s)

    @invariant()
    def promises_hold(self):
        assert not self.world.violations(), self.world.violations()

    def teardown(self):
        self.thaw()
        self.heal()
        self.noise(0.0, 0.0)
        self.run(None, 8.0)
        violations = self.world.settled_violations()
        leaders = [
            node for node in self.world.nodes.values() if node.role is Role.LEADER
        ]
        self.run(self.world.close())
        self.runner.close()
        self.sync.stop()
        self.folder.cleanup()
        assert not violations, violations
        assert len(leaders) == 1, "not exactly one leader after all faults have ended"


TestControlMachine = ControlMachine.TestCase
TestControlMachine.settings = settings(max_examples=50, stateful_step_count=30)


class TestRaftNode(unittest.TestCase):
    def run_world(self, scenario, **fields):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                world = ControlWorld(Path(folder), seed=1, **fields)
                for name in world.names:
                    await world.start(name)
                await asyncio.sleep(3)
                try:
                    return await scenario(world)
                finally:
                    await world.close()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(main())

    @staticmethod
    def leader(world):
        return next(node for node in world.nodes.values() if node.role is Role.LEADER)

    def test_isolated_member_does_not_raise_term(self):
        """A member that was isolated for minutes does not raise the term on return."""

        async def scenario(world):
            leader = self.leader(world)
            isolated = next(name for name in world.names if name != leader.name)
            others = [name for name in world.names if name != isolated]
            world.network.cut = {frozenset((isolated, name)) for name in others}
            term = leader.term
            await asyncio.sleep(900)
            world.network.cut.clear()
            await asyncio.sleep(5)
            self.assertEqual(world.nodes[isolated].term, term)
            self.assertIs(leader.role, Role.LEADER)

        self.run_world(scenario)

    def test_leader_without_quorum_steps_down(self):
        """An isolated leader steps down, and another member leads."""

        async def scenario(world):
            leader = self.leader(world)
            world.network.cut = {frozenset((leader.name, name)) for name in world.names}
            world.apply(1, "x")
            await asyncio.sleep(5)
            self.assertIsNot(leader.role, Role.LEADER)
            new_leader = self.leader(world)
            self.assertNotEqual(new_leader.name, leader.name)

        self.run_world(scenario)

    def test_rejects_change_while_disk_is_full(self):
        """A change is rejected while the leader's disk is full, and none is lost."""

        async def scenario(world):
            world.apply(1, "before")
            await asyncio.sleep(1)
            leader = self.leader(world)
            full = mock.patch.object(
                leader._storage, "append", side_effect=DiskFullError("full")
            )
            with full, self.assertRaises(DiskFullError):
                await leader.propose(b"")
            world.apply(2, "after")
            await asyncio.sleep(1)
            self.assertEqual(world.settled_violations(), [])
            self.assertEqual(leader.documents.documents["tab"].version, 2)

        self.run_world(scenario)

    def test_late_member_catches_up_by_snapshot(self):
        """A member that missed hundreds of changes reaches the same state."""

        async def scenario(world):
            await world.kill("control-2")
            await asyncio.sleep(3)
            for version in range(1, 200):
                world.apply(version, f"c{version}")
                await asyncio.sleep(0.05)
            await asyncio.sleep(3)
            await world.start("control-2")
            await asyncio.sleep(3)
            self.assertEqual(world.settled_violations(), [])
            versions = [
                node.documents.documents["tab"].version for node in world.nodes.values()
            ]
            self.assertEqual(versions, [199] * 3)

        with mock.patch("os.fsync"):
            self.run_world(scenario)

    def test_votes_for_newer_log_after_failed_pre_vote(self):
        """A member whose own pre-vote failed grants a pre-vote to a newer log."""

        async def scenario(world):
            leader = self.leader(world)
            voter, candidate_name = (n for n in world.names if n != leader.name)
            await world.kill(leader.name)
            world.network.cut = {frozenset((voter, candidate_name))}
            await asyncio.sleep(2)
            node = world.nodes[voter]
            await node.run_election()
            request = VoteRequest(
                term=node.term + 1,
                candidate=candidate_name,
                last_index=node.last_index + 1,
                last_term=node.term,
                pre_vote=True,
            )
            self.assertTrue(node.on_vote(request).granted)

        self.run_world(scenario)

    def test_requests_votes_in_order_of_members(self):
        """The order of vote requests does not depend on addresses in memory."""
        requested_names = []

        def connect(name):
            async def vote(request):
                requested_names.append(name)
                raise UnavailableError(name)

            return PeerCalls(vote, vote, vote)

        async def run_election(folder):
            peers = {name: connect(name) for name in names[1:]}
            storage = LogStorage(folder)
            node = RaftNode(names[0], ControlSettings("x"), storage, peers, lambda: 0.0)
            await node.run_election()
            storage.close()

        names = [f"control-{number}" for number in range(9)]
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run_election(folder))
        self.assertEqual(requested_names, names[1:])

    def test_members_with_lost_disks_elect_no_leader(self):
        """Two members with lost disks elect no leader; without these rules they do."""

        async def scenario(world):
            leader = self.leader(world)
            first_lost, second_lost = (n for n in world.names if n != leader.name)
            await world.kill(first_lost)
            world.lose_disk(first_lost)
            world.apply(1, "x")
            await asyncio.sleep(1)
            await world.kill(second_lost)
            world.lose_disk(second_lost)
            await world.kill(leader.name)
            await world.start(first_lost)
            await world.start(second_lost)
            await asyncio.sleep(5)
            return [n for n in world.nodes.values() if n.role is Role.LEADER]

        self.assertEqual(self.run_world(scenario), [])
        unchecked_votes = mock.patch.object(
            VoteState,
            "is_log_eligible",
            lambda _, request, end: (request.last_term, request.last_index) >= end,
        )
        unchanged_vote_right = mock.patch.object(
            VoteState, "enable_voting", lambda *_: None
        )
        plain_majority = mock.patch.object(
            MemberState,
            "has_votes_of",
            lambda state, names: has_majority(state.members, names),
        )
        with unchecked_votes, unchanged_vote_right, plain_majority:
            self.assertTrue(self.run_world(scenario))
