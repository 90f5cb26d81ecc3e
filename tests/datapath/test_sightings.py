import unittest

from agatethread.datapath import Backend, FlowLoads, label_of
from agatethread.datapath._sightings import SightingExchange
from agatethread.datapath._silence import PooledSighting, is_unreachable
from agatethread.registry import SightingPool
from agatethread.wire.registry_pb2 import Sighting, Sightings
from tests.datapath.test_silence import Play, dies_at_10, slow_from_10
from tests.datapath.worlds import run
from tests.fakes import Clock

SUFFICIENT_SIGHTING = PooledSighting(waiting=3, silent_s=0.9, observers=2, domains=2)


class TestToldOfSilence(unittest.TestCase):
    """Verdicts that rest on what other instances see."""

    def setUp(self):
        self.silent, self.other = Backend(run(1)), Backend(run(2))
        self.silent.answer(10.0)
        self.other.answer(11.9)

    def judge(self, pooled, now_s=12.0, running_since_s=0.0):
        return is_unreachable(
            self.silent, [self.silent, self.other], now_s, running_since_s, pooled
        )

    def test_instance_without_flows_of_its_own_believes_two_domains(self):
        """Three flows wait at two instances of two failure domains."""
        self.assertTrue(self.judge(SUFFICIENT_SIGHTING))

    def test_not_one_instance_alone(self):
        """One instance's own way may be cut, whatever waits there."""
        for pooled in (PooledSighting(9, 0.9, 1, 1), PooledSighting(2, 0.9, 2, 2)):
            self.assertFalse(self.judge(pooled))

    def test_one_domain_is_believed_only_beside_own_evidence(self):
        """What a cut hides from one failure domain others may reach."""
        pooled = PooledSighting(waiting=3, silent_s=0.9, observers=2, domains=1)
        self.assertFalse(self.judge(pooled))
        self.silent.wait("flow", 11.5)
        self.assertTrue(self.judge(pooled))

    def test_own_answer_goes_before_what_others_see(self):
        """A run that has answered here lately is not held for gone."""
        self.silent.answer(11.5)
        self.assertFalse(self.judge(SUFFICIENT_SIGHTING))

    def test_not_while_this_instance_stood_still(self):
        """It may have missed the answers that would speak against it."""
        self.assertFalse(self.judge(SUFFICIENT_SIGHTING, running_since_s=11.5))

    def test_not_before_the_silence_is_long_enough(self):
        """Much evidence does not make a slow server a dead one."""
        self.assertFalse(self.judge(PooledSighting(20, 0.5, 7, 3)))

    def test_much_evidence_shortens_the_silence(self):
        """0.6 s are enough for many instances, if the run is usually quick."""
        self.silent.record_answer_time(0.03)
        self.assertTrue(self.judge(PooledSighting(4, 0.65, 3, 2)))
        self.assertFalse(self.judge(PooledSighting(4, 0.55, 3, 2)))
        self.assertFalse(self.judge(PooledSighting(3, 0.65, 3, 2)))
        self.assertFalse(self.judge(PooledSighting(4, 0.65, 2, 2)))

    def test_run_that_is_usually_slow_is_given_its_time(self):
        """Ten times what it usually takes have to pass."""
        self.silent.record_answer_time(0.07)
        self.assertFalse(self.judge(PooledSighting(20, 0.65, 7, 3)))
        self.assertTrue(self.judge(PooledSighting(20, 0.75, 7, 3)))
        self.silent.record_answer_time(5.0)
        self.assertFalse(self.judge(PooledSighting(20, 0.75, 7, 3)))


class TestSightingExchange(unittest.TestCase):
    def setUp(self):
        self.clock = Clock(12.0)
        self.shared = SightingExchange(self.clock)
        self.backend = Backend(run(1))

    def pooled(self, **fields):
        values = {"label": self.backend.label, "waiting": 3, "silent_ms": 900}
        self.shared.take(Sightings(runs=[Sighting(**(values | fields))]))

    def test_waiting_flows_are_told(self):
        """How many, and for how long."""
        self.assertEqual(self.shared.observe([self.backend]), [])
        self.backend.wait("flow", 11.5)
        (sighting,) = self.shared.observe([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (1, 500))

    def test_end_of_the_wait_is_told(self):
        """Others must not go on counting what has ended here."""
        self.backend.wait("flow", 11.5)
        self.shared.observe([self.backend])
        self.backend.answer(12.0)
        self.clock.value_s += 0.1
        self.assertEqual(self.shared.labels(), [self.backend.label])
        (sighting,) = self.shared.observe([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 100))

    def test_run_that_never_answered_is_told_of_on_any_clock(self):
        """A monotonic clock may have run for years."""
        self.clock.value_s = 1e9
        self.backend.wait("flow", 1e9 - 1)
        self.shared.observe([self.backend])
        self.backend.waiting.clear()
        (sighting,) = self.shared.observe([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 3_600_000))

    def test_own_verdict_leaves_the_evidence_to_others(self):
        """What this instance said stays for those that need a moment longer."""
        self.backend.wait("flow", 11.5)
        self.shared.observe([self.backend])
        self.backend.mark_unreachable(12.0)
        self.assertEqual(self.shared.observe([self.backend]), [])

    def test_answer_is_told_where_others_wait(self):
        """An instance that was answered lately contradicts those that wait."""
        self.backend.answer(11.8)
        self.assertEqual(self.shared.observe([self.backend]), [])
        self.pooled()
        (sighting,) = self.shared.observe([self.backend])
        self.assertEqual((sighting.waiting, sighting.silent_ms), (0, 200))

    def test_what_is_not_said_again_is_not_believed(self):
        """Old news of silence ends no flow, and takes no memory."""
        self.pooled()
        self.assertEqual(self.shared.of(self.backend).waiting, 3)
        self.assertEqual(self.shared.labels(), [self.backend.label])
        self.clock.value_s += 0.7
        self.assertEqual(self.shared.of(self.backend).waiting, 0)
        self.assertEqual(self.shared.labels(), [])


class Fleet:
    """Seven entry instances in three failure domains, each with some flows."""

    def __init__(self, delay_s, is_shared, seed=1, idempotent=False):
        self.plays = [
            Play(delay_s, idempotent, flows=18, seed=seed * 100 + number)
            for number in range(7)
        ]
        self.is_shared = is_shared
        self.pool = SightingPool()

    def play(self, until_s, move_at_s=0.0):
        for step in range(1, int(until_s * 5) + 1):
            for play in self.plays:
                play.play(step * 0.2)
            if abs(step * 0.2 - move_at_s) < 0.1:
                self.move_flows()
            if self.is_shared:
                self.exchange(step * 0.2)
        return self

    def move_flows(self):
        """Send every flow to an instance that has not seen it, as after a restart."""
        for play in self.plays:
            forwarder = play.forwarder
            forwarder.loads = FlowLoads(10_000)
            for number in range(1, 8):
                backend = forwarder._view.find(label_of(number))
                backend.flows = backend.in_flight = 0
                backend.waiting.clear()

    def exchange(self, now_s):
        for number, play in enumerate(self.plays):
            play.clock.value_s = now_s
            sightings = play.forwarder.sightings()
            self.pool.take(bytes([number]), "abc"[number % 3], sightings, now_s)
        digest = self.pool.digest(now_s)
        for play in self.plays:
            play.forwarder.shared.take(digest)

    def sum(self, name):
        return sum(getattr(play, name) for play in self.plays)


class TestFleet(unittest.TestCase):
    def test_fewer_requests_are_lost_to_a_dead_run(self):
        """Instances that tell each other lose fewer requests than those that don't."""
        seeds = range(1, 4)
        failed_alone = sum(
            Fleet(dies_at_10, False, n).play(20.0).sum("failed") for n in seeds
        )
        pooled = sum(Fleet(dies_at_10, True, n).play(20.0).sum("failed") for n in seeds)
        self.assertGreater(failed_alone, 30)
        self.assertLess(pooled, failed_alone * 0.75)

    def test_flows_that_move_do_not_hide_a_dead_run(self):
        """Copies that arrive at another instance say nothing of the run's life.

        All flows move 0.4 s after the death. Of 7,300 requests 65 failed while a copy
        was taken for an answer, and 11 since it is not.
        """
        fleets = [Fleet(dies_at_10, True, n, idempotent=True) for n in range(1, 7)]
        failed = sum(fleet.play(20.0, 10.4).sum("failed") for fleet in fleets)
        self.assertLess(failed, 30)

    def test_slow_run_keeps_its_flows(self):
        """However many instances wait for it, one that answers somebody is alive."""
        for seed in range(1, 4):
            fleet = Fleet(slow_from_10, True, seed).play(20.0)
            self.assertEqual(fleet.sum("resets"), 0)
