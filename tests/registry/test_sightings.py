import unittest

from agatethread.registry import SightingPool
from agatethread.registry._sightings import RETENTION_S
from agatethread.wire.registry_pb2 import Sighting


def sighting(label=7, waiting=1, silent_ms=500):
    return Sighting(label=label, waiting=waiting, silent_ms=silent_ms)


class TestSightingPool(unittest.TestCase):
    def setUp(self):
        self.pool = SightingPool()

    def store(self, source, domain="a", now_s=10.0, **fields):
        self.pool.store_sightings(source, domain, [sighting(**fields)], now_s)

    def digest(self, now_s=10.0):
        return list(self.pool.sum_all(now_s).runs)

    def test_sums_sightings_of_all_entry_instances(self):
        """Flows, instances and failure domains are counted, each instance once."""
        self.store(b"1", "a", silent_ms=300)
        self.store(b"2", "a", waiting=2, silent_ms=900)
        self.store(b"3", "b")
        self.store(b"3", "b")
        (total,) = self.digest()
        self.assertEqual((total.waiting, total.observers, total.domains), (4, 3, 2))
        self.assertEqual(total.silent_ms, 900)

    def test_silence_counts_from_last_answer_at_any_instance(self):
        """A single answer has precedence over all waiting flows."""
        self.store(b"1", silent_ms=900, waiting=2)
        self.store(b"2", silent_ms=800)
        self.store(b"3", waiting=0, silent_ms=100)
        (total,) = self.digest()
        self.assertEqual((total.observers, total.silent_ms), (2, 100))

    def test_time_since_last_answer_increases(self):
        """The age of a sighting is added to the time since its answer."""
        self.store(b"1", silent_ms=900, waiting=2)
        self.store(b"2", silent_ms=900)
        self.store(b"3", waiting=0, silent_ms=100)
        (total,) = self.digest(10.5)
        self.assertEqual(total.silent_ms, 600)

    def test_deletes_sighting_that_is_not_repeated(self):
        """A silence does not increase by itself, and expires without repetition."""
        self.store(b"1", silent_ms=300, waiting=2)
        self.store(b"2", silent_ms=300)
        (total,) = self.digest(10.2)
        self.assertEqual(total.silent_ms, 300)
        self.assertEqual(self.digest(10.0 + RETENTION_S + 0.1), [])
        self.assertEqual(self.pool._by_label, {})

    def test_limits_runs_of_a_digest(self):
        """One message holds the runs with the most waiting flows."""
        for label in range(1, 200):
            self.store(b"1", label=label, waiting=label)
            self.store(b"2", label=label, waiting=label)
        runs = self.digest()
        self.assertEqual([each.label for each in runs], list(range(199, 183, -1)))
        self.assertLess(self.pool.sum_all(10.0).ByteSize(), 300)

    def test_digest_omits_runs_below_the_thresholds(self):
        """Too few flows, a single instance, and answers alone are left out."""
        self.store(b"1", label=1, waiting=1)
        self.store(b"2", label=1, waiting=1)
        self.store(b"1", label=2, waiting=9)
        self.store(b"1", label=3, waiting=0)
        self.assertEqual(self.digest(), [])
