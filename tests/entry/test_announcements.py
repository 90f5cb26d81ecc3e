import unittest

from agatethread.entry._announcements import AnnouncementDesk
from agatethread.exceptions import DatagramError
from agatethread.observability import Counters
from agatethread.routing import EndpointTable
from agatethread.settings import EntrySettings
from agatethread.wire import Envelope, Kind, service_hash
from tests.fakes import Clock, address, announcement, dead, fleet_table, member

ENTRY = EntrySettings("127.0.0.1:1", "127.0.0.1:2", "unused")


class DeskCase(unittest.TestCase):
    def make_desk(self, table):
        self.clock = Clock()
        self.endpoints = EndpointTable()
        self.sent, self.gone, self.acknowledged = [], [], []
        return AnnouncementDesk(
            ENTRY,
            table,
            self.endpoints,
            lambda target, peer: self.sent.append((target, peer)),
            lambda target, data: self.acknowledged.append(Envelope.FromString(data)),
            self.clock,
            lambda endpoint: None,
            self.gone.append,
            Counters(),
        )

    def pass_time(self, desk, seconds):
        end_s = self.clock.value_s + seconds
        while self.clock.value_s < end_s:
            self.clock.value_s += 0.1
            desk.sweep()

    def announce(self, desk, **fields):
        envelope = Envelope(kind=Kind.ANNOUNCE, announcement=announcement(**fields))
        desk.on_announce(envelope, address(9001))


def bystander(table):
    """An instance that is third for the tab service, and the one before it."""
    ranked = table.rank(service_hash("tab"), 3)
    return ranked[2], ranked[0]


class TestLeases(DeskCase):
    def test_new_holder_waits_a_lease(self):
        """An instance that becomes a holder ends no lease it never heard refreshed."""
        third, first = bystander(fleet_table(5))
        table = fleet_table(5, me=int(third.name.split("-")[1]))
        desk = self.make_desk(table)
        desk.on_relayed(announcement(address=address(9001)))
        self.pass_time(desk, 60)
        table.apply(dead(first))
        desk.sweep()
        self.assertEqual(self.gone, [])
        self.pass_time(desk, 3.1)
        self.assertEqual(len(self.gone), 1)

    def test_silence_of_a_cut_domain_ends_nothing(self):
        """A lease that ran out while its domain was out of sight resets no flow."""
        table = fleet_table(1)
        desk = self.make_desk(table)
        self.announce(desk, failure_domain="b")
        self.pass_time(desk, 60)
        self.assertEqual(self.gone, [])
        table.apply(member(2, "b"))
        desk.sweep()
        self.assertEqual(self.gone, [])
        self.pass_time(desk, 3.1)
        self.assertEqual(len(self.gone), 1)

    def test_cut_domain_gets_no_new_work(self):
        """While a failure domain is out of sight its backend servers get nothing."""
        table = fleet_table(1)
        table.apply(member(2, "b"))
        desk = self.make_desk(table)
        self.announce(desk, failure_domain="b")
        endpoint = self.endpoints.by_address[address(9001)]
        self.assertTrue(endpoint.takes_new_work)
        table.apply(dead(member(2, "b")))
        self.assertFalse(endpoint.takes_new_work)
        table.apply(member(2, "b", counter=1))
        self.assertTrue(endpoint.takes_new_work)

    def test_process_that_was_stopped_ends_nothing(self):
        """After a pause of the process each backend server gets one more lease."""
        table = fleet_table(1)
        desk = self.make_desk(table)
        self.announce(desk)
        desk.sweep()
        self.clock.value_s += 30
        desk.sweep()
        self.assertEqual(self.gone, [])


class TestTelling(DeskCase):
    def test_change_goes_to_all_and_refresh_to_holders(self):
        """A change is told to every instance, a refresh to the holders only."""
        table = fleet_table(7)
        desk = self.make_desk(table)
        self.announce(desk)
        self.assertEqual(len(self.sent), 6)
        self.sent.clear()
        self.announce(desk, sequence=2)
        self.assertLessEqual(len(self.sent), 2)
        self.sent.clear()
        self.announce(desk, sequence=3, draining=True)
        self.assertEqual(len(self.sent), 6)

    def test_newcomer_is_told_what_its_dispatcher_holds(self):
        """The dispatcher, and nobody else, tells a new instance what it holds."""
        ranked = fleet_table(3).rank(service_hash("tab"), 3)
        told = {}
        for me in ranked:
            desk = self.make_desk(fleet_table(3, me=int(me.name.split("-")[1])))
            desk.on_relayed(announcement(address=address(9001)))
            desk.tell_newcomer(member(9))
            told[me.name] = len(self.sent)
        self.assertEqual(list(told.values()), [1, 0, 0])

    def test_acknowledgement_names_the_near_instances(self):
        """A backend server is pointed to its own failure domain, others apart."""
        table = fleet_table(3)
        table.apply(member(9, "b"))
        desk = self.make_desk(table)
        self.announce(desk)
        (acknowledgement,) = self.acknowledged
        near = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
        self.assertEqual(set(acknowledgement.instances), near)
        self.assertEqual(acknowledgement.fallback_instances, ["127.0.0.1:9"])

    def test_nonsense_is_refused(self):
        """An announcement without service, incarnation or lease changes nothing."""
        desk = self.make_desk(fleet_table(2))
        for fields in ({"service": ""}, {"incarnation": 0}, {"lease_ms": 0}):
            with self.subTest(fields), self.assertRaises(DatagramError):
                self.announce(desk, **fields)
        self.assertEqual(self.endpoints.by_address, {})
