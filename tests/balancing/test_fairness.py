import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import CallerShares, Opening, WaitingLine, rank_opening
from agatethread.balancing._fairness import _FLOOR_COUNT, _OVER_FACTOR, _WINDOW_S

#: Callers of openings, and the pauses before them; long ones pass whole windows.
OPENINGS = st.lists(
    st.tuples(
        st.one_of(st.integers(0, 3), st.integers(0, 40)),
        st.sampled_from((0.0, 0.001, 0.01, 0.1, 0.6, 1.7)),
    ),
    max_size=300,
)


class Oracle:
    """Every opening of the two windows, exactly."""

    def __init__(self, notes, now_s):
        number = int(now_s // _WINDOW_S)
        self.windows = [
            [caller for caller, at_s in notes if int(at_s // _WINDOW_S) == one]
            for one in (number, number - 1)
        ]
        self.callers = self.windows[0] + self.windows[1]

    def error(self, limit_count):
        return sum(len(window) // (limit_count + 1) for window in self.windows)

    def is_over(self, caller):
        own, others = self.callers.count(caller), set(self.callers) - {caller}
        if own <= _FLOOR_COUNT or not others:
            return False
        return own > _OVER_FACTOR * (len(self.callers) - own) / len(others)


def play(openings, limit_count):
    """Note openings; yield the shares, all of them so far, and the time."""
    shares, notes, now_s = CallerShares(limit_count), [], 7.3
    for caller, pause_s in openings:
        now_s += pause_s
        shares.note(caller, now_s)
        notes.append((caller, now_s))
        yield shares, notes, now_s


class TestCounts(unittest.TestCase):
    @given(OPENINGS, st.integers(1, 12))
    def test_error_and_memory_are_bounded(self, openings, limit_count):
        """A count is never too high, nor too low by more than is said."""
        for shares, notes, now_s in play(openings, limit_count):
            caller, exact = notes[-1][0], Oracle(notes, now_s)
            found = shares.count(caller, now_s)
            true = exact.callers.count(caller)
            self.assertLessEqual(found, true)
            self.assertGreaterEqual(found, true - exact.error(limit_count))
            self.assertLessEqual(len(shares), 2 * limit_count)

    @given(OPENINGS)
    def test_exact_with_a_row_for_each(self, openings):
        """With fewer callers than rows the verdict is that of the exact counts."""
        for shares, notes, now_s in play(openings, 64):
            caller, exact = notes[-1][0], Oracle(notes, now_s)
            self.assertEqual(shares.is_over(caller, now_s), exact.is_over(caller))

    @given(OPENINGS, st.integers(1, 12))
    def test_nobody_is_found_over_who_is_not(self, openings, limit_count):
        """With too few rows some who are over are missed, and nobody else found."""
        for shares, notes, now_s in play(openings, limit_count):
            exact = Oracle(notes, now_s)
            for caller in set(exact.callers):
                if shares.is_over(caller, now_s):
                    self.assertTrue(exact.is_over(caller))

    def test_callers_that_lost_their_rows_count_once(self):
        """Those of the window before who have no row there are not taken for new."""
        shares, notes = CallerShares(12), []
        first = [*range(1, 13), 13] * 3
        for caller, at_s in [(one, 0.1) for one in first] + [
            (one, 0.6) for one in [*range(1, 12)] * 3 + [0] * 20
        ]:
            shares.note(caller, at_s)
            notes.append((caller, at_s))
        self.assertFalse(Oracle(notes, 0.6).is_over(0))
        self.assertFalse(shares.is_over(0, 0.6))


class TestVerdicts(unittest.TestCase):
    def come(self, rates, seconds, seed=1):
        """Callers that come at random at rates; who was ever over, and since when."""
        draw, shares, over = random.Random(seed), CallerShares(), {}
        callers, total, now_s = list(rates), sum(rates.values()), 0.0
        while now_s < seconds:
            now_s += draw.expovariate(total)
            (caller,) = draw.choices(callers, rates.values())
            shares.note(caller, now_s)
            if shares.is_over(caller, now_s):
                over.setdefault(caller, now_s)
        return over

    def test_equal_callers_are_never_over(self):
        """Chance alone puts nobody over, with few callers or many, slow or fast."""
        for count, per_s in ((1, 500), (2, 300), (40, 18), (300, 3), (2_000, 1)):
            for seed in range(3):
                with self.subTest(count=count, per_s=per_s, seed=seed):
                    over = self.come(dict.fromkeys(range(count), per_s), 5.0, seed=seed)
                    self.assertEqual(over, {})

    def test_greedy_one_is_found_within_a_second(self):
        """One that opens twenty times as much as each other, and nobody else."""
        for count, per_s in ((2, 30), (40, 18), (300, 3), (2_000, 1.5)):
            for seed in range(3):
                rates = dict.fromkeys(range(count), per_s) | {-1: 20 * per_s}
                with self.subTest(count=count, per_s=per_s, seed=seed):
                    over = self.come(rates, 5.0, seed=seed)
                    self.assertEqual(list(over), [-1])
                    self.assertLess(over[-1], 1.0)

    def test_it_is_over_no_longer_a_second_after_it_stopped(self):
        """What a caller took is forgotten once both windows have passed."""
        shares = CallerShares()
        for nth in range(100):
            shares.note(nth % 10 if nth < 50 else 99, 0.4)
        self.assertTrue(shares.is_over(99, 0.9))
        self.assertFalse(shares.is_over(99, 1.4))


class TestRank(unittest.TestCase):
    @given(st.integers(0, 255), st.integers(0, 255), st.integers(1, 9))
    def test_it_goes_behind_all_only_while_others_wait(self, own, other, waiting):
        """Behind the least urgent of the others; unchanged where nobody waits."""
        opening = Opening(own, 0.0)
        behind = rank_opening(opening, True, waiting)
        self.assertGreater(behind.rank, Opening(other, 0.0).rank)
        self.assertEqual(behind.urgency, own)
        self.assertEqual(rank_opening(opening, True, 0), opening)
        self.assertEqual(rank_opening(opening, False, waiting), opening)

    def test_turns_of_the_less_urgent_are_not_for_it(self):
        """All others get their places first, whenever and as whatever they asked."""
        line = WaitingLine()
        for nth in range(60):
            opening = Opening(nth % 3, 0.01 * nth, aim_s=0.4)
            line.push(rank_opening(opening, nth < 20, 1), nth, nth, 0.6)
        order = [line.pop(0.6) for _ in range(60)]
        self.assertEqual(set(order[:40]), set(range(20, 60)))
