import unittest

from agatethread.registry._following import is_cut_off
from agatethread.registry._link import HubLink
from tests.fakes import address
from tests.registry.worlds import World


def link(number, domain, hears_leader=False):
    """What is known of one control instance."""
    return HubLink(address(number), domain, hears_leader=hears_leader)


class TestIsCutOff(unittest.TestCase):
    def setUp(self):
        self.known = [link(number, domain) for number, domain in enumerate("aabbcc")]

    def judge(self, live, known=None):
        return is_cut_off(known or self.known, live, "a")

    def test_only_the_own_domain_in_sight(self):
        """Two of six answer, and neither hears a leader."""
        self.assertTrue(self.judge(self.known[:2]))

    def test_nobody_in_sight(self):
        """With all control instances gone the other domains may well be in reach."""
        self.assertFalse(self.judge([]))

    def test_another_domain_in_sight(self):
        """An order may still come through it."""
        self.assertFalse(self.judge(self.known[:3]))

    def test_leader_in_sight(self):
        """A leader that is heard at home has more than half behind it."""
        self.assertFalse(self.judge([link(0, "a", hears_leader=True)]))

    def test_most_control_instances_at_home(self):
        """Those of the own domain may agree among themselves, after an election."""
        known = [link(number, domain) for number, domain in enumerate("aaab")]
        self.assertFalse(self.judge(known[:3], known))

    def test_seen_within_the_lease_of_control_instances(self):
        """In a cut between domains it is known after a second, and so is its end."""
        world = World(("a", "b", "c"))
        world.leaderless = {address(0)}
        world.step(8)
        self.assertFalse(self.judge_world(world))
        world.cut = {address(1), address(2)}
        world.step(16)
        self.assertTrue(self.judge_world(world))
        world.cut = set()
        world.step(8)
        self.assertFalse(self.judge_world(world))

    def judge_world(self, world):
        return is_cut_off(world.entry.links.values(), world.entry.live(), "a")
