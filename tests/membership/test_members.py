import asyncio
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from agatethread.membership import MemberTable, Prober
from agatethread.membership._ring import HashRing
from agatethread.observability import Counters
from agatethread.timing import TimerService
from agatethread.wire import MemberState, Peer
from benchmarks.virtual_time import VirtualLoop
from tests.fakes import dead, fleet_table, member

STATES = st.sampled_from(MemberState.values())


class TestMemberTable(unittest.TestCase):
    @given(st.permutations(range(12)), st.lists(STATES, min_size=12, max_size=12))
    def test_order_of_updates_does_not_matter(self, order, states):
        """The same updates in any order end in the same state."""
        updates = [
            member(2, counter=number // 3, state=states[number]) for number in range(12)
        ]
        in_order, reordered = fleet_table(1), fleet_table(1)
        for number in range(12):
            in_order.apply(updates[number])
            reordered.apply(updates[order[number]])
        self.assertEqual(in_order.members, reordered.members)

    def test_refutes_its_own_death(self):
        """An instance that is reported dead publishes a newer state."""
        table = fleet_table(3)
        table.apply(dead(table.own_member))
        self.assertEqual(table.own_member.state, MemberState.ALIVE)
        others = fleet_table(3, me=2)
        others.apply(dead(member(1)))
        others.apply(table.own_member)
        self.assertTrue(others.is_alive(table.own_member.ref))

    def test_raises_incarnation_after_clock_was_set_back(self):
        """A start with an incarnation below the previous one chooses a higher one."""
        table = MemberTable(member(1))
        table.apply(replace(member(1), incarnation=50))
        self.assertGreater(table.own_member.incarnation, 50)
        self.assertTrue(table.is_alive(table.own_member.ref))

    def test_previous_incarnation_is_not_alive_after_restart(self):
        """References to the previous incarnation of an instance are not alive."""
        table = fleet_table(2)
        previous = table.members["entry-2"]
        table.apply(replace(previous, incarnation=9))
        self.assertFalse(table.is_alive(previous.ref))

    def test_does_not_declare_changed_member_dead(self):
        """A member is not declared dead if its state has changed since."""
        table = fleet_table(2)
        suspected = replace(member(2), state=MemberState.SUSPECT)
        table.apply(suspected)
        table.apply(member(2, counter=1))
        table.declare_dead(suspected)
        self.assertTrue(table.is_alive(member(2).ref))

    def test_does_not_rank_joining_and_leaving_instances(self):
        """An instance that is joining or leaving dispatches for no service."""
        table = fleet_table(3)
        table.apply(member(2, counter=1, joining=True))
        table.apply(member(3, counter=1, state=MemberState.LEAVING))
        for service in range(50):
            ranked = table.rank(service << 56)
            self.assertEqual([m.name for m in ranked], ["entry-1"])


class TestHashRing(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=40))
    def test_changed_ring_equals_rebuilt_ring(self, changes):
        """Points inserted and removed one by one equal a ring built at once."""
        ring, present = HashRing(), set()
        for add, number in changes:
            (ring.add if add else ring.remove)(f"e{number}")
            (present.add if add else present.discard)(f"e{number}")
            len(ring)
        rebuilt = HashRing()
        for name in present:
            rebuilt.add(name)
        for key in range(0, 2**64, 2**58):
            self.assertEqual(ring.find_owners(key, 3), rebuilt.find_owners(key, 3))

    def test_removal_moves_only_keys_of_that_instance(self):
        """Services of a removed instance move to its standby, and no others move."""
        ring = HashRing()
        for number in range(9):
            ring.add(f"e{number}")
        keys = range(0, 2**64, 2**55)
        before = {key: ring.find_owners(key, 2) for key in keys}
        ring.remove("e4")
        for key, (owner, standby) in before.items():
            new_owner = ring.find_owners(key, 1)[0]
            self.assertEqual(new_owner, standby if owner == "e4" else owner)

    def test_rebuilds_ring_for_many_changes(self):
        """A ring holds all of many instances that are added at once."""
        ring = HashRing()
        for number in range(1_000):
            ring.add(f"e{number}")
        self.assertEqual(len(ring), 1_000)
        self.assertEqual(len(set(ring.find_owners(5, 1_000))), 1_000)


class Fleet:
    """Probers of several instances in virtual time, on a simulated network."""

    def __init__(self, count, seeds=(1,)):
        self.cut = set()
        self.tables, self.probers, self.timers = {}, {}, {}
        for number in range(1, count + 1):
            table = MemberTable(member(number))
            timers = TimerService()
            timers.now_s = asyncio.get_running_loop().time
            self.tables[number], self.timers[number] = table, timers
            self.probers[number] = Prober(
                table,
                timers,
                lambda target, peer, sender=number: self.send(sender, target, peer),
                [member(seed).address for seed in seeds],
                0.2,
                0.5,
                Counters(),
            )

    def send(self, sender, target, peer):
        receiver = next(n for n in self.tables if member(n).address == target)
        if frozenset((sender, receiver)) in self.cut:
            return
        copy = Peer.FromString(peer.SerializeToString())
        loop = asyncio.get_running_loop()
        loop.call_later(0.002, self.receive, receiver, member(sender).address, copy)

    def receive(self, number, sender, peer):
        if peer.HasField("ping"):
            self.probers[number].on_ping(sender, peer.ping)
        else:
            self.probers[number].on_ack(peer.ack)

    def isolate(self, *numbers):
        self.cut = {
            frozenset((number, other))
            for number in numbers
            for other in self.tables
            if other not in numbers
        }

    def live(self, number):
        return sorted(
            int(m.name.split("-")[1]) for m in self.tables[number].list_live()
        )


class TestProber(unittest.TestCase):
    def run_fleet(self, scenario, count=5, seeds=(1,), isolated=()):
        async def main():
            fleet = Fleet(count, seeds)
            fleet.isolate(*isolated)
            for prober in fleet.probers.values():
                await prober.start()
            await asyncio.sleep(3)
            try:
                await scenario(fleet)
            finally:
                for number, prober in fleet.probers.items():
                    await fleet.timers[number].on_stop()
                    await prober.stop()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(main())

    def test_all_instances_join_through_one_seed(self):
        """Instances that know one seed soon know all others."""

        async def scenario(fleet):
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4, 5])

        self.run_fleet(scenario)

    def test_all_instances_detect_a_failure(self):
        """An unreachable instance is dead everywhere within 2.5 s."""

        async def scenario(fleet):
            fleet.isolate(3)
            await asyncio.sleep(2.5)
            for number in (1, 2, 4, 5):
                self.assertEqual(fleet.live(number), [1, 2, 4, 5])

        self.run_fleet(scenario)

    def test_all_instances_detect_a_failure_while_leaving(self):
        """A standby that waits for the death of its owner decides in its place."""

        async def scenario(fleet):
            fleet.tables[3].update_own_member(state=MemberState.LEAVING)
            await asyncio.sleep(1)
            fleet.isolate(3)
            await asyncio.sleep(3)
            for number in (1, 2, 4, 5):
                self.assertEqual(fleet.live(number), [1, 2, 4, 5])

        self.run_fleet(scenario)

    def test_leaving_instance_survives_short_losses(self):
        """It has no suspicion to refute, so it is asked again first."""

        async def scenario(fleet):
            fleet.tables[3].update_own_member(state=MemberState.LEAVING)
            await asyncio.sleep(1)
            for _ in range(8):
                fleet.isolate(3)
                await asyncio.sleep(0.45)
                fleet.cut = set()
                for number in (1, 2, 4, 5):
                    self.assertIn(3, fleet.live(number))
                await asyncio.sleep(0.6)

        self.run_fleet(scenario)

    def test_indirect_probes_bypass_a_broken_path(self):
        """Two instances that can't reach each other directly stay alive."""

        async def scenario(fleet):
            fleet.cut = {frozenset((2, 4))}
            await asyncio.sleep(10)
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4, 5])

        self.run_fleet(scenario)

    def test_rejoins_after_long_partition(self):
        """After a partition of minutes both sides merge again."""

        async def scenario(fleet):
            fleet.isolate(1, 2)
            await asyncio.sleep(120)
            self.assertEqual((fleet.live(1), fleet.live(4)), ([1, 2], [3, 4, 5]))
            fleet.cut = set()
            await asyncio.sleep(5)
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4, 5])

        self.run_fleet(scenario)

    def test_groups_that_started_separately_join(self):
        """Instances whose first join message to a seed was lost send it again."""

        async def scenario(fleet):
            self.assertEqual((fleet.live(1), fleet.live(3)), ([1, 2], [3, 4]))
            fleet.cut = set()
            await asyncio.sleep(5)
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4])

        self.run_fleet(scenario, count=4, seeds=(1, 3), isolated=(1, 2))
