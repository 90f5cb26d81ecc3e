import unittest

from agatethread.datapath._handover import OtherDispatchers
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers, RelayedOpening
from tests.datapath.fixtures import opening
from tests.fakes import Clock, address

OWN, REMOTE, OTHER_REMOTE = address(9), address(1), address(2)
PEER, OTHER_PEER, THIRD_PEER = address(3), address(4), address(5)
CANDIDATES = frozenset((OWN, PEER, OTHER_PEER, THIRD_PEER))
KEY = opening(1).key


class TestOtherDispatchers(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.others = OtherDispatchers(OWN, "a", self.clock)
        self.others.set_dispatchers(
            {
                "a": Dispatchers(addresses=sorted(CANDIDATES)),
                "b": Dispatchers(addresses=[REMOTE, OTHER_REMOTE]),
            }
        )

    def report_load(self, source, wait_ms, waiting=0):
        load = DispatcherLoad(
            service="tab", wait_ms=wait_ms, free=int(not wait_ms), waiting=waiting
        )
        self.others.on_load(load, source)

    def choose(self, hops=0, crossed=False):
        relayed = RelayedOpening(service="tab", hops=hops, crossed=crossed)
        target = self.others.choose_target(relayed, CANDIDATES)
        if target is None:
            return None
        return target.address, target.alternative.wait_s, target.alternative.crosses

    def test_prefers_own_domain_dispatcher_with_room(self):
        """No other failure domain is chosen while the own one has room."""
        self.report_load(REMOTE, 0)
        self.report_load(PEER, 50)
        self.report_load(OTHER_PEER, 0)
        self.assertEqual(self.choose(), (OTHER_PEER, 0.0, False))

    def test_chooses_own_domain_dispatcher_without_report(self):
        """A dispatcher with unknown load is chosen, but never this instance."""
        self.assertIn(self.choose()[0], {PEER, OTHER_PEER, THIRD_PEER})
        self.report_load(PEER, 50)
        self.assertIn(self.choose()[0], {OTHER_PEER, THIRD_PEER})

    def test_chooses_least_busy_other_domain_dispatcher(self):
        """Two busy dispatchers show that the own failure domain is busy."""
        self.report_load(PEER, 50)
        self.report_load(OTHER_PEER, 40)
        self.report_load(REMOTE, 50)
        self.report_load(OTHER_REMOTE, 10)
        self.assertEqual(self.choose(), (OTHER_REMOTE, 0.01, True))

    def test_limits_hops_in_own_domain(self):
        """After two hops an opening is handed over to another failure domain only."""
        self.assertTrue(self.choose(hops=2)[2])
        self.assertIsNone(self.choose(hops=2, crossed=True))

    def test_limits_probes_of_other_domains(self):
        """A dispatcher with unknown load is probed once per interval at most."""
        self.report_load(REMOTE, 50)
        self.assertEqual(self.choose(hops=2), (OTHER_REMOTE, None, True))
        self.others.record_handover(KEY, "tab", OTHER_REMOTE)
        self.assertEqual(self.choose(hops=2)[0], REMOTE)

    def test_ignores_outdated_loads_and_unknown_senders(self):
        """A load older than 0.1 s, or of an unknown sender, is not used."""
        self.report_load(address(77), 0)
        self.report_load(REMOTE, 0)
        self.report_load(OTHER_REMOTE, 0)
        self.clock.value_s += 0.11
        self.assertIsNone(self.choose(hops=2)[1])
        self.others.record_handover(KEY, "tab", REMOTE)
        self.assertIsNone(self.choose(hops=2))

    def test_finds_dispatcher_where_opening_waits(self):
        """It may wait only if a report after the handover shows waiting openings."""
        self.report_load(REMOTE, 50, waiting=3)
        self.clock.value_s += 0.01
        self.others.record_handover(KEY, "tab", REMOTE)
        self.assertIsNone(self.others.find_dispatcher_with_queue(KEY, "tab"))
        self.clock.value_s += 0.01
        self.report_load(REMOTE, 0)
        self.assertIsNone(self.others.find_dispatcher_with_queue(KEY, "tab"))
        self.report_load(REMOTE, 50, waiting=3)
        self.assertEqual(self.others.find_dispatcher_with_queue(KEY, "tab"), REMOTE)

    def test_skips_dispatchers_that_avoid_all_servers(self):
        """They do not count as busy, and their report stays valid for longer."""
        for avoiding in (PEER, OTHER_PEER):
            self.report_load(avoiding, 3_600_000)
        self.clock.value_s += 0.3
        self.assertEqual(self.choose(), (THIRD_PEER, None, False))

    def test_allows_more_hops_if_all_servers_are_avoided(self):
        """An opening is handed over up to five times where all servers are avoided."""
        relayed = RelayedOpening(service="tab", hops=4, crossed=True)
        self.assertIsNone(self.others.choose_target(relayed, CANDIDATES))
        self.assertIsNotNone(
            self.others.choose_target(relayed, CANDIDATES, avoids_all_servers=True)
        )

    def test_deletes_handovers(self):
        """A handover is returned once, and deleted after 3 s."""
        self.others.record_handover(KEY, "tab", REMOTE)
        self.assertEqual(self.others.pop_handover(KEY), REMOTE)
        self.assertIsNone(self.others.pop_handover(KEY))
        self.others.record_handover(KEY, "tab", REMOTE)
        self.clock.value_s += 3.1
        self.others.sweep()
        self.assertIsNone(self.others.pop_handover(KEY))
