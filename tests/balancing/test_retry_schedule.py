import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import RetrySchedule, choose_retry_after_s

#: Retry times are sent in whole milliseconds.
WAITS = st.integers(0, 120_000).map(lambda wait_ms: wait_ms / 1000)
URGENCIES = st.integers(0, 9)
DRAWS = st.floats(0.0, 1.0)


class TestChooseRetryAfter(unittest.TestCase):
    @given(WAITS, URGENCIES, DRAWS)
    def test_retry_is_within_second_half_of_wait(self, wait_s, urgency, draw):
        """A retry time is no later than the wait and no earlier than half of it."""
        retry_after_s = choose_retry_after_s(wait_s, urgency, draw)
        self.assertLessEqual(retry_after_s, wait_s)
        self.assertGreaterEqual(retry_after_s, min(wait_s, 30.0) / 2 - 1e-9)

    @given(WAITS, URGENCIES)
    def test_jitter_grows_with_lower_urgency(self, wait_s, urgency):
        """The jitter grows with the urgency's number and is above zero."""
        spreads = [
            choose_retry_after_s(wait_s, number, 0)
            - choose_retry_after_s(wait_s, number, 1)
            for number in (urgency, urgency + 1)
        ]
        self.assertLessEqual(spreads[0], spreads[1] + 1e-9)
        if wait_s:
            self.assertGreater(spreads[0], 0.0)


class TestRetrySchedule(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 3)), min_size=1))
    def test_reserved_times_are_a_turn_apart(self, refusals):
        """Times are a turn apart, not before the wait and not above the bound."""
        schedule, last_s, now_s = RetrySchedule(), 0.0, 0.0
        for pause_s, wait_s in refusals:
            now_s += pause_s
            retry_after_s = schedule.reserve("p", wait_s, 0.02, now_s)
            self.assertGreaterEqual(retry_after_s, wait_s)
            self.assertLessEqual(retry_after_s, 30.0)
            if retry_after_s < 29.9 and last_s:
                self.assertGreaterEqual(now_s + retry_after_s, last_s + 0.02 - 1e-9)
            last_s = now_s + retry_after_s

    def test_retries_are_spread_at_service_rate(self):
        """A thousand callers refused at once retry at the rate of the servers."""
        for urgency in (0, 9):
            schedule, draw = RetrySchedule(), random.Random(1)
            retry_times_s = sorted(
                choose_retry_after_s(
                    schedule.reserve("p", 0.5, 0.005, 0.0), urgency, draw.random()
                )
                for _ in range(1_000)
            )
            self.assertLessEqual(retry_times_s[-1], 0.5 + 1_000 * 0.005)
            for start_s in (0.5, 1.5, 2.5, 3.5):
                retry_count = sum(
                    start_s <= time_s < start_s + 1 for time_s in retry_times_s
                )
                self.assertAlmostEqual(retry_count, 200, delta=20)

    def test_partner_with_many_callers_does_not_delay_another(self):
        """A partner's callers get times between those of one with many callers."""
        schedule = RetrySchedule()
        for _ in range(2_000):
            schedule.reserve("big", 0.5, 0.005, 0.0)
        retry_after_s = [schedule.reserve("small", 0.5, 0.005, 0.0) for _ in range(3)]
        self.assertLess(max(retry_after_s), 0.5 + 3 * 2 * 0.005 + 1e-9)

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 0.5)), min_size=1),
        st.sampled_from((0.1, 0.4, 2.0)),
    )
    def test_turns_delay_no_caller_beyond_a_single_partner(self, refusals, turn_s):
        """With partners taking turns no time is later than with one partner for all."""
        schedule, single_partner, now_s = RetrySchedule(), RetrySchedule(), 0.0
        for partner, pause_s in refusals:
            now_s += pause_s
            retry_after_s = schedule.reserve(partner, 0.5, turn_s, now_s)
            self.assertLessEqual(
                retry_after_s, single_partner.reserve("", 0.5, turn_s, now_s) + 1e-9
            )
            self.assertGreaterEqual(retry_after_s, 0.5)
            self.assertLessEqual(len(schedule), 3)

    def test_past_partners_are_removed(self):
        """Partners are removed once their reserved times have passed."""
        schedule = RetrySchedule()
        for index in range(1_000):
            schedule.reserve(f"name-{index}", 0.0, 0.001, index / 10)
        self.assertLess(len(schedule), 3)

    def test_overbooking_is_bounded(self):
        """No second is reserved for more than 1.5 times what can be served."""
        draw = random.Random(1)
        partner_orders = {
            "mixed": [draw.randrange(50) for _ in range(1_000)],
            "one after the other": [index // 20 for index in range(1_000)],
            "one partner first": [0] * 500 + [draw.randrange(50) for _ in range(500)],
        }
        for name, partners in partner_orders.items():
            schedule = RetrySchedule()
            retry_times_s = [
                schedule.reserve(str(partner), 0.0, 0.005, 0.0) for partner in partners
            ]
            retry_count = Counter(int(time_s) for time_s in retry_times_s)
            with self.subTest(name):
                self.assertLessEqual(max(retry_count.values()), 1.5 * 200)
                self.assertLessEqual(max(retry_times_s), 1_000 * 0.005 + 1e-9)
