import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath._backend import Backend
from agatethread.datapath._places import PlaceCounts
from agatethread.datapath._placing import max_places
from tests.datapath.fixtures import packet, run
from tests.fakes import Clock

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["allocate", "release", "record_end", "expire"]),
        st.integers(1, 6),
    )
)


def key(port):
    return packet(port).key


class TestPlaceCounts(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.places = PlaceCounts(self.clock)
        self.servers = [Backend(run(nth)) for nth in (1, 2)]

    @given(STEPS)
    def test_counts_match_allocated_places(self, steps):
        """A server's count equals its allocated places after any steps."""
        places, expected = PlaceCounts(self.clock), {}
        for step, port in steps:
            server = self.servers[port % 2]
            self.clock.value_s += 0.1
            if step == "allocate" and port not in expected:
                places.allocate(key(port), server, "tab", ())
                expected[port] = server
            elif step == "expire":
                expired_count = len(places.expire())
                expected = {
                    port: server
                    for port, server in expected.items()
                    if places.find(key(port))
                }
                self.assertEqual(len(places), len(expected), expired_count)
            elif step in ("release", "record_end"):
                placement = getattr(places, step)(key(port))
                self.assertEqual(placement is not None, port in expected)
                expected.pop(port, None)
            counts = {
                server: list(expected.values()).count(server)
                for server in expected.values()
            }
            self.assertEqual(dict(places.in_progress), counts)
            load = places.measure_load("tab", self.servers, 0)
            total = sum(max_places(server) for server in self.servers)
            self.assertEqual(
                (load.place_count, load.free_count), (total, total - len(expected))
            )

    def test_adapts_expiry_to_long_work(self):
        """Places of work of 0.5 s stop expiring after some ends."""
        for port in range(1, 200):
            self.places.allocate(key(port), self.servers[0], "tab", ())
            self.clock.value_s += 0.35
            self.places.expire()
            self.clock.value_s += 0.15
            self.places.record_end(key(port))
        self.assertGreater(self.places.place_time_s("tab"), 0.4)
        self.places.allocate(key(1), self.servers[0], "tab", ())
        self.clock.value_s += 0.5
        self.assertEqual(self.places.expire(), [])

    def test_excludes_places_of_avoided_servers(self):
        """Places of avoided servers are not counted, even if all are avoided."""
        self.servers[0].penalty_until_s = self.clock() + 1.0
        self.assertEqual(
            self.places.measure_load("tab", self.servers, 0).place_count, 8
        )
        self.servers[1].penalty_until_s = self.clock() + 1.0
        self.assertEqual(
            self.places.measure_load("tab", self.servers, 0).place_count, 0
        )
