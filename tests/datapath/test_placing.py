import heapq
import random
import unittest
from statistics import mean

from agatethread.datapath import Backend, choose_backend
from agatethread.datapath._placing import choose_service, order_services, place_flow
from agatethread.routing import Target
from tests.datapath.fixtures import run


def simulate(choose, per_s=85.0, work_s=0.029, seconds=60.0, seed=1):
    """Simulate short flows on seven servers with two slots; return waits in seconds.

    The load has bursts of 50 % more flows.
    """
    draw = random.Random(seed)
    backends = [Backend(run(number)) for number in range(1, 8)]
    ends = {backend: [0.0] * backend.slots for backend in backends}
    finished, waits, now_s = [], [], 0.0
    while now_s < seconds:
        burst_factor = 1.5 if int(now_s) % 10 < 3 else 1.0
        # Needs 0.62 of the slots between bursts, and 0.92 in them.
        now_s += draw.expovariate(per_s * burst_factor * 3.5)
        while finished and finished[0][0] <= now_s:
            heapq.heappop(finished)[2].in_flight -= 1
        backend = choose(backends, draw, now_s)
        slot = min(range(2), key=ends[backend].__getitem__)
        start_s = max(now_s, ends[backend][slot])
        ends[backend][slot] = start_s + draw.uniform(0.5, 1.5) * work_s
        waits.append(start_s - now_s)
        backend.in_flight += 1
        heapq.heappush(finished, (ends[backend][slot], len(waits), backend))
    return waits


def at_quantile(waits, quantile):
    """Return the wait that this share of all waits is below."""
    return sorted(waits)[int(quantile * len(waits))]


class TestChooseBackend(unittest.TestCase):
    def test_prefers_run_with_fewer_requests(self):
        """Requests in progress count more than idle flows."""
        busy, idle = Backend(run(1)), Backend(run(2))
        busy.in_flight, idle.flows = 2, 20
        self.assertIs(choose_backend([busy, idle], "a", 0.0), idle)

    def test_prefers_own_failure_domain(self):
        """Another failure domain is chosen only when clearly less busy."""
        own_run, other_run = Backend(run(1)), Backend(run(2, failure_domain="b"))
        own_run.in_flight = 1
        self.assertIs(choose_backend([own_run, other_run], "a", 0.0), own_run)
        own_run.in_flight = 2
        self.assertIs(choose_backend([own_run, other_run], "a", 0.0), other_run)

    def test_cold_run_receives_fewer_flows(self):
        """A cold run is chosen only when the others are busier."""
        cold, warm = Backend(run(1)), Backend(run(2))
        cold.warm_s = 10.0
        self.assertIs(choose_backend([cold, warm], "a", 0.0), warm)
        warm.in_flight = 1
        self.assertIs(choose_backend([cold, warm], "a", 0.0), cold)

    def test_avoided_run_is_last_alternative(self):
        """A run that does not answer is chosen only without an alternative."""
        avoided, other = Backend(run(1)), Backend(run(2))
        avoided.penalty_until_s, other.in_flight = 5.0, 9
        self.assertIs(choose_backend([avoided, other], "a", 0.0), other)
        self.assertIs(choose_backend([avoided], "a", 0.0), avoided)

    def test_draws_services_by_weight(self):
        """A route's services receive flows by weight, and none at weight 0."""
        targets = (Target("tab", 90), Target("archive", 10), Target("old", 0))
        draw = random.Random(1).random
        chosen = [choose_service(targets, draw) for _ in range(5_000)]
        self.assertAlmostEqual(chosen.count("archive") / 5_000, 0.1, delta=0.02)
        self.assertNotIn("old", chosen)

    def test_waits_are_shorter_than_with_random_choice(self):
        """Callers wait far less under bursts than with a random choice."""
        least_loaded = simulate(
            lambda backends, _, now_s: choose_backend(backends, "a", now_s)
        )
        random_choice = simulate(lambda backends, draw, _: draw.choice(backends))
        self.assertLess(mean(least_loaded), mean(random_choice) / 3)
        self.assertLess(
            at_quantile(least_loaded, 0.99), at_quantile(random_choice, 0.99) / 3
        )


class TestPlaceFlow(unittest.TestCase):
    """Services of a route in a failure domain that is cut off."""

    def setUp(self):
        self.own_run = Backend(run(1, service="tab"))
        self.other_run = Backend(run(2, service="archive"))
        self.runs = {"tab": [self.own_run], "archive": [self.other_run]}

    def place(self, services, now_s=100.0):
        return place_flow(services, lambda name: self.runs[name], "a", now_s)

    def stop_reports(self, backend, since_s=99.0):
        backend.reporting, backend.reporting_changed_s = False, since_s

    def test_uses_other_service_of_route(self):
        """Flows of a service without reachable run use another service."""
        self.stop_reports(self.other_run)
        self.assertIs(self.place(("archive", "tab")), self.own_run)
        self.other_run.ended = True
        self.assertIs(self.place(("archive", "tab")), self.own_run)

    def test_tries_unreachable_run_without_alternative(self):
        """An unreachable run may be alive for a limited time."""
        self.stop_reports(self.other_run)
        self.assertIs(self.place(("archive",)), self.other_run)
        self.assertIsNone(self.place(("archive",), now_s=120.0))

    def test_rejects_ended_draining_or_duplicate_label_run(self):
        """Such unreachable runs are not tried, even without an alternative."""
        for state in ("ended", "draining", "is_label_taken"):
            self.setUp()
            self.stop_reports(self.other_run)
            setattr(self.other_run, state, True)
            with self.subTest(state=state):
                self.assertIsNone(self.place(("archive",)))

    def test_excludes_service_with_weight_zero(self):
        """It is not an alternative to another service either."""
        targets = (Target("old", 0), Target("archive", 10), Target("tab", 90))
        self.assertEqual(order_services(targets, "archive"), ("archive", "tab"))
