import tempfile
import unittest
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agatethread.registry import (
    Hints,
    KnownEntry,
    Report,
    RunTable,
    load_hints,
    save_hints,
)
from agatethread.registry._entries import last_index
from tests.fakes import Clock, address

INTERVAL_S = 1.2


def report(number=1, sequence=1, place=1, **fields):
    """Report of run number N at address number `place`."""
    values = {
        "id": f"i-{number:x}",
        "number": number,
        "service": "tab",
        "address": address(place),
        "failure_domain": "a",
        "slots": 2,
        "sequence": sequence,
    }
    return Report(**(values | fields))


class TestRunTable(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.table = RunTable(INTERVAL_S, self.clock)

    def run_of(self, number=1):
        return self.table.find(f"i-{number:x}")

    def pass_time(self, seconds):
        """Let time pass as a process that runs all the while sees it."""
        for _ in range(int(seconds * 5)):
            self.clock.value_s += 0.2
            self.table.sweep()

    def test_late_report_changes_nothing(self):
        """A report that was overtaken by a later one of its run is ignored."""
        self.table.report(report(sequence=5, draining=True))
        self.assertFalse(self.table.report(report(sequence=4)))
        self.assertTrue(self.run_of().draining)

    def test_run_that_turns_cold_is_told(self):
        """It may while it lives; that it goes on warming up is no news."""
        self.table.report(report(sequence=1))
        before = self.table.changed_index
        self.assertTrue(self.table.report(report(sequence=2, warm_up_s=2.0)))
        self.assertGreater(self.table.changed_index, before)
        self.assertFalse(self.table.report(report(sequence=3, warm_up_s=0.8)))
        self.assertFalse(self.table.report(report(sequence=4)))

    def test_draining_is_never_taken_back(self):
        """A run that once asked for no more work stays so."""
        self.table.report(report(sequence=1, draining=True))
        self.table.report(report(sequence=2, draining=False))
        self.assertTrue(self.run_of().draining)

    def test_ended_run_stays_ended(self):
        """No report revives a run that said that it had ended."""
        self.table.report(report(sequence=1))
        self.assertTrue(self.table.leave("i-1"))
        self.assertFalse(self.table.report(report(sequence=9)))
        self.assertTrue(self.run_of().ended)

    def test_end_of_unknown_run_is_remembered(self):
        """A run whose end is heard of first is not taken for a new one."""
        self.table.leave("i-1")
        self.assertFalse(self.table.report(report(sequence=3)))
        self.assertTrue(self.run_of().ended)

    def test_delayed_report_does_not_displace_the_holder(self):
        """A report of a crashed run that comes late does not take the address."""
        self.table.report(report(number=2, sequence=7))
        self.clock.value_s += 0.5
        self.assertFalse(self.table.report(report(number=1, sequence=40)))
        self.assertIsNone(self.run_of(1))
        self.assertFalse(self.run_of(2).ended)

    def test_successor_takes_the_address_of_a_silent_run(self):
        """A run that no longer reports gives way to a new one at its address."""
        self.table.report(report(number=1, sequence=7))
        self.pass_time(2.0)
        self.assertTrue(self.table.report(report(number=2, sequence=1)))
        self.assertTrue(self.run_of(1).ended)
        self.assertFalse(self.run_of(2).ended)

    def test_silent_run_gets_no_work_and_may_come_back(self):
        """A run without reports is marked, and unmarked by its next report."""
        self.table.report(report(sequence=1))
        self.pass_time(5.0)
        self.assertTrue(self.run_of().silent)
        self.assertTrue(self.table.report(report(sequence=2)))
        self.assertFalse(self.run_of().silent)

    def test_pause_of_this_process_blames_nobody(self):
        """After standing still it gives every run the time to report again."""
        self.table.report(report(sequence=1))
        self.clock.value_s += 30.0
        self.table.sweep()
        self.assertFalse(self.run_of().silent)

    def test_silence_elsewhere_is_not_taken_over(self):
        """That another control instance hears nothing of a run says nothing here."""
        self.table.report(report(sequence=1))
        other = self.table.snapshot()[0]
        other.sequence, other.silent = 9, True
        self.assertFalse(self.table.take(other))
        self.assertFalse(self.run_of().silent)

    def test_changes_are_listed_after_an_index(self):
        """A receiver gets what changed since; control instances reports, too."""
        self.table.report(report(number=1, place=1))
        seen = self.table.index
        self.table.report(report(number=2, place=2))
        self.table.report(report(number=1, place=1, sequence=2))
        changes = [run.id for _, run in self.table.changes_after(seen, False)]
        reports = [run.id for _, run in self.table.changes_after(seen, True)]
        self.assertEqual(changes, ["i-2"])
        self.assertEqual(reports, ["i-2", "i-1"])

    def test_knowledge_survives_a_restart(self):
        """What was saved is known after a restart, also what has ended."""
        self.table.report(report(number=1, place=1, draining=True))
        self.table.report(report(number=2, place=2))
        self.table.leave("i-2")
        with tempfile.TemporaryDirectory() as folder:
            save_hints(folder, self.table.snapshot())
            fresh = RunTable(INTERVAL_S, self.clock)
            fresh.remember(load_hints(folder).runs)
        self.assertTrue(fresh.find("i-1").draining)
        self.assertFalse(fresh.report(report(number=2, place=2, sequence=9)))

    def test_entry_instances_survive_a_restart(self):
        """Who was told of the runs is kept beside them."""
        with tempfile.TemporaryDirectory() as folder:
            entries = (KnownEntry(address(7), "a"), KnownEntry(address(8), "b"))
            save_hints(folder, [], entries)
            self.assertEqual(load_hints(folder).entries, entries)

    def test_torn_file_is_passed_over(self):
        """A file that is not whole is no reason not to start."""
        with tempfile.TemporaryDirectory() as folder:
            save_hints(folder, [])
            path = Path(folder) / "registry"
            for data in (b"", b"abc", b"\x00" * 40):
                path.write_bytes(data)
                self.assertEqual(load_hints(folder), Hints())


class RunMachine(RuleBasedStateMachine):
    """Reports in any order, directly and through another table; the oracle is a set."""

    numbers = st.integers(1, 4)

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.tables = [RunTable(INTERVAL_S, self.clock) for _ in range(2)]
        self.draining = [set(), set()]
        self.ended = [set(), set()]

    @rule(at=st.integers(0, 1), number=numbers, sequence=st.integers(1, 9))
    def report(self, at, number, sequence):
        self.tables[at].report(report(number, sequence, place=number))

    @rule(at=st.integers(0, 1), number=numbers, sequence=st.integers(1, 9))
    def drain(self, at, number, sequence):
        self.tables[at].report(report(number, sequence, number, draining=True))
        run = self.tables[at].find(f"i-{number:x}")
        if run is not None and run.draining:
            self.draining[at].add(run.id)

    @rule(at=st.integers(0, 1), number=numbers)
    def leave(self, at, number):
        self.tables[at].leave(f"i-{number:x}")
        self.ended[at].add(f"i-{number:x}")

    @rule(source=st.integers(0, 1))
    def exchange(self, source):
        for run in self.tables[source].snapshot():
            self.tables[1 - source].take(run)
        self.ended[1 - source] |= self.ended[source]

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.clock.value_s += seconds
        for table in self.tables:
            table.sweep()

    @invariant()
    def states_only_go_forward(self):
        for table, draining, ended in zip(
            self.tables, self.draining, self.ended, strict=True
        ):
            assert all(table.find(one).draining for one in draining)
            assert all(table.find(one).ended for one in ended)

    @invariant()
    def changes_are_those_that_a_walk_over_all_runs_finds(self):
        for table in self.tables:
            entries = list(table._entries)
            for with_reports in (False, True):
                last = {one.run.id: last_index(one, with_reports) for one in entries}
                for after in range(table.index + 1):
                    newer = [(index, run) for run, index in last.items()]
                    expected = sorted(pair for pair in newer if pair[0] > after)
                    found = table.changes_after(after, with_reports)
                    assert [(index, run.id) for index, run in found] == expected


TestRunMachine = RunMachine.TestCase
TestRunMachine.settings = settings(max_examples=60, stateful_step_count=25)
