import unittest
from unittest import mock

from agatethread.registry import RunTable
from agatethread.registry._run_index import is_number_sufficient
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S, report
from tests.registry.worlds import World

#: A report with a start time may be sent by run number.
START = {"started_ms": 1_000}


class TestNumberedReports(unittest.TestCase):
    """Unchanged reports sent between control instances by run number."""

    def setUp(self):
        self.world = World(("a", "b"))
        self.world.step(10)

    def report(self, sequence, step_count=1, at=0, **fields):
        """Report run i-1, and advance the world."""
        self.world.run_table(at).report(report(sequence=sequence, **(START | fields)))
        self.world.step(step_count)

    def run_at(self, at=1):
        return self.world.run_table(at).get("i-1")

    def test_numbered_report_saves_bytes(self):
        """Unchanged reports of many runs need a fraction of the bytes."""
        sent = []
        for sequence in (1, 2, 3, 4):
            before = self.world.sent_bytes
            for number in range(1, 61):
                run_report = report(number, sequence, place=number, **START)
                self.world.run_table(0).report(run_report)
            self.world.step()
            sent.append(self.world.sent_bytes - before)
        self.assertLess(sent[3], sent[0] / 5)
        self.assertEqual(self.run_at().sequence, 4)

    def test_numbered_reports_keep_run_alive(self):
        """A run is silent only once its numbered reports stop."""
        for sequence in range(1, 60):
            self.report(sequence, 10)
            self.assertFalse(self.run_at().silent)
        self.world.step(50)
        self.assertTrue(self.run_at().silent)

    def test_numbered_report_ends_silence(self):
        """The end of the silence is sent to entry instances, too."""
        self.report(1)
        self.world.cut_pairs = {frozenset((address(0), address(1)))}
        for sequence in range(2, 7):
            self.report(sequence, 10)
        self.assertTrue(self.run_at().silent)
        self.world.cut_pairs = set()
        self.report(7, 10)
        self.assertFalse(self.run_at().silent)
        self.assertTrue(self.world.entry.is_reporting("i-1", 1_000))

    def test_ignores_numbered_report_of_earlier_start(self):
        """A report of the earlier start does not refresh the later one."""
        self.report(1)
        self.world.cut_pairs = {frozenset((address(0), address(1)))}
        self.report(2, at=1, started_ms=2_000)
        self.report(50)
        starts = {"i-1": 1_000}
        last_report_s = self.world.run_table(1)._records.get("i-1").last_report_s
        self.world.clock.value_s += 1.0
        self.assertFalse(self.world.run_table(1).apply_numbered_report(1, 50, starts))
        record = self.world.run_table(1)._records.get("i-1")
        self.assertEqual(
            (record.last_report_s, record.run.sequence), (last_report_s, 2)
        )

    def test_ignores_numbered_report_with_older_sequence(self):
        """A duplicate report does not refresh the run."""
        self.report(9)
        record = self.world.run_table(1)._records.get("i-1")
        last_report_s = record.last_report_s
        self.world.clock.value_s += 1.0
        self.world.run_table(1).apply_numbered_report(1, 9, {"i-1": 1_000})
        self.assertEqual(record.last_report_s, last_report_s)

    def test_sends_changed_details_in_full(self):
        """Changes of slots and warm-up time reach other control instances."""
        self.report(1, slots=2, warm_up_s=2.0)
        self.report(2, slots=2, warm_up_s=0.8)
        self.assertEqual(self.run_at().warm_up_ms, 800)
        self.report(3, slots=5, warm_up_s=0.8)
        self.assertEqual(self.run_at().slots, 5)

    def test_sends_each_eighth_report_in_full(self):
        """A receiver that had to reject a run can accept it later."""
        table = RunTable(INTERVAL_S, Clock())
        table.report(report(sequence=1, **START))
        record = table._records.get("i-1")
        full = []
        for sequence in range(2, 26):
            after = table.index
            table.report(report(sequence=sequence, **START))
            if not is_number_sufficient(record, after):
                full.append(sequence)
        self.assertEqual(full, [8, 16, 24])

    def test_sends_full_report_to_receiver_without_number_support(self):
        """A control instance of an earlier version receives full reports."""
        self.report(1)
        subscriber = self.world.publisher(0)._subscribers[address(1)]
        after = subscriber.seen_index
        self.world.run_table(0).report(report(sequence=2, **START))
        for by_number in (False, True):
            (message,) = self.world.publisher(0)._deltas.make_messages_after(
                after, True, by_number
            )
            self.assertEqual(len(message.delta.runs), not by_number)
            self.assertEqual(len(message.delta.reporting), by_number)

    def test_sends_no_numbered_reports_to_entry_instance(self):
        """Unchanged reports are not sent to entry instances."""
        self.report(1)
        with mock.patch.object(self.world.entry, "on_numbered_report") as received:
            self.report(2, 8)
        received.assert_not_called()
