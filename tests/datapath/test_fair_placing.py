import unittest
from unittest import mock

from agatethread.balancing import CallerShares
from tests.datapath.crowds import OTHER, URGENT, World

GREEDY = 1_000


class FairWorld(World):
    """Forty callers, and one that asks twenty times as often as each of them."""

    def come(self, caller, per_s, seconds, port=OTHER):
        at_s = 0.0
        while at_s < seconds:
            at_s += self.draw.expovariate(per_s)
            self.later(at_s, self.call, port, "a", 3, None, caller)

    def served_of(self, callers, aim_s=0.4):
        """Share of these callers' requests that were answered within the aim."""
        last = [one for key, one in self.last_tries() if key.caller in callers]
        return sum((one["answer_s"] or 9.0) <= aim_s for one in last) / len(last)

    def last_tries(self):
        return [(key, one) for key, one in self.outcomes.items() if one["tries"]]


class TestGreedyCaller(unittest.TestCase):
    """The servers bear some 910 requests a second; 1,080 are asked for."""

    ORDINARY = range(1, 41)

    def play(self, greedy_port=OTHER):
        world = FairWorld(entries=24, seed=3)
        for caller in self.ORDINARY:
            world.come(caller, 18, 3.0)
        world.come(GREEDY, 360, 3.0, greedy_port)
        world.run(5.0)
        return world

    def test_greedy_caller_pays_alone(self):
        """With the shares on the others are served, without them all pay alike."""
        with mock.patch.object(CallerShares, "is_over", lambda *_: False):
            alike = self.play()
        world = self.play()
        self.assertLess(alike.served_of(self.ORDINARY), 0.95)
        self.assertGreater(world.served_of(self.ORDINARY), 0.98)
        self.assertGreater(world.served_of({GREEDY}), 0.2)
        self.assertGreater(world.count("openings_behind"), 100)

    def test_urgency_is_no_way_around_it(self):
        """One that calls all of its work urgent still goes behind the others'."""
        world = self.play(URGENT)
        self.assertGreater(world.served_of(self.ORDINARY), 0.98)

    def test_burst_is_not_before_those_who_come_after_it(self):
        """Six hundred at once wait behind the others, also those that come later."""
        world = FairWorld(entries=24, seed=3)
        for caller in self.ORDINARY:
            world.come(caller, 18, 3.0)
        for _ in range(600):
            world.later(1.0, world.call, OTHER, "a", 3, None, GREEDY)
        world.run(5.0)
        self.assertGreater(world.served_of(self.ORDINARY), 0.999)

    def test_no_place_stays_empty_for_it(self):
        """Alone with all the room, the greedy caller is neither refused nor behind."""
        world = FairWorld(entries=24, seed=3)
        for caller in self.ORDINARY:
            world.come(caller, 5, 3.0)
        world.come(GREEDY, 400, 3.0)
        world.run(5.0)
        self.assertGreater(world.served_of({GREEDY}), 0.99)
        self.assertEqual(world.count("openings_refused_urgency_2"), 0)
