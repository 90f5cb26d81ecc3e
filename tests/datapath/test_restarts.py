from agatethread.datapath import derive_label
from tests.datapath.fixtures import ForwarderCase, opening, packet, run
from tests.fakes import address


class TestRestarts(ForwarderCase):
    """Flows of a backend server that restarts under the same id."""

    def start(self, started_ms, sequence=1, **fields):
        self.view.update_run(run(1, started_ms=started_ms, sequence=sequence, **fields))

    def label(self, started_ms):
        return derive_label(1, started_ms)

    def test_drops_packet_with_label_of_unknown_run(self):
        """The end of an earlier run does not reset flows of a later, unknown one."""
        self.start(1_000)
        self.start(1_000, sequence=9, ended=True)
        later = packet(label=self.label(2_000))
        self.assertEqual(self.handle(later), [])
        earlier = packet(label=self.label(1_000))
        self.assertEqual(self.handle(earlier), [("forward", 1)])

    def test_later_run_gets_flows_at_once(self):
        """The draining state of the earlier run does not carry over."""
        self.start(1_000, sequence=50, draining=True)
        self.assertEqual(self.handle(opening(1))[0][0], "reset")
        self.start(2_000)
        self.assertEqual(self.handle(opening(2)), [("forward", 1)])
        self.assertEqual(self.sent[0][0][2], self.label(2_000))

    def test_later_run_starts_with_empty_counts(self):
        """Flows, requests and failures do not carry over."""
        self.start(1_000)
        for port in range(3):
            self.handle(opening(port))
            self.handle(opening(port, copy=1))
            self.handle(opening(port, copy=2))
        (before,) = self.view.runs_of_service("tab")
        self.assertGreater(before.failures + before.flows, 0)
        self.start(2_000)
        (after,) = self.view.runs_of_service("tab")
        state = (after.failures, after.flows, after.in_flight, len(after.waiting))
        self.assertEqual(state, (0, 0, 0, 0))
        self.assertEqual(after.penalty_until_s, 0.0)

    def test_forwards_earlier_label_to_later_run(self):
        """The later run may have accepted a flow placed under the earlier label."""
        self.start(1_000)
        self.handle(opening(7))
        self.start(2_000, address=address(5))
        sent = self.handle(packet(7, label=self.label(1_000)))
        self.assertEqual(sent, [("forward", 1)])
        self.assertEqual(self.sent[0][1], ("127.0.0.1", 5))
        self.assertEqual(self.sent[0][0][2], self.label(2_000))

    def test_ignores_updates_of_earlier_run(self):
        """Control instances may send updates in any order."""
        self.start(2_000)
        self.start(1_000, sequence=99, draining=True)
        self.start(1_000, sequence=99, ended=True)
        self.assertEqual(self.handle(opening(1)), [("forward", 1)])

    def test_end_of_unknown_later_run_ends_earlier_run(self):
        """The end of a later run implies the end of the earlier one."""
        self.start(1_000)
        self.view.update_run(run(1, service="", started_ms=2_000, ended=True))
        self.assertEqual(self.handle(opening(1))[0][0], "reset")

    def test_reporting_state_belongs_to_one_run(self):
        """Reports of an earlier run do not count for the later one."""
        self.start(2_000)
        (backend,) = self.view.runs_of_service("tab")
        self.view.update_reporting(lambda run_id, started_ms: started_ms == 2_000)
        self.assertTrue(backend.reporting)
        self.view.update_reporting(lambda run_id, started_ms: started_ms == 1_000)
        self.assertFalse(backend.reporting)

    def test_limits_number_of_earlier_labels(self):
        """A backend server that restarts in a loop does not fill the memory."""
        for started_ms in range(1_000, 1_100):
            self.start(started_ms)
        known_starts_ms = [
            ms for ms in range(1_000, 1_100) if self.view.get_by_label(self.label(ms))
        ]
        # Eight earlier labels and the current one.
        self.assertEqual(known_starts_ms, list(range(1_091, 1_100)))
        self.start(1_099, sequence=2, ended=True)
        self.clock.value_s += 61.0
        self.view.update_reporting(lambda *_: True)
        self.assertIsNone(self.view.get_by_label(self.label(1_098)))
        self.assertEqual(len(self.view), 0)
