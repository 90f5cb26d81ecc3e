import unittest

from agatethread.datapath._backend import Backend
from agatethread.datapath._groups import ServerGroups
from agatethread.datapath._placing import may_take_work
from agatethread.wire.registry_pb2 import Dispatchers
from tests.datapath.worlds import run
from tests.fakes import Clock, address


class TestServerGroups(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.servers = [Backend(run(nth)) for nth in range(1, 9)]
        self.servers.append(Backend(run(20, failure_domain="b")))
        self.groups = ServerGroups(
            "a", lambda service: self.servers, may_take_work, self.clock
        )
        self.told = Dispatchers(
            addresses=[address(1), address(2)], entry_count=8, failure_domain="a"
        )
        self.groups.take(self.told)

    def test_servers_of_the_own_domain_are_shared_out(self):
        """Each server of the own failure domain belongs to one dispatcher."""
        shares = self.groups.of_service("tab")
        held = [one.number for some in shares.values() for one in some]
        self.assertEqual(sorted(held), list(range(1, 9)))
        self.assertEqual(sum(self.groups.count_slots("tab").values()), 16)

    def test_small_service_is_not_split_up(self):
        """Of eight dispatchers two place on 16 slots: few servers don't even out."""
        self.told.addresses.extend(address(number) for number in range(3, 9))
        self.groups.take(self.told)
        shares = self.groups.of_service("tab")
        self.assertEqual([len(some) for some in shares.values()], [4, 4])

    def test_draining_server_counts_no_more_at_once(self):
        """One that drains or is evacuated is usable no more, without waiting."""
        self.groups.of_service("tab")
        self.servers[0].draining = True
        self.servers[1].evacuated = True
        self.assertEqual(sum(self.groups.count_slots("tab").values()), 12)

    def test_without_word_nobody_places(self):
        """Where no control instance names anybody, nobody is asked."""
        self.groups.take(None)
        self.assertEqual(self.groups.count_slots("tab"), {})
        self.assertEqual(self.groups.entry_count, 0)

    def test_server_that_joins_is_shared_out_soon(self):
        """A new server belongs to somebody within 0.2 s."""
        self.groups.of_service("tab")
        self.servers.append(Backend(run(30)))
        self.clock.value_s += 0.21
        self.assertEqual(sum(self.groups.count_slots("tab").values()), 18)
