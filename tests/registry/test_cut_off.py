import unittest

from agatethread.registry._control_link import ControlLink
from agatethread.registry._selection import is_cut_off
from tests.fakes import address
from tests.registry.worlds import World


def link(number, domain, hears_leader=False):
    """Return the link to one control instance."""
    return ControlLink(address(number), domain, hears_leader=hears_leader)


class TestIsCutOff(unittest.TestCase):
    def setUp(self):
        self.links = [link(number, domain) for number, domain in enumerate("aabbcc")]

    def is_cut_off(self, live, links=None):
        return is_cut_off(links or self.links, live, "a")

    def test_cut_off_if_only_own_domain_is_reachable(self):
        """Two of six control instances are reachable, and neither hears a leader."""
        self.assertTrue(self.is_cut_off(self.links[:2]))

    def test_not_cut_off_if_no_control_instance_is_reachable(self):
        """Other domains may be reachable although all control instances are lost."""
        self.assertFalse(self.is_cut_off([]))

    def test_not_cut_off_if_another_domain_is_reachable(self):
        """The other domain can still send evacuations."""
        self.assertFalse(self.is_cut_off(self.links[:3]))

    def test_not_cut_off_if_own_domain_hears_a_leader(self):
        """A leader has the votes of a majority."""
        self.assertFalse(self.is_cut_off([link(0, "a", hears_leader=True)]))

    def test_not_cut_off_if_own_domain_holds_a_majority(self):
        """The own domain can elect a leader by itself."""
        links = [link(number, domain) for number, domain in enumerate("aaab")]
        self.assertFalse(self.is_cut_off(links[:3], links))

    def test_partition_is_detected_within_the_control_lease(self):
        """The start is detected in a lease and two polls, the end in two polls."""
        world = World(("a", "b", "c"))
        world.leaderless = {address(0)}
        world.step(8)
        self.assertFalse(self.is_entry_cut_off(world))
        world.cut = {address(1), address(2)}
        world.step(16)
        self.assertTrue(self.is_entry_cut_off(world))
        world.cut = set()
        world.step(8)
        self.assertFalse(self.is_entry_cut_off(world))

    def is_entry_cut_off(self, world):
        return is_cut_off(
            world.entry.links.values(), world.entry.reachable_links(), "a"
        )
