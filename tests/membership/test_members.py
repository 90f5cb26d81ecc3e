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
    def test_order_of_news_does_not_matter(self, order, states):
        """The same news in any order ends in the same state."""
        news = [
            member(2, counter=number // 3, state=states[number]) for number in range(12)
        ]
        straight, crossed = fleet_table(1), fleet_table(1)
        for number in range(12):
            straight.apply(news[number])
            crossed.apply(news[order[number]])
        self.assertEqual(straight.members, crossed.members)

    def test_wrong_news_of_its_death_is_refuted(self):
        """An instance that hears of its own death outbids the news."""
        table = fleet_table(3)
        table.apply(dead(table.me))
        self.assertEqual(table.me.state, MemberState.ALIVE)
        others = fleet_table(3, me=2)
        others.apply(dead(member(1)))
        others.apply(table.me)
        self.assertTrue(others.is_alive(table.me.ref))

    def test_clock_that_went_back_between_runs(self):
        """A run whose incarnation is below the last one's takes a higher one."""
        table = MemberTable(member(1))
        table.apply(replace(member(1), incarnation=50))
        self.assertGreater(table.me.incarnation, 50)
        self.assertTrue(table.is_alive(table.me.ref))

    def test_restarted_instance_is_another_run(self):
        """What named the former run of an instance finds it dead."""
        table = fleet_table(2)
        former = table.members["entry-2"]
        table.apply(replace(former, incarnation=9))
        self.assertFalse(table.is_alive(former.ref))

    def test_late_news_of_death_does_not_hit_a_newer_state(self):
        """A judgement that rests on an older state is dropped."""
        table = fleet_table(2)
        suspected = replace(member(2), state=MemberState.SUSPECT)
        table.apply(suspected)
        table.apply(member(2, counter=1))
        table.declare_dead(suspected)
        self.assertTrue(table.is_alive(member(2).ref))

    def test_joining_and_leaving_do_not_dispatch(self):
        """An instance that warms up or leaves is ranked for nothing."""
        table = fleet_table(3)
        table.apply(member(2, counter=1, joining=True))
        table.apply(member(3, counter=1, state=MemberState.LEAVING))
        for service in range(50):
            ranked = table.rank(service << 56)
            self.assertEqual([m.name for m in ranked], ["entry-1"])


class TestHashRing(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=40))
    def test_changes_end_as_if_built_anew(self, changes):
        """Points inserted and removed one by one equal a ring built at once."""
        ring, present = HashRing(), set()
        for add, number in changes:
            (ring.add if add else ring.remove)(f"e{number}")
            (present.add if add else present.discard)(f"e{number}")
            len(ring)
        fresh = HashRing()
        for name in present:
            fresh.add(name)
        for key in range(0, 2**64, 2**58):
            self.assertEqual(ring.find(key, 3), fresh.find(key, 3))

    def test_a_death_moves_only_its_own(self):
        """When one goes, its services move to the next, and no others move."""
        ring = HashRing()
        for number in range(9):
            ring.add(f"e{number}")
        keys = range(0, 2**64, 2**55)
        before = {key: ring.find(key, 2) for key in keys}
        ring.remove("e4")
        for key, (owner, standby) in before.items():
            now = ring.find(key, 1)[0]
            self.assertEqual(now, standby if owner == "e4" else owner)

    def test_large_change_is_built_at_once(self):
        """A thousand members at once give what one by one would."""
        ring = HashRing()
        for number in range(1_000):
            ring.add(f"e{number}")
        self.assertEqual(len(ring), 1_000)
        self.assertEqual(len(set(ring.find(5, 1_000))), 1_000)


class Fleet:
    """Probers of several instances in virtual time, with a network between."""

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
                lambda target, peer, me=number: self.send(me, target, peer),
                [member(seed).address for seed in seeds],
                0.2,
                0.5,
                Counters(),
            )

    def send(self, me, target, peer):
        other = next(n for n in self.tables if member(n).address == target)
        if frozenset((me, other)) in self.cut:
            return
        copy = Peer.FromString(peer.SerializeToString())
        loop = asyncio.get_running_loop()
        loop.call_later(0.002, self.receive, other, member(me).address, copy)

    def receive(self, number, sender, peer):
        if peer.HasField("ping"):
            self.probers[number].on_ping(sender, peer.ping)
        else:
            self.probers[number].on_ack(peer.ack)

    def isolate(self, *numbers):
        self.cut = {
            frozenset((one, other))
            for one in numbers
            for other in self.tables
            if other not in numbers
        }

    def live(self, number):
        return sorted(int(m.name.split("-")[1]) for m in self.tables[number].live())


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

    def test_all_find_each_other_through_one_seed(self):
        """Instances that know one seed soon know all."""

        async def scenario(fleet):
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4, 5])

        self.run_fleet(scenario)

    def test_death_is_noticed_by_all_in_time(self):
        """A silent instance is dead everywhere within 2.5 s."""

        async def scenario(fleet):
            fleet.isolate(3)
            await asyncio.sleep(2.5)
            for number in (1, 2, 4, 5):
                self.assertEqual(fleet.live(number), [1, 2, 4, 5])

        self.run_fleet(scenario)

    def test_broken_path_between_two_kills_nobody(self):
        """Two instances that can't reach each other are vouched for by others."""

        async def scenario(fleet):
            fleet.cut = {frozenset((2, 4))}
            await asyncio.sleep(10)
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4, 5])

        self.run_fleet(scenario)

    def test_long_cut_heals_by_itself(self):
        """After minutes apart both sides find each other again."""

        async def scenario(fleet):
            fleet.isolate(1, 2)
            await asyncio.sleep(120)
            self.assertEqual((fleet.live(1), fleet.live(4)), ([1, 2], [3, 4, 5]))
            fleet.cut = set()
            await asyncio.sleep(5)
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4, 5])

        self.run_fleet(scenario)

    def test_groups_that_never_met_find_each_other(self):
        """Instances whose first words to the other seed were lost ask it again."""

        async def scenario(fleet):
            self.assertEqual((fleet.live(1), fleet.live(3)), ([1, 2], [3, 4]))
            fleet.cut = set()
            await asyncio.sleep(5)
            for number in fleet.tables:
                self.assertEqual(fleet.live(number), [1, 2, 3, 4])

        self.run_fleet(scenario, count=4, seeds=(1, 3), isolated=(1, 2))
