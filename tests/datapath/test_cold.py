import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath import Backend
from agatethread.datapath._cold import ColdLimits, compute_share
from agatethread.datapath._placing import place_flow
from agatethread.registry import EntryRank
from agatethread.routing import RouteTable
from tests.datapath.fixtures import ForwarderCase, opening, run, table

#: New flows per second of a cold run are limited to rate * OVERSHOOT + SLACK_PER_S.
OVERSHOOT, SLACK_PER_S = 1.5, 5.0


class TestShares(unittest.TestCase):
    @given(
        limit_per_s=st.floats(0, 500),
        number=st.integers(0, 2**64 - 1),
        counts=st.lists(st.integers(1, 400), min_size=1, max_size=3),
    )
    def test_sum_of_shares_is_within_limit(self, limit_per_s, number, counts):
        """Holds if three groups of instances assign ranks independently."""
        total = sum(
            compute_share(limit_per_s, number, EntryRank(rank, count))
            for count in counts
            for rank in range(count)
        )
        self.assertLessEqual(total, limit_per_s)

    def test_shares_rotate_with_run_number(self):
        """Different runs get flows from different instances."""
        senders = {
            number: [
                rank
                for rank in range(70)
                if compute_share(5.0, number, EntryRank(rank, 70))
            ]
            for number in range(60)
        }
        self.assertEqual(
            {len(sending_ranks) for sending_ranks in senders.values()}, {1}
        )
        self.assertEqual(
            len({sending_ranks[0] for sending_ranks in senders.values()}), 60
        )

    def test_no_share_without_rank(self):
        """An instance without a control instance has no rank."""
        self.assertEqual(compute_share(100.0, 1, EntryRank(0, 0)), 0)


class PlacingInstance:
    """Limits and runs of one simulated entry instance."""

    def __init__(self, rank, count, backend_count, cold_count, rate_per_s):
        self.cold = ColdLimits(OVERSHOOT, SLACK_PER_S)
        self.cold.rank = EntryRank(rank, count)
        self.cold.rates_per_s = {"tab": rate_per_s}
        self.backends = [Backend(run(number)) for number in range(1, backend_count + 1)]
        for backend in self.backends[:cold_count]:
            backend.warm_s = 2.0

    def place(self, now_s):
        backend = place_flow(
            ["tab"], lambda _: self.backends, "a", now_s, cold=self.cold
        )
        if backend is not None:
            self.cold.record_flow(backend, now_s)
        return backend


def simulate_openings(cold_count, rate_per_s, openings_per_s=500, instance_count=70):
    """Return when each cold run was sent flows, and the count of unplaced openings."""
    rng = random.Random(1)
    instances = [
        PlacingInstance(rank, instance_count, 60, cold_count, rate_per_s)
        for rank in range(instance_count)
    ]
    sent, unplaced, now_s = {}, 0, 0.0
    while now_s < 1.99:
        now_s += rng.expovariate(openings_per_s)
        backend = rng.choice(instances).place(now_s)
        if backend is None:
            unplaced += 1
        elif now_s < backend.warm_s:
            sent.setdefault(backend.id, []).append(now_s)
    return sent, unplaced


def max_in_sliding_second(times):
    """Return the maximum count in a sliding second."""
    return max(
        sum(1 for other in times if start <= other < start + 1.0) for start in times
    )


class TestColdRuns(unittest.TestCase):
    """Placement of 500 new flows per second."""

    def test_cold_runs_get_no_flow_while_others_are_warm(self):
        """All openings are placed on the warm runs."""
        self.assertEqual(simulate_openings(cold_count=20, rate_per_s=0.0), ({}, 0))

    def test_cold_runs_stay_within_limit(self):
        """No sliding second exceeds the limit if all runs are cold."""
        for rate_per_s in (0.0, 20.0):
            with self.subTest(rate_per_s=rate_per_s):
                sent, unplaced = simulate_openings(60, rate_per_s)
                limit_per_s = rate_per_s * OVERSHOOT + SLACK_PER_S
                # 60 runs get a third of the limit each (one group of instances) in
                # windows of 1.2 s, out of 500 openings per second. Random arrivals
                # leave some of that unused.
                max_served_ratio = 60 * int(limit_per_s / 3) / 1.2 / 500
                min_served_ratio = 0.7 * min(1.0, max_served_ratio)
                max_count = max(max_in_sliding_second(times) for times in sent.values())
                self.assertLessEqual(max_count, limit_per_s)
                served = sum(map(len, sent.values()))
                self.assertGreater(served / (served + unplaced), min_served_ratio)

    def test_cold_runs_without_limit_get_flows(self):
        """A cold run of a service without a rate may get flows."""
        instance = PlacingInstance(0, 1, 3, 3, 0.0)
        instance.cold.rates_per_s = {}
        self.assertIsNotNone(instance.place(0.5))


class TestColdForwarding(ForwarderCase):
    def setUp(self):
        super().setUp()
        limited = RouteTable(2, table().routes, {"tab": 0.0})
        self.forwarder.apply_table(limited)
        self.view.update_run(run(1, warm_up_ms=2_000))

    def test_drops_opening_if_run_is_warm_soon(self):
        """A reset would use up the caller's retries too early."""
        self.assertEqual(self.handle(opening()), [])
        self.clock.value_s += 2.1
        self.assertEqual(self.handle(opening(copy=1)), [("forward", 1)])

    def test_resets_opening_if_run_stays_cold(self):
        """No copy of the opening would arrive after the warm-up."""
        self.view.update_run(run(1, sequence=2, warm_up_ms=10_000))
        self.assertEqual(self.handle(opening()), [("reset", 1)])
        self.clock.value_s += 8.0
        self.assertEqual(self.handle(opening()), [])

    def test_warm_run_gets_all_flows(self):
        """The cold run gets no flow beside a warm one."""
        self.view.update_run(run(2))
        for port in range(10, 30):
            self.assertEqual(self.handle(opening(port)), [("forward", 2)])

    def test_warm_run_can_become_cold(self):
        """A later report may start another warm-up."""
        self.clock.value_s += 5.0
        self.assertEqual(self.handle(opening(5)), [("forward", 1)])
        self.view.update_run(run(1, sequence=2, warm_up_ms=2_000))
        self.assertEqual(self.handle(opening(6)), [])


class TestReadmission(ForwarderCase):
    def test_readmitted_runs_are_cold_until_reports(self):
        """They get no flow until a report can have arrived."""
        self.view._next_report_s = 1.8
        self.forwarder.apply_table(RouteTable(2, table().routes, {"tab": 0.0}))
        self.view.update_run(run(1))
        self.view.update_run(run(2, failure_domain="b"))
        self.clock.value_s += 10.0
        self.view.set_evacuations(frozenset({"a"}))
        self.view.set_evacuations(frozenset())
        for port in range(10, 20):
            self.assertEqual(self.handle(opening(port)), [("forward", 2)])
        self.clock.value_s += 1.9
        placed = {self.handle(opening(port))[0][1] for port in range(20, 60)}
        self.assertEqual(placed, {1, 2})
