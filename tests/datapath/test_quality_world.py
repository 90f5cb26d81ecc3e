import unittest

from agatethread.balancing import Quality
from tests.datapath.quality_world import DOMAINS, World

HELD = (Quality.DOUBTFUL, Quality.EJECTED)


class TestQualityWorld(unittest.TestCase):
    """87 entry instances, three control instances, 60 servers, 14 requests/s each."""

    def slow_down(self, world, count=15, factor=8.0):
        slow = world.draw.sample(world.servers, count)
        for server in slow:
            server.factor = factor
        return slow

    def test_slow_servers_lose_their_work_and_get_it_back(self):
        """A quarter of the servers eight times slower, from 3 to 10 s."""
        for seed in (1, 2):
            world, plain = World(seed=seed), World(seed=seed, judges=False)
            plain.play(3.0)
            self.slow_down(plain)
            plain.play(10.0)
            world.play(3.0)
            slow = self.slow_down(world)
            world.play(4.0)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(world.held(*HELD, servers=slow), 10)
                world.play(10.0)
                self.assertGreater(plain.late(3.0, 10.0), 0.15)
                self.assertLess(world.late(3.0, 10.0), 0.5 * plain.late(3.0, 10.0))
                self.assertGreaterEqual(world.ejected(slow), 12)
                fine = [one for one in world.servers if one not in slow]
                self.assertLessEqual(world.ejected(fine), 1)
            for server in slow:
                server.factor = 1.0
            world.play(12.5)
            self.assertLessEqual(world.held(*HELD, servers=slow), 5)

    def test_heavy_tails_eject_nobody(self):
        """Three of a hundred requests take seven times as long, on every server."""
        world = World(seed=3)
        for step in range(1, 21):
            world.play(0.5 * step)
            self.assertLessEqual(world.ejected(), 1)
        self.assertLess(world.late(1.0, 9.0), 0.03)

    def test_lossy_links_eject_nobody(self):
        """Three of ten answers come after a packet sent again, everywhere."""
        world = World(seed=4)
        for server in world.servers:
            server.loss = 0.3
        for step in range(1, 13):
            world.play(0.5 * step)
            self.assertEqual(world.ejected(), 0)
            self.assertLessEqual(world.held(*HELD), 4)

    def test_service_slow_as_a_whole_loses_nobody(self):
        """All servers turn six times slower at once."""
        world = World(seed=5, per_s=150.0)
        world.play(3.0)
        self.slow_down(world, len(world.servers), 6.0)
        for step in range(1, 13):
            world.play(3.0 + 0.5 * step)
            self.assertEqual(world.ejected(), 0)
            self.assertLessEqual(world.held(*HELD), 4)

    def test_slow_entry_instances_condemn_nobody(self):
        """Five read everything 0.4 s late."""
        world = World(seed=6)
        for entry in world.entries[:5]:
            entry.late_s = 0.4
        for step in range(1, 13):
            world.play(0.5 * step)
            self.assertLessEqual(world.ejected(), 1)

    def test_few_requests_condemn_nobody(self):
        """One request of a server in two seconds; none is taken away for a tail."""
        world = World(seed=7, per_s=30.0)
        world.play(20.0)
        self.assertEqual(world.held(*HELD), 0)

    def test_lost_messages_delay_and_break_nothing(self):
        """A fifth of all messages between instances is lost."""
        world = World(seed=8)
        world.loss = 0.2
        world.play(3.0)
        slow = self.slow_down(world)
        world.play(8.0)
        self.assertGreaterEqual(world.held(*HELD, servers=slow), 12)
        self.assertLess(world.late(4.0, 8.0), 0.09)

    def test_last_servers_of_a_domain_keep_serving(self):
        """All servers of one failure domain turn slow: one of them keeps its work."""
        world = World(seed=9, per_s=500.0)
        world.play(2.0)
        near = [one for one in world.servers if one.told.failure_domain == DOMAINS[0]]
        for server in near:
            server.factor = 8.0
        world.play(8.0)
        before = {server: world.given[server] for server in near}
        world.play(9.0)
        self.assertTrue(any(world.given[one] > before[one] for one in near))
        self.assertLess(world.held(*HELD, servers=near), len(near) + 1)
