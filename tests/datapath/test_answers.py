import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath import Backend, FlowLoads
from agatethread.datapath._answers import AnswerMonitor, slow_threshold_s
from tests.datapath.fixtures import opening, packet, run


class TestAnswerMonitor(unittest.TestCase):
    """Answers that are counted from the packets of flows."""

    def setUp(self):
        self.loads = FlowLoads(100)
        self.backend, self.other = Backend(run(1)), Backend(run(2))
        self.monitor = self.loads.answer_monitor = AnswerMonitor(lambda *_: 0.4, 0.0)
        self.now_s, self.port = 0.0, 0
        for _ in range(5):
            self.request(0.05)
        self.collect()

    def request(self, took_s, size=1_000, end="answer", backend=None):
        """Send a request on a new flow.

        It ends with an "answer", "close", "next request" or "give up"; "" leaves the
        request pending.
        """
        backend = backend or self.backend
        self.port += 1
        self.loads.record_opening(opening(self.port).key, backend, self.now_s)
        self.send_packet(backend, payload_bytes=80)
        self.now_s += took_s
        if end == "answer":
            self.send_packet(backend, acknowledged=500 + size)
        elif end == "close":
            self.send_packet(backend, acknowledged=500 + size, closes=True)
        elif end == "next request":
            fields = {"sequence": 180, "payload_bytes": 80}
            self.send_packet(backend, acknowledged=500 + size, **fields)
        elif end == "give up":
            self.send_packet(backend, closes=True)

    def send_packet(self, backend, **fields):
        self.loads.record_packet(packet(self.port, **fields), backend, self.now_s)

    def collect(self, step_s=0.2):
        """Return answers, slow and failed ones, of the first backend server."""
        # The interval since the last collection; may set the clock back.
        self.now_s = self.monitor._collected_s + step_s
        sums = self.monitor.collect(self.now_s)
        for answer_sum in sums.runs if sums else ():
            if answer_sum.label == self.backend.label:
                return answer_sum.answers, answer_sum.slow, answer_sum.failed
        return None

    def test_counts_slow_answer_once(self):
        """Three times the usual time is slow, and is reported once."""
        self.request(0.05)
        self.request(0.10)
        self.request(0.2, end="close")
        self.assertEqual(self.collect(), (3, 1, 0))
        self.assertIsNone(self.collect())

    def test_counts_no_answer_before_baseline_is_known(self):
        """The first answers of a route only set its baseline."""
        monitor = AnswerMonitor(lambda *_: inf, 0.0)
        self.loads.answer_monitor = monitor
        self.request(2.0)
        self.assertIsNone(monitor.collect(0.2))

    def test_counts_waiting_request_once(self):
        """It is slow once it has waited too long, and not again when answered."""
        self.request(0.0, end="")
        self.assertIsNone(self.collect(0.1))
        self.assertEqual(self.collect(0.1), (1, 1, 0))
        self.send_packet(self.backend, acknowledged=900)
        self.assertIsNone(self.collect())

    def test_measures_retransmitted_request_from_first_packet(self):
        """A retransmission does not shorten the measured time."""
        self.request(0.25, end="")
        self.send_packet(self.backend, payload_bytes=80)
        self.now_s += 0.05
        self.send_packet(self.backend, acknowledged=900)
        self.assertEqual(self.collect(0.4), (1, 1, 0))

    def test_counts_flow_without_answer_as_failed(self):
        """An answer far shorter than usual has failed too."""
        self.request(0.05, end="give up")
        self.request(0.05, size=150)
        self.request(0.05)
        self.assertEqual(self.collect(), (3, 0, 2))

    def test_counts_opening_retried_elsewhere_as_failed(self):
        """A copy that goes to another run is a failure of the first one."""
        self.loads.record_opening(opening(99).key, self.backend, self.now_s)
        self.loads.record_opening(opening(99, copy=1).key, self.other, self.now_s)
        self.assertEqual(self.collect(), (1, 0, 1))

    def test_ignores_slow_acknowledgement_with_next_request(self):
        """It may have been delayed by the caller, so only a fast one counts."""
        self.request(0.15, end="next request")
        self.loads.delete_flow(packet(self.port).key)
        self.assertIsNone(self.collect())
        self.request(0.05, end="next request")
        self.loads.delete_flow(packet(self.port).key)
        self.assertEqual(self.collect(), (1, 0, 0))

    def test_discards_answers_after_own_delay(self):
        """Packets that were read late do not measure backend servers."""
        self.request(0.3)
        self.request(0.0, end="")
        self.assertIsNone(self.collect(0.9))
        self.assertIsNone(self.collect())

    def test_deletes_pending_request_with_its_flow(self):
        """Pending requests are bounded by the recorded flows."""
        for _ in range(300):
            self.request(0.0, end="")
        self.assertLessEqual(len(self.monitor._pending), 100)
        self.loads.sweep(self.now_s + 60.0)
        self.assertEqual(self.monitor._pending, {})

    def test_adapts_baseline_to_slower_route(self):
        """A route that is slow as a whole becomes usual."""
        for _ in range(40):
            self.request(0.2)
        self.collect(0.2)
        self.request(0.2)
        self.assertEqual(self.collect(), (1, 0, 0))

    @given(st.floats(1e-4, 10.0), st.floats(0.01, 10.0) | st.just(inf))
    def test_slow_threshold_lies_between_usual_time_and_aim(self, usual_s, aim_s):
        """It is at least a quarter of the aim, and at most the aim."""
        limit_s = slow_threshold_s(usual_s, aim_s)
        self.assertLessEqual(limit_s, aim_s)
        self.assertTrue(limit_s >= usual_s or limit_s == aim_s)
        if aim_s < inf:
            self.assertGreaterEqual(limit_s, aim_s / 4)

    def test_counts_nothing_without_monitor(self):
        """Flows are recorded without an answer monitor too."""
        self.loads.answer_monitor = None
        self.request(5.0, end="give up")
        self.assertIsNone(self.collect())
