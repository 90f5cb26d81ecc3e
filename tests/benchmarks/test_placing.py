import unittest

from benchmarks.placing import Load, own_counts, play, shared_counts

#: A large deployment at three times its usual load, with servers that join.
BUSY = Load(5, 39, 23, 2_061.0, seconds=9.0, joining_ratio=0.25)


class TestManyInstances(unittest.TestCase):
    """195 entry instances, each of which sees a small share of all requests."""

    def test_servers_that_join_are_not_overrun(self):
        """Cold ones are spared while others are free; then they get their share."""
        got = play(BUSY, own_counts)
        self.assertLess(got.joined_cold_ratio, 0.5)
        self.assertGreater(got.joined_warm_ratio, 0.7)
        self.assertLess(got.joined_warm_ratio, 1.3)

    def test_callers_hardly_wait(self):
        """Own counts are enough: 0.5 ms on average, 15 ms at the 99th percentile."""
        got = play(BUSY, own_counts)
        self.assertLess(got.mean_ms, 1.0)
        self.assertLess(got.p99_ms, 25.0)
        self.assertEqual(got.full_count, 0)

    def test_old_counts_of_all_are_worse_than_own_ones(self):
        """What was true 0.4 s ago sends everybody to the same servers."""
        old = play(BUSY, shared_counts(0.4))
        self.assertGreater(old.mean_ms, 1.3 * play(BUSY, own_counts).mean_ms)
