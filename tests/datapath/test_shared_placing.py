import unittest
from collections import Counter
from unittest import mock

from agatethread.datapath._placing import count_places
from agatethread.wire.registry_pb2 import RegistryMessage
from tests.datapath.crowds import ARCHIVE, OTHER, URGENT, World, make_table
from tests.datapath.worlds import opening
from tests.fakes import address


class TestCrowd(unittest.TestCase):
    """Callers who want nearly all slots: 8 servers bear some 910 requests a second."""

    def play(self, per_s, **options):
        world = World(**options)
        world.crowd(per_s, 3.0)
        world.run(5.0)
        return world

    def test_room_for_all_serves_all(self):
        """With room for all hardly anything is shed, and nearly all are in time."""
        alone = self.play(880, shares=False, entries=24)
        shared = self.play(880, entries=24)
        self.assertGreater(alone.shed_count, 0.05 * alone.arrival_count)
        self.assertLess(shared.shed_count, 0.01 * shared.arrival_count)
        self.assertGreater(shared.served(), 0.985)

    def test_less_urgent_give_way(self):
        """At 1.3 times what there is the urgent are served as in calm."""
        world = self.play(1_180, entries=24)
        self.assertGreater(world.served(URGENT), 0.985)
        self.assertGreater(world.served(OTHER), 0.4)
        self.assertLess(world.served(OTHER), world.served(URGENT))

    def test_measures_show_the_crowd(self):
        """Operators see who waits, and how long callers of placed openings had."""
        world = World(entries=24)
        world.crowd(1_180, 2.0)
        world.run(1.5)
        shared = [one.shared_placing for one in world.entries.values()]
        in_line = sum(one.gauges()["openings_in_line"]() for one in shared)
        waits = [one.histograms()["opening_waited_s"] for one in shared]
        placed = sum(sum(one.counts) for one in waits)
        self.assertGreater(in_line, 0)
        self.assertGreater(placed, 500)
        self.assertEqual(shared[0].gauges()["dispatchers_at_home"](), 8)

    def test_calm_is_left_alone(self):
        """With a tenth of the slots in use no opening is relayed."""
        world = self.play(90, entries=24)
        self.assertEqual(world.count("openings_relayed"), 0)
        self.assertGreater(world.served(), 0.999)

    def test_room_elsewhere_is_used(self):
        """Callers of one failure domain have the other's idle servers."""
        world = World(domains="ab", entries=12)
        world.crowd(1_300, 3.0, domains="aaaaaaab")
        world.run(5.0)
        self.assertGreater(world.served(domain="a"), 0.97)
        self.assertGreater(world.served(domain="b"), 0.97)
        self.assertGreater(world.count("openings_handed_over"), 100)


class TestFailures(unittest.TestCase):
    def crowded(self):
        world = World(entries=24)
        world.crowd(800, 4.0)
        world.run(1.0)
        return world

    def test_dead_dispatcher_costs_one_copy(self):
        """What it had is placed by the callers' copies; it gets nothing for a while."""
        world = self.crowded()
        dead = next(iter(world.entries))
        world.cut.add(dead)
        world.run(1.0)
        world.choose()
        world.run(4.0)
        through = [one for one in world.outcomes.values() if one["entry"] != dead]
        late = [one for one in through if one["tries"] and (one["answer_s"] or 9) > 0.4]
        self.assertLess(len(late), 0.05 * len(through))
        self.assertGreater(world.count("dispatchers_silent"), 5)

    def test_lost_words_of_ends_keep_no_place(self):
        """Without them places come back by themselves."""
        world = self.crowded()
        world.lost = 0.02
        world.run(5.0)
        self.assertGreater(world.served(), 0.93)
        self.assertGreater(world.count("places_given_up"), 0)
        dispatcher = next(iter(world.entries.values())).shared_placing.dispatcher
        self.assertEqual(len(dispatcher._places), 0)

    def test_servers_that_answer_are_not_avoided(self):
        """Openings lost on their way to a server say nothing of it."""
        world = World(entries=24)
        world.dropped = 0.02
        world.crowd(800, 4.0)
        world.run(4.0)
        for forwarder in world.entries.values():
            for backend in forwarder._view.of_service("tab"):
                self.assertLess(backend.penalty_until_s, world.clock())

    def test_other_table_gives_openings_back(self):
        """A dispatcher with another table places nothing, and nobody waits for it."""
        world = self.crowded()
        for forwarder in list(world.entries.values())[:2]:
            forwarder.take_table(make_table(2))
        before = world.count("openings_dispatched_urgency_1")
        world.run(0.5)
        self.assertLess(world.count("openings_dispatched_urgency_1") - before, 150)
        # Two of eight dispatchers, and 16 of 24 instances that relay: 67 of 400.
        self.assertGreater(world.count("openings_returned"), 50)

    def test_no_server_gets_more_than_its_places(self):
        """Whatever comes, a dispatcher never has more in progress than places."""
        world = World(entries=24)
        with mock.patch.object(World, "on_server"):
            world.crowd(3_000, 0.2, urgent_ratio=0.5)
            world.run(0.2)
        for forwarder in world.entries.values():
            places = forwarder.shared_placing.dispatcher._places
            for backend, count in places.in_progress.items():
                self.assertLessEqual(count, count_places(backend))

    def test_opening_of_another_service_is_given_back(self):
        """A dispatcher places only where its own table allows."""
        world = World(entries=8)
        (place, forwarder), *_ = world.entries.items()
        one = opening(5)
        message = RegistryMessage()
        message.relayed.packet = b"x"
        message.relayed.service = "archive"
        message.relayed.table_version = 1
        world.packets[b"x"] = one
        with mock.patch.object(world, "tell") as tell:
            forwarder.shared_placing.on_message(message, address(1_001))
        self.assertEqual(tell.call_args.args[1].WhichOneof("body"), "returned")

    def test_servers_gone_without_a_word_cost_one_copy(self):
        """A third of the servers dies in a crowd that the others can bear."""
        for seed in (1, 2, 5):
            world = World(entries=24, servers=9, seed=seed)
            world.crowd(560, 4.0)
            world.run(1.0)
            world.mute = {1, 2, 3}
            world.run(5.0)
            with self.subTest(seed=seed):
                self.assertGreater(world.served(), 0.985)
                self.assertLess(world.shed_count, 0.01 * world.arrival_count)
                self.assertEqual(world.count("dispatchers_silent"), 0)

    def test_frozen_dispatcher_places_nothing_old(self):
        """One that wakes after 2 s neither places nor refuses what came meanwhile."""
        world = self.crowded()
        frozen = next(iter(world.entries))
        before = Counter(world.entries[frozen]._counters)
        world.freeze(frozen)
        after = world.entries[frozen]._counters - before
        self.assertGreater(after["relayed_too_old"], 20)
        acted = [name for name in after if name.startswith("openings_")]
        self.assertEqual(acted, [])
        world.choose()
        world.run(3.0)
        through = [one for one in world.outcomes.values() if one["entry"] != frozen]
        late = [one for one in through if one["tries"] and (one["answer_s"] or 9) > 0.4]
        self.assertLess(len(late), 0.05 * len(through))

    def test_dispatcher_that_is_replaced_keeps_nobody(self):
        """Those that wait at one that is chosen no more are placed by others."""
        world = World(entries=24)
        world.crowd(1_180, 4.0)
        world.run(1.5)
        told = world.told["a"]
        former = world.entries[told.addresses[0]].shared_placing.dispatcher
        self.assertGreater(former.waiting_count(), 0)
        del told.addresses[0]
        for forwarder in world.entries.values():
            forwarder.shared_placing.take_dispatchers(world.told)
        world.run(0.1)
        self.assertEqual(former.waiting_count(), 0)


class TestOtherLoads(unittest.TestCase):
    def test_ramp(self):
        """A crowd that grows from calm to nearly all slots within 2 s is served."""
        world = World(entries=24)
        for step in range(20):
            world.crowd(90 + 40 * step, 0.1)
            world.run(0.1)
        world.crowd(850, 1.0)
        world.run(3.0)
        self.assertGreater(world.served(), 0.985)
        self.assertLess(world.shed_count, 0.01 * world.arrival_count)

    def test_burst_of_another_service_leaves_this_one_alone(self):
        """Ten times too much for the archive costs the tab's callers nothing."""
        world = World(entries=24, archives=2)
        world.crowd(90, 3.0)
        world.crowd(2_000, 2.0, ports=[ARCHIVE])
        world.run(5.0)
        self.assertGreater(world.served(URGENT), 0.995)
        self.assertGreater(world.served(OTHER), 0.995)
        self.assertLess(world.served(ARCHIVE), 0.5)
