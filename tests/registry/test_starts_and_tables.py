import unittest

from agatethread.registry import (
    KnownEntry,
)
from agatethread.wire.registry_pb2 import Poll
from tests.fakes import address
from tests.registry.test_runs import report
from tests.registry.worlds import World, compressed_table


class TestStarts(unittest.TestCase):
    """What an entry instance is told at a start, its own or that of control."""

    def test_restarted_hub_tells_entry_instances_before_they_ask(self):
        """After a loss of all power nobody waits for the next question."""
        world = World(("a",))
        world.step(5)
        world.table(0).report(report())
        world.step(5)
        entries, known = world.hub(0).entries(), world.table(0).snapshot()
        self.assertEqual(entries, (KnownEntry(world.entry_address, "a"),))
        world.runs.clear()
        world.start_hub(0, "a", [address(0)])
        world.table(0).remember(known)
        world.hub(0).greet(entries)
        world.hub(0).offer_routes(compressed_table(9))
        world.deliver()
        self.assertIn("i-1", world.told())
        self.assertEqual(world.entry.routes_version, 9)

    def test_entry_instance_that_has_asked_is_not_greeted(self):
        """One that asks before the table is read gets it like any other."""
        world = World(("a",))
        world.entry.poll()
        world.deliver()
        others = [KnownEntry(address(55), "a"), KnownEntry(address(56), "b")]
        world.hub(0).greet([KnownEntry(world.entry_address, "a"), *others])
        self.assertEqual([target for _, _, target in world.queue], [address(56)])
        world.queue.clear()
        world.hub(0).offer_routes(compressed_table(9))
        targets = {target for _, _, target in world.queue}
        self.assertEqual(targets, {world.entry_address, address(55)})

    def test_entry_instance_that_knows_nobody_is_told_by_one(self):
        """Five control instances tell it of one another, one of all runs and routes.

        155,490 bytes came to its link while all of them told it all, and 16,024 since.
        """
        world = World(("a", "b", "c", "d", "e"))
        table = compressed_table(9, routes=1_600)
        for number in range(5):
            for run in range(1, 148):
                world.table(number).report(report(run, place=run))
            world.hub(number).greet([KnownEntry(world.entry_address, "a")])
            world.hub(number).offer_routes(table)
        world.entry.poll()
        world.deliver()
        self.assertEqual((world.entry.routes_version, len(world.told())), (9, 147))
        content_bytes = len(table.compressed) + sum(
            run.ByteSize() for run in world.told().values()
        )
        self.assertLess(world.received_bytes, 1.5 * content_bytes)

    def test_greeting_after_all_was_told_asks_for_nothing(self):
        """The next poll is soon enough for what a second one knows."""
        world = World(("a", "b"))
        world.leaderless = set(world.hubs)
        for number in range(2):
            world.table(number).report(report())
            world.hub(number).greet([KnownEntry(world.entry_address, "a")])
        world.deliver()
        self.assertIn("i-1", world.told())
        polled_s = [link.polled_s for link in world.entry.links.values()]
        self.assertEqual(polled_s, [float("-inf")] * 2)

    def test_greeting_takes_nothing_back(self):
        """One that is greeted again while it knows all goes on knowing it."""
        world = World(("a",))
        world.table(0).report(report())
        world.step(5)
        world.entry.poll()
        world.hub(0).on_poll(Poll(probe=True), world.entry_address)
        world.deliver()
        self.assertTrue(world.entry.is_complete())
        self.assertTrue(world.entry.is_reporting("i-1"))


class TestTables(unittest.TestCase):
    """Routing tables on their way to an entry instance."""

    def change_often(self, world, count=20):
        """Agree on a large table at each step; return the bytes that came for one."""
        before = world.received_bytes
        for version in range(100, 100 + count):
            offer = compressed_table(version, routes=240)
            for number in range(len(world.hubs)):
                world.hub(number).offer_routes(offer)
            world.step()
        world.step(2)
        self.assertEqual(world.entry.routes_version, 99 + count)
        return (world.received_bytes - before) / count, len(offer.compressed)

    def test_each_table_is_told_by_one(self):
        """Changes in quick succession come once, not from each that is followed."""
        world = World(("a", "b", "c"))
        world.step(20)
        came_bytes, table_bytes = self.change_often(world)
        self.assertLess(came_bytes, 1.4 * table_bytes)

    def test_another_tells_when_the_teller_is_lost(self):
        """A change that is agreed right after is in force within two seconds."""
        for lost in ({"cut"}, {"leaderless"}):
            world = World(("a", "b", "c"))
            world.step(20)
            world.cut = {address(0)} if "cut" in lost else set()
            world.leaderless = {address(0)} if "leaderless" in lost else set()
            for number in (1, 2):
                world.hub(number).offer_routes(compressed_table(9))
            world.step(20)
            with self.subTest(lost=lost):
                self.assertEqual(world.entry.routes_version, 9)

    def test_another_tells_when_the_teller_is_late(self):
        """One that hears a leader but has not the newest table holds nobody up."""
        world = World(("a", "b", "c"))
        world.step(20)
        world.hub(2).offer_routes(compressed_table(9))
        world.step(12)
        self.assertEqual(world.entry.routes_version, 9)

    def test_table_in_parts_arrives_whole_and_never_goes_back(self):
        """A large table arrives in spite of losses, and an older one is passed over."""
        world = World()
        world.loss = 0.3
        world.step(5)
        world.hub(0).offer_routes(compressed_table(7, routes=600))
        world.step(60)
        self.assertEqual([table.version for table in world.tables], [7])
        world.hub(1).offer_routes(compressed_table(6))
        world.step(20)
        self.assertEqual([table.version for table in world.tables], [7])

    def test_news_of_the_majority_arrives_through_a_split(self):
        """With two of five control instances left behind, their followers hear all."""
        world = World(("a", "b", "c", "d", "e"))
        world.step(40)
        for number in (2, 3, 4):
            world.hub(number).offer_routes(compressed_table(9))
        world.step(10)
        self.assertEqual([table.version for table in world.tables], [9])
