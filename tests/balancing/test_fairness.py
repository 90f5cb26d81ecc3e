import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import (
    CallerCounts,
    Opening,
    OpeningQueue,
    defer_if_over_share,
)
from agatethread.balancing._fairness import (
    _MIN_OVERUSE_COUNT,
    _OVERUSE_FACTOR,
    _WINDOW_S,
)

#: Caller of each opening and the pause before it; long pauses skip whole windows.
OPENINGS = st.lists(
    st.tuples(
        st.one_of(st.integers(0, 3), st.integers(0, 40)),
        st.sampled_from((0.0, 0.001, 0.01, 0.1, 0.6, 1.7)),
    ),
    max_size=300,
)


class ExactCounts:
    """Exact reference: every opening of both windows."""

    def __init__(self, recorded, now_s):
        number = int(now_s // _WINDOW_S)
        self.windows = [
            [
                caller
                for caller, opened_s in recorded
                if int(opened_s // _WINDOW_S) == window_number
            ]
            for window_number in (number, number - 1)
        ]
        self.callers = self.windows[0] + self.windows[1]

    def error(self, limit_count):
        return sum(len(window) // (limit_count + 1) for window in self.windows)

    def exceeds_share(self, caller):
        own, others = self.callers.count(caller), set(self.callers) - {caller}
        if own <= _MIN_OVERUSE_COUNT or not others:
            return False
        return own > _OVERUSE_FACTOR * (len(self.callers) - own) / len(others)


def record_openings(openings, limit_count):
    """Record openings; yield the shares, all openings so far and the time."""
    shares, recorded, now_s = CallerCounts(limit_count), [], 7.3
    for caller, pause_s in openings:
        now_s += pause_s
        shares.record(caller, now_s)
        recorded.append((caller, now_s))
        yield shares, recorded, now_s


class TestCounts(unittest.TestCase):
    @given(OPENINGS, st.integers(1, 12))
    def test_error_and_memory_are_bounded(self, openings, limit_count):
        """A count is never too high, nor too low by more than the documented error."""
        for shares, recorded, now_s in record_openings(openings, limit_count):
            caller, exact = recorded[-1][0], ExactCounts(recorded, now_s)
            counted = shares.count(caller, now_s)
            true_count = exact.callers.count(caller)
            self.assertLessEqual(counted, true_count)
            self.assertGreaterEqual(counted, true_count - exact.error(limit_count))
            self.assertLessEqual(len(shares), 2 * limit_count)

    @given(OPENINGS)
    def test_result_is_exact_with_enough_rows(self, openings):
        """With fewer callers than rows the result is that of exact counts."""
        for shares, recorded, now_s in record_openings(openings, 64):
            caller, exact = recorded[-1][0], ExactCounts(recorded, now_s)
            self.assertEqual(
                shares.exceeds_share(caller, now_s), exact.exceeds_share(caller)
            )

    @given(OPENINGS, st.integers(1, 12))
    def test_caller_within_share_never_exceeds_it(self, openings, limit_count):
        """With too few rows `exceeds_share` is still False for callers within it."""
        for shares, recorded, now_s in record_openings(openings, limit_count):
            exact = ExactCounts(recorded, now_s)
            for caller in set(exact.callers):
                if shares.exceeds_share(caller, now_s):
                    self.assertTrue(exact.exceeds_share(caller))

    def test_callers_that_lost_their_rows_count_once(self):
        """Callers that lost their row in the previous window are not counted as new."""
        shares, recorded = CallerCounts(12), []
        first = [*range(1, 13), 13] * 3
        for caller, opened_s in [(caller_id, 0.1) for caller_id in first] + [
            (caller_id, 0.6) for caller_id in [*range(1, 12)] * 3 + [0] * 20
        ]:
            shares.record(caller, opened_s)
            recorded.append((caller, opened_s))
        self.assertFalse(ExactCounts(recorded, 0.6).exceeds_share(0))
        self.assertFalse(shares.exceeds_share(0, 0.6))


class TestExceedsShare(unittest.TestCase):
    def simulate(self, rates, seconds, seed=1):
        """Simulate Poisson arrivals; return the time each caller first exceeded."""
        draw, shares, exceeded_since_s = random.Random(seed), CallerCounts(), {}
        callers, total, now_s = list(rates), sum(rates.values()), 0.0
        while now_s < seconds:
            now_s += draw.expovariate(total)
            (caller,) = draw.choices(callers, rates.values())
            shares.record(caller, now_s)
            if shares.exceeds_share(caller, now_s):
                exceeded_since_s.setdefault(caller, now_s)
        return exceeded_since_s

    def test_equal_callers_never_exceed_their_share(self):
        """Random variation alone makes no caller exceed its share."""
        for count, per_s in ((1, 500), (2, 300), (40, 18), (300, 3), (2_000, 1)):
            for seed in range(3):
                with self.subTest(count=count, per_s=per_s, seed=seed):
                    exceeded_since_s = self.simulate(
                        dict.fromkeys(range(count), per_s), 5.0, seed=seed
                    )
                    self.assertEqual(exceeded_since_s, {})

    def test_heavy_caller_exceeds_share_within_a_second(self):
        """Only a caller that opens twenty times as much as the others exceeds it."""
        for count, per_s in ((2, 30), (40, 18), (300, 3), (2_000, 1.5)):
            for seed in range(3):
                rates = dict.fromkeys(range(count), per_s) | {-1: 20 * per_s}
                with self.subTest(count=count, per_s=per_s, seed=seed):
                    exceeded_since_s = self.simulate(rates, 5.0, seed=seed)
                    self.assertEqual(list(exceeded_since_s), [-1])
                    self.assertLess(exceeded_since_s[-1], 1.0)

    def test_caller_is_within_share_a_second_after_it_stopped(self):
        """Openings no longer count once both windows have passed."""
        shares = CallerCounts()
        for index in range(100):
            shares.record(index % 10 if index < 50 else 99, 0.4)
        self.assertTrue(shares.exceeds_share(99, 0.9))
        self.assertFalse(shares.exceeds_share(99, 1.4))


class TestDeferIfOverShare(unittest.TestCase):
    @given(st.integers(0, 255), st.integers(0, 255), st.integers(1, 9))
    def test_ranks_last_only_while_others_wait(self, own, other, waiting):
        """The opening ranks below the least urgent; unchanged if no other waits."""
        opening = Opening(own, 0.0)
        demoted = defer_if_over_share(opening, True, waiting)
        self.assertGreater(demoted.rank, Opening(other, 0.0).rank)
        self.assertEqual(demoted.urgency, own)
        self.assertEqual(defer_if_over_share(opening, True, 0), opening)
        self.assertEqual(defer_if_over_share(opening, False, waiting), opening)

    def test_deferred_openings_get_no_reserved_places(self):
        """Openings of callers over their share are placed after all others."""
        queue = OpeningQueue()
        for index in range(60):
            opening = Opening(index % 3, 0.01 * index, aim_s=0.4)
            queue.push(defer_if_over_share(opening, index < 20, 1), index, index, 0.6)
        order = [queue.pop(0.6) for _ in range(60)]
        self.assertEqual(set(order[:40]), set(range(20, 60)))
