import unittest
from math import inf

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agatethread.balancing import MAX_PLACEMENT_DELAY_S, Opening, OpeningQueue

LIMIT = 12
AIMS_S = st.sampled_from([0.0, 0.1, 0.4, inf])


class OpeningQueueMachine(RuleBasedStateMachine):
    """Compares the queue with a plain dict that is sorted for each operation."""

    def __init__(self):
        super().__init__()
        self.now_s, self.pop_count = 100.0, 0
        self.queue = OpeningQueue(LIMIT)
        self.waiting = {}

    def order_key(self, key):
        """Return the sort key within an urgency; ties are in order of arrival."""
        opening, number = self.waiting[key]
        due_s = opening.requested_s + opening.aim_s
        if due_s > self.now_s:
            return (False, due_s, number)
        return (True, opening.requested_s, number)

    def unexpired(self, urgency):
        """Return the keys of an urgency that have not expired, in order."""
        keys = [
            key
            for key, (opening, _) in self.waiting.items()
            if opening.urgency == urgency
            and self.now_s
            <= opening.requested_s + min(MAX_PLACEMENT_DELAY_S, opening.timeout_s)
        ]
        return sorted(keys, key=self.order_key)

    @rule(
        urgency=st.integers(0, 2),
        age_s=st.sampled_from([0.0, 0.1, 0.5, 1.29, 1.4]),
        aim_s=AIMS_S,
        timeout_s=st.sampled_from([0.2, 2.0]),
        key=st.integers(0, 20),
    )
    def push(self, urgency, age_s, aim_s, timeout_s, key):
        # Make every time distinct, so that the expected order is unique.
        requested_s = self.now_s - age_s - 1e-6 * self.next_number()
        opening = Opening(urgency, requested_s, aim_s, timeout_s)
        is_in_time = self.now_s <= requested_s + min(MAX_PLACEMENT_DELAY_S, timeout_s)
        expected = key not in self.waiting and len(self.waiting) < LIMIT and is_in_time
        assert self.queue.push(opening, key, key, self.now_s) is expected
        if expected:
            self.waiting[key] = (opening, self.number)

    number = 0

    def next_number(self):
        self.number += 1
        return self.number

    @rule()
    def pop(self):
        self.pop_count += 1
        ranked_keys = [
            keys for urgency in range(3) if (keys := self.unexpired(urgency))
        ]
        expected = ranked_keys[0][0] if ranked_keys else None
        if self.pop_count % 8 == 0 and len(ranked_keys) > 1:
            firsts = [keys[0] for keys in ranked_keys[1:]]
            expected = min(firsts, key=lambda key: self.waiting[key][0].requested_s)
        popped = self.queue.pop(self.now_s)
        assert popped == expected
        self.waiting.pop(popped, None)

    @rule(key=st.integers(0, 20))
    def discard(self, key):
        assert self.queue.discard(key) is (self.waiting.pop(key, None) is not None)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5]))
    def wait(self, seconds):
        self.now_s += seconds

    @rule()
    def pop_expired(self):
        unexpired = {key for urgency in range(3) for key in self.unexpired(urgency)}
        expired = sorted(set(self.waiting) - unexpired)
        assert sorted(self.queue.pop_expired(self.now_s)) == expired
        for key in expired:
            del self.waiting[key]

    @invariant()
    def counts_are_right(self):
        assert len(self.queue) == len(self.waiting) <= LIMIT
        for urgency in range(3):
            ahead = [
                opening
                for opening, _ in self.waiting.values()
                if opening.urgency <= urgency
            ]
            assert self.queue.count_ahead(urgency) == len(ahead)
        assert all(key in self.queue for key in self.waiting)


TestOpeningQueueMachine = OpeningQueueMachine.TestCase
TestOpeningQueueMachine.settings = settings(max_examples=150, deadline=None)


class TestOpeningQueue(unittest.TestCase):
    def test_memory_is_bounded_in_long_burst(self):
        """Entries of openings that expire or are removed are deleted."""
        queue = OpeningQueue()
        for number in range(20_000):
            now_s = number / 1_000
            queue.push(Opening(2, now_s, aim_s=0.1), number, number, now_s)
            queue.push(Opening(1, now_s), -number - 1, -number - 1, now_s)
            queue.discard(-number - 1)
            if number % 50 == 0:
                queue.pop(now_s)
                queue.pop_expired(now_s)
        entry_count = sum(
            len(rank_queue.in_time) + len(rank_queue.late)
            for rank_queue in queue._rank_queues.values()
        )
        self.assertLess(entry_count, 3 * len(queue) + 200)

    def test_urgent_openings_do_not_starve_others(self):
        """One of eight places goes to a less urgent opening."""
        queue = OpeningQueue()
        for number in range(40):
            queue.push(Opening(number % 2, number / 1_000), number, number, 0.1)
        first_urgencies = [queue.pop(0.1) % 2 for _ in range(16)]
        self.assertEqual(sum(first_urgencies), 2)
