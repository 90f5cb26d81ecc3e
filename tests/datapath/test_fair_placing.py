import unittest
from unittest import mock

from agatethread.balancing import CallerCounts
from tests.datapath.pressure_simulation import OTHER, URGENT, PressureSimulation

GREEDY = 1_000


class FairnessSimulation(PressureSimulation):
    """Simulates callers with different rates."""

    def schedule_calls_of(self, caller, per_s, seconds, port=OTHER):
        at_s = 0.0
        while at_s < seconds:
            at_s += self.rng.expovariate(per_s)
            self.schedule(at_s, self.start_call, port, "a", 3, None, caller)

    def served_ratio_of(self, callers, aim_s=0.4):
        """Return the ratio of these callers' calls that were answered in time.

        A call that was retried counts with its last attempt only.
        """
        attempts = [
            attempt for key, attempt in self.last_attempts() if key.caller in callers
        ]
        return sum((attempt["answer_s"] or 9.0) <= aim_s for attempt in attempts) / len(
            attempts
        )

    def last_attempts(self):
        return [
            (key, attempt)
            for key, attempt in self.outcomes.items()
            if attempt["attempts_left"]
        ]


class TestGreedyCaller(unittest.TestCase):
    """Requests exceed the capacity, and one caller sends a third of them."""

    ORDINARY = range(1, 41)

    def simulate(self, greedy_port=OTHER):
        simulation = FairnessSimulation(entries=24, seed=3)
        for caller in self.ORDINARY:
            simulation.schedule_calls_of(caller, 18, 3.0)
        simulation.schedule_calls_of(GREEDY, 360, 3.0, greedy_port)
        simulation.run(5.0)
        return simulation

    def test_limits_greedy_caller_only(self):
        """Other callers are served in time with the shares, and not without them."""
        with mock.patch.object(CallerCounts, "exceeds_share", lambda *_: False):
            unlimited = self.simulate()
        simulation = self.simulate()
        self.assertLess(unlimited.served_ratio_of(self.ORDINARY), 0.95)
        self.assertGreater(simulation.served_ratio_of(self.ORDINARY), 0.98)
        self.assertGreater(simulation.served_ratio_of({GREEDY}), 0.2)
        self.assertGreater(simulation.count("openings_behind"), 100)

    def test_limits_urgent_greedy_caller(self):
        """Urgency does not exempt a caller from its share."""
        simulation = self.simulate(URGENT)
        self.assertGreater(simulation.served_ratio_of(self.ORDINARY), 0.98)

    def test_ranks_burst_behind_later_callers(self):
        """A burst of 600 openings waits behind those of other callers."""
        simulation = FairnessSimulation(entries=24, seed=3)
        for caller in self.ORDINARY:
            simulation.schedule_calls_of(caller, 18, 3.0)
        for _ in range(600):
            simulation.schedule(1.0, simulation.start_call, OTHER, "a", 3, None, GREEDY)
        simulation.run(5.0)
        self.assertGreater(simulation.served_ratio_of(self.ORDINARY), 0.999)

    def test_limits_no_caller_within_capacity(self):
        """With room for all, no caller is refused, and the greedy one is served."""
        simulation = FairnessSimulation(entries=24, seed=3)
        for caller in self.ORDINARY:
            simulation.schedule_calls_of(caller, 5, 3.0)
        simulation.schedule_calls_of(GREEDY, 400, 3.0)
        simulation.run(5.0)
        self.assertGreater(simulation.served_ratio_of({GREEDY}), 0.99)
        self.assertEqual(simulation.count("openings_refused_urgency_2"), 0)
