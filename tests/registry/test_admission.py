import unittest

from agatethread.registry import Report
from agatethread.registry._admission import (
    RUN_RETENTION_S,
    KnownRun,
    ReportVerdict,
    check_report,
    end_applies_to,
)
from agatethread.wire.registry_pb2 import BackendRun
from tests.fakes import address
from tests.registry.test_runs import report

HOLDER_TIMEOUT_S = 1.8


def make_known(last_report_age_s=0.5, **fields):
    """Return a run i-1 at address 1 that started at 5,000 ms."""
    values = {
        "id": "i-1",
        "number": 1,
        "service": "tab",
        "address": address(1),
        "failure_domain": "a",
        "sequence": 10,
        "started_ms": 5_000,
    }
    return KnownRun(BackendRun(**(values | fields)), last_report_age_s)


def check(new_report: Report, known_run=None, holder=None, same_number_run=None):
    """Return the verdict on a report."""
    return check_report(
        new_report, known_run, holder, same_number_run, HOLDER_TIMEOUT_S
    )


class TestCheckReport(unittest.TestCase):
    def test_start_time_has_precedence_over_sequence(self):
        """Start times are compared first; sequence numbers only within a run."""
        later = report(started_ms=5_001, sequence=1)
        self.assertIs(check(later, make_known()), ReportVerdict.STARTS)
        earlier = report(started_ms=4_999, sequence=999)
        self.assertIs(check(earlier, make_known()), ReportVerdict.EARLIER_RUN)
        self.assertIs(check(later, make_known(ended=True)), ReportVerdict.STARTS)

    def test_accepts_only_higher_sequence_within_a_run(self):
        """A run continues with a higher sequence number, until it ends."""
        for sequence, expected in (
            (10, ReportVerdict.OUTDATED),
            (11, ReportVerdict.CONTINUES),
        ):
            new_report = report(started_ms=5_000, sequence=sequence)
            self.assertIs(check(new_report, make_known()), expected)
        ended = make_known(ended=True)
        self.assertIs(
            check(report(started_ms=5_000, sequence=11), ended), ReportVerdict.OUTDATED
        )

    def test_rejects_missing_start_time_where_one_is_known(self):
        """A report without a start time is refused if the known run has one."""
        self.assertIs(
            check(report(sequence=11), make_known()), ReportVerdict.CONTRADICTS
        )
        without_start = make_known(started_ms=0)
        self.assertIs(
            check(report(sequence=11), without_start), ReportVerdict.CONTINUES
        )
        with_start = report(sequence=1, started_ms=1)
        self.assertIs(check(with_start, without_start), ReportVerdict.STARTS)

    def test_rejects_change_of_fixed_field_within_a_run(self):
        """Neither service, address nor failure domain changes within a run."""
        for field in (
            {"service": "other"},
            {"place": 2},
            {"failure_domain": "b"},
        ):
            with self.subTest(field=field):
                new_report = report(started_ms=5_000, sequence=11, **field)
                self.assertIs(
                    check(new_report, make_known()), ReportVerdict.CONTRADICTS
                )

    def test_rejects_other_service_while_run_is_live(self):
        """The service of an id changes only when its run is silent or has ended."""
        other = report(started_ms=6_000, service="other")
        self.assertIs(check(other, make_known()), ReportVerdict.CONTRADICTS)
        for state in ({"silent": True}, {"ended": True}):
            self.assertIs(check(other, make_known(**state)), ReportVerdict.STARTS)

    def test_later_start_takes_over_the_address(self):
        """A later start gets the address at once, an earlier one after expiry."""
        holder = make_known(id="i-2", last_report_age_s=0.0)
        later = report(started_ms=5_001)
        earlier = report(started_ms=4_999, sequence=999)
        self.assertIs(check(later, holder=holder), ReportVerdict.STARTS)
        self.assertIs(check(earlier, holder=holder), ReportVerdict.ADDRESS_HELD)
        silent = make_known(
            id="i-2", last_report_age_s=HOLDER_TIMEOUT_S + 5, silent=True
        )
        self.assertIs(check(earlier, holder=silent), ReportVerdict.ADDRESS_HELD)
        expired = make_known(id="i-2", last_report_age_s=RUN_RETENTION_S)
        self.assertIs(check(earlier, holder=expired), ReportVerdict.STARTS)

    def test_holder_keeps_address_until_timeout_without_start_times(self):
        """Which run started later is unknown, so the one that reports is live."""
        reporting = make_known(
            id="i-2", started_ms=0, last_report_age_s=HOLDER_TIMEOUT_S - 0.1
        )
        self.assertIs(check(report(), holder=reporting), ReportVerdict.ADDRESS_HELD)
        expired = make_known(id="i-2", started_ms=0, last_report_age_s=HOLDER_TIMEOUT_S)
        self.assertIs(check(report(), holder=expired), ReportVerdict.STARTS)

    def test_rejects_number_of_another_live_run(self):
        """Datagrams can't tell two ids with the same number apart."""
        live, ended = make_known(id="x-1").run, make_known(id="x-1", ended=True).run
        self.assertIs(check(report(), same_number_run=live), ReportVerdict.CONTRADICTS)
        self.assertIs(check(report(), same_number_run=ended), ReportVerdict.STARTS)


class TestEndAppliesTo(unittest.TestCase):
    def test_end_with_start_time_applies_to_that_and_earlier_runs(self):
        """An end report doesn't apply to a run that started later."""
        run = make_known().run
        for started_ms, expected in ((4_999, False), (5_000, True), (5_001, True)):
            self.assertEqual(end_applies_to(run, started_ms), expected)

    def test_end_without_start_time_applies_to_draining_run(self):
        """A run drains before it ends, so a draining run is the one that ended."""
        self.assertFalse(end_applies_to(make_known().run, 0))
        self.assertTrue(end_applies_to(make_known(draining=True).run, 0))
        self.assertTrue(end_applies_to(make_known(started_ms=0).run, 0))
