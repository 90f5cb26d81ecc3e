import unittest

from agatethread.observability import Counters
from agatethread.registry._traffic import TrafficCounter, name_purpose
from agatethread.wire.registry_pb2 import (
    BackendRun,
    Delta,
    Dispatchers,
    Evacuations,
    HubState,
    Poll,
    RegistryMessage,
)
from tests.fakes import address


class TestTraffic(unittest.TestCase):
    def setUp(self):
        self.counters = Counters()
        self.traffic = TrafficCounter("a", self.counters)

    def test_names_purpose_of_each_message(self):
        """Polls and deltas are distinguished by their purpose."""
        run = BackendRun(id="i-1")
        expected = {
            "poll": RegistryMessage(poll=Poll(wants_reply=True)),
            "probe": RegistryMessage(poll=Poll(wants_reply=True, probe=True)),
            "ack": RegistryMessage(poll=Poll(seen_index=3)),
            "change": RegistryMessage(delta=Delta(runs=[run])),
            "reply": RegistryMessage(delta=Delta(runs=[run], hub=HubState())),
            "evacuations": RegistryMessage(evacuations=Evacuations(version=1)),
        }
        for purpose, message in expected.items():
            self.assertEqual(name_purpose(message), purpose)

    def test_counts_by_reported_kind_of_receiver(self):
        """Counts are separate by role and failure domain, and for unknown receivers."""
        poll = Poll(failure_domain="b", is_control=True)
        self.traffic.store_receiver_kinds(RegistryMessage(poll=poll), address(1))
        self.traffic.store_receiver_kinds(
            RegistryMessage(poll=Poll(failure_domain="a")), address(2)
        )
        dispatchers = Dispatchers(failure_domain="b", addresses=[address(3)])
        delta = Delta(failure_domain="a", hub=HubState(dispatchers=[dispatchers]))
        self.traffic.store_receiver_kinds(RegistryMessage(delta=delta), address(4))
        kinds = "control_away", "entry_home", "entry_away", "control_home", "unknown"
        for number, kind in enumerate(kinds, 1):
            self.traffic.count("poll", 10 * number, address(number))
            self.assertEqual(self.counters[f"sent_poll_{kind}"], 1)
            self.assertEqual(self.counters[f"sent_bytes_poll_{kind}"], 10 * number)

    def test_limits_stored_addresses(self):
        """Messages of any number of senders use bounded memory."""
        for number in range(5_000):
            message = RegistryMessage(poll=Poll(failure_domain="b"))
            self.traffic.store_receiver_kinds(message, address(number))
        self.assertLessEqual(len(self.traffic._receiver_kinds), 4_096)
