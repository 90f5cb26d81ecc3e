import random
import unittest
from math import inf

from agatethread.balancing import PressureGauge

#: Entry instances and slots of a failure domain.
ENTRIES, SLOTS = 28, 40
LOW_LOAD_PER_S, BURST_PER_S = 9.0, 81.0


class Instance:
    """Simulated flows of one instance with random arrivals, and its gauge."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.gauge = PressureGauge()
        self.now_s, self.flow_ends_s, self.changed_s = 0.0, [], []
        self.is_high = False

    def simulate(self, per_s, utilization, seconds):
        """Simulate flows that use a share of the slots if all instances do the same."""
        flow_duration_s = utilization * SLOTS / ENTRIES / per_s
        end_s = self.now_s + seconds
        while (opened_s := self.now_s + self.draw.expovariate(per_s)) < end_s:
            self.now_s = opened_s
            self.flow_ends_s = [
                time_s for time_s in self.flow_ends_s if time_s > opened_s
            ]
            is_high = self.gauge.record_opening(
                "tab", len(self.flow_ends_s), ENTRIES, SLOTS, opened_s
            )
            if is_high != self.is_high:
                self.changed_s.append(opened_s)
            self.is_high = is_high
            self.flow_ends_s.append(
                opened_s + flow_duration_s * self.draw.uniform(0.5, 1.5)
            )
        self.now_s = end_s


class TestPressureGauge(unittest.TestCase):
    def test_low_load_rarely_shows_pressure(self):
        """Coinciding flows at low load rarely begin a period of pressure."""
        for utilization, max_changes in ((0.1, 8), (0.15, 20), (0.2, 40)):
            instance = Instance(1)
            instance.simulate(LOW_LOAD_PER_S, utilization, 600.0)
            self.assertLessEqual(len(instance.changed_s), max_changes, utilization)

    def test_detects_burst_quickly(self):
        """Most instances detect a burst within 0.3 s, and all within a second."""
        detected_after_s, high_count = [], 0
        for seed in range(50):
            instance = Instance(seed)
            instance.simulate(LOW_LOAD_PER_S, 0.1, 5.0)
            instance.changed_s.clear()
            instance.simulate(BURST_PER_S, 0.92, 3.0)
            detected_after_s.append(
                instance.changed_s[0] - 5.0 if instance.changed_s else inf
            )
            high_count += instance.is_high
        self.assertGreaterEqual(sum(time_s <= 0.3 for time_s in detected_after_s), 38)
        self.assertLess(max(detected_after_s), 1.0)
        self.assertGreaterEqual(high_count, 49)

    def test_pressure_ends_within_a_second(self):
        """A second after a burst nearly no instance is under pressure."""
        high_count = 0
        for seed in range(50):
            instance = Instance(seed)
            instance.simulate(BURST_PER_S, 0.95, 3.0)
            instance.simulate(LOW_LOAD_PER_S, 0.15, 1.0)
            high_count += instance.is_high
        self.assertLessEqual(high_count, 3)

    def test_no_pressure_without_slots(self):
        """A service without slots is not under pressure."""
        gauge = PressureGauge()
        gauge.record_opening("tab", 100, ENTRIES, SLOTS, 0.0)
        self.assertFalse(gauge.record_opening("tab", 100, ENTRIES, 0, 0.1))
