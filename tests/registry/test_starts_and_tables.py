import unittest

from agatethread.registry import (
    KnownEntry,
)
from agatethread.wire.registry_pb2 import Poll
from tests.fakes import address
from tests.registry.test_runs import report
from tests.registry.worlds import World, compressed_table


class TestStarts(unittest.TestCase):
    """State sent after the start of an entry instance or a control instance."""

    def test_restarted_control_instance_sends_state_unasked(self):
        """After a power loss, entry instances don't wait for the next poll."""
        world = World(("a",))
        world.step(5)
        world.run_table(0).report(report())
        world.step(5)
        entries, runs = (
            world.publisher(0).known_entries(),
            world.run_table(0).snapshot(),
        )
        self.assertEqual(entries, (KnownEntry(world.entry_address, "a"),))
        world.runs.clear()
        world.start_control(0, "a", [address(0)])
        world.run_table(0).restore(runs)
        world.publisher(0).greet(entries)
        world.publisher(0).publish_routes(compressed_table(9))
        world.deliver()
        self.assertIn("i-1", world.received_runs())
        self.assertEqual(world.entry.routes_version, 9)

    def test_does_not_greet_entry_instance_that_polled(self):
        """An entry instance that polled receives the first table without a greeting."""
        world = World(("a",))
        world.entry.poll()
        world.deliver()
        other_entries = [KnownEntry(address(55), "a"), KnownEntry(address(56), "b")]
        world.publisher(0).greet([KnownEntry(world.entry_address, "a"), *other_entries])
        self.assertEqual([target for _, _, target in world.queue], [address(56)])
        world.queue.clear()
        world.publisher(0).publish_routes(compressed_table(9))
        targets = {target for _, _, target in world.queue}
        self.assertEqual(targets, {world.entry_address, address(55)})

    def test_one_control_instance_sends_full_state(self):
        """Guards against the same state arriving from each control instance."""
        world = World(("a", "b", "c", "d", "e"))
        table = compressed_table(9, routes=1_600)
        for number in range(5):
            for run_number in range(1, 148):
                world.run_table(number).report(report(run_number, place=run_number))
            world.publisher(number).greet([KnownEntry(world.entry_address, "a")])
            world.publisher(number).publish_routes(table)
        world.entry.poll()
        world.deliver()
        self.assertEqual(
            (world.entry.routes_version, len(world.received_runs())), (9, 147)
        )
        content_bytes = len(table.compressed) + sum(
            run.ByteSize() for run in world.received_runs().values()
        )
        self.assertLess(world.received_bytes, 1.5 * content_bytes)

    def test_greeting_with_full_state_causes_no_poll(self):
        """The state of a second control instance can wait for the next poll."""
        world = World(("a", "b"))
        world.leaderless = set(world.controls)
        for number in range(2):
            world.run_table(number).report(report())
            world.publisher(number).greet([KnownEntry(world.entry_address, "a")])
        world.deliver()
        self.assertIn("i-1", world.received_runs())
        polled_s = [link.polled_s for link in world.entry.links.values()]
        self.assertEqual(polled_s, [float("-inf")] * 2)

    def test_greeting_keeps_received_state(self):
        """A greeting does not discard the state of an entry instance."""
        world = World(("a",))
        world.run_table(0).report(report())
        world.step(5)
        world.entry.poll()
        world.publisher(0).on_poll(Poll(probe=True), world.entry_address)
        world.deliver()
        self.assertTrue(world.entry.is_complete())
        self.assertTrue(world.entry.is_reporting("i-1"))


class TestTables(unittest.TestCase):
    """Distribution of routing tables to an entry instance."""

    def publish_many_tables(self, world, count=20):
        """Publish a table at each step; return received and own bytes of each."""
        before = world.received_bytes
        for version in range(100, 100 + count):
            table = compressed_table(version, routes=240)
            for number in range(len(world.controls)):
                world.publisher(number).publish_routes(table)
            world.step()
        world.step(2)
        self.assertEqual(world.entry.routes_version, 99 + count)
        return (world.received_bytes - before) / count, len(table.compressed)

    def test_one_control_instance_sends_each_table(self):
        """Frequent tables don't arrive from each followed instance."""
        world = World(("a", "b", "c"))
        world.step(20)
        received_bytes, table_bytes = self.publish_many_tables(world)
        self.assertLess(received_bytes, 1.4 * table_bytes)

    def test_another_instance_sends_tables_after_loss_of_sender(self):
        """A table agreed right after the loss arrives within two seconds."""
        for fault in ({"cut"}, {"leaderless"}):
            world = World(("a", "b", "c"))
            world.step(20)
            world.cut = {address(0)} if "cut" in fault else set()
            world.leaderless = {address(0)} if "leaderless" in fault else set()
            for number in (1, 2):
                world.publisher(number).publish_routes(compressed_table(9))
            world.step(20)
            with self.subTest(fault=fault):
                self.assertEqual(world.entry.routes_version, 9)

    def test_another_instance_sends_table_if_sender_is_late(self):
        """An instance that lacks the newest table does not delay it."""
        world = World(("a", "b", "c"))
        world.step(20)
        world.publisher(2).publish_routes(compressed_table(9))
        world.step(12)
        self.assertEqual(world.entry.routes_version, 9)

    def test_table_in_parts_arrives_complete_and_is_never_reverted(self):
        """A large table arrives despite message loss; an older one is ignored."""
        world = World()
        world.loss = 0.3
        world.step(5)
        world.publisher(0).publish_routes(compressed_table(7, routes=600))
        world.step(60)
        self.assertEqual([table.version for table in world.received_tables], [7])
        world.publisher(1).publish_routes(compressed_table(6))
        world.step(20)
        self.assertEqual([table.version for table in world.received_tables], [7])

    def test_table_of_the_majority_arrives_during_a_partition(self):
        """An entry instance that follows a minority receives the new table."""
        world = World(("a", "b", "c", "d", "e"))
        world.step(40)
        for number in (2, 3, 4):
            world.publisher(number).publish_routes(compressed_table(9))
        world.step(10)
        self.assertEqual([table.version for table in world.received_tables], [9])
