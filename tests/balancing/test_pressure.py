import random
import unittest
from math import inf

from agatethread.balancing import PressureGauge

#: Entry instances and slots of a failure domain.
ENTRIES, SLOTS = 28, 40
CALM_PER_S, CROWD_PER_S = 9.0, 81.0


class Instance:
    """One instance's flows, which come by chance, and what its gauge says."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.gauge = PressureGauge()
        self.now_s, self.ends, self.changes = 0.0, [], []
        self.is_high = False

    def play(self, per_s, use, seconds):
        """Let flows come that use a share of the slots, if all see as many."""
        hold_s = use * SLOTS / ENTRIES / per_s
        end_s = self.now_s + seconds
        while (at_s := self.now_s + self.draw.expovariate(per_s)) < end_s:
            self.now_s = at_s
            self.ends = [one for one in self.ends if one > at_s]
            high = self.gauge.is_high("tab", len(self.ends), ENTRIES, SLOTS, at_s)
            if high != self.is_high:
                self.changes.append(at_s)
            self.is_high = high
            self.ends.append(at_s + hold_s * self.draw.uniform(0.5, 1.5))
        self.now_s = end_s


class TestPressureGauge(unittest.TestCase):
    def test_calm_is_no_crowd(self):
        """Flows that meet by chance in calm hardly ever look like a crowd."""
        for use, most in ((0.1, 8), (0.15, 20), (0.2, 40)):
            instance = Instance(1)
            instance.play(CALM_PER_S, use, 600.0)
            self.assertLessEqual(len(instance.changes), most, use)

    def test_crowd_shows_at_once(self):
        """A crowd shows within 0.3 s to most and soon to all, and keeps showing."""
        after_s, high_count = [], 0
        for seed in range(50):
            instance = Instance(seed)
            instance.play(CALM_PER_S, 0.1, 5.0)
            instance.changes.clear()
            instance.play(CROWD_PER_S, 0.92, 3.0)
            after_s.append(instance.changes[0] - 5.0 if instance.changes else inf)
            high_count += instance.is_high
        self.assertGreaterEqual(sum(one <= 0.3 for one in after_s), 38)
        self.assertLess(max(after_s), 1.0)
        self.assertGreaterEqual(high_count, 49)

    def test_end_of_crowd_shows_within_a_second(self):
        """A second after a crowd nearly all instances are calm."""
        high_count = 0
        for seed in range(50):
            instance = Instance(seed)
            instance.play(CROWD_PER_S, 0.95, 3.0)
            instance.play(CALM_PER_S, 0.15, 1.0)
            high_count += instance.is_high
        self.assertLessEqual(high_count, 3)

    def test_no_slots_no_pressure(self):
        """Where there is no slot, sharing them helps nobody."""
        gauge = PressureGauge()
        gauge.is_high("tab", 100, ENTRIES, SLOTS, 0.0)
        self.assertFalse(gauge.is_high("tab", 100, ENTRIES, 0, 0.1))
