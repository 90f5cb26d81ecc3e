import unittest
from unittest import mock

from agatethread.datapath import (
    Backend,
    BackendView,
    Departure,
    LabelEntryInstance,
    LabelEntrySettings,
    LabelForwarder,
    Readiness,
    choose_backend,
)
from agatethread.datapath._placing import place_flow
from agatethread.datapath._silence import PooledSighting, is_unreachable
from agatethread.observability import Counters
from agatethread.registry import DomainView
from agatethread.settings import DEFAULT_POLICIES, switch_off
from tests.datapath.worlds import CODEC, ForwarderCase, opening, packet, run
from tests.fakes import Clock, free_port


def without(name):
    """All policies but one."""
    return switch_off(DEFAULT_POLICIES, name)


class TestPlacingWithout(unittest.TestCase):
    def setUp(self):
        self.own_domain = Backend(run(1))
        self.other_domain = Backend(run(2, failure_domain="b"))

    def choose(self, backends, name):
        return choose_backend(backends, "a", 0.0, policies=without(name))

    def test_domain_preference(self):
        """Without it the less busy one is chosen wherever it is."""
        self.own_domain.in_flight = 1
        chosen = self.choose(
            [self.own_domain, self.other_domain], "domain_preference_count"
        )
        self.assertIs(chosen, self.other_domain)

    def test_cold_factor(self):
        """Without it a run that has just started is like any other."""
        warm = Backend(run(3))
        self.own_domain.warm_s, warm.flows = 10.0, 1
        self.assertIs(
            self.choose([self.own_domain, warm], "cold_factor"), self.own_domain
        )

    def place(self, services, name):
        runs = {"tab": [self.own_domain], "archive": [self.other_domain]}
        return place_flow(services, runs.get, "a", 100.0, policies=without(name))

    def test_other_services(self):
        """Without them a service that has nobody left is refused."""
        self.other_domain.ended = True
        services = ("archive", "tab")
        self.assertIs(self.place(services, "out_of_sight_s"), self.own_domain)
        self.other_domain.draining = True
        self.assertIsNone(self.place(services, "uses_other_services"))

    def test_out_of_sight(self):
        """Without it a run that stopped to report gets nothing."""
        self.other_domain.reporting, self.other_domain.silent_since_s = False, 99.0
        self.assertIsNone(self.place(("archive",), "out_of_sight_s"))
        self.assertIs(
            self.place(("archive",), "uses_other_services"), self.other_domain
        )


class TestSilenceWithout(ForwarderCase):
    def disable(self, name):
        """Play with one policy off."""
        self.policies = without(name)
        self.view = BackendView(self.clock, self.counters, self.policies)
        self.forwarder = self.make_forwarder()
        self.forwarder.take_table(self.table)

    def setUp(self):
        super().setUp()
        self.table = self.forwarder.table

    def make_forwarder(self):
        return LabelForwarder(
            CODEC,
            self.view,
            "a",
            lambda data, target, *_: self.sent.append((data, target)),
            self.clock,
            self.counters,
            flow_limit_count=1_000,
            is_view_complete=lambda: True,
            policies=getattr(self, "policies", DEFAULT_POLICIES),
        )

    def test_avoidance(self):
        """Without it a run that does not answer is placed on like any other."""
        self.disable("longest_avoidance_s")
        backend = Backend(run(1), self.policies)
        for _ in range(3):
            backend.fail(1.0, 2.0)
            backend.start_trial(2.0)
        backend.mark_unreachable(2.0)
        self.assertLessEqual(backend.penalty_until_s, 2.0)

    def test_idle_resets(self):
        """Without them a flow of an ended run is reset when its next packet comes."""
        self.disable("resets_idle_flows")
        self.view.take(run(1))
        self.handle(opening(1))
        self.handle(packet(1, 1))
        self.view.take(run(1, ended=True))
        self.sent.clear()
        self.forwarder.end_flows_of_lost_runs()
        self.assertEqual(self.sent, [])
        self.assertEqual(self.handle(packet(1, 1, payload_bytes=9)), [("reset", 1)])

    def test_answer_time(self):
        """Without it a run that usually answers fast is waited for like any other."""
        silent, other = Backend(run(1)), Backend(run(2))
        silent.usual_answer_s = 0.02
        other.answer(11.6)
        for number in range(3):
            silent.wait(number, 11.0)
        reports = PooledSighting(waiting=6, silent_s=0.7, observers=4, domains=2)
        arguments = (silent, [silent, other], 11.7, 0.0, reports)
        self.assertTrue(is_unreachable(*arguments))
        off = without("judges_by_answer_time")
        self.assertFalse(is_unreachable(*arguments, policies=off))


class TestLeavingWithout(unittest.TestCase):
    def test_turns(self):
        """Without them an instance goes at once, whoever is away."""
        departure = Departure(Clock(), 6.0, without("turn_wait_s"))
        self.assertTrue(departure.may_go(DomainView(2, 2, 0)))
        self.assertTrue(departure.may_go(None))

    def test_relearning(self):
        """Without it an instance that stood still goes on with what it knew."""
        clock = Clock()
        readiness = Readiness(clock, without("relearn_wait_s"))
        complete_state = {"has_table": True, "has_backends": True, "is_complete": True}
        self.assertTrue(readiness.check(**complete_state, last_control_message_s=0.0))
        clock.value_s += 5.0
        self.assertTrue(readiness.check(**complete_state, last_control_message_s=0.0))


class TestEntryWithout(unittest.IsolatedAsyncioTestCase):
    def make_entry(self, name):
        """An entry instance with one policy off."""
        return LabelEntryInstance(
            LabelEntrySettings(
                name="entry",
                failure_domain="a",
                datagrams=f"127.0.0.1:{free_port()}",
                registry=f"127.0.0.1:{free_port()}",
                seeds=(),
                grace_s=1.0,
                link_bits_per_s=2e6,
                policies=without(name),
            ),
            CODEC,
            Counters(),
        )

    async def start(self, name):
        entry = self.make_entry(name)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        return entry

    async def test_sightings(self):
        """Without them control instances are told nothing of silent runs."""
        for name, is_reported in (("shares_sightings", False), ("keeps_hints", True)):
            entry = await self.start(name)
            reports = []
            entry.subscription.tell = reports.append
            backend = Backend(run(1))
            entry.forwarder.sightings = lambda sighting=backend: [sighting]
            entry._check_suspects()
            with self.subTest(off=name):
                self.assertEqual(bool(reports), is_reported)

    async def test_pacing(self):
        """Without it more than the link takes goes to the link's own queue."""
        entry = await self.start("paces_packets")
        for number in range(200):
            key = packet(number).key
            entry.sender.send(b"x" * 1_200, ("127.0.0.1", 9), key, number)
        self.assertEqual(entry.sender.waiting_bytes, 0)

    async def test_urgent_asks(self):
        """Without them control is asked at each poll only."""
        for name, is_urgent in (("asks_urgently", False), ("keeps_hints", True)):
            entry = self.make_entry(name)
            self.addAsyncCleanup(entry.stop)
            with mock.patch.object(entry.timers, "subscribe") as subscribe:
                await entry.start()
            calls = [call.args[1] for call in subscribe.call_args_list]
            with self.subTest(off=name):
                self.assertEqual(entry.subscription.knock_urgently in calls, is_urgent)
