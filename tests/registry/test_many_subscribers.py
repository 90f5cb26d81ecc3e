import unittest
from itertools import pairwise
from unittest import mock

from agatethread.registry import (
    RegistryPublisher,
    RunTable,
)
from agatethread.registry._run_index import last_index
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
        self.publisher = RegistryPublisher(
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
        """Let every entry instance acknowledge all changes."""
        poll = Poll(
            hub_incarnation=self.publisher._incarnation,
            seen_index=self.table.changed_index,
            failure_domain="a",
        )
        for entry in self.entries:
            self.publisher.on_poll(poll, entry)
        self.sent.clear()

    def test_sending_one_change_scans_few_runs(self):
        """Guards against a scan of all runs for each subscriber."""
        self.clock.value_s += 0.2
        self.table.report(report(1, sequence=2, draining=True))
        with mock.patch(
            "agatethread.registry._run_index.last_index", side_effect=last_index
        ) as scan:
            self.publisher.flush()
        self.assertEqual(len(self.sent), 297)
        self.assertLess(scan.call_count, 10)

    def test_burst_of_changes_shares_one_round(self):
        """A hundred simultaneous changes don't cause a hundred rounds."""
        self.clock.value_s += 0.2
        for number in range(1, 101):
            self.table.report(report(number, 2, number, draining=True))
            self.publisher.flush_if_due()
        self.assertLess(len(self.sent), 2 * 297)
        self.clock.value_s += 0.1
        self.publisher.flush()
        received = {
            run.id
            for message, target in self.sent
            if target == self.entries[0]
            for run in message.delta.runs
        }
        self.assertEqual(len(received), 100)

    def test_few_subscribers_receive_changes_at_once(self):
        """With few subscribers, changes don't wait for the next round."""
        self.entries = self.entries[:7]
        self.publisher._subscribers.clear()
        self.poll_all()
        for number in range(1, 11):
            self.clock.value_s += 0.001
            self.table.report(report(number, 2, number, draining=True))
            self.publisher.flush_if_due()
            self.assertEqual(len(self.sent), 7 * number)

    def test_limits_a_round_and_continues_in_the_next(self):
        """Sending the full state to all leaves time to read acknowledgements."""
        # Two of three entry instances are of the own failure domain.
        for entry in self.entries:
            poll = Poll(failure_domain="a" if entry[-1] % 3 else "b")
            self.publisher.on_poll(poll, entry)
        received = {}
        for _ in range(6):
            self.sent.clear()
            self.clock.value_s += 0.1
            self.publisher.flush()
            # The limit of a round, and one window that began below it.
            self.assertLessEqual(len(self.sent), 600 + 8)
            for _, target in self.sent:
                received[target] = received.get(target, 0) + 1
        own_domain = [entry for entry in self.entries if entry[-1] % 3]
        self.assertTrue(set(own_domain) <= set(received))

    def test_resend_interval_grows_without_acknowledgement(self):
        """Each resend without acknowledgement doubles the timeout up to a limit."""
        self.table.report(report(1, sequence=2, draining=True))
        times = []
        for _ in range(40):
            self.clock.value_s += 0.05
            self.sent.clear()
            self.publisher.flush()
            if self.sent:
                times.append(self.clock.value_s)
        pauses = [later - earlier for earlier, later in pairwise(times)]
        self.assertLess(pauses[0], 0.21)
        self.assertGreater(pauses[-1], 0.55)
        self.assertLess(max(pauses), 0.7)

    def test_unacknowledged_changes_are_not_resent_in_each_round(self):
        """Changes are resent only after the resend timeout."""
        self.clock.value_s += 0.2
        self.table.report(report(1, sequence=2, draining=True))
        for _ in range(20):
            self.clock.value_s += 0.02
            self.publisher.flush_if_due()
        # Sent once to each entry instance, and resent at most twice.
        self.assertLessEqual(len(self.sent), 3 * 297)
