from agatethread.datapath import label_of
from tests.datapath.worlds import ForwarderCase, opening, packet, run
from tests.fakes import address


class TestRestarts(ForwarderCase):
    """Flows of a backend server that starts again under its id."""

    def start(self, started_ms, sequence=1, **fields):
        self.view.take(run(1, started_ms=started_ms, sequence=sequence, **fields))

    def label(self, started_ms):
        return label_of(1, started_ms)

    def test_each_start_has_its_label(self):
        """An instance that knows only the earlier start says nothing of the later."""
        self.start(1_000)
        self.start(1_000, sequence=9, ended=True)
        later = packet(label=self.label(2_000))
        self.assertEqual(self.handle(later), [])
        self.assertEqual(self.handle(packet(label=self.label(1_000)))[0][0], "reset")

    def test_next_start_is_given_work_at_once(self):
        """What the start before had said, and what was seen of it, is gone."""
        self.start(1_000, sequence=50, draining=True)
        self.assertEqual(self.handle(opening(1))[0][0], "reset")
        self.start(2_000)
        self.assertEqual(self.handle(opening(2)), [("forward", 1)])
        self.assertEqual(self.sent[0][0][2], self.label(2_000))

    def test_counts_and_penalties_start_anew(self):
        """Flows, requests in progress and failures are not carried over."""
        self.start(1_000)
        for port in range(3):
            self.handle(opening(port))
            self.handle(opening(port, copy=1))
            self.handle(opening(port, copy=2))
        (before,) = self.view.of_service("tab")
        self.assertGreater(before.failures + before.flows, 0)
        self.start(2_000)
        (after,) = self.view.of_service("tab")
        state = (after.failures, after.flows, after.in_flight, len(after.waiting))
        self.assertEqual(state, (0, 0, 0, 0))
        self.assertEqual(after.penalty_until_s, 0.0)

    def test_flow_under_the_earlier_label_is_left_to_the_server(self):
        """A flow placed before the new start was known here may be held by it."""
        self.start(1_000)
        self.handle(opening(7))
        self.start(2_000, address=address(5))
        sent = self.handle(packet(7, label=self.label(1_000)))
        self.assertEqual(sent, [("forward", 1)])
        self.assertEqual(self.sent[0][1], ("127.0.0.1", 5))
        self.assertEqual(self.sent[0][0][2], self.label(2_000))

    def test_late_news_of_the_start_before_changes_nothing(self):
        """Two control instances may be heard in any order."""
        self.start(2_000)
        self.start(1_000, sequence=99, draining=True)
        self.start(1_000, sequence=99, ended=True)
        self.assertEqual(self.handle(opening(1)), [("forward", 1)])

    def test_start_of_which_only_the_end_is_known(self):
        """An end of a later start tells that the earlier one is gone, too."""
        self.start(1_000)
        self.view.take(run(1, service="", started_ms=2_000, ended=True))
        self.assertEqual(self.handle(opening(1))[0][0], "reset")

    def test_reporting_is_of_a_start(self):
        """That an earlier start is heard somewhere says nothing of the later one."""
        self.start(2_000)
        (backend,) = self.view.of_service("tab")
        self.view.judge(lambda run_id, started_ms: started_ms == 2_000)
        self.assertTrue(backend.reporting)
        self.view.judge(lambda run_id, started_ms: started_ms == 1_000)
        self.assertFalse(backend.reporting)

    def test_labels_of_many_starts_are_bounded(self):
        """A server that starts again and again leaves no trail of labels."""
        for started_ms in range(1_000, 1_100):
            self.start(started_ms)
        backend = [ms for ms in range(1_000, 1_100) if self.view.find(self.label(ms))]
        self.assertEqual(backend, list(range(1_091, 1_100)))
        self.start(1_099, sequence=2, ended=True)
        self.clock.value_s += 61.0
        self.view.judge(lambda *_: True)
        self.assertIsNone(self.view.find(self.label(1_098)))
        self.assertEqual(len(self.view), 0)
