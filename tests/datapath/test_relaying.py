import unittest
from unittest import mock

from agatethread.datapath._backend import Backend
from agatethread.datapath._relaying import OpeningRelay
from agatethread.observability import Counters
from tests.datapath.worlds import opening, run
from tests.fakes import Clock, address

ONE, TWO = address(1), address(2)


class RelayCase(unittest.TestCase):
    """A relay under pressure, and what it sends."""

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.groups = mock.Mock(entry_count=4, dispatchers=(ONE, TWO))
        self.groups.count_slots.return_value = {ONE: 8}
        self.group = [Backend(run(nth)) for nth in (1, 2)]
        self.groups.usable.return_value = self.group
        self.busy = mock.Mock(in_flight=0)
        self.relay = OpeningRelay(
            self.groups,
            lambda service: [self.busy],
            lambda message, target: self.sent.append((message, target)),
            self.clock,
            Counters(),
        )
        gauge = mock.patch.object(self.relay, "_is_pressed", return_value=True)
        gauge.start()
        self.addCleanup(gauge.stop)

    def ask(self, port=1, copy=0, service="tab"):
        """Ask it; tell whether it relayed the opening."""
        return self.relay.relay(opening(port, copy=copy), service, 1) is None


class TestRelay(RelayCase):
    def test_copy_keeps_the_service_of_its_opening(self):
        """A route of two services may draw another one for the copy."""
        self.ask()
        self.relay.note_alive(ONE, self.clock())
        self.clock.value_s += 0.2
        self.ask(copy=1, service="other")
        services = [message.relayed.service for message, _ in self.sent]
        self.assertEqual(services, ["tab", "tab"])

    def test_same_packet_again_is_not_relayed_again(self):
        """A repeated first packet takes no second place."""
        self.ask()
        self.clock.value_s += 0.001
        self.assertTrue(self.ask())
        self.assertEqual(len(self.sent), 1)

    def test_earlier_flow_is_no_sign_of_life(self):
        """A flow placed before a dispatcher died does not vouch for it."""
        self.ask(port=1)
        self.clock.value_s += 0.05
        self.ask(port=2)
        self.relay.note_packet(opening(1).key, True, False)
        self.clock.value_s += 0.2
        self.assertFalse(self.ask(port=2, copy=1))
        self.assertFalse(self.ask(port=3))

    def test_later_flow_ends_distrust(self):
        """One that was sent later and was placed shows that only a packet was lost."""
        self.ask(port=1)
        self.clock.value_s += 0.19
        self.ask(port=2)
        self.clock.value_s += 0.01
        self.assertFalse(self.ask(port=1, copy=1))
        self.assertFalse(self.ask(port=3))
        self.relay.note_packet(opening(2).key, True, False)
        self.assertTrue(self.ask(port=3))

    def test_own_pause_is_no_sign_against_others(self):
        """After a pause of its own it distrusts nobody."""
        self.ask()
        self.clock.value_s += 1.0
        self.relay.wake()
        self.assertFalse(self.ask(copy=2))
        self.assertTrue(self.ask(port=2))

    def test_given_back_once(self):
        """An opening that is given back twice, or late, is placed once."""
        self.ask()
        self.assertTrue(self.relay.take_back(opening(1).key))
        self.assertFalse(self.relay.take_back(opening(1).key))

    def test_servers_of_a_distrusted_dispatcher_keep_their_share(self):
        """What it does not place goes to its servers that answer, and to no others."""
        self.ask()
        self.clock.value_s += 0.2
        self.group[1].penalty_until_s = self.clock() + 1.0
        for one in (opening(1, copy=1), opening(2)):
            self.assertEqual(self.relay.relay(one, "tab", 1), self.group[:1])


class TestPressure(RelayCase):
    def test_refused_callers_are_no_pressure(self):
        """Openings whose callers were refused count for half a second at most."""
        for port in range(50):
            self.ask(port=port)
        mock.patch.stopall()
        self.clock.value_s += 0.5
        with mock.patch.object(self.relay, "_gauge") as gauge:
            OpeningRelay._is_pressed(self.relay, "tab", self.clock())
        self.assertEqual(gauge.is_high.call_args.args[1], 0)
