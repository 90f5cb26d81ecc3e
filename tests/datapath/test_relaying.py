import unittest
from unittest import mock

from agatethread.datapath._relaying import OpeningRelay
from agatethread.observability import Counters
from tests.datapath.fixtures import opening
from tests.fakes import Clock, address

FIRST, SECOND, OWN = address(1), address(2), address(7)


class RelayCase(unittest.TestCase):
    """A relay under pressure whose messages are recorded."""

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.groups = mock.Mock(entry_count=4, dispatchers=(FIRST, SECOND))
        self.groups.count_slots.return_value = {FIRST: 8}
        self.backend = mock.Mock(in_flight=0)
        self.relay = OpeningRelay(
            OWN,
            self.groups,
            lambda service: [self.backend],
            lambda message, target: self.sent.append((message, target)),
            self.clock,
            Counters(),
        )
        pressure = mock.patch.object(
            self.relay, "_is_under_pressure", return_value=True
        )
        pressure.start()
        self.addCleanup(pressure.stop)

    def relay_opening(self, port=1, copy=0, service="tab"):
        return self.relay.relay(opening(port, copy=copy), service, 1)


class TestRelay(RelayCase):
    def test_copy_keeps_service_of_opening(self):
        """The service that is drawn for a copy is ignored."""
        self.relay_opening()
        self.relay.record_liveness(FIRST, self.clock())
        self.clock.value_s += 0.2
        self.relay_opening(copy=1, service="other")
        services = [message.relayed.service for message, _ in self.sent]
        self.assertEqual(services, ["tab", "tab"])

    def test_relays_duplicate_packet_once(self):
        """A repeated first packet is not relayed again."""
        self.relay_opening()
        self.clock.value_s += 0.001
        self.assertTrue(self.relay_opening())
        self.assertEqual(len(self.sent), 1)

    def lose_openings(self, *ports):
        """Return whether copies are relayed while the dispatcher is silent."""
        for port in ports:
            self.relay_opening(port=port)
        self.clock.value_s += 0.2
        return [self.relay_opening(port=port, copy=1) for port in ports]

    def test_ignores_sign_of_life_from_before_loss(self):
        """A placement from before the lost openings does not end the suspicion."""
        self.relay_opening(port=1)
        self.clock.value_s += 0.05
        self.relay.on_packet(opening(1).key, True, False)
        self.assertEqual(self.lose_openings(2, 4), [False, False])
        self.assertFalse(self.relay_opening(port=3))

    def test_tolerates_one_lost_opening(self):
        """After one lost opening the dispatcher still receives openings."""
        # No other dispatcher is left for the copy.
        self.assertEqual(self.lose_openings(2), [False])
        self.assertTrue(self.relay_opening(port=3))

    def test_later_sign_of_life_ends_suspicion(self):
        """A sign of life after the lost openings ends the suspicion."""
        self.clock.value_s += 0.19
        self.assertEqual(self.lose_openings(1, 2), [False, False])
        self.assertFalse(self.relay_opening(port=3))
        self.relay.record_liveness(FIRST, self.clock())
        self.assertTrue(self.relay_opening(port=3))

    def test_relays_copy_of_lost_opening_to_other_dispatcher(self):
        """The first dispatcher receives the end, another one the copy."""
        self.groups.count_slots.return_value = {FIRST: 8, SECOND: 8, address(3): 8}
        self.assertEqual(self.lose_openings(1), [True])
        (_, first_target), (end_message, end_target), (_, second_target) = self.sent
        self.assertEqual(
            (end_message.WhichOneof("body"), end_target), ("ended", first_target)
        )
        self.assertNotEqual(first_target, second_target)

    def test_prefers_own_servers(self):
        """A dispatcher relays its callers' openings to itself only."""
        self.groups.count_slots.return_value = {FIRST: 8, OWN: 2, SECOND: 8}
        for port in range(1, 20):
            self.relay_opening(port=port)
        self.clock.value_s += 0.2
        self.relay_opening(port=1, copy=1)
        self.assertEqual({target for _, target in self.sent}, {OWN})

    def test_suspects_no_dispatcher_after_own_pause(self):
        """After a pause of this instance a copy goes to the same dispatcher."""
        self.relay_opening()
        self.clock.value_s += 1.0
        self.relay.on_resume()
        self.assertTrue(self.relay_opening(copy=2))
        self.assertEqual([target for _, target in self.sent], [FIRST, FIRST])
        self.assertTrue(self.relay_opening(port=2))

    def test_accepts_returned_opening_once(self):
        """An opening that is returned twice is placed once."""
        self.relay_opening()
        self.assertTrue(self.relay.on_return(opening(1).key))
        self.assertFalse(self.relay.on_return(opening(1).key))


class TestPressure(RelayCase):
    def test_excludes_refused_openings_from_pressure(self):
        """Unplaced openings count for half a second at most."""
        for port in range(50):
            self.relay_opening(port=port)
        mock.patch.stopall()
        self.clock.value_s += 0.5
        with mock.patch.object(self.relay, "_gauge") as gauge:
            OpeningRelay._is_under_pressure(self.relay, "tab", self.clock())
        self.assertEqual(gauge.record_opening.call_args.args[1], 0)
