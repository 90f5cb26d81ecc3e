import tempfile
import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from agatethread.exceptions import ReportRefusedError
from agatethread.registry import RunTable, load_hints, save_hints
from agatethread.registry._run_index import RunIndex
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import Clock
from tests.registry.test_runs import INTERVAL_S, report


class TestRestarts(unittest.TestCase):
    """A backend server that restarts under its id."""

    def setUp(self):
        self.clock = Clock()
        self.table = RunTable(INTERVAL_S, self.clock)

    def run_state(self):
        """Return start time, sequence and states of run i-1."""
        run = self.table.get("i-1")
        return run.started_ms, run.sequence, run.draining, run.ended

    def test_accepts_later_start_at_once(self):
        """A lower sequence is accepted with a later start."""
        self.table.report(report(sequence=50, started_ms=1_000, draining=True))
        self.clock.value_s += 0.01
        self.assertTrue(self.table.report(report(sequence=1, started_ms=2_000)))
        self.assertEqual(self.run_state(), (2_000, 1, False, False))

    def test_ignores_report_of_earlier_start(self):
        """A report of an earlier start is stale, however high its sequence."""
        self.table.report(report(sequence=1, started_ms=2_000))
        late = report(sequence=99, started_ms=1_000, draining=True)
        self.assertFalse(self.table.report(late))
        self.assertEqual(self.run_state(), (2_000, 1, False, False))

    def test_accepts_start_after_end(self):
        """An id whose run has ended may start again."""
        self.table.report(report(sequence=5, started_ms=1_000, draining=True))
        self.table.end_run("i-1")
        self.assertTrue(self.table.report(report(sequence=1, started_ms=2_000)))
        self.assertEqual(self.run_state(), (2_000, 1, False, False))

    def test_ignores_end_of_earlier_start(self):
        """The end of an earlier start, with or without its time, ends no later run."""
        self.table.report(report(sequence=1, started_ms=2_000))
        self.assertFalse(self.table.end_run("i-1", 1_000))
        with self.assertRaises(ReportRefusedError):
            self.table.end_run("i-1")
        self.assertEqual(self.run_state(), (2_000, 1, False, False))

    def test_accepts_repeated_end(self):
        """An end whose acknowledgement was lost may be sent again."""
        self.table.report(report(sequence=1, started_ms=2_000, draining=True))
        self.assertTrue(self.table.end_run("i-1"))
        self.assertFalse(self.table.end_run("i-1"))
        self.assertFalse(self.table.end_run("i-1", 2_000))

    def test_accepts_later_start_at_another_address(self):
        """The earlier address is free, and late reports from it are ignored."""
        self.table.report(report(sequence=5, started_ms=1_000, place=1))
        self.table.report(report(sequence=1, started_ms=2_000, place=2))
        self.assertTrue(self.table.report(report(number=2, place=1, started_ms=1_500)))
        self.table.report(report(sequence=6, started_ms=1_000, place=1))
        self.assertFalse(self.table.get("i-2").ended)
        self.assertEqual(self.run_state(), (2_000, 1, False, False))

    def test_later_start_of_other_id_replaces_address_holder_at_once(self):
        """A late report of the crashed run does not displace its successor."""
        self.table.report(report(number=1, sequence=18, started_ms=1_000))
        self.clock.value_s += 0.01
        self.assertTrue(self.table.report(report(number=2, started_ms=2_000)))
        self.assertFalse(
            self.table.report(report(number=1, sequence=19, started_ms=1_000))
        )
        self.assertFalse(self.table.get("i-2").ended)
        self.assertTrue(self.table.get("i-1").ended)

    def test_accepts_silent_later_start_from_another_instance(self):
        """A later start replaces the earlier one even if it is silent."""
        self.table.report(report(sequence=50, started_ms=1_000))
        other = RunTable(INTERVAL_S, self.clock)
        other.report(report(sequence=1, started_ms=2_000))
        silent_run = other.snapshot()[0]
        silent_run.silent = True
        self.assertTrue(self.table.apply_peer_run(silent_run))
        self.assertTrue(self.table.get("i-1").silent)
        self.assertEqual(self.run_state(), (2_000, 1, False, False))

    def test_end_from_another_instance_keeps_draining_state(self):
        """A run that drained before its end is drained at every instance."""
        other = RunTable(INTERVAL_S, self.clock)
        self.table.report(report(sequence=1, started_ms=1_000))
        other.report(report(sequence=2, started_ms=1_000, draining=True))
        other.end_run("i-1")
        self.assertTrue(self.table.apply_peer_run(other.snapshot()[0]))
        self.assertEqual(self.run_state(), (1_000, 1, True, True))

    def test_start_times_survive_restart_of_control_instance(self):
        """The newest start of each id is stored in the hints on disk."""
        self.table.report(report(sequence=1, started_ms=2_000))
        with tempfile.TemporaryDirectory() as folder:
            save_hints(folder, self.table.snapshot())
            self.table = RunTable(INTERVAL_S, self.clock)
            self.table.restore(load_hints(folder).runs)
        self.table.report(report(sequence=99, started_ms=1_000, draining=True))
        self.assertEqual(self.run_state(), (2_000, 1, False, False))


class TestContradictingReports(unittest.TestCase):
    """Well-formed reports that contradict known runs or settings."""

    def setUp(self):
        self.table = RunTable(INTERVAL_S, Clock())
        self.table.services = frozenset({"tab"})
        self.table.report(report(sequence=5, started_ms=1_000))

    def test_rejects_reports_that_contradict_known_runs(self):
        """A known run is unchanged by reports of another sender under its id."""
        before = self.table.snapshot()
        foreign = (
            {"sequence": 9, "service": "nonsense", "started_ms": 1_000},
            {"sequence": 9, "service": "nonsense", "started_ms": 9_000},
            {"sequence": 9, "place": 7, "started_ms": 1_000},
            {"sequence": 9, "draining": True},
            {"id": "x-1", "started_ms": 9_000},
            {"id": "i-9", "number": 9, "service": "nonsense", "started_ms": 9_000},
        )
        for fields in foreign:
            with self.subTest(fields=fields):
                with self.assertRaises(ReportRefusedError):
                    self.table.report(report(**fields))
                self.assertEqual(self.table.snapshot(), before)

    def test_rejects_missing_start_time_while_others_have_one(self):
        """A run without a start time is rejected while most live runs have one."""
        without_start = {"number": 9, "place": 9}
        with self.assertRaises(ReportRefusedError):
            self.table.report(report(**without_start))
        self.table.report(report(sequence=6, started_ms=1_000, draining=True))
        self.table.end_run("i-1")
        self.assertTrue(self.table.report(report(**without_start)))
        self.assertTrue(self.table.report(report(number=8, place=8)))

    def test_rejects_known_run_without_start_time_once_most_have_one(self):
        """A run without a start time turns silent, although it reported first."""
        clock = Clock()
        table = RunTable(INTERVAL_S, clock)
        without_start = {"number": 9, "place": 9}
        self.assertTrue(table.report(report(**without_start)))
        for number in (1, 2):
            table.report(report(number, place=number, started_ms=1_000))
        table.sweep()
        with self.assertRaises(ReportRefusedError):
            table.report(report(sequence=2, draining=True, **without_start))
        self.assertEqual(table.get("i-9").sequence, 1)
        for sequence in range(2, 30):
            clock.value_s += 0.2
            for number in (1, 2):
                fields = {"place": number, "started_ms": 1_000}
                table.report(report(number, sequence, **fields))
            table.sweep()
        silent = [run.id for run in table.snapshot() if run.silent]
        self.assertEqual(silent, ["i-9"])

    @given(st.lists(st.tuples(st.booleans(), st.sampled_from(("", "silent", "ended")))))
    def test_most_have_start_counts_live_runs_only(self, kinds):
        """The result equals a plain count of live runs."""
        index = RunIndex()
        for number, (has_start, state) in enumerate(kinds, 1):
            run = BackendRun(id=f"i-{number:x}", started_ms=1_000 * has_start)
            if state:
                setattr(run, state, True)
            index.add(run)
        live = [has_start for has_start, state in kinds if not state]
        self.assertEqual(index.most_have_start(), sum(live) * 2 > len(live))

    def test_one_start_time_does_not_reject_runs_without(self):
        """Runs without a start time are accepted while most have none."""
        table = RunTable(INTERVAL_S, Clock())
        for number in (1, 2):
            table.report(report(number, place=number))
        self.assertTrue(table.report(report(3, place=3, started_ms=1_000)))
        table.sweep()
        self.assertFalse(table.report(report(1, sequence=2, place=1)))
        self.assertEqual(table.get("i-1").sequence, 2)
        self.assertTrue(table.report(report(4, place=4)))

    def test_accepts_any_service_before_first_table(self):
        """Without a routing table, the configured services are unknown."""
        table = RunTable(INTERVAL_S, Clock())
        self.assertTrue(table.report(report(service="early")))


@dataclass
class Server:
    """Actual state of the newest start of an id."""

    started_ms: int = 1_000
    sequence: int = 0
    draining: bool = False


class RestartMachine(RuleBasedStateMachine):
    """Two control instances receive restarts in any order; the oracle is a maximum.

    Each message may be delivered late and repeatedly, to either instance. The state of
    an id in a table follows from the newest start that the table received.
    """

    tables = st.integers(0, 1)
    numbers = st.integers(1, 3)

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.tables = [RunTable(INTERVAL_S, self.clock) for _ in range(2)]
        self.servers = {number: Server() for number in range(1, 4)}
        self.sent_reports = []
        #: Newest start of each id that each table received.
        self.newest = [{}, {}]
        #: Starts that each table received as draining.
        self.draining_starts = [set(), set()]
        #: Starts that each table sent to the other in full, by id.
        self.sent_starts = [{}, {}]

    @initialize()
    def start(self):
        for number in self.servers:
            self.send_report(number)

    def send_report(self, number):
        server = self.servers[number]
        server.sequence += 1
        self.sent_reports.append(
            report(
                number,
                server.sequence,
                place=number,
                started_ms=server.started_ms,
                draining=server.draining,
            )
        )

    @rule(number=numbers)
    def report_again(self, number):
        self.send_report(number)

    @rule(number=numbers)
    def drain(self, number):
        self.servers[number].draining = True
        self.send_report(number)

    @rule(number=numbers, later_ms=st.integers(1, 5_000))
    def restart(self, number, later_ms):
        previous = self.servers[number]
        self.servers[number] = Server(previous.started_ms + later_ms)
        self.send_report(number)

    @rule(at=tables, data=st.data())
    def deliver(self, at, data):
        sent = data.draw(st.sampled_from(self.sent_reports))
        self.tables[at].report(sent)
        self.record_start(at, sent.id, sent.started_ms, sent.draining)

    def record_start(self, at, run_id, started_ms, draining):
        newest_ms = self.newest[at].get(run_id, 0)
        self.newest[at][run_id] = max(newest_ms, started_ms)
        if draining:
            self.draining_starts[at].add((run_id, started_ms))

    @rule(source=tables)
    def exchange(self, source):
        for run in self.tables[source].snapshot():
            self.tables[1 - source].apply_peer_run(run)
            self.sent_starts[source][run.id] = run.started_ms
            if not run.silent:
                self.record_start(1 - source, run.id, run.started_ms, run.draining)
            # A silent state of an unknown id is ignored.
            elif run.started_ms > self.newest[1 - source].get(run.id, 2**60):
                self.record_start(1 - source, run.id, run.started_ms, run.draining)

    @rule(source=tables)
    def exchange_numbers(self, source):
        """Numbered reports continue full ones; the sequence never decreases."""
        starts, other = self.sent_starts[source], self.tables[1 - source]
        for run in self.tables[source].snapshot():
            if run.ended or run.silent or starts.get(run.id) != run.started_ms:
                continue
            before = other.get(run.id)
            previous = (before.started_ms, before.sequence) if before else None
            other.apply_numbered_report(run.number, run.sequence, starts)
            if previous is not None:
                after = other.get(run.id)
                assert (after.started_ms, after.sequence) >= previous
                assert after.started_ms == previous[0]

    @rule(at=tables, number=numbers)
    def late_end(self, at, number):
        """Send an end without a start time."""
        try:
            self.tables[at].end_run(f"i-{number:x}")
        except ReportRefusedError:
            return
        # Accepted: the run was draining here, or unknown.
        run = self.tables[at].get(f"i-{number:x}")
        assert run.draining or not run.started_ms

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.clock.value_s += seconds
        for table in self.tables:
            table.sweep()

    @invariant()
    def newest_start_is_stored(self):
        for table, newest in zip(self.tables, self.newest, strict=True):
            for run_id, started_ms in newest.items():
                assert table.get(run_id).started_ms == started_ms

    @invariant()
    def states_belong_to_the_start(self):
        for table, draining_starts in zip(
            self.tables, self.draining_starts, strict=True
        ):
            for run in table.snapshot():
                if run.draining:
                    assert (run.id, run.started_ms) in draining_starts
                if run.ended and run.started_ms:
                    assert run.draining, "run has ended without draining"


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(max_examples=60, stateful_step_count=30)
