import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import ReturnTimes, choose_retry_after_s

#: Told in whole milliseconds.
WAITS = st.integers(0, 120_000).map(lambda wait_ms: wait_ms / 1000)
URGENCIES = st.integers(0, 9)
DRAWS = st.floats(0.0, 1.0)


class TestChooseRetryAfter(unittest.TestCase):
    @given(WAITS, URGENCIES, DRAWS)
    def test_never_after_it_could_be_served(self, wait_s, urgency, draw):
        """Nobody comes later than the wait, nor before half of it."""
        told_s = choose_retry_after_s(wait_s, urgency, draw)
        self.assertLessEqual(told_s, wait_s)
        self.assertGreaterEqual(told_s, min(wait_s, 30.0) / 2 - 1e-9)

    @given(WAITS, URGENCIES)
    def test_less_urgent_are_spread_more(self, wait_s, urgency):
        """The spread grows with the number of the urgency, and is never none."""
        spreads = [
            choose_retry_after_s(wait_s, one, 0) - choose_retry_after_s(wait_s, one, 1)
            for one in (urgency, urgency + 1)
        ]
        self.assertLessEqual(spreads[0], spreads[1] + 1e-9)
        if wait_s:
            self.assertGreater(spreads[0], 0.0)


class TestReturnTimes(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 3)), min_size=1))
    def test_each_comes_after_those_before_it(self, refusals):
        """Times told lie a turn apart, none before the wait or beyond the longest."""
        returns, last_s, now_s = ReturnTimes(), 0.0, 0.0
        for pause_s, wait_s in refusals:
            now_s += pause_s
            told_s = returns.book(wait_s, 0.02, now_s)
            self.assertGreaterEqual(told_s, wait_s)
            self.assertLessEqual(told_s, 30.0)
            if told_s < 29.9 and last_s:
                self.assertGreaterEqual(now_s + told_s, last_s + 0.02 - 1e-9)
            last_s = now_s + told_s

    def test_refused_at_once_are_back_over_the_time_they_need(self):
        """A thousand refused at once come at the rate at which they can be served."""
        for urgency in (0, 9):
            returns, draw = ReturnTimes(), random.Random(1)
            at_s = sorted(
                choose_retry_after_s(
                    returns.book(0.5, 0.005, 0.0), urgency, draw.random()
                )
                for _ in range(1_000)
            )
            self.assertLessEqual(at_s[-1], 0.5 + 1_000 * 0.005)
            for begin_s in (0.5, 1.5, 2.5, 3.5):
                come = sum(begin_s <= one < begin_s + 1 for one in at_s)
                self.assertAlmostEqual(come, 200, delta=20)
