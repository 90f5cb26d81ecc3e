import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import FairTurns

ITEMS = st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 9)), max_size=40)


class Oracle:
    """Lines as plain lists, sorted anew each time."""

    def __init__(self):
        self.lines = {}

    def push(self, owner, number, due_s):
        self.lines.setdefault(owner, []).append((due_s, number))

    def remove(self, owner, one):
        self.lines[owner].remove(one)
        if not self.lines[owner]:
            del self.lines[owner]

    def pop(self):
        owner = next(iter(self.lines))
        first = min(self.lines[owner])
        line = self.lines.pop(owner)
        line.remove(first)
        if line:
            self.lines[owner] = line
        return first


def fill(items):
    turns, oracle = FairTurns(), Oracle()
    for number, (owner, due_s) in enumerate(items):
        turns.push(owner, number, due_s)
        oracle.push(owner, number, due_s)
    return turns, oracle


class TestFairTurns(unittest.TestCase):
    @given(ITEMS, st.lists(st.integers(0, 39)), st.integers(0, 10))
    def test_order_is_that_of_plain_lists(self, items, gone, popped):
        """Whatever leaves in between, owners take turns, the first due before all."""
        turns, oracle = fill(items)
        for _ in range(min(popped, len(items))):
            self.assertEqual(turns.pop(), oracle.pop()[1])
        for number in gone:
            waits = number in turns
            self.assertEqual(turns.discard(number), waits)
            if waits:
                oracle.remove(items[number][0], (items[number][1], number))
        while oracle.lines:
            self.assertEqual(turns.pop(), oracle.pop()[1])
        self.assertEqual((turns.pop(), len(turns), turns._lines), (None, 0, {}))

    @given(ITEMS, st.sampled_from("abcde"), st.integers(0, 9))
    def test_nobody_waits_longer_than_counted(self, items, owner, due_s):
        """No more go first than are counted, and one fewer a round than there can."""
        turns, _ = fill(items)
        counted = turns.count_ahead(owner, due_s)
        turns.push(owner, "new", due_s)
        ahead = 0
        while turns.pop() != "new":
            ahead += 1
        self.assertLessEqual(ahead, counted)
        self.assertGreaterEqual(ahead, counted - len({one for one, _ in items}))

    @given(ITEMS, st.floats(0.0, 9.0), st.floats(0.0, 2.0))
    def test_just_those_are_hopeless_who_are_late(self, items, first_s, turn_s):
        """Served in turn, all that are left are in time; one more would not be."""
        turns, _ = fill(items)
        hopeless = turns.take_hopeless(first_s, turn_s)
        self.assertEqual(len(turns) + len(hopeless), len(items))
        for number, done_s in self.serve(turns, first_s, turn_s):
            self.assertLessEqual(done_s, items[number][1])
        for one in hopeless:
            turns, _ = fill(items)
            for other in set(hopeless) - {one}:
                turns.discard(other)
            done_s = dict(self.serve(turns, first_s, turn_s))[one]
            self.assertGreater(done_s, items[one][1])

    def serve(self, turns, first_s, turn_s):
        while (number := turns.pop()) is not None:
            yield number, first_s
            first_s += turn_s

    @given(ITEMS, st.sampled_from("abcde"))
    def test_room_is_made_by_whoever_has_most(self, items, owner):
        """The longest line loses its last due, unless the owner's would be as long."""
        turns, oracle = fill(items)
        counts = {one: len(line) for one, line in oracle.lines.items()}
        own = counts.get(owner, 0)
        number = turns.take_last_of_longest(owner)
        if number is None:
            self.assertLess(max(counts.values(), default=0), own + 2)
            return
        loser = items[number][0]
        self.assertEqual(counts[loser], max(counts.values()))
        self.assertGreater(counts[loser], own + 1)
        self.assertEqual((items[number][1], number), max(oracle.lines[loser]))
