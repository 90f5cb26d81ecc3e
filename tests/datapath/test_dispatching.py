import unittest
from unittest import mock

from agatethread.datapath._backend import Backend
from agatethread.datapath._dispatching import OpeningDispatcher
from agatethread.datapath._handover import OtherDispatchers
from agatethread.datapath._received_openings import OpeningActions
from agatethread.observability import Counters
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers, RelayedOpening
from tests.datapath.fixtures import opening, run
from tests.datapath.pressure_simulation import route
from tests.fakes import Clock, address

OWN, PEER, REMOTE = address(1), address(2), address(3)


class TestDispatcher(unittest.TestCase):
    """Decisions of a dispatcher with one server of five places."""

    def setUp(self):
        self.clock = Clock()
        self.server = Backend(run(1, slots=1))
        self.servers = [self.server]
        self.others = OtherDispatchers(OWN, "a", self.clock)
        self.sent = []
        self.forward = mock.Mock()
        self.groups = groups = mock.Mock(
            usable_servers=lambda service, own: self.servers,
            count_slots=lambda service: {OWN: 2},
        )
        actions = OpeningActions(
            self.forward,
            lambda message, target: self.sent.append((message, target)),
            lambda: 1,
        )
        self.dispatcher = OpeningDispatcher(
            OWN, groups, self.others, actions, self.clock, Counters()
        )

    def receive(self, port, copy=0):
        relayed = RelayedOpening(service="tab", waited_ms=200 * copy)
        self.dispatcher.receive(opening(port, copy=copy), route(1), relayed, PEER)

    def targets_of(self, body):
        """Return the targets of the sent messages of a kind."""
        return [to for message, to in self.sent if message.WhichOneof("body") == body]

    def test_returns_waiting_openings_without_servers(self):
        """Waiting openings go back to their sender when all servers are gone."""
        for port in range(7):
            self.receive(port)
        self.servers.clear()
        self.dispatcher.tick()
        self.assertEqual(self.targets_of("returned"), [PEER, PEER])
        self.assertEqual(self.dispatcher.waiting_count(), 0)

    def test_counts_no_failure_for_reused_port(self):
        """A first opening from a port that had a place is another flow."""
        self.receive(1)
        self.clock.value_s += 0.2
        self.receive(1)
        self.assertEqual(self.server.failures, 0)
        self.receive(1, copy=1)
        self.assertEqual(self.server.failures, 1)

    def test_places_duplicate_packet_once(self):
        """A packet that arrives twice is forwarded once."""
        self.receive(1)
        self.receive(1)
        self.assertEqual(self.forward.call_count, 1)

    def test_end_counts_as_answer_of_server(self):
        """A server that answers one opening is not avoided for two unanswered ones."""
        self.receive(1)
        self.receive(2)
        self.receive(3)
        self.clock.value_s += 0.05
        self.dispatcher.on_end(opening(3).key)
        self.clock.value_s += 0.15
        self.receive(1, copy=1)
        self.receive(2, copy=1)
        self.assertEqual(self.server.failures, 0)

    def test_avoids_server_after_expired_places(self):
        """A server is avoided when none of its openings end."""
        self.receive(1)
        self.receive(2)
        self.clock.value_s += 0.31
        self.dispatcher.tick()
        self.assertGreater(self.server.penalty_until_s, self.clock())

    def test_tries_avoided_server_without_alternative(self):
        """The only server gets an opening although it is avoided."""
        self.server.penalty_until_s = self.clock() + 1.0
        self.receive(1)
        self.assertEqual(self.forward.call_count, 1)

    def test_hands_over_when_servers_are_avoided(self):
        """An opening goes to another dispatcher when all own servers are avoided."""
        self.others.set_dispatchers({"a": Dispatchers(addresses=[OWN, PEER])})
        self.groups.count_slots = lambda service: {OWN: 2, PEER: 2}
        self.server.penalty_until_s = self.clock() + 1.0
        self.receive(1)
        self.assertEqual(self.targets_of("relayed"), [PEER])

    def test_reports_load_for_unanswered_opening(self):
        """The sender sees that the dispatcher is alive while the server is silent."""
        self.receive(1)
        self.clock.value_s += 0.05
        self.dispatcher.tick()
        self.assertEqual(self.targets_of("load"), [])
        self.clock.value_s += 0.06
        self.dispatcher.tick()
        self.assertEqual(self.targets_of("load"), [PEER])

    def test_sends_deferred_load_report(self):
        """A deferred report is sent before the caller's copy arrives."""
        for port in range(6):
            self.receive(port)
        self.clock.value_s += 0.01
        self.receive(7)
        self.sent.clear()
        for _ in range(3):
            self.clock.value_s += 0.05
            self.dispatcher.tick()
        self.assertIn(PEER, self.targets_of("load"))

    def test_sends_refusal_to_origin_of_opening(self):
        """A refusal goes to the instance that receives the caller's packets."""
        relayed = RelayedOpening(service="tab", waited_ms=1_400, hops=1, origin=REMOTE)
        for port in range(5):
            self.receive(port)
        self.dispatcher.receive(opening(9), route(1), relayed, PEER)
        refused = [message.returned for message, to in self.sent if to == REMOTE]
        self.assertEqual([message.refused for message in refused], [True])

    def test_forwards_copy_of_handed_over_opening(self):
        """A copy goes to the dispatcher at which its opening waits."""
        dispatchers = {"b": Dispatchers(addresses=[REMOTE])}
        self.others.set_dispatchers(dispatchers)
        for port in range(12):
            self.receive(port)
        self.assertEqual(self.targets_of("relayed"), [REMOTE])
        handover = self.sent[-1][0].relayed
        self.assertTrue(handover.crossed)
        port = next(p for p in range(12) if opening(p).key in self.others._handovers)
        self.clock.value_s += 0.1
        self.others.on_load(
            DispatcherLoad(service="tab", wait_ms=900, waiting=4), REMOTE
        )
        self.clock.value_s += 0.1
        self.others.on_load(
            DispatcherLoad(service="tab", wait_ms=900, waiting=4), REMOTE
        )
        self.receive(port, copy=1)
        self.assertEqual(self.targets_of("relayed"), [REMOTE, REMOTE])

    def test_reset_deletes_waiting_openings(self):
        """No opening from before a pause of this instance is refused after it."""
        for port in range(7):
            self.receive(port)
        self.clock.value_s += 2.0
        self.dispatcher.reset()
        self.dispatcher.tick()
        self.assertEqual(self.targets_of("returned"), [])
        self.assertEqual(self.dispatcher.waiting_count(), 0)
