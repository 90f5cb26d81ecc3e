import unittest

from agatethread.registry import RunTable
from agatethread.wire.registry_pb2 import RUN_END_REPLACED
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S, report

#: Longer than the holder of an address keeps it without a report.
LONG_S = 1.6 * INTERVAL_S
PEER = address(90)


def send_state(source, target):
    """Send the full state of a control instance to another."""
    for _, run in source.changes_after(0, with_reports=True):
        target.apply_peer_run(run, PEER)


class TestRunsWithStartTimes(unittest.TestCase):
    def test_later_start_at_the_address_is_no_assumption(self):
        """Two runs can't share an address, so the earlier one has ended."""
        table = RunTable(INTERVAL_S, Clock())
        table.report(report(number=1, sequence=5, started_ms=1_000))
        table.report(report(number=2, started_ms=2_000))
        self.assertEqual(table.get("i-1").end, RUN_END_REPLACED)
        table.report(report(number=1, sequence=6, started_ms=1_000))
        self.assertTrue(table.get("i-1").ended)


class TestRunsWithoutStartTimes(unittest.TestCase):
    """Two runs that reported from one address, in an order that nothing tells.

    Run i-1 came first and has ended; i-2 is live at the address.
    """

    def setUp(self):
        self.clock = Clock()
        self.table = RunTable(INTERVAL_S, self.clock)
        self.peer = RunTable(INTERVAL_S, self.clock)

    def tell(self):
        """Send the full state of the peer to the table."""
        send_state(self.peer, self.table)

    def is_ended(self, number):
        return self.table.get(f"i-{number}").ended

    def test_older_memory_of_a_peer_does_not_end_a_live_run(self):
        """Both instances restart, one with a file from before the address changed."""
        old, new = (RunTable(INTERVAL_S, self.clock) for _ in range(2))
        old.report(report(number=1))
        new.report(report(number=2, sequence=7))
        self.peer.restore(old.snapshot())
        self.table.restore(new.snapshot())
        self.clock.value_s += LONG_S
        self.tell()
        self.assertFalse(self.is_ended(2))
        self.table.report(report(number=2, sequence=8))
        self.assertFalse(self.is_ended(2))

    def test_older_report_of_a_peer_does_not_end_a_live_run(self):
        """An instance that was cut off tells of the run that it heard last."""
        self.peer.report(report(number=1))
        self.clock.value_s += INTERVAL_S
        self.table.report(report(number=2))
        self.clock.value_s += LONG_S
        self.tell()
        self.assertFalse(self.is_ended(2))

    def test_older_report_gets_no_newer_on_its_way(self):
        """A third instance passes it on as old as it is."""
        third = RunTable(INTERVAL_S, self.clock)
        self.peer.report(report(number=1))
        self.clock.value_s += INTERVAL_S
        self.table.report(report(number=2))
        self.clock.value_s += LONG_S
        send_state(self.peer, third)
        self.assertFalse(third.get("i-1").ended)
        send_state(third, self.table)
        self.assertFalse(self.is_ended(2))

    def test_newer_report_of_a_peer_takes_the_address(self):
        """The holder was last heard of before the other run, and is gone."""
        self.table.report(report(number=1))
        self.clock.value_s += LONG_S
        self.peer.report(report(number=2))
        self.tell()
        self.assertTrue(self.is_ended(1))
        self.assertFalse(self.is_ended(2))

    def test_run_that_reports_after_its_address_was_taken_is_live_again(self):
        """A late report of the former run arrived while reports were lost."""
        self.table.report(report(number=2, sequence=5))
        self.clock.value_s += LONG_S
        self.table.report(report(number=1, sequence=40))
        self.assertTrue(self.is_ended(2))
        for sequence in range(6, 10):
            self.clock.value_s += INTERVAL_S
            self.table.report(report(number=2, sequence=sequence))
        self.assertFalse(self.is_ended(2))
        self.assertTrue(self.is_ended(1))

    def test_reported_end_after_an_assumed_one_is_final(self):
        """A late report does not bring back a run that has ended after all."""
        self.table.report(report(number=1, sequence=5, draining=True))
        self.clock.value_s += LONG_S
        self.table.report(report(number=2))
        self.table.end_run("i-1")
        self.clock.value_s += LONG_S
        self.table.report(report(number=1, sequence=6))
        self.assertTrue(self.is_ended(1))
        self.assertFalse(self.is_ended(2))

    def test_run_that_reported_its_end_stays_ended(self):
        """Only an end that was concluded from the address is taken back."""
        self.table.report(report(number=2, sequence=5, draining=True))
        self.table.end_run("i-2")
        self.clock.value_s += LONG_S
        self.table.report(report(number=2, sequence=6))
        self.assertTrue(self.is_ended(2))
