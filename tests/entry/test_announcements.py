import unittest

from agatethread.entry._announcements import AnnouncementHandler
from agatethread.exceptions import DatagramError
from agatethread.observability import Counters
from agatethread.routing import EndpointTable
from agatethread.settings import EntrySettings
from agatethread.wire import Envelope, Kind, service_hash
from tests.fakes import Clock, address, announcement, dead, fleet_table, member

ENTRY = EntrySettings("127.0.0.1:1", "127.0.0.1:2", "unused")


class AnnouncementCase(unittest.TestCase):
    def make_handler(self, table):
        self.clock = Clock()
        self.endpoints = EndpointTable()
        self.sent, self.gone, self.exited, self.acknowledged = [], [], [], []
        return AnnouncementHandler(
            ENTRY,
            table,
            self.endpoints,
            lambda target, peer: self.sent.append((target, peer)),
            lambda target, data: self.acknowledged.append(Envelope.FromString(data)),
            self.clock,
            lambda endpoint: None,
            self.gone.append,
            self.exited.append,
            Counters(),
        )

    def advance_clock(self, handler, seconds):
        end_s = self.clock.value_s + seconds
        while self.clock.value_s < end_s:
            self.clock.value_s += 0.1
            handler.sweep()

    def announce(self, handler, **fields):
        envelope = Envelope(kind=Kind.ANNOUNCE, announcement=announcement(**fields))
        handler.on_announce(envelope, address(9001))


def rank_third_and_first(table):
    """Return the third and the first instance in the ranking of the tab service."""
    ranked = table.rank(service_hash("tab"), 3)
    return ranked[2], ranked[0]


class TestLeases(AnnouncementCase):
    def test_new_lease_holder_extends_leases(self):
        """A new lease holder waits for one lease time before it ends a lease."""
        third, first = rank_third_and_first(fleet_table(5))
        table = fleet_table(5, me=int(third.name.split("-")[1]))
        handler = self.make_handler(table)
        handler.on_forwarded(announcement(address=address(9001)))
        self.advance_clock(handler, 60)
        table.apply(dead(first))
        handler.sweep()
        self.assertEqual(self.gone, [])
        self.advance_clock(handler, 3.1)
        self.assertEqual(len(self.gone), 1)

    def test_keeps_leases_of_unreachable_domain(self):
        """An expired lease starts anew when its failure domain is reachable again."""
        table = fleet_table(1)
        handler = self.make_handler(table)
        self.announce(handler, failure_domain="b")
        self.advance_clock(handler, 60)
        self.assertEqual(self.gone, [])
        table.apply(member(2, "b"))
        handler.sweep()
        self.assertEqual(self.gone, [])
        self.advance_clock(handler, 3.1)
        self.assertEqual(len(self.gone), 1)

    def test_unreachable_domain_gets_no_new_work(self):
        """Backend servers in an unreachable failure domain get no new work."""
        table = fleet_table(1)
        table.apply(member(2, "b"))
        handler = self.make_handler(table)
        self.announce(handler, failure_domain="b")
        endpoint = self.endpoints.by_address[address(9001)]
        self.assertTrue(endpoint.takes_new_work)
        table.apply(dead(member(2, "b")))
        self.assertFalse(endpoint.takes_new_work)
        table.apply(member(2, "b", counter=1))
        self.assertTrue(endpoint.takes_new_work)

    def test_extends_leases_after_pause_of_process(self):
        """After a pause of the process no lease ends at once."""
        table = fleet_table(1)
        handler = self.make_handler(table)
        self.announce(handler)
        handler.sweep()
        self.clock.value_s += 30
        handler.sweep()
        self.assertEqual(self.gone, [])


class TestForwarding(AnnouncementCase):
    def test_sends_changes_to_all_and_refreshes_to_lease_holders(self):
        """A change is sent to every instance, a refresh to lease holders only."""
        table = fleet_table(7)
        handler = self.make_handler(table)
        self.announce(handler)
        self.assertEqual(len(self.sent), 6)
        self.sent.clear()
        self.announce(handler, sequence=2)
        self.assertLessEqual(len(self.sent), 2)
        self.sent.clear()
        self.announce(handler, sequence=3, draining=True)
        self.assertEqual(len(self.sent), 6)

    def test_only_dispatcher_sends_endpoints_to_new_instance(self):
        """A new instance receives a backend server only from its dispatcher."""
        ranked = fleet_table(3).rank(service_hash("tab"), 3)
        sent_counts = {}
        for me in ranked:
            handler = self.make_handler(fleet_table(3, me=int(me.name.split("-")[1])))
            handler.on_forwarded(announcement(address=address(9001)))
            handler.send_announcements_to(member(9))
            sent_counts[me.name] = len(self.sent)
        self.assertEqual(list(sent_counts.values()), [1, 0, 0])

    def test_acknowledgement_lists_instances_of_own_domain(self):
        """Instances of other failure domains are listed as fallbacks."""
        table = fleet_table(3)
        table.apply(member(9, "b"))
        handler = self.make_handler(table)
        self.announce(handler)
        (acknowledgement,) = self.acknowledged
        own_domain_addresses = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
        self.assertEqual(set(acknowledgement.instances), own_domain_addresses)
        self.assertEqual(acknowledgement.fallback_instances, ["127.0.0.1:9"])

    def test_rejects_announcement_without_required_field(self):
        """An announcement without service, incarnation or lease changes nothing."""
        handler = self.make_handler(fleet_table(2))
        for fields in ({"service": ""}, {"incarnation": 0}, {"lease_ms": 0}):
            with self.subTest(fields), self.assertRaises(DatagramError):
                self.announce(handler, **fields)
        self.assertEqual(self.endpoints.by_address, {})
