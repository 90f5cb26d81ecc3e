import unittest
from unittest import mock

from agatethread.registry import RunTable
from agatethread.registry._entries import is_told_by_number
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S, report
from tests.registry.worlds import World

#: One that is told whole on no account of its sequence has none that 8 divides.
START = {"started_ms": 1_000}


class TestNumbers(unittest.TestCase):
    """Reports that change nothing, told between control instances by number."""

    def setUp(self):
        self.world = World(("a", "b"))
        self.world.step(10)

    def report(self, sequence, step_count=1, at=0, **fields):
        """Let run i-1 report, and time pass."""
        self.world.table(at).report(report(sequence=sequence, **(START | fields)))
        self.world.step(step_count)

    def known(self, at=1):
        return self.world.table(at).find("i-1")

    def test_report_takes_a_tenth(self):
        """Of 60 runs that go on reporting little is told."""
        sent = []
        for sequence in (1, 2, 3, 4):
            before = self.world.sent_bytes
            for number in range(1, 61):
                one = report(number, sequence, place=number, **START)
                self.world.table(0).report(one)
            self.world.step()
            sent.append(self.world.sent_bytes - before)
        self.assertLess(sent[3], sent[0] / 5)
        self.assertEqual(self.known().sequence, 4)

    def test_run_is_held_for_alive_as_long_as_it_reports(self):
        """Another control instance hears of it only by its number for a minute."""
        for sequence in range(1, 60):
            self.report(sequence, 10)
            self.assertFalse(self.known().silent)
        self.world.step(50)
        self.assertTrue(self.known().silent)

    def test_run_that_was_silent_here_is_so_no_more(self):
        """A report told by number ends a silence, and entry instances are told."""
        self.report(1)
        self.world.cut_pairs = {frozenset((address(0), address(1)))}
        for sequence in range(2, 7):
            self.report(sequence, 10)
        self.assertTrue(self.known().silent)
        self.world.cut_pairs = set()
        self.report(7, 10)
        self.assertFalse(self.known().silent)
        self.assertTrue(self.world.entry.is_reporting("i-1", 1_000))

    def test_number_of_an_earlier_start_says_nothing_of_a_later(self):
        """One that goes on hearing the earlier start does not refresh the later."""
        self.report(1)
        self.world.cut_pairs = {frozenset((address(0), address(1)))}
        self.report(2, at=1, started_ms=2_000)
        self.report(50)
        told = {"i-1": 1_000}
        heard_s = self.world.table(1)._entries.find("i-1").heard_s
        self.world.clock.value_s += 1.0
        self.assertFalse(self.world.table(1).take_number(1, 50, told))
        entry = self.world.table(1)._entries.find("i-1")
        self.assertEqual((entry.heard_s, entry.run.sequence), (heard_s, 2))

    def test_older_number_changes_nothing(self):
        """A report that was overtaken is not heard again."""
        self.report(9)
        entry = self.world.table(1)._entries.find("i-1")
        heard_s = entry.heard_s
        self.world.clock.value_s += 1.0
        self.world.table(1).take_number(1, 9, {"i-1": 1_000})
        self.assertEqual(entry.heard_s, heard_s)

    def test_details_are_told_whole(self):
        """What a server bears, and how long it is slow, is not lost."""
        self.report(1, slots=2, warm_up_s=2.0)
        self.report(2, slots=2, warm_up_s=0.8)
        self.assertEqual(self.known().warm_up_ms, 800)
        self.report(3, slots=5, warm_up_s=0.8)
        self.assertEqual(self.known().slots, 5)

    def test_one_that_could_not_take_a_run_is_told_it_whole_again(self):
        """Each eighth report is whole, so a refusal that was due to time passes."""
        table = RunTable(INTERVAL_S, Clock())
        table.report(report(sequence=1, **START))
        entry = table._entries.find("i-1")
        whole = []
        for sequence in range(2, 26):
            after = table.index
            table.report(report(sequence=sequence, **START))
            if not is_told_by_number(entry, after):
                whole.append(sequence)
        self.assertEqual(whole, [8, 16, 24])

    def test_one_that_does_not_read_numbers_is_told_whole(self):
        """A control instance of an earlier version is told as before."""
        self.report(1)
        subscriber = self.world.hub(0)._subscribers[address(1)]
        after = subscriber.seen_index
        self.world.table(0).report(report(sequence=2, **START))
        for by_number in (False, True):
            (one,) = self.world.hub(0)._deltas.write_after(after, True, by_number)
            self.assertEqual(len(one.delta.runs), not by_number)
            self.assertEqual(len(one.delta.reporting), by_number)

    def test_entry_instance_is_told_no_numbers(self):
        """What changes nothing for it is not sent."""
        self.report(1)
        with mock.patch.object(self.world.entry, "on_number") as taken:
            self.report(2, 8)
        taken.assert_not_called()
