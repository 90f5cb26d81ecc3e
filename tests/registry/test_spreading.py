import asyncio
import random
import unittest
import zlib
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from logbook import TestHandler

from agatethread.exceptions import DatagramError
from agatethread.observability import Counters, Event
from agatethread.registry import (
    KnownEntry,
    RegistryHub,
    RoutesOffer,
    RunTable,
    Subscription,
    decode_message,
)
from agatethread.registry._entries import last_index
from agatethread.registry._following import choose_followed
from agatethread.wire.registry_pb2 import Poll, RoutingTable, TableRoute
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S, report


def compressed_table(version, routes=1):
    """An offer of a table with some routes."""
    table = RoutingTable(version=version, services=["tab"])
    for number in range(routes):
        table.routes.append(TableRoute(host=random.getrandbits(32), port=number + 1))
    return RoutesOffer(version, zlib.compress(table.SerializeToString()))


class World:
    """One entry instance, some control instances, and a network that loses messages."""

    def __init__(self, domains=("a", "b"), seed=1):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.loss = 0.0
        self.cut = set()
        self.leaderless = set()
        self.sent_bytes = self.received_bytes = 0
        self.queue = []
        self.runs, self.tables = [], []
        self.hubs, self.links = {}, {}
        self.entry_address = address(99)
        seeds = [address(number) for number in range(len(domains))]
        for number, domain in enumerate(domains):
            self.start_hub(number, domain, seeds)
        self.entry = Subscription(
            "a",
            False,
            seeds,
            self.entry_address,
            self.sender(self.entry_address),
            self.clock,
            self.runs.append,
            self.tables.append,
            Counters(),
        )

    def start_hub(self, number, domain, seeds):
        """Start a control instance, empty."""
        place = address(number)
        table = RunTable(INTERVAL_S, self.clock)
        hub = RegistryHub(
            table,
            domain,
            self.sender(place),
            self.clock,
            lambda: True,
            lambda: place not in self.leaderless,
        )
        link = Subscription(
            domain,
            True,
            seeds,
            place,
            self.sender(place),
            self.clock,
            table.take,
            lambda _: None,
            Counters(),
        )
        self.hubs[place] = (table, hub)
        self.links[place] = link

    def sender(self, source):
        def send(message, target):
            data = message.SerializeToString()
            self.sent_bytes += len(data)
            lost = self.random.random() < self.loss
            if not lost and not self.cut & {source, target}:
                self.queue.append((data, source, target))

        return send

    def deliver(self):
        """Deliver until nothing is under way."""
        while self.queue:
            data, source, target = self.queue.pop(0)
            message = decode_message(data)
            body = message.WhichOneof("body")
            if target == self.entry_address:
                self.received_bytes += len(data)
                handler = (
                    self.entry.on_delta if body == "delta" else self.entry.on_chunk
                )
                handler(getattr(message, body), source)
            elif body == "poll":
                self.hubs[target][1].on_poll(message.poll, source)
            else:
                self.links[target].on_delta(message.delta, source)

    def step(self, count=1, step_s=0.1):
        """Let time pass."""
        for number in range(count):
            self.clock.value_s += step_s
            for table, hub in self.hubs.values():
                table.sweep()
                hub.flush()
            if number % 4 == 0:
                self.entry.poll()
                for link in self.links.values():
                    link.poll()
            self.deliver()

    def table(self, number):
        return self.hubs[address(number)][0]

    def hub(self, number):
        return self.hubs[address(number)][1]

    def told(self):
        """What the entry instance was told last of each run."""
        return {run.id: run for run in self.runs}


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

    def test_news_of_the_majority_arrives_through_a_split(self):
        """With two of five control instances left behind, their followers hear all."""
        world = World(("a", "b", "c", "d", "e"))
        world.step(40)
        for number in (2, 3, 4):
            world.hub(number).offer_routes(compressed_table(9))
        world.step(10)
        self.assertEqual([table.version for table in world.tables], [9])

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


class TestManySubscribers(unittest.TestCase):
    """3,000 runs and 297 entry instances at one control instance."""

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.table = RunTable(INTERVAL_S, self.clock)
        for number in range(1, 3_001):
            self.table.report(report(number, place=number))
        self.hub = RegistryHub(
            self.table,
            "a",
            lambda message, target: self.sent.append((message, target)),
            self.clock,
            lambda: True,
            lambda: True,
        )
        self.entries = [address(10_000 + number) for number in range(297)]
        self.poll_all()

    def poll_all(self):
        """Let every entry instance say that it has everything."""
        poll = Poll(
            hub_incarnation=self.hub._incarnation,
            seen_index=self.table.changed_index,
            failure_domain="a",
        )
        for entry in self.entries:
            self.hub.on_poll(poll, entry)
        self.sent.clear()

    def test_telling_one_change_looks_at_few_runs(self):
        """It took 33 ms of processor time with a walk for each, and 0.7 ms since."""
        self.clock.value_s += 0.2
        self.table.report(report(1, sequence=2, draining=True))
        with mock.patch(
            "agatethread.registry._entries.last_index", side_effect=last_index
        ) as looks:
            self.hub.flush()
        self.assertEqual(len(self.sent), 297)
        self.assertLess(looks.call_count, 10)

    def test_changes_of_a_moment_are_told_in_one_round(self):
        """A hundred runs that report at once are not told of a hundred times."""
        self.clock.value_s += 0.2
        for number in range(1, 101):
            self.table.report(report(number, 2, number, draining=True))
            self.hub.tell_soon()
        self.assertLess(len(self.sent), 2 * 297)
        self.clock.value_s += 0.1
        self.hub.flush()
        told = {
            run.id
            for message, target in self.sent
            if target == self.entries[0]
            for run in message.delta.runs
        }
        self.assertEqual(len(told), 100)

    def test_few_subscribers_are_told_at_once(self):
        """A small fleet does not wait for the next round."""
        self.entries = self.entries[:7]
        self.hub._subscribers.clear()
        self.poll_all()
        for number in range(1, 11):
            self.clock.value_s += 0.001
            self.table.report(report(number, 2, number, draining=True))
            self.hub.tell_soon()
            self.assertEqual(len(self.sent), 7 * number)

    def test_what_is_not_acknowledged_is_not_sent_at_each_round(self):
        """Entry instances that say nothing get the same again each 0.15 s at most."""
        self.clock.value_s += 0.2
        self.table.report(report(1, sequence=2, draining=True))
        for _ in range(20):
            self.clock.value_s += 0.02
            self.hub.tell_soon()
        self.assertLessEqual(len(self.sent), 3 * 297)
