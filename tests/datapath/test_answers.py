import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath import Backend, FlowLoads
from agatethread.datapath._answers import AnswerWatch, slow_after_s
from tests.datapath.worlds import opening, packet, run


class TestAnswerWatch(unittest.TestCase):
    """What is told of flows, as their packets pass."""

    def setUp(self):
        self.loads = FlowLoads(100)
        self.backend, self.other = Backend(run(1)), Backend(run(2))
        self.watch = self.loads.watch = AnswerWatch(lambda *_: 0.4, 0.0)
        self.now_s, self.port = 0.0, 0
        for _ in range(5):
            self.request(0.05)
        self.collect()

    def request(self, took_s, size=1_000, end="answer", backend=None):
        """One request on a flow of its own; how it ends."""
        backend = backend or self.backend
        self.port += 1
        self.loads.open(opening(self.port).key, backend, self.now_s)
        self.note(backend, payload_bytes=80)
        self.now_s += took_s
        if end == "answer":
            self.note(backend, acknowledged=500 + size)
        elif end == "close":
            self.note(backend, acknowledged=500 + size, closes=True)
        elif end == "next request":
            fields = {"sequence": 180, "payload_bytes": 80}
            self.note(backend, acknowledged=500 + size, **fields)
        elif end == "give up":
            self.note(backend, closes=True)

    def note(self, backend, **fields):
        self.loads.note(packet(self.port, **fields), backend, self.now_s)

    def collect(self, step_s=0.2):
        """What is told: answers, slow and failed ones, of the first backend server."""
        self.now_s = self.watch._collected_s + step_s
        sums = self.watch.collect(self.now_s)
        for one in sums.runs if sums else ():
            if one.label == self.backend.label:
                return one.answers, one.slow, one.failed
        return None

    def test_answers_are_judged_by_what_is_usual_for_the_route(self):
        """Three times the usual is slow; nothing is told twice."""
        self.request(0.05)
        self.request(0.10)
        self.request(0.2, end="close")
        self.assertEqual(self.collect(), (3, 1, 0))
        self.assertIsNone(self.collect())

    def test_nothing_is_judged_before_it_is_known_what_is_usual(self):
        """The first answers of a route only teach."""
        watch = AnswerWatch(lambda *_: inf, 0.0)
        self.loads.watch = watch
        self.request(2.0)
        self.assertIsNone(watch.collect(0.2))

    def test_request_that_waits_is_told_once(self):
        """As soon as it has waited too long, and not again with its answer."""
        self.request(0.0, end="")
        self.assertIsNone(self.collect(0.1))
        self.assertEqual(self.collect(0.1), (1, 1, 0))
        self.note(self.backend, acknowledged=900)
        self.assertIsNone(self.collect())

    def test_request_sent_again_waits_from_its_first_packet(self):
        """A copy does not make a slow answer look fast."""
        self.request(0.25, end="")
        self.note(self.backend, payload_bytes=80)
        self.now_s += 0.05
        self.note(self.backend, acknowledged=900)
        self.assertEqual(self.collect(0.4), (1, 1, 0))

    def test_flow_that_ends_without_an_answer_has_failed(self):
        """So has an answer far too short to be whole."""
        self.request(0.05, end="give up")
        self.request(0.05, size=150)
        self.request(0.05)
        self.assertEqual(self.collect(), (3, 0, 2))

    def test_opening_that_goes_to_another_server_has_failed(self):
        """The caller has sent it again, and nobody answered."""
        self.loads.open(opening(99).key, self.backend, self.now_s)
        self.loads.open(opening(99, copy=1).key, self.other, self.now_s)
        self.assertEqual(self.collect(), (1, 0, 1))

    def test_acknowledgement_with_the_next_request_says_nothing_of_time(self):
        """It may have been held back; only a fast one is known to be."""
        self.request(0.15, end="next request")
        self.loads.forget(packet(self.port).key)
        self.assertIsNone(self.collect())
        self.request(0.05, end="next request")
        self.loads.forget(packet(self.port).key)
        self.assertEqual(self.collect(), (1, 0, 0))

    def test_instance_that_was_slow_itself_tells_nothing(self):
        """What it read late says nothing of backend servers."""
        self.request(0.3)
        self.request(0.0, end="")
        self.assertIsNone(self.collect(0.9))
        self.assertIsNone(self.collect())

    def test_forgotten_flows_leave_nothing_behind(self):
        """What waits is bounded by the flows that are recorded."""
        for _ in range(300):
            self.request(0.0, end="")
        self.assertLessEqual(len(self.watch._waiting), 100)
        self.loads.sweep(self.now_s + 60.0)
        self.assertEqual(self.watch._waiting, {})

    def test_route_that_turns_slower_is_usual_soon(self):
        """A service that is slow as a whole is not judged by its past for ever."""
        for _ in range(40):
            self.request(0.2)
        self.collect(0.2)
        self.request(0.2)
        self.assertEqual(self.collect(), (1, 0, 0))

    @given(st.floats(1e-4, 10.0), st.floats(0.01, 10.0) | st.just(inf))
    def test_limit_lies_between_the_usual_and_the_aim(self, usual_s, aim_s):
        """Nobody minds less than a part of the aim, and all mind more than it."""
        limit_s = slow_after_s(usual_s, aim_s)
        self.assertLessEqual(limit_s, aim_s)
        self.assertTrue(limit_s >= usual_s or limit_s == aim_s)
        if aim_s < inf:
            self.assertGreaterEqual(limit_s, aim_s / 4)

    def test_nothing_is_watched_unless_it_is_asked_for(self):
        """Without a watch flows are counted as ever."""
        self.loads.watch = None
        self.request(5.0, end="give up")
        self.assertIsNone(self.collect())
