import unittest

from agatethread.datapath._backend import Backend
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._placing import accepts_new_flows
from agatethread.wire.registry_pb2 import Dispatchers
from tests.datapath.fixtures import run
from tests.fakes import Clock, address


class TestServerGroups(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.servers = [Backend(run(nth)) for nth in range(1, 9)]
        self.servers.append(Backend(run(20, failure_domain="b")))
        self.groups = ServerGroups(
            "a", lambda service: self.servers, accepts_new_flows, self.clock
        )
        self.dispatchers = Dispatchers(
            addresses=[address(1), address(2)], entry_count=8, failure_domain="a"
        )
        self.groups.set_dispatchers(self.dispatchers)

    def test_assigns_own_domain_servers_to_dispatchers(self):
        """Each server of the own failure domain has one dispatcher."""
        by_dispatcher = self.groups.servers_by_dispatcher("tab")
        numbers = [
            server.number for group in by_dispatcher.values() for server in group
        ]
        self.assertEqual(sorted(numbers), list(range(1, 9)))
        self.assertEqual(sum(self.groups.count_slots("tab").values()), 16)

    def test_excludes_draining_server_at_once(self):
        """A draining or evacuated server has no slots from the next call on."""
        self.groups.servers_by_dispatcher("tab")
        self.servers[0].draining = True
        self.servers[1].evacuated = True
        self.assertEqual(sum(self.groups.count_slots("tab").values()), 12)

    def test_has_no_slots_without_dispatchers(self):
        """No slots are counted when no control instance names dispatchers."""
        self.groups.set_dispatchers(None)
        self.assertEqual(self.groups.count_slots("tab"), {})
        self.assertEqual(self.groups.entry_count, 0)

    def test_assigns_joining_server(self):
        """A new server has a dispatcher within 0.2 s."""
        self.groups.servers_by_dispatcher("tab")
        self.servers.append(Backend(run(30)))
        self.clock.value_s += 0.21
        self.assertEqual(sum(self.groups.count_slots("tab").values()), 18)
