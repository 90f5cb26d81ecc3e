import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import FairQueue

ITEMS = st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 9)), max_size=40)


class ReferenceQueue:
    """Reference implementation with unsorted lists."""

    def __init__(self):
        self.queues = {}

    def push(self, partner, number, due_s):
        self.queues.setdefault(partner, []).append((due_s, number))

    def remove(self, partner, entry):
        self.queues[partner].remove(entry)
        if not self.queues[partner]:
            del self.queues[partner]

    def pop(self):
        partner = next(iter(self.queues))
        first = min(self.queues[partner])
        queue = self.queues.pop(partner)
        queue.remove(first)
        if queue:
            self.queues[partner] = queue
        return first


def fill(items):
    fair_queue, reference = FairQueue(), ReferenceQueue()
    for number, (partner, due_s) in enumerate(items):
        fair_queue.push(partner, number, due_s)
        reference.push(partner, number, due_s)
    return fair_queue, reference


class TestFairQueue(unittest.TestCase):
    @given(ITEMS, st.lists(st.integers(0, 39)), st.integers(0, 10))
    def test_order_matches_reference(self, items, removed, popped):
        """Partners take turns and items leave by due time, also after removals."""
        fair_queue, reference = fill(items)
        for _ in range(min(popped, len(items))):
            self.assertEqual(fair_queue.pop(), reference.pop()[1])
        for number in removed:
            is_queued = number in fair_queue
            self.assertEqual(fair_queue.discard(number), is_queued)
            if is_queued:
                reference.remove(items[number][0], (items[number][1], number))
        while reference.queues:
            self.assertEqual(fair_queue.pop(), reference.pop()[1])
        self.assertEqual(
            (fair_queue.pop(), len(fair_queue), fair_queue._queues), (None, 0, {})
        )

    @given(ITEMS, st.sampled_from("abcde"), st.integers(0, 9))
    def test_count_ahead_bounds_items_served_first(self, items, partner, due_s):
        """The count is an upper bound that exceeds by at most one item per partner."""
        fair_queue, _ = fill(items)
        max_ahead = fair_queue.count_ahead(partner, due_s)
        fair_queue.push(partner, "new", due_s)
        served_first = 0
        while fair_queue.pop() != "new":
            served_first += 1
        self.assertLessEqual(served_first, max_ahead)
        self.assertGreaterEqual(
            served_first, max_ahead - len({name for name, _ in items})
        )

    @given(ITEMS, st.floats(0.0, 9.0), st.floats(0.0, 2.0))
    def test_removes_exactly_the_unservable_items(self, items, first_s, turn_s):
        """All items left are served in time, and each removed one would be late."""
        fair_queue, _ = fill(items)
        unservable = fair_queue.pop_unservable(first_s, turn_s)
        self.assertEqual(len(fair_queue) + len(unservable), len(items))
        for number, done_s in self.serve_in_turn(fair_queue, first_s, turn_s):
            self.assertLessEqual(done_s, items[number][1])
        for removed in unservable:
            fair_queue, _ = fill(items)
            for other in set(unservable) - {removed}:
                fair_queue.discard(other)
            done_s = dict(self.serve_in_turn(fair_queue, first_s, turn_s))[removed]
            self.assertGreater(done_s, items[removed][1])

    def serve_in_turn(self, fair_queue, first_s, turn_s):
        while (number := fair_queue.pop()) is not None:
            yield number, first_s
            first_s += turn_s

    @given(ITEMS, st.sampled_from("abcde"))
    def test_evicts_last_item_of_longest_queue(self, items, partner):
        """The longest queue loses its last due item if it is longer by two or more."""
        fair_queue, reference = fill(items)
        counts = {name: len(queue) for name, queue in reference.queues.items()}
        own = counts.get(partner, 0)
        number = fair_queue.evict_last_of_longest(partner)
        if number is None:
            self.assertLess(max(counts.values(), default=0), own + 2)
            return
        evicted_partner = items[number][0]
        self.assertEqual(counts[evicted_partner], max(counts.values()))
        self.assertGreater(counts[evicted_partner], own + 1)
        self.assertEqual(
            (items[number][1], number), max(reference.queues[evicted_partner])
        )
