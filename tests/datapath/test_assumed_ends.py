from agatethread.datapath import BackendView, derive_label
from agatethread.wire.registry_pb2 import RUN_END_ADDRESS_TAKEN, RUN_END_REPORTED
from tests.datapath.fixtures import ForwarderCase, opening, packet, run, table

REPORT_INTERVAL_S = 1.2


class TestAssumedEnds(ForwarderCase):
    """Ends that a control instance concluded from another run at the address."""

    def setUp(self):
        super().setUp()
        self.view = BackendView(
            self.clock, self.counters, report_interval_s=REPORT_INTERVAL_S
        )
        self.forwarder = self.make_forwarder()
        self.forwarder.apply_table(table())
        self.view.update_run(run(1, sequence=5))

    def end(self, sequence, reason):
        self.view.update_run(run(1, sequence=sequence, ended=True, end=reason))

    def is_ended(self):
        return self.view.get_by_label(derive_label(1)).ended

    def test_older_assumption_does_not_end_a_run_that_reported_since(self):
        """Another control instance has received a later report."""
        self.end(4, RUN_END_ADDRESS_TAKEN)
        self.assertFalse(self.is_ended())

    def test_later_report_takes_an_assumed_end_back(self):
        """The flows of the run go on, and it gets new ones."""
        self.end(5, RUN_END_ADDRESS_TAKEN)
        self.assertTrue(self.is_ended())
        self.view.update_run(run(1, sequence=6))
        self.assertFalse(self.is_ended())
        self.forwarder.reset_flows_of_lost_runs()
        self.assertEqual(self.handle(packet(7, number=1)), [("forward", 1)])
        self.assertEqual(self.handle(opening(8)), [("forward", 1)])

    def test_idle_flows_stay_whatever_an_assumption_says(self):
        """Reports of the run were held up for longer than they usually take."""
        self.handle(packet(7, number=1))
        self.end(5, RUN_END_ADDRESS_TAKEN)
        self.assertEqual(self.handle(opening(8)), [("reset", 8)])
        self.sent.clear()
        for _ in range(8):
            self.clock.value_s += 0.5 * REPORT_INTERVAL_S
            self.forwarder.reset_flows_of_lost_runs()
        self.assertEqual(self.sent, [])
        self.assertEqual(self.handle(packet(7, number=1)), [("forward", 1)])

    def test_reported_end_is_final(self):
        """A late report does not bring back a run that said that it ended."""
        self.end(4, RUN_END_REPORTED)
        self.view.update_run(run(1, sequence=6))
        self.assertTrue(self.is_ended())
