import unittest
from itertools import pairwise
from unittest import mock

from agatethread.registry import (
    RegistryHub,
    RunTable,
)
from agatethread.registry._entries import last_index
from agatethread.wire.registry_pb2 import Poll
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S, report


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

    def test_round_is_bounded_and_the_next_goes_on(self):
        """All that 3,000 runs are is told in rounds that leave time for the rest.

        Told as fast as windows allow, a round had 2,376 messages, ten times a second,
        and what was acknowledged was not read before it was sent again.
        """
        for entry in self.entries:
            poll = Poll(failure_domain="a" if entry[-1] % 3 else "b")
            self.hub.on_poll(poll, entry)
        told = {}
        for _ in range(6):
            self.sent.clear()
            self.clock.value_s += 0.1
            self.hub.flush()
            self.assertLessEqual(len(self.sent), 600 + 8)
            for _, target in self.sent:
                told[target] = told.get(target, 0) + 1
        home = [entry for entry in self.entries if entry[-1] % 3]
        self.assertTrue(set(home) <= set(told))

    def test_entry_instances_that_say_nothing_are_asked_less_and_less(self):
        """What is sent again in vain is sent again later."""
        self.table.report(report(1, sequence=2, draining=True))
        times = []
        for _ in range(40):
            self.clock.value_s += 0.05
            self.sent.clear()
            self.hub.flush()
            if self.sent:
                times.append(self.clock.value_s)
        pauses = [later - earlier for earlier, later in pairwise(times)]
        self.assertLess(pauses[0], 0.21)
        self.assertGreater(pauses[-1], 0.55)
        self.assertLess(max(pauses), 0.7)

    def test_what_is_not_acknowledged_is_not_sent_at_each_round(self):
        """Entry instances that say nothing get the same again each 0.15 s at most."""
        self.clock.value_s += 0.2
        self.table.report(report(1, sequence=2, draining=True))
        for _ in range(20):
            self.clock.value_s += 0.02
            self.hub.tell_soon()
        self.assertLessEqual(len(self.sent), 3 * 297)
