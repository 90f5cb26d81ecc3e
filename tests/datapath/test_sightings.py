import unittest

from agatethread.datapath import Backend, FlowLoads, derive_label
from agatethread.datapath._evidence import ProbeOutcome
from agatethread.datapath._reachability import (
    PooledSighting,
    detect_unreachable,
    should_probe,
)
from agatethread.datapath._sightings import SightingExchange
from agatethread.registry import SightingPool
from agatethread.wire.registry_pb2 import Sighting, Sightings
from tests.datapath.fixtures import run
from tests.datapath.test_reachability import (
    CallerSimulation,
    crashes_at_10,
    slow_from_10,
)
from tests.fakes import Clock

SUFFICIENT_SIGHTING = PooledSighting(waiting=3, silent_s=0.9, observers=2, domains=2)


class TestSharedEvidence(unittest.TestCase):
    """Decisions that rest on sightings of other instances."""

    def setUp(self):
        self.silent, self.other = Backend(run(1)), Backend(run(2))
        self.silent.record_answer(10.0)
        self.other.record_answer(11.9)

    def detect(self, pooled, now_s=12.0, running_since_s=0.0):
        return detect_unreachable(
            self.silent, [self.silent, self.other], now_s, running_since_s, pooled
        )

    def test_two_domains_are_enough_without_own_evidence(self):
        """Flows wait at two instances of two failure domains."""
        self.assertTrue(self.detect(SUFFICIENT_SIGHTING))

    def test_one_observer_or_few_flows_are_not_enough(self):
        """The fault may be in a single instance, or on the path of a few callers."""
        for pooled in (PooledSighting(9, 0.9, 1, 1), PooledSighting(2, 0.9, 2, 2)):
            self.assertFalse(self.detect(pooled))

    def test_one_domain_needs_own_evidence(self):
        """A run cut off from one failure domain may be reachable from others."""
        pooled = PooledSighting(waiting=3, silent_s=0.9, observers=2, domains=1)
        self.assertFalse(self.detect(pooled))
        self.silent.add_waiting_flow("flow", 11.5)
        self.assertTrue(self.detect(pooled))

    def test_own_answer_overrides_sightings(self):
        """A run that recently answered here is reachable."""
        self.silent.record_answer(11.5)
        self.assertFalse(self.detect(SUFFICIENT_SIGHTING))

    def test_reachable_after_suspension(self):
        """A suspended instance may have missed answers."""
        self.assertFalse(self.detect(SUFFICIENT_SIGHTING, running_since_s=11.5))

    def test_short_silence_is_not_enough(self):
        """A silence of 0.5 s does not suffice, even with strong evidence."""
        self.assertFalse(self.detect(PooledSighting(20, 0.5, 7, 3)))

    def test_strong_evidence_shortens_required_silence(self):
        """0.6 s are enough if the run usually answers fast."""
        self.silent.record_answer_time(0.03)
        self.assertTrue(self.detect(PooledSighting(4, 0.65, 3, 2)))
        self.assertFalse(self.detect(PooledSighting(4, 0.55, 3, 2)))
        self.assertFalse(self.detect(PooledSighting(3, 0.65, 3, 2)))
        self.assertFalse(self.detect(PooledSighting(4, 0.65, 2, 2)))

    def test_required_silence_grows_with_usual_answer_time(self):
        """Ten times the usual answer time is required, within bounds."""
        self.silent.record_answer_time(0.07)
        self.assertFalse(self.detect(PooledSighting(20, 0.65, 7, 3)))
        self.assertTrue(self.detect(PooledSighting(20, 0.75, 7, 3)))
        self.silent.record_answer_time(5.0)
        self.assertFalse(self.detect(PooledSighting(20, 0.75, 7, 3)))


class TestProbesOfManyInstances(unittest.TestCase):
    def test_instances_without_waiting_flows_spread_their_probes(self):
        """Only those with waiting flows ask at once, so that others hear of it."""
        backend = Backend(run(1))
        backend.record_answer(10.0)
        draws = (0.1, 0.9)
        probes = [
            should_probe(backend, 12.0, SUFFICIENT_SIGHTING, lambda draw=draw: draw)
            for draw in draws
        ]
        self.assertEqual(probes, [True, False])
        backend.add_waiting_flow("flow", 11.5)
        probes = [
            should_probe(backend, 12.0, SUFFICIENT_SIGHTING, lambda draw=draw: draw)
            for draw in draws
        ]
        self.assertEqual(probes, [True, True])


class TestSightingExchange(unittest.TestCase):
    def setUp(self):
        self.clock = Clock(12.0)
        self.exchange = SightingExchange(self.clock)
        self.backend = Backend(run(1))

    def receive(self, **fields):
        values = {"label": self.backend.label, "waiting": 3, "silent_ms": 900}
        self.exchange.receive(Sightings(runs=[Sighting(**(values | fields))]))

    def test_reports_waiting_flows(self):
        """A sighting has the number of waiting flows and the silence."""
        self.assertEqual(self.exchange.make_sightings([self.backend]), [])
        self.backend.add_waiting_flow("flow", 11.5)
        (sighting,) = self.exchange.make_sightings([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (1, 500))

    def test_reports_end_of_wait(self):
        """Other instances stop counting flows that no longer wait here."""
        self.backend.add_waiting_flow("flow", 11.5)
        self.exchange.make_sightings([self.backend])
        self.backend.record_answer(12.0)
        self.clock.value_s += 0.1
        self.assertEqual(self.exchange.labels(), [self.backend.label])
        (sighting,) = self.exchange.make_sightings([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 100))

    def test_silence_fits_message_field(self):
        """The monotonic clock may have any start."""
        self.clock.value_s = 1e9
        self.backend.add_waiting_flow("flow", 1e9 - 1)
        self.exchange.make_sightings([self.backend])
        self.backend.waiting.clear()
        (sighting,) = self.exchange.make_sightings([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 3_600_000))

    def test_does_not_withdraw_report_of_unreachable_run(self):
        """Other instances may still need the evidence."""
        self.backend.add_waiting_flow("flow", 11.5)
        self.exchange.make_sightings([self.backend])
        self.backend.mark_unreachable(12.0)
        self.assertEqual(self.exchange.make_sightings([self.backend]), [])

    def test_reports_answer_while_others_wait(self):
        """A recent answer here contradicts the sightings of other instances."""
        self.backend.record_answer(11.8)
        self.assertEqual(self.exchange.make_sightings([self.backend]), [])
        self.receive()
        (sighting,) = self.exchange.make_sightings([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 200))

    def test_reports_accepted_probe_while_others_wait(self):
        """Guards against probes of a slow run by all instances at once."""
        self.receive()
        self.assertEqual(self.exchange.make_sightings([self.backend]), [])
        self.backend.record_probe(ProbeOutcome.ACCEPTED, 11.9)
        (sighting,) = self.exchange.make_sightings([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 100))

    def test_received_sighting_expires(self):
        """Expired sightings are ignored and deleted."""
        self.receive()
        self.assertEqual(self.exchange.get_pooled(self.backend).waiting, 3)
        self.assertEqual(self.exchange.labels(), [self.backend.label])
        self.clock.value_s += 0.7
        self.assertEqual(self.exchange.get_pooled(self.backend).waiting, 0)
        self.assertEqual(self.exchange.labels(), [])


class Fleet:
    """Seven entry instances with simulated callers, which may exchange sightings.

    Only the exchange has three failure domains; runs and forwarders have one.
    """

    def __init__(self, find_answer_delay_s, is_shared, seed=1, idempotent=False):
        self.simulations = [
            CallerSimulation(
                find_answer_delay_s, idempotent, flows=18, seed=seed * 100 + number
            )
            for number in range(7)
        ]
        self.is_shared = is_shared
        self.pool = SightingPool()

    def run_until(self, until_s, move_at_s=0.0):
        for step in range(1, int(until_s * 5) + 1):
            for simulation in self.simulations:
                simulation.run_until(step * 0.2)
            if abs(step * 0.2 - move_at_s) < 0.1:
                self.move_flows()
            if self.is_shared:
                self.exchange(step * 0.2)
        return self

    def move_flows(self):
        """Let every flow continue through an instance without a record of it."""
        for simulation in self.simulations:
            forwarder = simulation.forwarder
            forwarder.loads = FlowLoads(10_000)
            for number in range(1, 8):
                backend = forwarder._view.get_by_label(derive_label(number))
                backend.flows = backend.in_flight = 0
                backend.waiting.clear()

    def exchange(self, now_s):
        for number, simulation in enumerate(self.simulations):
            simulation.clock.value_s = now_s
            sightings = simulation.forwarder.sightings()
            self.pool.store_sightings(
                bytes([number]), "abc"[number % 3], sightings, now_s
            )
        digest = self.pool.sum_all(now_s)
        for simulation in self.simulations:
            simulation.forwarder.sighting_exchange.receive(digest)

    def sum(self, name):
        return sum(getattr(simulation, name) for simulation in self.simulations)


class TestFleet(unittest.TestCase):
    def test_sharing_sightings_reduces_failed_requests(self):
        """Fewer requests to a crashed run fail if instances share sightings."""
        seeds = range(1, 4)
        failed_alone = sum(
            Fleet(crashes_at_10, False, n).run_until(20.0).sum("failed") for n in seeds
        )
        failed_shared = sum(
            Fleet(crashes_at_10, True, n).run_until(20.0).sum("failed") for n in seeds
        )
        self.assertGreater(failed_alone, 30)
        self.assertLess(failed_shared, failed_alone * 0.75)

    def test_moved_flows_do_not_hide_crashed_run(self):
        """Retransmitted requests on moved flows do not count as answers."""
        fleets = [Fleet(crashes_at_10, True, n, idempotent=True) for n in range(1, 7)]
        failed = sum(fleet.run_until(20.0, 10.4).sum("failed") for fleet in fleets)
        self.assertLess(failed, 30)

    def test_slow_run_keeps_its_flows(self):
        """A run that answers some callers stays reachable."""
        for seed in range(1, 4):
            fleet = Fleet(slow_from_10, True, seed).run_until(20.0)
            self.assertEqual(fleet.sum("resets"), 0)
