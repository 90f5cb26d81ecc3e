import heapq
import random
import unittest
from statistics import mean

from agatethread.datapath import Backend, choose_backend
from agatethread.datapath._placing import choose_service, order_services, place_flow
from agatethread.routing import Target
from tests.datapath.worlds import run


def play(choose, per_s=85.0, work_s=0.029, seconds=60.0, seed=1):
    """Play short flows on seven servers with two slots; return waits in seconds.

    The load is that of short requests on a busy day of the smaller site, half again as
    much in bursts.
    """
    draw = random.Random(seed)
    backends = [Backend(run(number)) for number in range(1, 8)]
    ends = {backend: [0.0] * backend.slots for backend in backends}
    finished, waits, now_s = [], [], 0.0
    while now_s < seconds:
        burst = 1.5 if int(now_s) % 10 < 3 else 1.0
        now_s += draw.expovariate(per_s * burst * 3.5)
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


def at_percentile(waits, share):
    """The wait that this share of all stays below."""
    return sorted(waits)[int(share * len(waits))]


class TestChooseBackend(unittest.TestCase):
    def test_requests_in_progress_decide(self):
        """A run with fewer requests in progress is chosen, though it has more flows."""
        busy, idle = Backend(run(1)), Backend(run(2))
        busy.in_flight, idle.flows = 2, 20
        self.assertIs(choose_backend([busy, idle], "a", 0.0), idle)

    def test_own_failure_domain_is_preferred_while_loads_are_alike(self):
        """Another failure domain is used only when it is clearly less busy."""
        near, far = Backend(run(1)), Backend(run(2, failure_domain="b"))
        near.in_flight = 1
        self.assertIs(choose_backend([near, far], "a", 0.0), near)
        near.in_flight = 2
        self.assertIs(choose_backend([near, far], "a", 0.0), far)

    def test_cold_run_gets_less(self):
        """A run that has just started is chosen when the others are busier."""
        cold, warm = Backend(run(1)), Backend(run(2))
        cold.warm_s = 10.0
        self.assertIs(choose_backend([cold, warm], "a", 0.0), warm)
        warm.in_flight = 1
        self.assertIs(choose_backend([cold, warm], "a", 0.0), cold)

    def test_avoided_run_is_the_last_resort(self):
        """A run that does not answer is taken only if there is no other."""
        dark, other = Backend(run(1)), Backend(run(2))
        dark.penalty_until_s, other.in_flight = 5.0, 9
        self.assertIs(choose_backend([dark, other], "a", 0.0), other)
        self.assertIs(choose_backend([dark], "a", 0.0), dark)

    def test_weights_share_new_flows(self):
        """A route's services get flows by their weights, and none at weight 0."""
        targets = (Target("tab", 90), Target("archive", 10), Target("old", 0))
        draw = random.Random(1).random
        chosen = [choose_service(targets, draw) for _ in range(5_000)]
        self.assertAlmostEqual(chosen.count("archive") / 5_000, 0.1, delta=0.02)
        self.assertNotIn("old", chosen)

    def test_callers_wait_less_than_with_random_choice(self):
        """Under bursts, callers wait far less than with a random choice."""
        ours = play(lambda backends, _, now_s: choose_backend(backends, "a", now_s))
        chance = play(lambda backends, draw, _: draw.choice(backends))
        self.assertLess(mean(ours), mean(chance) / 3)
        self.assertLess(at_percentile(ours, 0.99), at_percentile(chance, 0.99) / 3)


class TestPlaceFlow(unittest.TestCase):
    """Services of a route in a failure domain that is cut off."""

    def setUp(self):
        self.near = Backend(run(1, service="tab"))
        self.away = Backend(run(2, service="archive"))
        self.runs = {"tab": [self.near], "archive": [self.away]}

    def place(self, services, now_s=100.0):
        return place_flow(services, lambda name: self.runs[name], "a", now_s)

    def fall_silent(self, backend, since_s=99.0):
        backend.reporting, backend.silent_since_s = False, since_s

    def test_another_service_of_the_route_takes_over(self):
        """A service without a run in sight does not cost its share of the flows."""
        self.fall_silent(self.away)
        self.assertIs(self.place(("archive", "tab")), self.near)
        self.away.ended = True
        self.assertIs(self.place(("archive", "tab")), self.near)

    def test_run_out_of_sight_is_tried_where_no_other_is_left(self):
        """What is not heard is not known to be gone, for as long as a cut lasts."""
        self.fall_silent(self.away)
        self.assertIs(self.place(("archive",)), self.away)
        self.assertIsNone(self.place(("archive",), now_s=120.0))

    def test_runs_known_to_be_gone_are_not_tried(self):
        """A flow that nobody can take is refused at once."""
        for state in ("ended", "draining", "shares_label"):
            self.setUp()
            self.fall_silent(self.away)
            setattr(self.away, state, True)
            with self.subTest(state=state):
                self.assertIsNone(self.place(("archive",)))

    def test_no_service_gets_flows_at_weight_zero(self):
        """Neither at first nor in place of another one."""
        targets = (Target("old", 0), Target("archive", 10), Target("tab", 90))
        self.assertEqual(order_services(targets, "archive"), ("archive", "tab"))
