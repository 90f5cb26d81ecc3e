from unittest import mock

from logbook import TestHandler

from agatethread.datapath import BackendView, derive_label
from agatethread.observability import Event
from agatethread.wire.registry_pb2 import RUN_END_ADDRESS_TAKEN, RUN_END_REPORTED
from tests.datapath.fixtures import ForwarderCase, opening, packet, run, table

REPORT_INTERVAL_S = 1.2
#: Number whose label all runs get here, whenever they start.
NUMBER = 77


class TestTwoRunsWithOneLabel(ForwarderCase):
    """Two runs of different ids and addresses whose labels are alike."""

    def setUp(self):
        super().setUp()
        patch = mock.patch(
            "agatethread.datapath._backend.derive_label",
            lambda *_: derive_label(NUMBER),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.view = BackendView(
            self.clock, self.counters, report_interval_s=REPORT_INTERVAL_S
        )
        self.forwarder = self.make_forwarder()
        self.forwarder.apply_table(table())

    def add(self, index, **fields):
        """Add or update a run, and return it."""
        self.view.update_run(run(index, **fields))
        return next(
            backend
            for backend in self.view.runs_of_service("tab")
            if backend.id == f"i-{index:x}"
        )

    def end(self, index, reason=RUN_END_REPORTED):
        self.view.update_run(run(index, ended=True, end=reason))

    def tick(self, seconds):
        """Advance time, and update the runs as the timer does."""
        self.clock.value_s += seconds
        self.forwarder.reset_flows_of_lost_runs()
        self.view.update_reporting(lambda *_: True)
        self.sent.clear()

    def target(self, data):
        """Return the address that a datagram is sent to."""
        self.sent.clear()
        self.handle(data)
        return self.sent[0][1] if self.sent else None

    def test_other_run_gets_work_after_the_flows_of_the_first(self):
        """It is not left out for ever, and is told once."""
        first, second = self.add(1), self.add(2)
        self.assertEqual(self.target(opening(1)), first.address)
        self.end(1)
        with TestHandler() as handler:
            self.tick(61.0)
            self.tick(1.0)
            self.tick(1.5 * REPORT_INTERVAL_S)
            self.tick(1.0)
        events = [record.message for record in handler.records]
        self.assertEqual(events.count(Event.LABEL_RETAKEN), 1)
        self.assertEqual(self.target(opening(2)), second.address)
        self.assertEqual(self.target(packet(2, number=NUMBER)), second.address)

    def test_ended_run_keeps_its_label_while_it_may_serve_its_flows(self):
        """Its packets would go to the other run."""
        first, second = self.add(1), self.add(2)
        self.end(1)
        for _ in range(9):
            self.tick(6.0)
            self.assertTrue(second.is_label_taken)
            target = self.target(packet(5, number=NUMBER))
            self.assertEqual(target, first.address)

    def test_run_that_starts_after_an_end_takes_no_packet_of_the_ended_one(self):
        """The ended run may still serve its flows."""
        first = self.add(1)
        self.end(1)
        second = self.add(2)
        self.assertTrue(second.is_label_taken)
        self.assertEqual(self.target(packet(5, number=NUMBER)), first.address)

    def test_other_run_gets_no_work_before_all_have_deleted_the_first(self):
        """Other instances would still send its packets there."""
        self.add(1)
        second = self.add(2)
        self.end(1)
        self.tick(61.0)
        self.tick(0.2)
        self.assertTrue(second.is_label_taken)
        self.assertEqual(self.target(packet(5, number=NUMBER)), second.address)

    def test_label_of_an_assumed_end_stays_while_it_may_be_taken_back(self):
        """Open flows of the run go on until then."""
        first, second = self.add(1, sequence=5), self.add(2)
        self.handle(packet(7, number=NUMBER))
        self.view.update_run(run(1, sequence=5, ended=True, end=RUN_END_ADDRESS_TAKEN))
        self.tick(REPORT_INTERVAL_S)
        self.assertEqual(self.target(packet(7, number=NUMBER)), first.address)
        self.add(1, sequence=6)
        self.tick(3 * REPORT_INTERVAL_S)
        self.assertEqual(self.target(packet(7, number=NUMBER)), first.address)
        self.assertTrue(second.is_label_taken)

    def test_open_flows_stay_when_a_later_run_has_their_label(self):
        """The later run has the lower id."""
        first = self.add(2, started_ms=1_000)
        self.assertEqual(self.target(opening(7)), first.address)
        second = self.add(1, started_ms=9_000)
        self.assertEqual(self.target(packet(7, number=NUMBER)), first.address)
        self.assertEqual(self.target(opening(8)), first.address)
        self.assertTrue(second.is_label_taken)

    def test_log_names_the_run_that_keeps_the_label(self):
        """Whichever of them was known first."""
        for order in ((1, 2), (2, 1)):
            self.setUp()
            with TestHandler() as handler:
                for index in order:
                    self.add(index)
            (record,) = [
                record
                for record in handler.records
                if record.message == Event.LABEL_COLLISION
            ]
            self.assertEqual(record.kwargs, {"kept": "i-1", "other": "i-2"})
            self.assertEqual(self.view.get_by_label(derive_label(NUMBER)).id, "i-1")
