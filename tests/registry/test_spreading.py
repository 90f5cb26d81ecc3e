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
from agatethread.registry._following import choose_followed
from tests.fakes import address
from tests.registry.test_runs import report
from tests.registry.worlds import World, compressed_table


class TestSpreading(unittest.TestCase):
    def test_report_reaches_everyone(self):
        """A report to one control instance is known to the others and to entries."""
        world = World(("a", "b", "c"))
        world.step(5)
        world.table(2).report(report())
        world.step(10)
        self.assertIn("i-1", world.told())
        self.assertIsNotNone(world.table(0).find("i-1"))

    def test_nothing_is_lost_on_a_lossy_network(self):
        """With a third of all messages lost, every change arrives in the end."""
        world = World()
        world.loss = 0.33
        world.step(10)
        for number in range(1, 60):
            world.table(number % 2).report(report(number, place=number))
            world.table(number % 2).leave(f"i-{number - 3:x}") if number > 3 else None
            world.step()
        world.step(60)
        ended = {run.id for run in world.told().values() if run.ended}
        self.assertEqual(len(world.told()), 59)
        self.assertEqual(ended, {f"i-{number:x}" for number in range(1, 57)})

    def test_drain_is_known_when_its_taker_dies(self):
        """What was acknowledged is known elsewhere before the acknowledgement."""
        world = World()
        world.step(5)
        world.table(0).report(report(sequence=1))
        world.step(5)

        async def drain():
            world.table(0).report(report(sequence=2, draining=True))
            waiting = asyncio.ensure_future(world.hub(0).spread(1.0))
            await asyncio.sleep(0)
            world.deliver()
            return await waiting

        self.assertTrue(asyncio.run(drain()))
        world.cut = {address(0)}
        self.assertTrue(world.told()["i-1"].draining)
        self.assertTrue(world.table(1).find("i-1").draining)

    def test_spread_reports_that_somebody_does_not_know(self):
        """A subscriber that can't be reached makes the wait end without success."""
        world = World()
        world.step(5)
        world.cut = {world.entry_address}

        async def drain():
            world.table(0).report(report(draining=True))
            return await world.hub(0).spread(0.05)

        self.assertFalse(asyncio.run(drain()))

    def test_restarted_hub_is_followed_anew(self):
        """An entry instance reads a restarted control instance from the start."""
        world = World(("a",))
        world.step(5)
        world.table(0).report(report(number=1, place=1))
        world.step(5)
        world.start_hub(0, "a", [address(0)])
        world.table(0).report(report(number=2, place=2))
        world.step(10)
        self.assertIn("i-2", world.told())
        self.assertFalse(world.entry.is_reporting("i-1"))

    def test_start_is_reporting_only_where_it_is_heard(self):
        """One that hears the earlier start of an id does not vouch for the later."""
        world = World()
        world.step(5)
        world.table(0).report(report(started_ms=1_000))
        world.step(10)
        self.assertTrue(world.entry.is_reporting("i-1", 1_000))
        self.assertFalse(world.entry.is_reporting("i-1", 2_000))
        world.table(1).report(report(started_ms=2_000))
        world.step(10)
        self.assertTrue(world.entry.is_reporting("i-1", 2_000))
        self.assertFalse(world.entry.is_reporting("i-1", 1_000))

    def test_silence_of_all_control_says_nothing(self):
        """Without any control instance in sight every run may be alive."""
        world = World()
        world.step(5)
        world.cut = set(world.hubs)
        world.step(20)
        self.assertTrue(world.entry.is_reporting("i-never-heard-of"))

    def test_follows_its_own_failure_domain_and_another(self):
        """The first that is followed is its own domain's, the next another's."""
        world = World(("b", "a", "a", "c"))
        world.step(20)
        followed = choose_followed(world.entry.live(), "a")
        domains = [link.failure_domain for link in followed]
        self.assertEqual(domains[0], "a")
        self.assertNotEqual(domains[1], "a")

    def test_follows_one_that_hears_a_leader(self):
        """Of six, split unevenly, it finds one on the side where tables are agreed."""
        world = World(("a", "b", "b", "c", "c", "a"))
        world.step(15)
        followed = [link.address for link in choose_followed(world.entry.live(), "a")]
        world.leaderless = set(followed)
        world.step(15)
        for place, (_, hub) in world.hubs.items():
            if place not in world.leaderless:
                hub.offer_routes(compressed_table(9))
        world.step(15)
        self.assertEqual(world.entry.routes_version, 9)

    def test_log_tells_once_that_a_control_instance_is_lost_and_regained(self):
        """One line when it stops answering, one when it answers again, none else."""
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
        lost, regained = Event.CONTROL_OUT_OF_SIGHT, Event.CONTROL_IN_SIGHT
        # The entry instance and the other control instance each say so.
        self.assertEqual(events.count(lost), 2)
        self.assertEqual(events.count(regained), 4)

    def test_subscriber_that_has_everything_costs_no_search(self):
        """An idle subscriber is answered without looking through all runs."""
        world = World(("a",))
        for number in range(1, 300):
            world.table(0).report(report(number, place=number))
        world.step(60)
        self.assertEqual(len(world.told()), 299)
        with mock.patch.object(
            RunTable, "changes_after", side_effect=AssertionError
        ) as search:
            world.entry.poll()
            world.deliver()
            world.hub(0).flush()
        search.assert_not_called()

    def test_idle_traffic_is_bounded(self):
        """With nothing new, an entry instance and its hubs say little."""
        world = World()
        world.step(20)
        before = world.sent_bytes
        world.step(100)
        self.assertLess((world.sent_bytes - before) / 10.0, 2_000)

    @given(st.binary(max_size=200))
    def test_any_datagram_is_read_or_refused(self, data):
        """Bytes of any kind give a message with a body or a typed error."""
        try:
            message = decode_message(data)
        except DatagramError:
            return
        self.assertIsNotNone(message.WhichOneof("body"))

    def test_lost_message_is_sent_again_while_others_follow(self):
        """Reports come all the time; another control instance is never behind for long.

        It was behind for good: 1,800 changes of 2,500 after 12 s with one loss in 100.
        """
        world = World(("a", "b"))
        world.step(10)
        for sequence in range(1, 60):
            for number in range(1, 4):
                world.table(0).report(report(number, sequence, number))
            world.loss = 1.0 if sequence == 20 else 0.0
            world.step()
        known = world.table(1).find("i-1").sequence
        self.assertGreaterEqual(known, 58)
