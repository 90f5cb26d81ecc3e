import tempfile
import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from agatethread.exceptions import ReportRefusedError
from agatethread.registry import RunTable, load_hints, save_hints
from agatethread.registry._entries import RunIndex
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import Clock
from tests.registry.test_runs import INTERVAL_S, report


class TestRestarts(unittest.TestCase):
    """A backend server that starts again under its id."""

    def setUp(self):
        self.clock = Clock()
        self.table = RunTable(INTERVAL_S, self.clock)

    def known(self):
        """Start time, sequence number and states of run i-1."""
        run = self.table.find("i-1")
        return run.started_ms, run.sequence, run.draining, run.ended

    def test_next_start_is_taken_at_once(self):
        """The first report of a new start counts, though its count starts anew."""
        self.table.report(report(sequence=50, started_ms=1_000, draining=True))
        self.clock.value_s += 0.01
        self.assertTrue(self.table.report(report(sequence=1, started_ms=2_000)))
        self.assertEqual(self.known(), (2_000, 1, False, False))

    def test_late_report_of_the_start_before_changes_nothing(self):
        """An older start is stale, however high its sequence number."""
        self.table.report(report(sequence=1, started_ms=2_000))
        late = report(sequence=99, started_ms=1_000, draining=True)
        self.assertFalse(self.table.report(late))
        self.assertEqual(self.known(), (2_000, 1, False, False))

    def test_start_after_an_end_is_taken(self):
        """An id whose run has ended may come back with a later start."""
        self.table.report(report(sequence=5, started_ms=1_000, draining=True))
        self.table.leave("i-1")
        self.assertTrue(self.table.report(report(sequence=1, started_ms=2_000)))
        self.assertEqual(self.known(), (2_000, 1, False, False))

    def test_late_end_of_the_start_before_ends_nothing(self):
        """The end of an earlier start, named or not, leaves the working run alone."""
        self.table.report(report(sequence=1, started_ms=2_000))
        self.assertFalse(self.table.leave("i-1", 1_000))
        with self.assertRaises(ReportRefusedError):
            self.table.leave("i-1")
        self.assertEqual(self.known(), (2_000, 1, False, False))

    def test_end_is_taken_again(self):
        """An end whose acknowledgement was lost is acknowledged once more."""
        self.table.report(report(sequence=1, started_ms=2_000, draining=True))
        self.assertTrue(self.table.leave("i-1"))
        self.assertFalse(self.table.leave("i-1"))
        self.assertFalse(self.table.leave("i-1", 2_000))

    def test_next_start_comes_at_another_address(self):
        """The old address is free for others, and late words of it are nothing."""
        self.table.report(report(sequence=5, started_ms=1_000, place=1))
        self.table.report(report(sequence=1, started_ms=2_000, place=2))
        self.assertTrue(self.table.report(report(number=2, place=1, started_ms=1_500)))
        self.table.report(report(sequence=6, started_ms=1_000, place=1))
        self.assertFalse(self.table.find("i-2").ended)
        self.assertEqual(self.known(), (2_000, 1, False, False))

    def test_other_id_that_started_later_takes_an_address_at_once(self):
        """A late report of the crashed run does not keep its successor out."""
        self.table.report(report(number=1, sequence=18, started_ms=1_000))
        self.clock.value_s += 0.01
        self.assertTrue(self.table.report(report(number=2, started_ms=2_000)))
        self.assertFalse(
            self.table.report(report(number=1, sequence=19, started_ms=1_000))
        )
        self.assertFalse(self.table.find("i-2").ended)
        self.assertTrue(self.table.find("i-1").ended)

    def test_new_start_is_known_where_nobody_hears_it_any_more(self):
        """That a later start exists tells that the earlier one is gone."""
        self.table.report(report(sequence=50, started_ms=1_000))
        other = RunTable(INTERVAL_S, self.clock)
        other.report(report(sequence=1, started_ms=2_000))
        told = other.snapshot()[0]
        told.silent = True
        self.assertTrue(self.table.take(told))
        self.assertTrue(self.table.find("i-1").silent)
        self.assertEqual(self.known(), (2_000, 1, False, False))

    def test_end_told_by_another_instance_brings_what_was_said_before(self):
        """A run that drained before it ended is known as drained everywhere."""
        other = RunTable(INTERVAL_S, self.clock)
        self.table.report(report(sequence=1, started_ms=1_000))
        other.report(report(sequence=2, started_ms=1_000, draining=True))
        other.leave("i-1")
        self.assertTrue(self.table.take(other.snapshot()[0]))
        self.assertEqual(self.known(), (1_000, 1, True, True))

    def test_starts_survive_a_restart_of_control(self):
        """Which start is the newest is among the hints on disk."""
        self.table.report(report(sequence=1, started_ms=2_000))
        with tempfile.TemporaryDirectory() as folder:
            save_hints(folder, self.table.snapshot())
            self.table = RunTable(INTERVAL_S, self.clock)
            self.table.remember(load_hints(folder).runs)
        self.table.report(report(sequence=99, started_ms=1_000, draining=True))
        self.assertEqual(self.known(), (2_000, 1, False, False))


class TestOtherWriters(unittest.TestCase):
    """Well-formed reports that no backend server of ours sends."""

    def setUp(self):
        self.table = RunTable(INTERVAL_S, Clock())
        self.table.services = frozenset({"tab"})
        self.table.report(report(sequence=5, started_ms=1_000))

    def test_reports_that_contradict_what_is_known_change_nothing(self):
        """A good run stays as it is, whatever another writer says under its id."""
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

    def test_start_time_is_told_by_all_or_none(self):
        """A new run that tells none is refused while a live run tells its own."""
        untold = {"number": 9, "place": 9}
        with self.assertRaises(ReportRefusedError):
            self.table.report(report(**untold))
        self.table.report(report(sequence=6, started_ms=1_000, draining=True))
        self.table.leave("i-1")
        self.assertTrue(self.table.report(report(**untold)))
        self.assertTrue(self.table.report(report(number=8, place=8)))

    def test_run_that_tells_no_start_goes_once_most_others_tell_theirs(self):
        """Coming before all others makes another writer's report no good one."""
        clock = Clock()
        table = RunTable(INTERVAL_S, clock)
        untold = {"number": 9, "place": 9}
        self.assertTrue(table.report(report(**untold)))
        for number in (1, 2):
            table.report(report(number, place=number, started_ms=1_000))
        table.sweep()
        with self.assertRaises(ReportRefusedError):
            table.report(report(sequence=2, draining=True, **untold))
        self.assertEqual(table.find("i-9").sequence, 1)
        for sequence in range(2, 30):
            clock.value_s += 0.2
            for number in (1, 2):
                told = {"place": number, "started_ms": 1_000}
                table.report(report(number, sequence, **told))
            table.sweep()
        silent = [run.id for run in table.snapshot() if run.silent]
        self.assertEqual(silent, ["i-9"])

    @given(st.lists(st.tuples(st.booleans(), st.sampled_from(("", "silent", "ended")))))
    def test_most_are_counted_among_the_live(self, kinds):
        """Whether most tell their start is what a plain count of live runs says."""
        index = RunIndex()
        for number, (tells, state) in enumerate(kinds, 1):
            run = BackendRun(id=f"i-{number:x}", started_ms=1_000 * tells)
            if state:
                setattr(run, state, True)
            index.add(run)
        live = [tells for tells, state in kinds if not state]
        self.assertEqual(index.most_tell_starts(), sum(live) * 2 > len(live))

    def test_one_that_tells_its_start_takes_no_place_of_others(self):
        """Where most tell none, they go on, and further ones are taken."""
        table = RunTable(INTERVAL_S, Clock())
        for number in (1, 2):
            table.report(report(number, place=number))
        self.assertTrue(table.report(report(3, place=3, started_ms=1_000)))
        table.sweep()
        self.assertFalse(table.report(report(1, sequence=2, place=1)))
        self.assertEqual(table.find("i-1").sequence, 2)
        self.assertTrue(table.report(report(4, place=4)))

    def test_every_service_may_be_one_before_any_table(self):
        """Without a routing table, backend servers are taken as they come."""
        table = RunTable(INTERVAL_S, Clock())
        self.assertTrue(table.report(report(service="early")))


@dataclass
class Server:
    """One id as it really is: what each start has said so far."""

    started_ms: int = 1_000
    sequence: int = 0
    draining: bool = False


class RestartMachine(RuleBasedStateMachine):
    """Two control instances hear of restarts in any order; the oracle is a maximum.

    Each message is kept and may be delivered late and again, to either instance. What
    a table may hold of an id follows from the newest start of which it was told.
    """

    tables = st.integers(0, 1)
    numbers = st.integers(1, 3)

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.tables = [RunTable(INTERVAL_S, self.clock) for _ in range(2)]
        self.servers = {number: Server() for number in range(1, 4)}
        self.said = []
        #: Newest start told to each table of each id.
        self.newest = [{}, {}]
        #: Starts of which each table was told that they drain.
        self.drains = [set(), set()]
        #: Starts that each table has told the other whole, by id.
        self.told = [{}, {}]

    @initialize()
    def start(self):
        for number in self.servers:
            self.say(number)

    def say(self, number):
        server = self.servers[number]
        server.sequence += 1
        self.said.append(
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
        self.say(number)

    @rule(number=numbers)
    def drain(self, number):
        self.servers[number].draining = True
        self.say(number)

    @rule(number=numbers, later_ms=st.integers(1, 5_000))
    def restart(self, number, later_ms):
        old = self.servers[number]
        self.servers[number] = Server(old.started_ms + later_ms)
        self.say(number)

    @rule(at=tables, data=st.data())
    def deliver(self, at, data):
        one = data.draw(st.sampled_from(self.said))
        self.tables[at].report(one)
        self.note(at, one.id, one.started_ms, one.draining)

    def note(self, at, run_id, started_ms, draining):
        known = self.newest[at].get(run_id, 0)
        self.newest[at][run_id] = max(known, started_ms)
        if draining:
            self.drains[at].add((run_id, started_ms))

    @rule(source=tables)
    def exchange(self, source):
        for run in self.tables[source].snapshot():
            self.tables[1 - source].take(run)
            self.told[source][run.id] = run.started_ms
            if not run.silent:
                self.note(1 - source, run.id, run.started_ms, run.draining)
            elif run.started_ms > self.newest[1 - source].get(run.id, 2**60):
                self.note(1 - source, run.id, run.started_ms, run.draining)

    @rule(source=tables)
    def exchange_numbers(self, source):
        """What was told whole goes on by number; the sequence never goes back."""
        told, other = self.told[source], self.tables[1 - source]
        for run in self.tables[source].snapshot():
            if run.ended or run.silent or told.get(run.id) != run.started_ms:
                continue
            before = other.find(run.id)
            known = (before.started_ms, before.sequence) if before else None
            other.take_number(run.number, run.sequence, told)
            if known is not None:
                after = other.find(run.id)
                assert (after.started_ms, after.sequence) >= known
                assert after.started_ms == known[0]

    @rule(at=tables, number=numbers)
    def late_end(self, at, number):
        """An end that does not name its start, as it was sent for any of them."""
        try:
            self.tables[at].leave(f"i-{number:x}")
        except ReportRefusedError:
            return
        # Taken: the run had said here that it drains, or was not known at all.
        run = self.tables[at].find(f"i-{number:x}")
        assert run.draining or not run.started_ms

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.clock.value_s += seconds
        for table in self.tables:
            table.sweep()

    @invariant()
    def newest_start_is_known(self):
        for table, newest in zip(self.tables, self.newest, strict=True):
            for run_id, started_ms in newest.items():
                assert table.find(run_id).started_ms == started_ms

    @invariant()
    def states_are_those_of_the_start(self):
        for table, drains in zip(self.tables, self.drains, strict=True):
            for run in table.snapshot():
                if run.draining:
                    assert (run.id, run.started_ms) in drains
                if run.ended and run.started_ms:
                    assert run.draining, "ended, though it never said that it drains"


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(max_examples=60, stateful_step_count=30)
