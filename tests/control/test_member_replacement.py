import asyncio
import tempfile
import unittest
from pathlib import Path

from agatethread.control import Role
from agatethread.settings import ControlSettings
from benchmarks.member_world import (
    CATCHUP_S,
    VOTER_TIMEOUT_S,
    MemberWorld,
    without_syncs,
)
from benchmarks.virtual_time import VirtualLoop

#: Longest election: two timeouts in a row.
ELECTION_S = 2.4
#: Time for the steps of a replacement after the voter's loss is known.
CHANGE_S = 0.5
#: Times after the start of the successor.
STOPS_S = (0.0, 0.5, 2.0, 3.5, 3.8)
SEEDS = (1,)


class TestNextLossAfterReplacement(unittest.TestCase):
    """A disk is lost as soon as the successor of another instance has had its time."""

    def play(self, scenario, seed, losses_borne=1):
        """Run a scenario, lose a disk after it; return what was wrong after that."""

        async def main():
            world = MemberWorld(Path(folder), seed, losses_borne)
            await world.found()
            await asyncio.sleep(3)
            world.change(1, b"one")
            await asyncio.sleep(1)
            successor_start_s = asyncio.get_running_loop().time()
            await scenario(world)
            passed_s = asyncio.get_running_loop().time() - successor_start_s
            self.assertLess(passed_s, CATCHUP_S)
            world.change(2, b"two")
            await asyncio.sleep(CATCHUP_S - passed_s)
            await self.lose_disk_of_newest(world)
            await asyncio.sleep(1)
            await world.heal()
            await asyncio.sleep(2 * CATCHUP_S)
            world.change(3, b"three")
            await asyncio.sleep(CATCHUP_S)
            found = world.settled_violations()
            found += [f"acknowledged {world.acknowledged}"] * (world.acknowledged != 3)
            await world.close()
            return found

        with (
            tempfile.TemporaryDirectory() as folder,
            without_syncs(),
            asyncio.Runner(loop_factory=VirtualLoop) as runner,
        ):
            return runner.run(main())

    async def lose_disk_of_newest(self, world):
        """Lose the disk of the leader, which holds each acknowledged change."""
        lost = self.leader(world) or next(iter(world.nodes))
        await world.kill(lost)
        world.lose_disk(lost)

    def leader(self, world):
        """Return the address of the leader, or None."""
        leaders = [
            address for address, node in world.nodes.items() if node.role is Role.LEADER
        ]
        return leaders[0] if leaders else None

    def pick(self, world, leads):
        """Return the address of the leader or of a follower."""
        leader = self.leader(world)
        if leads:
            return leader
        return next(address for address in world.nodes if address != leader)

    def check_all(self, make_scenario, cases):
        for case in cases:
            for seed in SEEDS:
                with self.subTest(case=case, seed=seed):
                    self.assertEqual(self.play(make_scenario(*case), seed), [])

    def test_planned_stop_after_start_of_successor(self):
        """Guards against a successor without a vote when the next disk is lost."""

        def make_scenario(leads, stop_s):
            async def scenario(world):
                old = self.pick(world, leads)
                await world.start_successor(old)
                await asyncio.sleep(stop_s)
                await world.leave(old)

            return scenario

        cases = [(leads, stop_s) for leads in (False, True) for stop_s in STOPS_S]
        self.check_all(make_scenario, cases)

    def test_planned_stop_before_start_of_successor(self):
        """Guards against an announced stop that is forgotten without a successor."""

        def make_scenario(leads):
            async def scenario(world):
                old = self.pick(world, leads)
                await world.leave(old)
                await world.start_successor(old)

            return scenario

        self.check_all(make_scenario, [(False,), (True,)])

    def test_crash_after_start_of_successor(self):
        """Guards against a crashed voter that keeps its vote until the next loss."""

        def make_scenario(leads, crash_s):
            async def scenario(world):
                old = self.pick(world, leads)
                await world.start_successor(old)
                await asyncio.sleep(crash_s)
                await world.kill(old)

            return scenario

        margin_s = VOTER_TIMEOUT_S + CHANGE_S
        cases = [(False, 0.0), (False, CATCHUP_S - margin_s)]
        cases += [(True, 0.0), (True, CATCHUP_S - ELECTION_S - CHANGE_S)]
        self.check_all(make_scenario, cases)

    def test_return_after_the_vote_was_handed_over(self):
        """Guards against a stopped instance that returns with its disk and votes."""

        def make_scenario(leads, loses_disk):
            async def scenario(world):
                old = self.pick(world, leads)
                await world.start_successor(old)
                await asyncio.sleep(1.0)
                await world.leave(old)
                if loses_disk:
                    world.lose_disk(old)
                await world.start(old)
                await asyncio.sleep(2.0)
                await world.kill(old)

            return scenario

        cases = [(leads, lost) for leads in (False, True) for lost in (False, True)]
        self.check_all(make_scenario, cases)

    def test_silence_of_a_crashed_leader_counts_from_its_last_message(self):
        """Guards against an election that is added to the time of a replacement."""

        async def scenario(world):
            old = world.nodes[self.leader(world)].name
            await world.replace(self.leader(world))
            while not self.leader(world):
                await asyncio.sleep(0.02)
            # A member stands for election after this timeout.
            timeout_s = ControlSettings("").election_timeout_s
            leader = world.nodes[self.leader(world)]
            self.assertGreaterEqual(leader.silence_s(old), timeout_s)

        for seed in SEEDS:
            self.play(scenario, seed)

    def test_crash_of_successor_while_it_gets_the_vote(self):
        """Guards against a replacement that needs an instance lost in the middle."""

        async def scenario(world):
            old = self.pick(world, leads=False)
            successor = await world.start_successor(old)
            await asyncio.sleep(1.0)
            await world.kill(old)
            await asyncio.sleep(VOTER_TIMEOUT_S + 0.05)
            await world.kill(successor)
            world.lose_disk(successor)
            await asyncio.sleep(0.3)
            await world.start(successor)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.play(scenario, seed), [])

    def test_all_killed_during_replacement(self):
        """Guards against a replacement that a restart of all leaves half done."""

        def make_scenario(kill_s):
            async def scenario(world):
                old = self.pick(world, leads=False)
                await world.start_successor(old)
                await asyncio.sleep(0.5)
                leaving = asyncio.ensure_future(world.leave(old))
                await asyncio.sleep(kill_s)
                running = [address for address in world.nodes if address != old]
                for address in running:
                    await world.kill(address)
                for address in running:
                    await world.start(address)
                leaving.cancel()
                await world.kill(old)

            return scenario

        self.check_all(make_scenario, [(0.0,), (0.005,), (0.01,), (0.02,), (0.05,)])

    def test_two_replacements_with_two_losses_borne(self):
        """Guards against a second successor that waits for the first one's vote."""

        async def scenario(world):
            first, second = list(world.nodes)[:2]
            await asyncio.gather(
                world.start_successor(first), world.start_successor(second)
            )
            await asyncio.sleep(1.0)
            await world.leave(first)
            await world.kill(second)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.play(scenario, seed, losses_borne=2), [])
