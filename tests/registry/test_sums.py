import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.registry import SightingPool
from agatethread.wire.registry_pb2 import Sighting

sighted = st.builds(
    Sighting,
    label=st.integers(1, 3),
    waiting=st.integers(0, 4),
    silent_ms=st.integers(0, 2_000),
)


def by_label(digest):
    """Sightings by label: runs with as many flows come in no particular order."""
    return {one.label: one.SerializeToString() for one in digest.runs}


class TestSums(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 6), st.sampled_from("ab"), sighted)))
    def test_sums_tell_what_each_would(self, seen):
        """With the other domain's sums the digest is that of one that hears all."""
        whole, home, away = SightingPool(), SightingPool(), SightingPool()
        for number, domain, one in seen:
            source = f"{domain}{number}".encode()
            whole.take(source, domain, [one], 10.0)
            pool = home if domain == "a" else away
            pool.take(source, domain, [one], 10.0)
        home.take_sums("b", away.sum_up_domain("b", 10.0).runs, 10.0)
        self.assertEqual(*(by_label(pool.digest(10.0)) for pool in (home, whole)))

    def test_nothing_counts_twice(self):
        """An entry instance that is in a sum and heard besides counts once."""
        home, away = SightingPool(), SightingPool()
        for number in range(3):
            one = Sighting(label=1, waiting=2, silent_ms=500)
            away.take(b"%d" % number, "b", [one], 10.0)
        home.take(b"1", "b", [Sighting(label=1, waiting=2, silent_ms=500)], 10.0)
        home.take_sums("b", away.sum_up_domain("b", 10.0).runs, 10.0)
        (one,) = home.digest(10.0).runs
        self.assertEqual((one.waiting, one.observers, one.domains), (6, 3, 1))

    def test_sum_that_is_not_said_again_is_forgotten(self):
        """A sum is as old as its parts already."""
        home = SightingPool()
        home.take_sums("b", [Sighting(label=1, waiting=9, observers=4)], 10.0)
        self.assertEqual(len(home.digest(10.2).runs), 1)
        self.assertEqual(len(home.digest(10.4).runs), 0)
