import random
import unittest
from statistics import mean

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import assign_servers, choose_dispatchers
from tests.fakes import address

ENTRIES = st.sets(st.integers(1, 300), max_size=60)
DISPATCHERS = st.sets(st.integers(1, 300), min_size=1, max_size=16)
SERVERS = st.sets(st.integers(0, 2**64 - 1), max_size=60)


def packed(server_ids):
    return [address(server_id) for server_id in server_ids]


def dispatcher_by_server(server_ids, dispatchers):
    """Return the dispatcher that each server is assigned to."""
    shares = assign_servers(server_ids, dispatchers)
    return {
        server_id: dispatcher
        for dispatcher, assigned in shares.items()
        for server_id in assigned
    }


class TestChooseDispatchers(unittest.TestCase):
    @given(ENTRIES, st.integers(1, 300), st.integers(0, 500))
    def test_joining_instance_changes_one_dispatcher(self, entries, joining, slots):
        """An instance that joins or leaves replaces at most one dispatcher."""
        without = set(choose_dispatchers(packed(entries - {joining}), slots))
        with_it = set(choose_dispatchers(packed(entries | {joining}), slots))
        self.assertLessEqual(len(without - with_it), 1)
        self.assertLessEqual(len(with_it - without), 1)

    @given(ENTRIES, st.integers(0, 500), st.randoms())
    def test_choice_is_independent_of_order(self, entries, slots, draw):
        """The order in which instances are listed does not change the choice."""
        shuffled = sorted(entries)
        draw.shuffle(shuffled)
        chosen = choose_dispatchers(packed(shuffled), slots)
        self.assertEqual(chosen, choose_dispatchers(packed(sorted(entries)), slots))
        self.assertEqual(bool(chosen), bool(entries))
        self.assertLessEqual(set(chosen), set(packed(entries)))


class TestAssignServers(unittest.TestCase):
    @given(SERVERS, DISPATCHERS, st.randoms())
    def test_assignment_is_complete_and_balanced(self, servers, dispatchers, draw):
        """Each server is assigned once, evenly, and independently of order."""
        shares = assign_servers(sorted(servers), packed(dispatchers))
        all_assigned = sorted(
            server_id for assigned in shares.values() for server_id in assigned
        )
        self.assertEqual(all_assigned, sorted(servers))
        counts = [len(assigned) for assigned in shares.values()]
        self.assertLessEqual(max(counts) - min(counts), 1)
        shuffled, others = list(servers), packed(dispatchers)
        draw.shuffle(shuffled)
        draw.shuffle(others)
        again = assign_servers(shuffled, others)
        self.assertEqual(again, shares)

    def test_no_dispatchers_no_assignment(self):
        """Without dispatchers no server is assigned."""
        self.assertEqual(assign_servers([1, 2], []), {})

    def count_reassigned(self, modify):
        """Modify servers or dispatchers; return how many servers changed dispatcher.

        Mean and maximum over the seeds; counts servers of both assignments only.
        """
        counts = []
        for seed in range(60):
            draw = random.Random(seed)
            servers = [draw.getrandbits(64) for _ in range(20)]
            dispatchers = packed(draw.sample(range(1, 300), 4))
            before = dispatcher_by_server(servers, dispatchers)
            modify(draw, servers, dispatchers)
            after = dispatcher_by_server(servers, dispatchers)
            remaining = before.keys() & after.keys()
            counts.append(
                sum(before[server_id] != after[server_id] for server_id in remaining)
            )
        return mean(counts), max(counts)

    def test_adding_or_removing_server_reassigns_few(self):
        """Adding or removing one server reassigns few of 20."""
        for modify in (
            lambda draw, servers, _: servers.append(draw.getrandbits(64)),
            lambda draw, servers, _: servers.remove(draw.choice(servers)),
        ):
            mean_count, max_count = self.count_reassigned(modify)
            self.assertLess(mean_count, 2.5)
            self.assertLess(max_count, 9)

    def test_removing_dispatcher_reassigns_few_other_servers(self):
        """Removing a dispatcher reassigns its servers and few others."""
        mean_count, _ = self.count_reassigned(
            lambda draw, _, dispatchers: dispatchers.pop(draw.randrange(4))
        )
        self.assertLess(mean_count, 10)
