import unittest

from agatethread.datapath._elsewhere import OtherDomains
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers
from tests.datapath.worlds import opening
from tests.fakes import Clock, address

FAR, FARTHER = address(1), address(2)
KEY = opening(1).key


class TestOtherDomains(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.others = OtherDomains("a", self.clock)
        self.others.take(
            {
                "a": Dispatchers(addresses=[address(9)]),
                "b": Dispatchers(addresses=[FAR, FARTHER]),
            }
        )

    def tell(self, source, wait_ms):
        self.others.on_load(DispatcherLoad(service="tab", wait_ms=wait_ms), source)

    def test_least_busy_is_found(self):
        """With all known the one with the shortest wait is named."""
        self.tell(FAR, 50)
        self.tell(FARTHER, 10)
        outlet = self.others.find_least_busy("tab")
        self.assertEqual((outlet.address, outlet.wait_s), (FARTHER, 0.01))

    def test_unknown_ones_are_asked_now_and_then(self):
        """One of which nothing is known is named, but not twice within 0.02 s."""
        self.tell(FAR, 50)
        outlet = self.others.find_least_busy("tab")
        self.assertEqual((outlet.address, outlet.wait_s), (FARTHER, None))
        self.others.note_given(KEY, "tab", FARTHER)
        self.assertEqual(self.others.find_least_busy("tab").address, FAR)

    def test_old_word_and_own_domain_are_not_used(self):
        """Loads older than 0.1 s, or of the own domain's dispatchers, are not used."""
        self.tell(address(9), 0)
        self.tell(FAR, 0)
        self.tell(FARTHER, 0)
        self.clock.value_s += 0.11
        self.assertIsNone(self.others.find_least_busy("tab").wait_s)
        self.others.note_given(KEY, "tab", FAR)
        self.assertIsNone(self.others.find_least_busy("tab"))

    def test_copy_follows_to_whoever_said_it_lives(self):
        """Only where a dispatcher has said something since does a copy follow."""
        self.tell(FAR, 0)
        self.clock.value_s += 0.01
        self.others.note_given(KEY, "tab", FAR)
        self.assertIsNone(self.others.find_given(KEY, "tab"))
        self.clock.value_s += 0.01
        self.tell(FAR, 0)
        self.assertEqual(self.others.find_given(KEY, "tab"), FAR)

    def test_given_openings_are_forgotten(self):
        """What was handed over is named once, and forgotten after 3 s."""
        self.others.note_given(KEY, "tab", FAR)
        self.assertEqual(self.others.take_given(KEY), FAR)
        self.assertIsNone(self.others.take_given(KEY))
        self.others.note_given(KEY, "tab", FAR)
        self.clock.value_s += 3.1
        self.others.sweep()
        self.assertIsNone(self.others.take_given(KEY))
