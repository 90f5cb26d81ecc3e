import unittest
from unittest import mock

from agatethread.datapath._backend import Backend
from agatethread.datapath._dispatching import OpeningDispatcher
from agatethread.datapath._handing_over import OtherDispatchers
from agatethread.datapath._taken import Hands
from agatethread.observability import Counters
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers, RelayedOpening
from tests.datapath.crowds import route
from tests.datapath.worlds import opening, run
from tests.fakes import Clock, address

ME, NEAR, FAR = address(1), address(2), address(3)


class TestDispatcher(unittest.TestCase):
    """A dispatcher of one server with five places."""

    def setUp(self):
        self.clock = Clock()
        self.server = Backend(run(1, slots=1))
        self.servers = [self.server]
        self.others = OtherDispatchers(ME, "a", self.clock)
        self.sent = []
        self.forward = mock.Mock()
        self.groups = groups = mock.Mock(
            usable=lambda service, own: self.servers,
            count_slots=lambda service: {ME: 2},
        )
        hands = Hands(
            self.forward,
            lambda message, target: self.sent.append((message, target)),
            lambda: 1,
        )
        self.dispatcher = OpeningDispatcher(
            ME, groups, self.others, hands, self.clock, Counters()
        )

    def take(self, port, copy=0):
        relayed = RelayedOpening(service="tab", waited_ms=200 * copy)
        self.dispatcher.take(opening(port, copy=copy), route(1), relayed, NEAR)

    def told(self, body):
        """Where messages of a kind went."""
        return [to for message, to in self.sent if message.WhichOneof("body") == body]

    def test_waiting_are_given_back_when_servers_are_gone(self):
        """Who waits for servers that are gone from here is placed by its sender."""
        for port in range(7):
            self.take(port)
        self.servers.clear()
        self.dispatcher.tick()
        self.assertEqual(self.told("returned"), [NEAR, NEAR])
        self.assertEqual(self.dispatcher.waiting_count(), 0)

    def test_port_used_anew_is_no_failure(self):
        """A first opening from a port that had a place says nothing of the server."""
        self.take(1)
        self.clock.value_s += 0.2
        self.take(1)
        self.assertEqual(self.server.failures, 0)
        self.take(1, copy=1)
        self.assertEqual(self.server.failures, 1)

    def test_same_packet_takes_one_place(self):
        """A packet that comes twice is placed once."""
        self.take(1)
        self.take(1)
        self.assertEqual(self.forward.call_count, 1)

    def test_ends_show_that_a_server_answers(self):
        """Two lost openings don't make a server avoided that answers others."""
        self.take(1)
        self.take(2)
        self.take(3)
        self.clock.value_s += 0.05
        self.dispatcher.on_end(opening(3).key)
        self.clock.value_s += 0.15
        self.take(1, copy=1)
        self.take(2, copy=1)
        self.assertEqual(self.server.failures, 0)

    def test_places_given_up_show_that_a_server_is_gone(self):
        """A server whose openings all come to no end is avoided."""
        self.take(1)
        self.take(2)
        self.clock.value_s += 0.31
        self.dispatcher.tick()
        self.assertGreater(self.server.penalty_until_s, self.clock())

    def test_avoided_server_is_tried_where_nobody_else_is(self):
        """Whether it answers again shows only if it gets an opening."""
        self.server.penalty_until_s = self.clock() + 1.0
        self.take(1)
        self.assertEqual(self.forward.call_count, 1)

    def test_avoided_server_is_left_for_others(self):
        """An opening goes to a dispatcher whose servers answer."""
        self.others.take({"a": Dispatchers(addresses=[ME, NEAR])})
        self.groups.count_slots = lambda service: {ME: 2, NEAR: 2}
        self.server.penalty_until_s = self.clock() + 1.0
        self.take(1)
        self.assertEqual(self.told("relayed"), [NEAR])

    def test_sender_of_an_unanswered_opening_hears_a_sign(self):
        """It must not take the dispatcher for gone where the server is."""
        self.take(1)
        self.clock.value_s += 0.05
        self.dispatcher.tick()
        self.assertEqual(self.told("load"), [])
        self.clock.value_s += 0.06
        self.dispatcher.tick()
        self.assertEqual(self.told("load"), [NEAR])

    def test_all_that_wait_hear_a_sign_before_the_copy(self):
        """Of two that begin to wait at once the second is told a little later."""
        for port in range(6):
            self.take(port)
        self.clock.value_s += 0.01
        self.take(7)
        self.sent.clear()
        for _ in range(3):
            self.clock.value_s += 0.05
            self.dispatcher.tick()
        self.assertIn(NEAR, self.told("load"))

    def test_refusal_goes_to_the_instance_that_sees_the_caller(self):
        """It alone knows whether the flow is open all the same."""
        relayed = RelayedOpening(service="tab", waited_ms=1_400, hops=1, origin=FAR)
        for port in range(5):
            self.take(port)
        self.dispatcher.take(opening(9), route(1), relayed, NEAR)
        refused = [m.returned for m, to in self.sent if to == FAR]
        self.assertEqual([one.refused for one in refused], [True])

    def test_copy_follows_what_was_handed_over(self):
        """It takes no second place at home while the other dispatcher lives."""
        told = {"b": Dispatchers(addresses=[FAR])}
        self.others.take(told)
        for port in range(12):
            self.take(port)
        self.assertEqual(self.told("relayed"), [FAR])
        given = self.sent[-1][0].relayed
        self.assertTrue(given.crossed)
        port = next(p for p in range(12) if opening(p).key in self.others._given)
        self.clock.value_s += 0.1
        self.others.on_load(DispatcherLoad(service="tab", wait_ms=900, waiting=4), FAR)
        self.clock.value_s += 0.1
        self.others.on_load(DispatcherLoad(service="tab", wait_ms=900, waiting=4), FAR)
        self.take(port, copy=1)
        self.assertEqual(self.told("relayed"), [FAR, FAR])

    def test_pause_of_its_own_leaves_nothing(self):
        """After one it refuses nobody whose copy was placed by another."""
        for port in range(7):
            self.take(port)
        self.clock.value_s += 2.0
        self.dispatcher.forget()
        self.dispatcher.tick()
        self.assertEqual(self.told("returned"), [])
        self.assertEqual(self.dispatcher.waiting_count(), 0)
