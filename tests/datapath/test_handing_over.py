import unittest

from agatethread.datapath._handing_over import OtherDispatchers
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers, RelayedOpening
from tests.datapath.worlds import opening
from tests.fakes import Clock, address

ME, FAR, FARTHER = address(9), address(1), address(2)
NEAR, NEARER, THIRD = address(3), address(4), address(5)
PLACING = frozenset((ME, NEAR, NEARER, THIRD))
KEY = opening(1).key


class TestOtherDispatchers(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.others = OtherDispatchers(ME, "a", self.clock)
        self.others.take(
            {
                "a": Dispatchers(addresses=sorted(PLACING)),
                "b": Dispatchers(addresses=[FAR, FARTHER]),
            }
        )

    def tell(self, source, wait_ms, waiting=0):
        load = DispatcherLoad(
            service="tab", wait_ms=wait_ms, free=int(not wait_ms), waiting=waiting
        )
        self.others.on_load(load, source)

    def find(self, hops=0, crossed=False):
        relayed = RelayedOpening(service="tab", hops=hops, crossed=crossed)
        found = self.others.find(relayed, PLACING)
        if found is None:
            return None
        return found.address, found.elsewhere.wait_s, found.elsewhere.crosses

    def test_one_with_room_at_home_goes_first(self):
        """Nobody is sent to another failure domain while one here has room."""
        self.tell(FAR, 0)
        self.tell(NEAR, 50)
        self.tell(NEARER, 0)
        self.assertEqual(self.find(), (NEARER, 0.0, False))

    def test_unknown_ones_at_home_are_asked(self):
        """One that nothing is known of is tried, but not this instance itself."""
        self.assertIn(self.find()[0], {NEAR, NEARER, THIRD})
        self.tell(NEAR, 50)
        self.assertIn(self.find()[0], {NEARER, THIRD})

    def test_without_room_at_home_the_least_busy_elsewhere_is_named(self):
        """Two that are busy stand for all of the failure domain."""
        self.tell(NEAR, 50)
        self.tell(NEARER, 40)
        self.tell(FAR, 50)
        self.tell(FARTHER, 10)
        self.assertEqual(self.find(), (FARTHER, 0.01, True))

    def test_after_two_steps_at_home_it_leaves(self):
        """An opening is not sent from one busy dispatcher to the next for ever."""
        self.assertTrue(self.find(hops=2)[2])
        self.assertIsNone(self.find(hops=2, crossed=True))

    def test_unknown_ones_elsewhere_are_asked_now_and_then(self):
        """One of which nothing is known is named, but not twice within 0.02 s."""
        self.tell(FAR, 50)
        self.assertEqual(self.find(hops=2), (FARTHER, None, True))
        self.others.note_given(KEY, "tab", FARTHER)
        self.assertEqual(self.find(hops=2)[0], FAR)

    def test_old_word_is_not_used(self):
        """A load older than 0.1 s, or from one that is no dispatcher, is not used."""
        self.tell(address(77), 0)
        self.tell(FAR, 0)
        self.tell(FARTHER, 0)
        self.clock.value_s += 0.11
        self.assertIsNone(self.find(hops=2)[1])
        self.others.note_given(KEY, "tab", FAR)
        self.assertIsNone(self.find(hops=2))

    def test_copy_follows_to_where_it_waits(self):
        """Only where openings are said to wait since does a copy follow."""
        self.tell(FAR, 50, waiting=3)
        self.clock.value_s += 0.01
        self.others.note_given(KEY, "tab", FAR)
        self.assertIsNone(self.others.find_given(KEY, "tab"))
        self.clock.value_s += 0.01
        self.tell(FAR, 0)
        self.assertIsNone(self.others.find_given(KEY, "tab"))
        self.tell(FAR, 50, waiting=3)
        self.assertEqual(self.others.find_given(KEY, "tab"), FAR)

    def test_those_whose_servers_are_silent_are_passed_over(self):
        """They are no sign that a domain is full, and are remembered for longer."""
        for silent in (NEAR, NEARER):
            self.tell(silent, 3_600_000)
        self.clock.value_s += 0.3
        self.assertEqual(self.find(), (THIRD, None, False))

    def test_opening_leaves_silent_servers(self):
        """Where no server answers it is handed on further than where all are busy."""
        relayed = RelayedOpening(service="tab", hops=4, crossed=True)
        self.assertIsNone(self.others.find(relayed, PLACING))
        self.assertIsNotNone(self.others.find(relayed, PLACING, is_silent=True))

    def test_given_openings_are_forgotten(self):
        """What was handed over is named once, and forgotten after 3 s."""
        self.others.note_given(KEY, "tab", FAR)
        self.assertEqual(self.others.take_given(KEY), FAR)
        self.assertIsNone(self.others.take_given(KEY))
        self.others.note_given(KEY, "tab", FAR)
        self.clock.value_s += 3.1
        self.others.sweep()
        self.assertIsNone(self.others.take_given(KEY))
