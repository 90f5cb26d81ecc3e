import unittest

from agatethread.entry._gone_endpoints import GoneEndpoints
from agatethread.observability import Counters
from agatethread.routing import Endpoint
from agatethread.wire import Envelope, Kind, Reason, pack_address
from tests.entry.test_instance import BACKEND, InstanceCase
from tests.fakes import Clock, address, announcement


class TestGoneEndpoints(unittest.TestCase):
    """A backend server that is told to be gone, and its answers to probes."""

    def setUp(self):
        self.clock = Clock()
        self.probes, self.exited = [], []
        self.is_in_sight = True
        self.gone_endpoints = GoneEndpoints(
            lambda _: self.is_in_sight,
            lambda target, data: self.probes.append(Envelope.FromString(data)),
            self.clock,
            self.exited.append,
            Counters(),
        )
        self.endpoint = Endpoint(address(9), announcement(), self.clock())
        self.endpoint.gone = True

    def wait(self, duration_s, answers=False):
        """Advance the clock; the server answers probes, or not."""
        for _ in range(round(duration_s * 10)):
            self.clock.value_s += 0.1
            self.gone_endpoints.tick()
            if answers and self.probes:
                self.answer(self.probes.pop())

    def answer(self, probe, incarnation=None):
        reply = Envelope(
            kind=Kind.PROBE_ACK, incarnation=incarnation or probe.incarnation
        )
        self.gone_endpoints.on_answer(self.endpoint.address, reply)

    def test_server_that_answers_has_not_exited(self):
        """However long it takes; the probes are for its own incarnation."""
        self.gone_endpoints.ask(self.endpoint)
        self.wait(20.0, answers=True)
        self.assertEqual(self.exited, [])
        self.wait(2.5)
        self.assertEqual(self.exited, [self.endpoint])
        self.assertTrue(self.endpoint.has_exited)
        self.assertEqual(len(self.gone_endpoints), 0)

    def test_silent_server_has_exited_within_two_seconds(self):
        """Not before four probes were lost."""
        self.gone_endpoints.ask(self.endpoint)
        self.wait(0.9)
        self.assertEqual(self.exited, [])
        self.wait(1.0)
        self.assertEqual(self.exited, [self.endpoint])

    def test_answer_of_another_incarnation_shows_nothing(self):
        """The address belongs to the next run."""
        self.gone_endpoints.ask(self.endpoint)
        for _ in range(20):
            self.wait(0.1)
            self.answer(Envelope(), incarnation=77)
        self.assertEqual(self.exited, [self.endpoint])

    def test_silence_while_its_domain_is_out_of_sight_shows_nothing(self):
        """The path to it may be cut."""
        self.is_in_sight = False
        self.gone_endpoints.ask(self.endpoint)
        self.wait(10.0)
        self.assertEqual(self.exited, [])
        self.is_in_sight = True
        self.wait(0.9)
        self.assertEqual(self.exited, [])

    def test_pause_of_this_process_shows_nothing(self):
        """The answers may not have been read yet."""
        self.gone_endpoints.ask(self.endpoint)
        self.wait(0.9)
        self.clock.value_s += 5.0
        self.gone_endpoints.tick()
        self.assertEqual(self.exited, [])

    def test_server_that_is_announced_again_is_not_probed(self):
        """Its lease had expired as announcements were lost."""
        self.gone_endpoints.ask(self.endpoint)
        self.wait(0.5)
        self.endpoint.gone = False
        self.wait(5.0)
        self.assertEqual(self.exited, [])
        self.assertEqual(len(self.gone_endpoints), 0)


class TestFlowsOfGoneEndpoints(InstanceCase):
    """Flows of a backend server that left, or whose lease has expired."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.instance.gone_endpoints._now_s = self.clock
        self.instance.gone_endpoints._last_tick_s = self.clock()
        self.probes = []
        self.instance.gone_endpoints._send_backend = lambda _, data: self.probes.append(
            Envelope.FromString(data)
        )
        self.announce()

    def wait(self, duration_s, answers):
        """Send on the flow each 0.2 s while the server answers probes, or not."""
        for _ in range(round(duration_s * 5)):
            self.clock.value_s += 0.2
            self.instance.gone_endpoints.tick()
            self.receive_from_caller(self.make_datagram())
            while self.probes:
                probe = self.probes.pop()
                if answers:
                    reply = Envelope(kind=Kind.PROBE_ACK, incarnation=probe.incarnation)
                    self.receive_on_inner(reply.SerializeToString())

    def test_flow_stays_up_while_a_server_that_left_serves(self):
        """Its announcement comes before the end of its process."""
        self.receive_from_caller(self.make_datagram())
        self.announce(sequence=2, leaving=True)
        self.wait(5.0, answers=True)
        self.assertEqual(self.to_caller, [])
        self.assertEqual(len(self.to_backend), 26)

    def test_flow_is_reset_once_the_server_answers_nothing(self):
        """The caller opens another one."""
        self.receive_from_caller(self.make_datagram())
        self.announce(sequence=2, leaving=True)
        self.wait(2.0, answers=False)
        self.assertEqual(self.to_caller[0][0].reason, Reason.ENDPOINT_GONE)

    def test_flow_stays_up_after_a_lease_expired_wrongly(self):
        """Announcements were lost, and the next one comes later."""
        endpoint = self.instance.endpoints.by_address[pack_address(BACKEND)]
        endpoint.lease_until_s = 0.0
        self.instance.announcements._is_lease_holder = lambda _: True
        self.instance.members.has_live_member = lambda _: True
        self.instance.announcements._now_s = lambda: 1e9
        self.instance.announcements._last_sweep_s = 1e9
        self.instance.announcements.sweep()
        self.assertTrue(endpoint.gone)
        self.wait(3.0, answers=True)
        self.assertEqual(self.to_caller, [])
        self.announce(sequence=9)
        self.assertFalse(endpoint.gone)
        self.wait(3.0, answers=False)
        self.assertEqual(self.to_caller, [])
