import asyncio
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from logbook import TestHandler

from agatethread.exceptions import DatagramError
from agatethread.observability import Event
from agatethread.registry import (
    RunTable,
    decode_message,
)
from agatethread.registry._selection import choose_followed
from tests.fakes import address
from tests.registry.test_runs import report
from tests.registry.worlds import World, compressed_table


class TestSpreading(unittest.TestCase):
    def test_report_reaches_all_instances(self):
        """A report reaches the other control instances and the entry instance."""
        world = World(("a", "b", "c"))
        world.step(5)
        world.run_table(2).report(report())
        world.step(10)
        self.assertIn("i-1", world.received_runs())
        self.assertIsNotNone(world.run_table(0).get("i-1"))

    def test_all_changes_arrive_on_a_lossy_network(self):
        """With a third of all messages lost, every change arrives eventually."""
        world = World()
        world.loss = 0.33
        world.step(10)
        for number in range(1, 60):
            world.run_table(number % 2).report(report(number, place=number))
            world.run_table(number % 2).end_run(
                f"i-{number - 3:x}"
            ) if number > 3 else None
            world.step()
        world.step(60)
        ended = {run.id for run in world.received_runs().values() if run.ended}
        self.assertEqual(len(world.received_runs()), 59)
        self.assertEqual(ended, {f"i-{number:x}" for number in range(1, 57)})

    def test_drain_survives_loss_of_receiving_instance(self):
        """A drain is acknowledged only after other instances have it."""
        world = World()
        world.step(5)
        world.run_table(0).report(report(sequence=1))
        world.step(5)

        async def drain():
            world.run_table(0).report(report(sequence=2, draining=True))
            waiting = asyncio.ensure_future(world.publisher(0).flush_and_wait(1.0))
            await asyncio.sleep(0)
            world.deliver()
            return await waiting

        self.assertTrue(asyncio.run(drain()))
        world.cut = {address(0)}
        self.assertTrue(world.received_runs()["i-1"].draining)
        self.assertTrue(world.run_table(1).get("i-1").draining)

    def test_flush_and_wait_fails_with_unreachable_subscriber(self):
        """The wait for an unreachable subscriber ends with the timeout."""
        world = World()
        world.step(5)
        world.cut = {world.entry_address}

        async def drain():
            world.run_table(0).report(report(draining=True))
            return await world.publisher(0).flush_and_wait(0.05)

        self.assertFalse(asyncio.run(drain()))

    def test_restarted_control_instance_is_read_from_the_start(self):
        """The state from before the restart is discarded."""
        world = World(("a",))
        world.step(5)
        world.run_table(0).report(report(number=1, place=1))
        world.step(5)
        world.start_control(0, "a", [address(0)])
        world.run_table(0).report(report(number=2, place=2))
        world.step(10)
        self.assertIn("i-2", world.received_runs())
        self.assertFalse(world.entry.is_reporting("i-1"))

    def test_earlier_start_does_not_count_as_later_start(self):
        """Whether a run is reporting is decided for each start."""
        world = World()
        world.step(5)
        world.run_table(0).report(report(started_ms=1_000))
        world.step(10)
        self.assertTrue(world.entry.is_reporting("i-1", 1_000))
        self.assertFalse(world.entry.is_reporting("i-1", 2_000))
        world.run_table(1).report(report(started_ms=2_000))
        world.step(10)
        self.assertTrue(world.entry.is_reporting("i-1", 2_000))
        self.assertFalse(world.entry.is_reporting("i-1", 1_000))

    def test_runs_may_be_alive_without_control_instances(self):
        """No run counts as lost while no control instance is reachable."""
        world = World()
        world.step(5)
        world.cut = set(world.controls)
        world.step(20)
        self.assertTrue(world.entry.is_reporting("i-unknown"))

    def test_follows_own_and_another_failure_domain(self):
        """The first followed instance is of the own domain, the second is not."""
        world = World(("b", "a", "a", "c"))
        world.step(20)
        followed = choose_followed(world.entry.reachable_links(), "a")
        domains = [link.failure_domain for link in followed]
        self.assertEqual(domains[0], "a")
        self.assertNotEqual(domains[1], "a")

    def test_follows_instance_that_hears_a_leader(self):
        """During a partition, tables arrive from the side with a leader."""
        world = World(("a", "b", "b", "c", "c", "a"))
        world.step(15)
        followed = [
            link.address for link in choose_followed(world.entry.reachable_links(), "a")
        ]
        world.leaderless = set(followed)
        world.step(15)
        for place, (_, publisher) in world.controls.items():
            if place not in world.leaderless:
                publisher.publish_routes(compressed_table(9))
        world.step(15)
        self.assertEqual(world.entry.routes_version, 9)

    def test_logs_loss_and_return_of_control_instance_once(self):
        """One entry when it stops answering, and one when it answers again."""
        with TestHandler() as handler:
            world = World(("a", "b"))
            world.step(100)
            world.cut = {address(1)}
            world.step(40)
            world.cut = set()
            world.step(40)
        events = [
            record.message
            for record in handler.records
            if record.kwargs.get("address") == address(1).hex()
        ]
        lost_event, reachable_event = Event.CONTROL_UNREACHABLE, Event.CONTROL_REACHABLE
        # Logged by the entry instance and by the other control instance.
        self.assertEqual(events.count(lost_event), 2)
        self.assertEqual(events.count(reachable_event), 4)

    def test_idle_subscriber_causes_no_scan(self):
        """A poll without pending changes is answered without a scan of the runs."""
        world = World(("a",))
        for number in range(1, 300):
            world.run_table(0).report(report(number, place=number))
        world.step(60)
        self.assertEqual(len(world.received_runs()), 299)
        with mock.patch.object(
            RunTable, "changes_after", side_effect=AssertionError
        ) as scan:
            world.entry.poll()
            world.deliver()
            world.publisher(0).flush()
        scan.assert_not_called()

    def test_idle_traffic_is_bounded(self):
        """Without changes, only polls and empty replies are sent."""
        world = World()
        world.step(20)
        before = world.sent_bytes
        world.step(100)
        # Bytes per second.
        self.assertLess((world.sent_bytes - before) / 10.0, 2_000)

    @given(st.binary(max_size=200))
    def test_decodes_or_rejects_any_datagram(self, data):
        """Arbitrary bytes yield a message with a body or a `DatagramError`."""
        try:
            message = decode_message(data)
        except DatagramError:
            return
        self.assertIsNotNone(message.WhichOneof("body"))

    def test_resends_lost_message_during_steady_reports(self):
        """Guards against frequent changes that postpone a resend forever."""
        world = World(("a", "b"))
        world.step(10)
        for sequence in range(1, 60):
            for number in range(1, 4):
                world.run_table(0).report(report(number, sequence, number))
            world.loss = 1.0 if sequence == 20 else 0.0
            world.step()
        received = world.run_table(1).get("i-1").sequence
        self.assertGreaterEqual(received, 58)
