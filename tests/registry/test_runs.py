import tempfile
import unittest
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from logbook import TestHandler

from agatethread.observability import Event
from agatethread.registry import (
    Hints,
    KnownEntry,
    Report,
    RunTable,
    load_hints,
    save_hints,
)
from agatethread.registry._run_index import last_index
from agatethread.wire.registry_pb2 import RUN_END_REPORTED, BackendRun
from tests.fakes import Clock, address

INTERVAL_S = 1.2


def report(number=1, sequence=1, place=1, **fields):
    """Return a report of a numbered run at address number `place`."""
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

    def get_run(self, number=1):
        return self.table.get(f"i-{number:x}")

    def advance(self, seconds):
        """Advance the clock with regular sweeps."""
        for _ in range(int(seconds * 5)):
            self.clock.value_s += 0.2
            self.table.sweep()

    def test_ignores_report_with_older_sequence(self):
        """A late report does not change the run."""
        self.table.report(report(sequence=5, draining=True))
        self.assertFalse(self.table.report(report(sequence=4)))
        self.assertTrue(self.get_run().draining)

    def test_longer_warm_up_is_a_change(self):
        """A run may turn cold again; a shrinking warm-up time is no change."""
        self.table.report(report(sequence=1))
        before = self.table.changed_index
        self.assertTrue(self.table.report(report(sequence=2, warm_up_s=2.0)))
        self.assertGreater(self.table.changed_index, before)
        self.assertFalse(self.table.report(report(sequence=3, warm_up_s=0.8)))
        self.assertFalse(self.table.report(report(sequence=4)))

    def test_draining_is_never_reverted(self):
        """A draining run stays draining."""
        self.table.report(report(sequence=1, draining=True))
        self.table.report(report(sequence=2, draining=False))
        self.assertTrue(self.get_run().draining)

    def test_ended_run_stays_ended(self):
        """A later report does not revive an ended run."""
        self.table.report(report(sequence=1))
        self.assertTrue(self.table.end_run("i-1"))
        self.assertFalse(self.table.report(report(sequence=9)))
        self.assertTrue(self.get_run().ended)

    def test_repeated_end_is_logged_as_its_run_still_lives(self):
        """An end that another control instance tells of again shows nothing."""
        self.table.report(report())
        self.table.end_run("i-1")
        told = BackendRun(id="i-1", ended=True, end=RUN_END_REPORTED)
        with TestHandler() as handler:
            self.table.apply_peer_run(told, address(9))
            self.assertEqual(handler.records, [])
            self.clock.value_s += 2.0
            self.table.end_run("i-1")
        (line,) = handler.records
        self.assertEqual(line.message, Event.END_REPEATED)
        self.assertEqual(line.kwargs["ended_ago_s"], 2.0)

    def test_stores_end_of_unknown_run(self):
        """A report after the end does not start a new run."""
        self.table.end_run("i-1")
        self.assertFalse(self.table.report(report(sequence=3)))
        self.assertTrue(self.get_run().ended)

    def test_late_report_does_not_displace_address_holder(self):
        """A late report of a crashed run does not take over the address."""
        self.table.report(report(number=2, sequence=7))
        self.clock.value_s += 0.5
        self.assertFalse(self.table.report(report(number=1, sequence=40)))
        self.assertIsNone(self.get_run(1))
        self.assertFalse(self.get_run(2).ended)

    def test_new_run_takes_over_address_without_recent_report(self):
        """A run without recent reports ends when another one uses its address."""
        self.table.report(report(number=1, sequence=7))
        self.advance(2.0)
        self.assertTrue(self.table.report(report(number=2, sequence=1)))
        self.assertTrue(self.get_run(1).ended)
        self.assertFalse(self.get_run(2).ended)

    def test_run_is_silent_until_next_report(self):
        """A run without reports is marked as silent until its next report."""
        self.table.report(report(sequence=1))
        self.advance(5.0)
        self.assertTrue(self.get_run().silent)
        self.assertTrue(self.table.report(report(sequence=2)))
        self.assertFalse(self.get_run().silent)

    def test_suspension_of_process_marks_no_run_silent(self):
        """After a suspension, each run has the full time to report again."""
        self.table.report(report(sequence=1))
        self.clock.value_s += 30.0
        self.table.sweep()
        self.assertFalse(self.get_run().silent)

    def test_ignores_silence_at_another_instance(self):
        """A run that reports here is not silent."""
        self.table.report(report(sequence=1))
        other = self.table.snapshot()[0]
        other.sequence, other.silent = 9, True
        self.assertFalse(self.table.apply_peer_run(other))
        self.assertFalse(self.get_run().silent)

    def test_returns_changes_after_index(self):
        """Reports without a change are included on request."""
        self.table.report(report(number=1, place=1))
        seen = self.table.index
        self.table.report(report(number=2, place=2))
        self.table.report(report(number=1, place=1, sequence=2))
        changes = [run.id for _, run in self.table.changes_after(seen, False)]
        reports = [run.id for _, run in self.table.changes_after(seen, True)]
        self.assertEqual(changes, ["i-2"])
        self.assertEqual(reports, ["i-2", "i-1"])

    def test_runs_survive_restart(self):
        """Saved runs are restored after a restart, including ended ones."""
        self.table.report(report(number=1, place=1, draining=True))
        self.table.report(report(number=2, place=2))
        self.table.end_run("i-2")
        with tempfile.TemporaryDirectory() as folder:
            save_hints(folder, self.table.snapshot())
            restored = RunTable(INTERVAL_S, self.clock)
            restored.restore(load_hints(folder).runs)
        self.assertTrue(restored.get("i-1").draining)
        self.assertFalse(restored.report(report(number=2, place=2, sequence=9)))

    def test_entry_instances_survive_restart(self):
        """Known entry instances are saved with the runs."""
        with tempfile.TemporaryDirectory() as folder:
            entries = (KnownEntry(address(7), "a"), KnownEntry(address(8), "b"))
            save_hints(folder, [], entries)
            self.assertEqual(load_hints(folder).entries, entries)

    def test_ignores_damaged_hints_file(self):
        """A damaged file does not prevent a start."""
        with tempfile.TemporaryDirectory() as folder:
            save_hints(folder, [])
            path = Path(folder) / "registry"
            for data in (b"", b"abc", b"\x00" * 40):
                path.write_bytes(data)
                self.assertEqual(load_hints(folder), Hints())


class RunMachine(RuleBasedStateMachine):
    """Reports in any order, direct or through another table; the oracle is a set."""

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
        run = self.tables[at].get(f"i-{number:x}")
        if run is not None and run.draining:
            self.draining[at].add(run.id)

    @rule(at=st.integers(0, 1), number=numbers)
    def leave(self, at, number):
        self.tables[at].end_run(f"i-{number:x}")
        self.ended[at].add(f"i-{number:x}")

    @rule(source=st.integers(0, 1))
    def exchange(self, source):
        for run in self.tables[source].snapshot():
            self.tables[1 - source].apply_peer_run(run)
        self.ended[1 - source] |= self.ended[source]

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.clock.value_s += seconds
        for table in self.tables:
            table.sweep()

    @invariant()
    def states_only_advance(self):
        for table, draining, ended in zip(
            self.tables, self.draining, self.ended, strict=True
        ):
            assert all(table.get(run_id).draining for run_id in draining)
            assert all(table.get(run_id).ended for run_id in ended)

    @invariant()
    def changes_equal_those_of_a_full_scan(self):
        for table in self.tables:
            records = list(table._records)
            for with_reports in (False, True):
                last = {
                    record.run.id: last_index(record, with_reports)
                    for record in records
                }
                for after in range(table.index + 1):
                    pairs = [(index, run) for run, index in last.items()]
                    expected = sorted(pair for pair in pairs if pair[0] > after)
                    found = table.changes_after(after, with_reports)
                    assert [(index, run.id) for index, run in found] == expected


TestRunMachine = RunMachine.TestCase
TestRunMachine.settings = settings(max_examples=60, stateful_step_count=25)
