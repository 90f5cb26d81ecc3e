import random
import unittest
from statistics import mean

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import choose_dispatchers, choose_for_service, share_out
from tests.fakes import address

ENTRIES = st.sets(st.integers(1, 300), max_size=60)
DISPATCHERS = st.sets(st.integers(1, 300), min_size=1, max_size=16)
SERVERS = st.sets(st.integers(0, 2**64 - 1), max_size=60)


def packed(numbers):
    return [address(number) for number in numbers]


def holders(numbers, dispatchers):
    """Who holds each server."""
    shares = share_out(numbers, dispatchers)
    return {number: one for one, held in shares.items() for number in held}


class TestChooseDispatchers(unittest.TestCase):
    @given(ENTRIES, st.integers(1, 300), st.integers(0, 500))
    def test_one_that_joins_changes_one_choice(self, entries, joining, slots):
        """One that joins or leaves takes one choice away at most, and adds one."""
        without = set(choose_dispatchers(packed(entries - {joining}), slots))
        with_it = set(choose_dispatchers(packed(entries | {joining}), slots))
        self.assertLessEqual(len(without - with_it), 1)
        self.assertLessEqual(len(with_it - without), 1)

    @given(ENTRIES, st.integers(0, 500), st.randoms())
    def test_alike_in_any_order(self, entries, slots, draw):
        """The order in which instances are known does not matter."""
        shuffled = sorted(entries)
        draw.shuffle(shuffled)
        chosen = choose_dispatchers(packed(shuffled), slots)
        self.assertEqual(chosen, choose_dispatchers(packed(sorted(entries)), slots))
        self.assertEqual(bool(chosen), bool(entries))
        self.assertLessEqual(set(chosen), set(packed(entries)))


class TestChooseForService(unittest.TestCase):
    @given(DISPATCHERS, st.text(max_size=9), st.integers(0, 200), st.randoms())
    def test_one_for_twelve_slots(self, dispatchers, service, slots, draw):
        """A service has one of 12 slots, alike in any order; more slots only add."""
        names = packed(dispatchers)
        chosen = choose_for_service(names, service, slots)
        count = min(len(names), max(1, -(-slots // 12)))
        self.assertEqual(len(set(chosen)), count)
        draw.shuffle(names)
        self.assertEqual(choose_for_service(names, service, slots), chosen)
        more = choose_for_service(names, service, slots + 12)
        self.assertLessEqual(set(chosen), set(more))

    def test_services_spread(self):
        """Small services do not all choose the same dispatcher."""
        names = packed(range(1, 8))
        chosen = {choose_for_service(names, f"s-{n}", 4) for n in range(40)}
        self.assertGreater(len(chosen), 4)


class TestShareOut(unittest.TestCase):
    @given(SERVERS, DISPATCHERS, st.randoms())
    def test_even_whole_and_alike(self, servers, dispatchers, draw):
        """Each server is held once, counts differ by one, in any order alike."""
        shares = share_out(sorted(servers), packed(dispatchers))
        held = sorted(number for some in shares.values() for number in some)
        self.assertEqual(held, sorted(servers))
        counts = [len(some) for some in shares.values()]
        self.assertLessEqual(max(counts) - min(counts), 1)
        shuffled, others = list(servers), packed(dispatchers)
        draw.shuffle(shuffled)
        draw.shuffle(others)
        again = share_out(shuffled, others)
        self.assertEqual(again, shares)

    def test_nobody_holds_nothing(self):
        """Without dispatchers nothing is shared out."""
        self.assertEqual(share_out([1, 2], []), {})

    def moves(self, change):
        """Servers that stay and change hands, on the mean and at most."""
        counts = []
        for seed in range(60):
            draw = random.Random(seed)
            servers = [draw.getrandbits(64) for _ in range(20)]
            dispatchers = packed(draw.sample(range(1, 300), 4))
            before = holders(servers, dispatchers)
            change(draw, servers, dispatchers)
            after = holders(servers, dispatchers)
            stay = before.keys() & after.keys()
            counts.append(sum(before[one] != after[one] for one in stay))
        return mean(counts), max(counts)

    def test_server_that_comes_or_goes_moves_few(self):
        """One server more or less moves few of 20 to another dispatcher."""
        for change in (
            lambda draw, servers, _: servers.append(draw.getrandbits(64)),
            lambda draw, servers, _: servers.remove(draw.choice(servers)),
        ):
            on_the_mean, most = self.moves(change)
            self.assertLess(on_the_mean, 2.5)
            self.assertLess(most, 9)

    def test_dispatcher_that_goes_moves_its_own_and_few_more(self):
        """Of 20 servers the 5 of a dispatcher that goes move, and some for evenness."""
        on_the_mean, _ = self.moves(lambda draw, _, some: some.pop(draw.randrange(4)))
        self.assertLess(on_the_mean, 10)
