import unittest
from math import inf

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agatethread.balancing import PATIENCE_S, Opening, WaitingLine

LIMIT = 12
AIMS_S = st.sampled_from([0.0, 0.1, 0.4, inf])


class LineMachine(RuleBasedStateMachine):
    """A line beside a plain list that is sorted anew each time."""

    def __init__(self):
        super().__init__()
        self.now_s, self.pops = 100.0, 0
        self.line = WaitingLine(LIMIT)
        self.waiting = {}

    def rank(self, key):
        """Sort key within an urgency; of two alike the first that came."""
        one, number = self.waiting[key]
        due_s = one.asked_s + one.aim_s
        if due_s > self.now_s:
            return (False, due_s, number)
        return (True, one.asked_s, number)

    def alive(self, urgency):
        """Those of an urgency whom a place helps, in their order."""
        keys = [
            key
            for key, (one, _) in self.waiting.items()
            if one.urgency == urgency
            and self.now_s <= one.asked_s + min(PATIENCE_S, one.timeout_s)
        ]
        return sorted(keys, key=self.rank)

    @rule(
        urgency=st.integers(0, 2),
        ago_s=st.sampled_from([0.0, 0.1, 0.5, 1.29, 1.4]),
        aim_s=AIMS_S,
        timeout_s=st.sampled_from([0.2, 2.0]),
        key=st.integers(0, 20),
    )
    def push(self, urgency, ago_s, aim_s, timeout_s, key):
        # A tiny shift makes every time differ, so that there is one right order.
        asked_s = self.now_s - ago_s - 1e-6 * self.line_number()
        one = Opening(urgency, asked_s, aim_s, timeout_s)
        is_worth = self.now_s <= asked_s + min(PATIENCE_S, timeout_s)
        expected = key not in self.waiting and len(self.waiting) < LIMIT and is_worth
        assert self.line.push(one, key, key, self.now_s) is expected
        if expected:
            self.waiting[key] = (one, self.number)

    number = 0

    def line_number(self):
        self.number += 1
        return self.number

    @rule()
    def pop(self):
        self.pops += 1
        queues = [queue for urgency in range(3) if (queue := self.alive(urgency))]
        expected = queues[0][0] if queues else None
        if self.pops % 8 == 0 and len(queues) > 1:
            firsts = [queue[0] for queue in queues[1:]]
            expected = min(firsts, key=lambda key: self.waiting[key][0].asked_s)
        got = self.line.pop(self.now_s)
        assert got == expected
        self.waiting.pop(got, None)

    @rule(key=st.integers(0, 20))
    def discard(self, key):
        assert self.line.discard(key) is (self.waiting.pop(key, None) is not None)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5]))
    def wait(self, seconds):
        self.now_s += seconds

    @rule()
    def take_expired(self):
        alive = {key for urgency in range(3) for key in self.alive(urgency)}
        expired = sorted(set(self.waiting) - alive)
        assert sorted(self.line.take_expired(self.now_s)) == expired
        for key in expired:
            del self.waiting[key]

    @invariant()
    def counts_are_right(self):
        assert len(self.line) == len(self.waiting) <= LIMIT
        for urgency in range(3):
            ahead = [one for one, _ in self.waiting.values() if one.urgency <= urgency]
            assert self.line.count_ahead(urgency) == len(ahead)
        assert all(key in self.line for key in self.waiting)


TestLineMachine = LineMachine.TestCase
TestLineMachine.settings = settings(max_examples=150, deadline=None)


class TestWaitingLine(unittest.TestCase):
    def test_long_crowd_leaves_nothing_behind(self):
        """Openings that expire or leave behind others are not kept."""
        line = WaitingLine()
        for number in range(20_000):
            now_s = number / 1_000
            line.push(Opening(2, now_s, aim_s=0.1), number, number, now_s)
            line.push(Opening(1, now_s), -number - 1, -number - 1, now_s)
            line.discard(-number - 1)
            if number % 50 == 0:
                line.pop(now_s)
                line.take_expired(now_s)
        held = sum(len(c.in_time) + len(c.late) for c in line._classes.values())
        self.assertLess(held, 3 * len(line) + 200)

    def test_urgent_do_not_starve_others(self):
        """One of eight places goes to the less urgent."""
        line = WaitingLine()
        for number in range(40):
            line.push(Opening(number % 2, number / 1_000), number, number, 0.1)
        first = [line.pop(0.1) % 2 for _ in range(16)]
        self.assertEqual(sum(first), 2)
