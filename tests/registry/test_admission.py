import unittest

from agatethread.registry import Report
from agatethread.registry._admission import (
    KEPT_S,
    Known,
    Verdict,
    end_is_of,
    judge_report,
)
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import address
from tests.registry.test_runs import report

HELD_S = 1.8


def known(heard_ago_s=0.5, **fields):
    """A run i-1 at address 1 that started at 5,000 ms."""
    values = {
        "id": "i-1",
        "number": 1,
        "service": "tab",
        "address": address(1),
        "failure_domain": "a",
        "sequence": 10,
        "started_ms": 5_000,
    }
    return Known(BackendRun(**(values | fields)), heard_ago_s)


def verdict(one: Report, of_id=None, holder=None, namesake=None):
    """Judge with what is given."""
    return judge_report(one, of_id, holder, namesake, HELD_S)


class TestJudgeReport(unittest.TestCase):
    def test_start_time_goes_before_sequence(self):
        """A later start wins with any sequence number, an earlier one never."""
        later = report(started_ms=5_001, sequence=1)
        self.assertIs(verdict(later, known()), Verdict.STARTS)
        earlier = report(started_ms=4_999, sequence=999)
        self.assertIs(verdict(earlier, known()), Verdict.EARLIER_RUN)
        self.assertIs(verdict(later, known(ended=True)), Verdict.STARTS)

    def test_within_a_run_the_sequence_decides(self):
        """The same start goes on with a higher sequence number, until it ends."""
        for sequence, expected in ((10, Verdict.OVERTAKEN), (11, Verdict.CONTINUES)):
            one = report(started_ms=5_000, sequence=sequence)
            self.assertIs(verdict(one, known()), expected)
        ended = known(ended=True)
        self.assertIs(
            verdict(report(started_ms=5_000, sequence=11), ended), Verdict.OVERTAKEN
        )

    def test_missing_start_time_is_refused_where_one_is_known(self):
        """A server that tells when it started always does."""
        self.assertIs(verdict(report(sequence=11), known()), Verdict.CONTRADICTS)
        untold = known(started_ms=0)
        self.assertIs(verdict(report(sequence=11), untold), Verdict.CONTINUES)
        told = report(sequence=1, started_ms=1)
        self.assertIs(verdict(told, untold), Verdict.STARTS)

    def test_one_run_stays_where_it_is(self):
        """Within a run neither service, address nor failure domain changes."""
        for field in (
            {"service": "other"},
            {"place": 2},
            {"failure_domain": "b"},
        ):
            with self.subTest(field=field):
                one = report(started_ms=5_000, sequence=11, **field)
                self.assertIs(verdict(one, known()), Verdict.CONTRADICTS)

    def test_live_run_is_not_replaced_by_one_of_another_service(self):
        """An id changes its service only when its run is silent or has ended."""
        other = report(started_ms=6_000, service="other")
        self.assertIs(verdict(other, known()), Verdict.CONTRADICTS)
        for state in ({"silent": True}, {"ended": True}):
            self.assertIs(verdict(other, known(**state)), Verdict.STARTS)

    def test_later_start_takes_the_address_at_once(self):
        """Of two ids at one address the one that started later lives."""
        holder = known(id="i-2", heard_ago_s=0.0)
        later = report(started_ms=5_001)
        earlier = report(started_ms=4_999, sequence=999)
        self.assertIs(verdict(later, holder=holder), Verdict.STARTS)
        self.assertIs(verdict(earlier, holder=holder), Verdict.ADDRESS_HELD)
        silent = known(id="i-2", heard_ago_s=HELD_S + 5, silent=True)
        self.assertIs(verdict(earlier, holder=silent), Verdict.ADDRESS_HELD)
        forgotten = known(id="i-2", heard_ago_s=KEPT_S)
        self.assertIs(verdict(earlier, holder=forgotten), Verdict.STARTS)

    def test_without_start_times_the_holder_that_is_heard_keeps_its_address(self):
        """Who started later is not known, so the one that reports lives."""
        heard = known(id="i-2", started_ms=0, heard_ago_s=HELD_S - 0.1)
        self.assertIs(verdict(report(), holder=heard), Verdict.ADDRESS_HELD)
        quiet = known(id="i-2", started_ms=0, heard_ago_s=HELD_S)
        self.assertIs(verdict(report(), holder=quiet), Verdict.STARTS)

    def test_number_of_a_live_run_is_its_own(self):
        """Another id with the same digits can't be told apart in datagrams."""
        live, gone = known(id="x-1").run, known(id="x-1", ended=True).run
        self.assertIs(verdict(report(), namesake=live), Verdict.CONTRADICTS)
        self.assertIs(verdict(report(), namesake=gone), Verdict.STARTS)


class TestEndIsOf(unittest.TestCase):
    def test_named_start(self):
        """An end that names its run ends that run and all before it."""
        run = known().run
        for started_ms, expected in ((4_999, False), (5_000, True), (5_001, True)):
            self.assertEqual(end_is_of(run, started_ms), expected)

    def test_unnamed_end_is_of_a_run_that_drains(self):
        """A server drains before it ends, so a working run is another one."""
        self.assertFalse(end_is_of(known().run, 0))
        self.assertTrue(end_is_of(known(draining=True).run, 0))
        self.assertTrue(end_is_of(known(started_ms=0).run, 0))
