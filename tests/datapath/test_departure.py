import unittest

from agatethread.datapath import Departure
from agatethread.observability import Counters
from agatethread.registry import DomainView, RegistryPublisher, RunTable, Subscription
from agatethread.wire.registry_pb2 import (
    PRESENCE_AWAY,
    PRESENCE_LEAVING,
    PRESENCE_SERVING,
)
from tests.fakes import Clock, address

#: Assumed times of the platform: from the end of a process to the start of the next
#: one, from there to ready, and from the start until routers send to it again.
DOWN_S, READY_S, ROTATION_S = 0.85, 0.1, 0.6
GRACE_S = 6.0


class TestDeparture(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.departure = Departure(self.clock, GRACE_S)

    def test_leaves_at_once_if_others_serve(self):
        """There is no wait if no other instance is away."""
        self.assertTrue(self.departure.may_leave(DomainView(2, 0, 0)))

    def test_waits_while_another_instance_is_away(self):
        """One of three instances may be away or ahead at a time."""
        self.assertFalse(self.departure.may_leave(DomainView(2, 1, 0)))
        self.assertFalse(self.departure.may_leave(DomainView(2, 0, 1)))

    def test_large_domain_allows_more_away(self):
        """A quarter of the instances may be away at a time."""
        self.assertTrue(self.departure.may_leave(DomainView(23, 5, 0)))
        self.assertFalse(self.departure.may_leave(DomainView(23, 6, 0)))

    def test_wait_is_limited_by_policy(self):
        """The instance leaves after two seconds in any case."""
        self.clock.value_s += 1.9
        self.assertFalse(self.departure.may_leave(DomainView(2, 2, 0)))
        self.clock.value_s += 0.2
        self.assertTrue(self.departure.may_leave(DomainView(2, 2, 0)))

    def test_wait_is_limited_by_grace_time(self):
        """The notice (1.2 s) and the shutdown (0.8 s) fit into the grace time."""
        departure = Departure(self.clock, 2.5)
        self.clock.value_s += 2.5 - 1.2 - 0.8
        self.assertTrue(departure.may_leave(DomainView(2, 2, 0)))

    def test_leaves_without_control_instance(self):
        """The instance leaves after 0.3 s without an answer of a control instance."""
        self.assertFalse(self.departure.may_leave(None))
        self.clock.value_s += 0.35
        self.assertTrue(self.departure.may_leave(None))


class Entry:
    """An entry instance that restarts once, with a real subscription and departure."""

    def __init__(self, case, number, stop_s):
        self.case, self.number, self.stop_s = case, number, stop_s
        self.address = address(number)
        self.departure = None
        # Times at which it becomes not ready, ends and runs again.
        self.leaves_s = self.ends_s = self.up_s = float("inf")
        self.restart()

    def restart(self):
        case = self.case
        self.subscription = Subscription(
            "a",
            False,
            [address(90)],
            self.address,
            lambda message, _: case.hub.on_poll(message.poll, self.address),
            case.clock,
            lambda *_: None,
            lambda _: None,
            Counters(),
        )
        self.subscription.presence = PRESENCE_SERVING

    @property
    def is_down(self):
        return self.ends_s <= self.case.clock() < self.up_s

    @property
    def in_rotation(self):
        now_s = self.case.clock()
        # Routers send elsewhere after two failed probes, 0.5 s apart.
        return now_s < self.leaves_s + 0.5 or now_s >= self.up_s + ROTATION_S

    def step(self):
        now_s = self.case.clock()
        if self.is_down:
            return
        if self.ends_s <= now_s and self.departure is not None:
            self.departure = None
            self.restart()
        if self.departure is None and now_s >= self.stop_s and now_s < self.ends_s:
            self.departure = Departure(self.case.clock, GRACE_S)
        if self.departure is not None and now_s < self.leaves_s:
            self.subscription.presence = PRESENCE_LEAVING
            self.subscription.poll()
            view = self.subscription.own_domain_view(self.departure.requested_s)
            if self.departure.may_leave(view):
                self.leaves_s = now_s
                self.ends_s = now_s + self.departure.notice_s
                self.up_s = self.ends_s + DOWN_S
        if now_s >= self.leaves_s:
            serves = now_s >= self.up_s + READY_S
            self.subscription.presence = PRESENCE_SERVING if serves else PRESENCE_AWAY
        self.subscription.poll()


class TestRollingRestart(unittest.TestCase):
    def setUp(self):
        self.clock = Clock(0.0)
        self.entries = {}
        self.hub = RegistryPublisher(
            RunTable(1.0, self.clock),
            "a",
            self.deliver,
            self.clock,
            lambda: True,
            lambda: True,
        )

    def deliver(self, message, target):
        """Deliver a message of the control instance."""
        entry = self.entries.get(target)
        if entry is not None and not entry.is_down:
            entry.subscription.on_delta(message.delta, address(90))

    def test_rolling_restart_keeps_routers_on_ready_instances(self):
        """Three instances that are stopped 1.2 s apart leave in turn."""
        for number in range(3):
            entry = Entry(self, number, 3.0 + 1.2 * number)
            self.entries[entry.address] = entry
        violation_count = 0
        while self.clock.value_s < 15:
            self.clock.value_s += 0.05
            for entry in self.entries.values():
                entry.step()
            in_rotation_count = sum(
                entry.in_rotation for entry in self.entries.values()
            )
            # Below half of the three instances, routers send to ended ones, too.
            is_any_down = any(entry.is_down for entry in self.entries.values())
            violation_count += in_rotation_count < 1.5 and is_any_down
        self.assertEqual(violation_count, 0)
        for entry in self.entries.values():
            # Routers stop sending, up to 1 s after it leaves, within 4 s of the stop
            # request.
            self.assertLess(entry.leaves_s + 1.0 - entry.stop_s, 4.0)
            self.assertLess(entry.up_s, 14)
