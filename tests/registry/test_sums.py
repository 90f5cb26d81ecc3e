import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.registry import SightingPool
from agatethread.wire.registry_pb2 import Sighting

sighting_strategy = st.builds(
    Sighting,
    label=st.integers(1, 3),
    waiting=st.integers(0, 4),
    silent_ms=st.integers(0, 2_000),
)


def by_label(sums):
    """Return sightings by label; runs with equally many flows have no set order."""
    return {each.label: each.SerializeToString() for each in sums.runs}


class TestSums(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(1, 6), st.sampled_from("ab"), sighting_strategy))
    )
    def test_sums_give_the_same_result_as_single_sightings(self, sightings):
        """A pool with the other domain's sums equals one with all sightings."""
        all_domains, own, remote = SightingPool(), SightingPool(), SightingPool()
        for number, domain, sighting in sightings:
            source = f"{domain}{number}".encode()
            all_domains.store_sightings(source, domain, [sighting], 10.0)
            pool = own if domain == "a" else remote
            pool.store_sightings(source, domain, [sighting], 10.0)
        own.store_sums("b", remote.sum_domain_sightings("b", 10.0).runs, 10.0)
        self.assertEqual(*(by_label(pool.sum_all(10.0)) for pool in (own, all_domains)))

    def test_counts_instance_in_sum_and_direct_sighting_once(self):
        """An entry instance may be part of a sum and send its sightings directly."""
        own, remote = SightingPool(), SightingPool()
        for number in range(3):
            sighting = Sighting(label=1, waiting=2, silent_ms=500)
            remote.store_sightings(b"%d" % number, "b", [sighting], 10.0)
        own.store_sightings(
            b"1", "b", [Sighting(label=1, waiting=2, silent_ms=500)], 10.0
        )
        own.store_sums("b", remote.sum_domain_sightings("b", 10.0).runs, 10.0)
        (total,) = own.sum_all(10.0).runs
        self.assertEqual((total.waiting, total.observers, total.domains), (6, 3, 1))

    def test_deletes_sum_that_is_not_repeated(self):
        """A sum expires sooner than a sighting, since its parts are older."""
        own = SightingPool()
        own.store_sums("b", [Sighting(label=1, waiting=9, observers=4)], 10.0)
        self.assertEqual(len(own.sum_all(10.2).runs), 1)
        self.assertEqual(len(own.sum_all(10.4).runs), 0)
