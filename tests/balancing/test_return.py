import random
import unittest
from collections import Counter

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
            told_s = returns.book("p", wait_s, 0.02, now_s)
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
                    returns.book("p", 0.5, 0.005, 0.0), urgency, draw.random()
                )
                for _ in range(1_000)
            )
            self.assertLessEqual(at_s[-1], 0.5 + 1_000 * 0.005)
            for begin_s in (0.5, 1.5, 2.5, 3.5):
                come = sum(begin_s <= one < begin_s + 1 for one in at_s)
                self.assertAlmostEqual(come, 200, delta=20)

    def test_owner_of_thousands_does_not_put_off_another(self):
        """Another owner's first few come in turn with the many, not after them."""
        returns = ReturnTimes()
        for _ in range(2_000):
            returns.book("big", 0.5, 0.005, 0.0)
        told_s = [returns.book("small", 0.5, 0.005, 0.0) for _ in range(3)]
        self.assertLess(max(told_s), 0.5 + 3 * 2 * 0.005 + 1e-9)

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 0.5)), min_size=1),
        st.sampled_from((0.1, 0.4, 2.0)),
    )
    def test_nobody_is_told_a_time_after_all_turns(self, refusals, turn_s):
        """With owners taking turns no time is beyond that of one line for all."""
        returns, line, now_s = ReturnTimes(), ReturnTimes(), 0.0
        for owner, pause_s in refusals:
            now_s += pause_s
            told_s = returns.book(owner, 0.5, turn_s, now_s)
            self.assertLessEqual(told_s, line.book("", 0.5, turn_s, now_s) + 1e-9)
            self.assertGreaterEqual(told_s, 0.5)
            self.assertLessEqual(len(returns), 3)

    def test_owners_are_forgotten(self):
        """Names that are never used again are not kept for longer than their times."""
        returns = ReturnTimes()
        for nth in range(1_000):
            returns.book(f"name-{nth}", 0.0, 0.001, nth / 10)
        self.assertLess(len(returns), 3)

    def test_many_owners_together_come_little_faster(self):
        """In no second do more than 1.5 times as many come as can be served."""
        draw = random.Random(1)
        orders = {
            "mixed": [draw.randrange(50) for _ in range(1_000)],
            "one after the other": [nth // 20 for nth in range(1_000)],
            "many first": [0] * 500 + [draw.randrange(50) for _ in range(500)],
        }
        for name, owners in orders.items():
            returns = ReturnTimes()
            at_s = [returns.book(str(one), 0.0, 0.005, 0.0) for one in owners]
            come = Counter(int(one) for one in at_s)
            with self.subTest(name):
                self.assertLessEqual(max(come.values()), 1.5 * 200)
                self.assertLessEqual(max(at_s), 1_000 * 0.005 + 1e-9)
