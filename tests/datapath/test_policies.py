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
from agatethread.datapath._reachability import PooledSighting, detect_unreachable
from agatethread.observability import Counters
from agatethread.registry import DomainView
from agatethread.settings import DEFAULT_POLICIES, switch_off
from tests.datapath.fixtures import CODEC, ForwarderCase, opening, packet, run, table
from tests.fakes import Clock, free_port


def without(name):
    """Return the default policies with one of them off."""
    return switch_off(DEFAULT_POLICIES, name)


class TestPlacingPoliciesOff(unittest.TestCase):
    def setUp(self):
        self.own_domain = Backend(run(1))
        self.other_domain = Backend(run(2, failure_domain="b"))

    def choose(self, backends, name):
        return choose_backend(backends, "a", 0.0, policies=without(name))

    def test_domain_preference(self):
        """The less busy run is chosen in any failure domain."""
        self.own_domain.in_flight = 1
        chosen = self.choose(
            [self.own_domain, self.other_domain], "domain_preference_count"
        )
        self.assertIs(chosen, self.other_domain)

    def test_cold_factor(self):
        """A cold run has the weight of a warm one."""
        warm = Backend(run(3))
        self.own_domain.warm_s, warm.flows = 10.0, 1
        self.assertIs(
            self.choose([self.own_domain, warm], "cold_factor"), self.own_domain
        )

    def place(self, services, name):
        runs = {"tab": [self.own_domain], "archive": [self.other_domain]}
        return place_flow(services, runs.get, "a", 100.0, policies=without(name))

    def test_other_services(self):
        """An opening is refused if its service has no usable run.

        With this policy on, it goes to a run of the other service.
        """
        self.other_domain.ended = True
        services = ("archive", "tab")
        self.assertIs(self.place(services, "out_of_sight_s"), self.own_domain)
        self.other_domain.draining = True
        self.assertIsNone(self.place(services, "uses_other_services"))

    def test_out_of_sight(self):
        """A run that stops reporting gets no flow; with the policy on it does."""
        self.other_domain.reporting, self.other_domain.reporting_changed_s = False, 99.0
        self.assertIsNone(self.place(("archive",), "out_of_sight_s"))
        self.assertIs(
            self.place(("archive",), "uses_other_services"), self.other_domain
        )


class TestReachabilityPoliciesOff(ForwarderCase):
    def disable(self, name):
        """Replace the forwarder by one with a policy off."""
        self.policies = without(name)
        self.view = BackendView(self.clock, self.counters, self.policies)
        self.forwarder = self.make_forwarder()
        self.forwarder.apply_table(self.table)

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
        """A run that does not answer gets flows like any other."""
        self.disable("longest_avoidance_s")
        backend = Backend(run(1), self.policies)
        for _ in range(3):
            backend.record_failure(1.0, 2.0)
            backend.start_trial(2.0)
        backend.mark_unreachable(2.0)
        self.assertLessEqual(backend.penalty_until_s, 2.0)

    def test_idle_resets(self):
        """A flow of an unreachable run is reset at its next request."""
        self.table = table(2, idempotent=True)
        for is_on in (True, False):
            if not is_on:
                self.disable("resets_idle_flows")
            self.view.update_run(run(1))
            self.forwarder.apply_table(self.table)
            (backend,) = self.view.runs_of_service("tab")
            self.handle(opening(1))
            self.handle(packet(1, 1))
            backend.mark_unreachable(self.clock())
            self.sent.clear()
            mark = mock.Mock(return_value=[backend])
            self.forwarder.suspects.mark_unreachable_runs = mark
            self.forwarder.reset_flows_of_lost_runs()
            self.assertEqual(len(self.sent), int(is_on))
            request = packet(1, 1, payload_bytes=9)
            self.assertEqual(self.handle(request), [("reset", 1)])

    def test_answer_time(self):
        """A run that usually answers fast is not unreachable after 0.7 s of silence."""
        silent, other = Backend(run(1)), Backend(run(2))
        silent.usual_answer_s = 0.02
        other.record_answer(11.6)
        for number in range(3):
            silent.add_waiting_flow(number, 11.0)
        pooled = PooledSighting(waiting=6, silent_s=0.7, observers=4, domains=2)
        arguments = (silent, [silent, other], 11.7, 0.0, pooled)
        self.assertTrue(detect_unreachable(*arguments))
        off = without("judges_by_answer_time")
        self.assertFalse(detect_unreachable(*arguments, policies=off))


class TestDeparturePoliciesOff(unittest.TestCase):
    def test_turns(self):
        """An instance leaves at once while others are away."""
        departure = Departure(Clock(), 6.0, without("turn_wait_s"))
        self.assertTrue(departure.may_leave(DomainView(2, 2, 0)))
        self.assertTrue(departure.may_leave(None))

    def test_relearning(self):
        """A suspended instance continues with its old state."""
        clock = Clock()
        readiness = Readiness(clock, without("relearn_wait_s"))
        complete_state = {"has_table": True, "has_backends": True, "is_complete": True}
        self.assertTrue(readiness.check(**complete_state, last_delta_s=0.0))
        clock.value_s += 5.0
        self.assertTrue(readiness.check(**complete_state, last_delta_s=0.0))


class TestEntryPoliciesOff(unittest.IsolatedAsyncioTestCase):
    def make_entry(self, name):
        """Return an entry instance with one policy off."""
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
        """Control instances get no sightings."""
        # `keeps_hints` has no effect here: the policy under test is on.
        for name, is_reported in (("shares_sightings", False), ("keeps_hints", True)):
            entry = await self.start(name)
            reports = []
            entry.subscription.send_sightings = reports.append
            backend = Backend(run(1))
            entry.forwarder.sightings = lambda sighting=backend: [sighting]
            entry._reset_and_report()
            with self.subTest(off=name):
                self.assertEqual(bool(reports), is_reported)

    async def test_pacing(self):
        """Datagrams over the link rate are not queued."""
        entry = await self.start("paces_packets")
        for number in range(200):
            key = packet(number).key
            entry.sender.send(b"x" * 1_200, ("127.0.0.1", 9), key, number)
        self.assertEqual(entry.sender.queued_bytes, 0)

    async def test_urgent_asks(self):
        """Control instances are polled at the poll interval only."""
        # `keeps_hints` has no effect here: the policy under test is on.
        for name, is_urgent in (("asks_urgently", False), ("keeps_hints", True)):
            entry = self.make_entry(name)
            self.addAsyncCleanup(entry.stop)
            with mock.patch.object(entry.timers, "subscribe") as subscribe:
                await entry.start()
            calls = [call.args[1] for call in subscribe.call_args_list]
            with self.subTest(off=name):
                self.assertEqual(
                    entry.subscription.probe_if_unreachable in calls, is_urgent
                )
