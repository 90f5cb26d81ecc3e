import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from logbook import TestHandler

from agatethread.observability import Event
from agatethread.registry import KnownEntry, are_silent, is_cut_off
from agatethread.registry._home import HOME_COUNT
from agatethread.registry._presence import rank_entries
from agatethread.registry._subscribers import Subscriber
from tests.fakes import address
from tests.registry.test_runs import report
from tests.registry.worlds import World, compressed_table

PAIRS = ("a", "a", "b", "b", "c", "c")
HOME = {address(0), address(1)}
AWAY = {address(number) for number in range(2, 6)}


def known_entries():
    """The entry instance, as control instances remember it."""
    return [KnownEntry(address(99), "a")]


def followed(world):
    """Addresses of those that the entry instance polls."""
    return {link.address for link in world.entry._followed}


def hearers(world):
    """Control instances that tell the entry instance of changes."""
    return {
        place
        for place, (_, hub) in world.hubs.items()
        if any(one == world.entry_address for one, _ in hub.entries_in_sight())
    }


class TestHome(unittest.TestCase):
    """An entry instance in a, with two control instances in each of three domains."""

    def setUp(self):
        self.world = World(PAIRS)
        self.world.step(30)

    def test_two_at_home_are_followed_and_nobody_else_tells(self):
        """What is reported anywhere is told by those at home."""
        self.world.table(4).report(report())
        self.world.step(5)
        self.assertEqual(followed(self.world), HOME)
        self.assertEqual(hearers(self.world), HOME)
        self.assertIn("i-1", self.world.told())

    def test_start_is_told_at_home_only(self):
        """Those at home answer first, and others don't tell the same once more."""
        world = World(PAIRS)
        world.cut = {world.entry_address}
        for number in range(1, 60):
            world.table(number % 6).report(report(number, place=number))
        world.step(20)
        world.cut = AWAY
        world.step(2)
        world.cut = set()
        world.step(30)
        self.assertEqual(len(world.told()), 59)
        self.assertEqual(followed(world), HOME)
        for place in AWAY:
            self.assertEqual(world.entry.links[place].seen_index, 0)

    def test_one_at_home_is_not_enough(self):
        """While one is gone, one of another domain is followed; then none again."""
        self.world.cut = {address(0)}
        self.world.step(16)
        self.assertEqual(len(followed(self.world) & AWAY), 1)
        self.assertIn(address(1), followed(self.world))
        self.world.cut = set()
        self.world.step(60)
        self.assertEqual(followed(self.world), HOME)
        self.assertEqual(hearers(self.world), HOME)

    def test_loss_of_both_at_home(self):
        """Others take over within a second and two polls; nothing is missed."""
        self.world.table(2).report(report(sequence=1))
        self.world.step(5)
        self.world.cut = set(HOME)
        self.world.table(2).report(report(sequence=2, draining=True))
        self.world.step(18)
        self.assertTrue(followed(self.world) <= AWAY)
        self.assertTrue(self.world.told()["i-1"].draining)
        self.world.step(20)
        self.assertEqual(len(followed(self.world) & AWAY), 3)

    def test_return_from_a_cut_is_told_at_home(self):
        """When all were out of sight, those at home are enough at once."""
        for place in AWAY:
            self.assertEqual(self.world.entry.links[place].seen_index, 0)
        self.world.cut = {self.world.entry_address}
        for number in range(1, 40):
            self.world.table(number % 6).report(report(number, place=number))
        self.world.step(40)
        self.world.cut = AWAY
        self.world.step(2)
        self.world.cut = set()
        self.world.step(20)
        self.assertEqual(len(self.world.told()), 39)
        for place in AWAY:
            self.assertEqual(self.world.entry.links[place].seen_index, 0)

    def test_one_that_only_looks_is_greeted_after_a_restart(self):
        """A control instance elsewhere knows whom to greet after a loss of power."""
        self.world.step(40)
        for number in range(6):
            (known,) = self.world.hub(number).entries()
            self.assertEqual((known.address, known.failure_domain), (address(99), "a"))
        self.world.cut = {self.world.entry_address}
        self.world.step(120)
        self.assertEqual(self.world.hub(4).entries(), ())

    def test_first_table_comes_from_whoever_has_it(self):
        """While those at home open their logs, one elsewhere tells it at once."""
        world = World(PAIRS)
        world.cut = {world.entry_address}
        world.step(20)
        for number in range(2, 6):
            world.hub(number).offer_routes(compressed_table(9))
        world.cut = AWAY
        world.step(1)
        world.cut = set()
        self.assertTrue(world.entry.is_complete())
        for number in range(2, 6):
            world.hub(number).greet(known_entries())
        world.deliver()
        self.assertEqual(world.entry.routes_version, 9)

    def test_loss_of_the_one_that_is_followed_elsewhere(self):
        """Another one takes over; tables go on to come while home has no leader."""
        self.world.leaderless = set(HOME)
        self.world.step(12)
        (one,) = followed(self.world) & AWAY
        self.world.cut = {one}
        for place in AWAY - {one}:
            self.world.hubs[place][1].offer_routes(compressed_table(9))
        self.world.step(20)
        self.assertEqual(self.world.entry.routes_version, 9)

    def test_no_leader_at_home(self):
        """A table that those at home can't learn of comes from elsewhere."""
        self.world.leaderless = set(HOME)
        self.world.step(5)
        for number in range(2, 6):
            self.world.hub(number).offer_routes(compressed_table(9))
        self.world.step(8)
        self.assertEqual(self.world.entry.routes_version, 9)
        self.assertEqual(len(followed(self.world) & AWAY), 1)
        self.world.leaderless = set()
        self.world.step(40)
        self.assertEqual(followed(self.world), HOME)

    def test_control_instance_that_is_not_heard_at_home(self):
        """One that others hear is followed itself, and its runs are held for alive."""
        cut_off = address(2)
        self.world.table(2).report(report(sequence=1))
        self.world.step(5)
        self.world.cut_pairs = {frozenset((cut_off, place)) for place in HOME}
        for sequence in range(2, 80):
            self.world.table(2).report(report(sequence=sequence))
            self.world.step()
            self.assertTrue(self.world.entry.is_reporting("i-1"))
        self.assertTrue(self.world.table(0).find("i-1").silent)
        self.assertIn(cut_off, followed(self.world))

    def test_one_that_is_left_vouches_for_nothing(self):
        """What it told once goes stale: a run that all hold for silent is silent."""
        self.world.cut = {address(0)}
        for sequence in range(1, 81):
            self.world.table(2).report(report(sequence=sequence))
            self.world.step()
            if sequence == 20:
                self.world.cut = set()
        self.assertEqual(followed(self.world), HOME)
        self.world.step(60)
        vouches = self.world.entry.is_reporting
        self.world.step(40, check=lambda: self.assertFalse(vouches("i-1")))

    def test_one_that_is_left_is_not_waited_for(self):
        """It forgets the entry instance at once, though changes go on."""
        self.world.cut = {address(0)}
        self.world.step(20)
        self.assertTrue(hearers(self.world) & AWAY)
        self.world.cut = set()
        for number in range(1, 60):
            self.world.table(3).report(report(number, place=number))
            self.world.step()
        self.assertEqual(hearers(self.world), HOME)

    def test_drain_is_known_when_its_taker_dies(self):
        """One of another domain takes it, tells all control instances, and dies."""
        self.world.table(3).report(report(sequence=1))
        self.world.step(5)

        async def drain():
            self.world.table(3).report(report(sequence=2, draining=True))
            waiting = asyncio.ensure_future(self.world.hub(3).spread(1.0))
            await asyncio.sleep(0)
            self.world.deliver()
            return await waiting

        self.assertTrue(asyncio.run(drain()))
        self.world.cut = {address(3)}
        self.world.step(2)
        self.assertTrue(self.world.told()["i-1"].draining)

    def test_cut_off_is_judged_on_silence_that_was_asked_for(self):
        """A real cut counts, not the end of the one elsewhere that was asked last."""
        for until in range(40, 60):
            self.world = World(PAIRS)
            self.world.step(until)
            watched = max(
                (self.world.entry.links[place] for place in AWAY),
                key=lambda link: -link.asked_s,
            )
            self.world.cut = {watched.address}
            self.world.step(9, check=self.assert_in_touch)
            self.world.leaderless = set(HOME)
            self.world.step(30, check=self.assert_in_touch)
        self.world.cut = set(AWAY)
        self.world.step(20)
        self.assertTrue(self.is_cut_off())
        self.world.cut = set()
        self.world.step(8)
        self.assertFalse(self.is_cut_off())

    def assert_in_touch(self):
        self.assertFalse(self.is_cut_off())

    def is_cut_off(self):
        links = self.world.entry.links.values()
        silent = are_silent(links, "a", self.world.clock())
        return silent and is_cut_off(links, self.world.entry.live(), "a")

    def test_log_tells_each_switch_and_no_loss_that_is_none(self):
        """One lost answer of one that is seldom asked is no loss of it."""
        entry = self.world.entry_address
        with TestHandler() as handler:
            self.world.cut_pairs = {frozenset((entry, place)) for place in AWAY}
            self.world.step(8)
            self.world.cut_pairs = set()
            self.world.step(40)
            events = {one.message for one in handler.records}
            # One that was not asked before may come in sight.
            self.assertLessEqual(events, {Event.CONTROL_IN_SIGHT})
            self.world.cut_pairs = {frozenset((entry, address(0)))}
            self.world.step(20)
            self.world.cut_pairs = set()
            self.world.step(60)
        events = [one.message for one in handler.records]
        switches = Event.HOME_NOT_ENOUGH, Event.HOME_IS_ENOUGH
        self.assertEqual([one for one in events if one in switches], [*switches])

    def test_little_crosses_between_domains_while_nothing_changes(self):
        """One look at another domain each 0.8 s."""
        sent = []
        send = self.world.entry._send
        self.world.entry._send = lambda one, to: (sent.append(to), send(one, to))
        self.world.step(80)
        self.assertLessEqual(sum(to in AWAY for to in sent), 11)


class TestRanks(unittest.TestCase):
    @given(st.dictionaries(st.sampled_from("abcde"), st.integers(1, 40), min_size=1))
    def test_hubs_that_hear_their_own_domain_rank_all_apart(self, sizes):
        """Each entry instance has a rank of its own among all."""
        ranks = []
        for domain, size in sizes.items():
            entries = [(domain, address(number)) for number in range(size)]
            ranks += rank_entries(entries, sizes).values()
        count = sum(sizes.values())
        self.assertEqual({rank.count for rank in ranks}, {count})
        self.assertEqual(sorted(rank.position for rank in ranks), list(range(count)))

    def test_hubs_tell_each_other_the_numbers(self):
        """One at home of 1 entry instance knows of those that others hear."""
        world = World(PAIRS)
        world.step(30)
        for number in (2, 3):
            for nth in range(5):
                world.hub(number)._subscribers[address(200 + nth)] = _subscriber(world)
        world.step(8)
        self.assertEqual(world.entry.links[address(0)].rank.count, 6)


def _subscriber(world):
    one = Subscriber()
    one.failure_domain, one.heard_s = "b", world.clock() + 1.0
    return one


class HomeMachine(RuleBasedStateMachine):
    """Reports and drains at any control instance, among cuts, losses and elections."""

    places = st.integers(0, 5)

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.world = World(PAIRS, seed)
        self.sequences = {}
        self.drained = set()
        self.world.step(30)

    @rule(number=st.integers(1, 4), at=places, drains=st.booleans())
    def report(self, number, at, drains):
        """A run reports, and may say that it drains."""
        sequence = self.sequences[number] = self.sequences.get(number, 0) + 1
        if drains:
            self.drained.add(f"i-{number:x}")
        is_draining = f"i-{number:x}" in self.drained
        one = report(number, sequence, number, draining=is_draining, started_ms=1_000)
        self.world.table(at).report(one)

    @rule(places=st.sets(places, max_size=4))
    def cut(self, places):
        self.world.cut = {address(number) for number in places}

    @rule(pairs=st.sets(st.tuples(places, places), max_size=4))
    def cut_pairs(self, pairs):
        self.world.cut_pairs = {frozenset(map(address, pair)) for pair in pairs}

    @rule(places=st.sets(places, max_size=4))
    def elect(self, places):
        self.world.leaderless = {address(number) for number in places}

    @rule(loss=st.sampled_from([0.0, 0.2]))
    def lose(self, loss):
        self.world.loss = loss

    @rule(count=st.integers(1, 15))
    def wait(self, count):
        self.world.step(count)

    @rule()
    def heal(self):
        """Without faults all is known within the seconds that count."""
        self.world.cut, self.world.cut_pairs = set(), set()
        self.world.loss, self.world.leaderless = 0.0, set()
        self.world.step(30)
        told = self.world.told()
        for run_id in self.drained:
            assert told[run_id].draining, run_id
        assert len(told) == len(self.sequences)
        assert len(self.world.entry._followed) >= HOME_COUNT

    @invariant()
    def nothing_goes_back(self):
        """A run that was told to drain is not told to work again."""
        drained = set()
        for run in self.world.runs:
            assert run.draining or run.id not in drained
            if run.draining:
                drained.add(run.id)


TestHomeMachine = HomeMachine.TestCase
TestHomeMachine.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
