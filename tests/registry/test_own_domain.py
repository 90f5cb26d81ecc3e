import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from logbook import TestHandler

from agatethread.observability import Event
from agatethread.registry import KnownEntry, are_other_domains_unreachable, is_cut_off
from agatethread.registry._own_domain import OWN_DOMAIN_COUNT
from agatethread.registry._presence import rank_entries
from agatethread.registry._subscribers import Subscriber
from tests.fakes import address
from tests.registry.test_runs import report
from tests.registry.worlds import World, compressed_table

PAIRED_DOMAINS = ("a", "a", "b", "b", "c", "c")
OWN_DOMAIN = {address(0), address(1)}
OTHER_DOMAINS = {address(number) for number in range(2, 6)}


def known_entries():
    """Return the entry instance as control instances store it."""
    return [KnownEntry(address(99), "a")]


def followed(world):
    """Return the addresses of the control instances that the entry instance polls."""
    return {link.address for link in world.entry._followed}


def subscribed_controls(world):
    """Return the control instances that send changes to the entry instance."""
    return {
        place
        for place, (_, publisher) in world.controls.items()
        if any(
            target == world.entry_address for target, _ in publisher.active_entries()
        )
    }


class TestOwnDomain(unittest.TestCase):
    """An entry instance, and two control instances in each of three domains."""

    def setUp(self):
        self.world = World(PAIRED_DOMAINS)
        self.world.step(30)

    def test_follows_only_own_domain_of_two(self):
        """A report to any control instance arrives through the own domain."""
        self.world.run_table(4).report(report())
        self.world.step(5)
        self.assertEqual(followed(self.world), OWN_DOMAIN)
        self.assertEqual(subscribed_controls(self.world), OWN_DOMAIN)
        self.assertIn("i-1", self.world.received_runs())

    def test_only_own_domain_sends_state_at_start(self):
        """Other domains don't send the same state again."""
        world = World(PAIRED_DOMAINS)
        world.cut = {world.entry_address}
        for number in range(1, 60):
            world.run_table(number % 6).report(report(number, place=number))
        world.step(20)
        world.cut = OTHER_DOMAINS
        world.step(2)
        world.cut = set()
        world.step(30)
        self.assertEqual(len(world.received_runs()), 59)
        self.assertEqual(followed(world), OWN_DOMAIN)
        for place in OTHER_DOMAINS:
            self.assertEqual(world.entry.links[place].seen_index, 0)

    def test_follows_another_domain_while_one_of_own_domain_is_lost(self):
        """The other domain is unfollowed after the lost instance returns."""
        self.world.cut = {address(0)}
        self.world.step(16)
        self.assertEqual(len(followed(self.world) & OTHER_DOMAINS), 1)
        self.assertIn(address(1), followed(self.world))
        self.world.cut = set()
        self.world.step(60)
        self.assertEqual(followed(self.world), OWN_DOMAIN)
        self.assertEqual(subscribed_controls(self.world), OWN_DOMAIN)

    def test_other_domains_replace_a_lost_own_domain(self):
        """No change is missed when both control instances of the own domain fail."""
        self.world.run_table(2).report(report(sequence=1))
        self.world.step(5)
        self.world.cut = set(OWN_DOMAIN)
        self.world.run_table(2).report(report(sequence=2, draining=True))
        self.world.step(18)
        self.assertTrue(followed(self.world) <= OTHER_DOMAINS)
        self.assertTrue(self.world.received_runs()["i-1"].draining)
        self.world.step(20)
        self.assertEqual(len(followed(self.world) & OTHER_DOMAINS), 3)

    def test_only_own_domain_sends_state_after_a_partition(self):
        """The own domain suffices at once after all instances were unreachable."""
        for place in OTHER_DOMAINS:
            self.assertEqual(self.world.entry.links[place].seen_index, 0)
        self.world.cut = {self.world.entry_address}
        for number in range(1, 40):
            self.world.run_table(number % 6).report(report(number, place=number))
        self.world.step(40)
        self.world.cut = OTHER_DOMAINS
        self.world.step(2)
        self.world.cut = set()
        self.world.step(20)
        self.assertEqual(len(self.world.received_runs()), 39)
        for place in OTHER_DOMAINS:
            self.assertEqual(self.world.entry.links[place].seen_index, 0)

    def test_probed_instances_store_the_entry_instance(self):
        """Other domains can greet the entry instance after a power loss."""
        self.world.step(40)
        for number in range(6):
            (known,) = self.world.publisher(number).known_entries()
            self.assertEqual((known.address, known.failure_domain), (address(99), "a"))
        self.world.cut = {self.world.entry_address}
        self.world.step(120)
        self.assertEqual(self.world.publisher(4).known_entries(), ())

    def test_receives_first_table_from_another_domain(self):
        """Another domain sends the table while the own domain has none."""
        world = World(PAIRED_DOMAINS)
        world.cut = {world.entry_address}
        world.step(20)
        for number in range(2, 6):
            world.publisher(number).publish_routes(compressed_table(9))
        world.cut = OTHER_DOMAINS
        world.step(1)
        world.cut = set()
        self.assertTrue(world.entry.is_complete())
        for number in range(2, 6):
            world.publisher(number).greet(known_entries())
        world.deliver()
        self.assertEqual(world.entry.routes_version, 9)

    def test_replaces_lost_instance_of_another_domain(self):
        """Tables still arrive while the own domain hears no leader."""
        self.world.leaderless = set(OWN_DOMAIN)
        self.world.step(12)
        (lost,) = followed(self.world) & OTHER_DOMAINS
        self.world.cut = {lost}
        for place in OTHER_DOMAINS - {lost}:
            self.world.controls[place][1].publish_routes(compressed_table(9))
        self.world.step(20)
        self.assertEqual(self.world.entry.routes_version, 9)

    def test_follows_another_domain_while_own_domain_hears_no_leader(self):
        """Another domain sends the table that the own domain can't receive."""
        self.world.leaderless = set(OWN_DOMAIN)
        self.world.step(5)
        for number in range(2, 6):
            self.world.publisher(number).publish_routes(compressed_table(9))
        self.world.step(8)
        self.assertEqual(self.world.entry.routes_version, 9)
        self.assertEqual(len(followed(self.world) & OTHER_DOMAINS), 1)
        self.world.leaderless = set()
        self.world.step(40)
        self.assertEqual(followed(self.world), OWN_DOMAIN)

    def test_follows_instance_that_own_domain_cannot_reach(self):
        """Runs that report only to such an instance count as alive."""
        unreachable = address(2)
        self.world.run_table(2).report(report(sequence=1))
        self.world.step(5)
        self.world.cut_pairs = {frozenset((unreachable, place)) for place in OWN_DOMAIN}
        for sequence in range(2, 80):
            self.world.run_table(2).report(report(sequence=sequence))
            self.world.step()
            self.assertTrue(self.world.entry.is_reporting("i-1"))
        self.assertTrue(self.world.run_table(0).get("i-1").silent)
        self.assertIn(unreachable, followed(self.world))

    def test_state_of_unfollowed_instance_is_ignored(self):
        """A run that is silent at all followed instances is not reporting."""
        self.world.cut = {address(0)}
        for sequence in range(1, 81):
            self.world.run_table(2).report(report(sequence=sequence))
            self.world.step()
            if sequence == 20:
                self.world.cut = set()
        self.assertEqual(followed(self.world), OWN_DOMAIN)
        self.world.step(60)
        is_reporting = self.world.entry.is_reporting
        self.world.step(40, check=lambda: self.assertFalse(is_reporting("i-1")))

    def test_unfollowed_instance_deletes_its_subscriber(self):
        """The subscriber is deleted although changes continue."""
        self.world.cut = {address(0)}
        self.world.step(20)
        self.assertTrue(subscribed_controls(self.world) & OTHER_DOMAINS)
        self.world.cut = set()
        for number in range(1, 60):
            self.world.run_table(3).report(report(number, place=number))
            self.world.step()
        self.assertEqual(subscribed_controls(self.world), OWN_DOMAIN)

    def test_drain_survives_loss_of_receiving_instance(self):
        """The instance that received the drain fails after it has acknowledged it."""
        self.world.run_table(3).report(report(sequence=1))
        self.world.step(5)

        async def drain():
            self.world.run_table(3).report(report(sequence=2, draining=True))
            waiting = asyncio.ensure_future(self.world.publisher(3).flush_and_wait(1.0))
            await asyncio.sleep(0)
            self.world.deliver()
            return await waiting

        self.assertTrue(asyncio.run(drain()))
        self.world.cut = {address(3)}
        self.world.step(2)
        self.assertTrue(self.world.received_runs()["i-1"].draining)

    def test_cut_off_requires_several_unanswered_requests(self):
        """A partition counts, not the loss of the one instance that is probed next."""
        for step_count in range(40, 60):
            self.world = World(PAIRED_DOMAINS)
            self.world.step(step_count)
            next_probed = max(
                (self.world.entry.links[place] for place in OTHER_DOMAINS),
                key=lambda link: -link.requested_s,
            )
            self.world.cut = {next_probed.address}
            self.world.step(9, check=self.assert_not_cut_off)
            self.world.leaderless = set(OWN_DOMAIN)
            self.world.step(30, check=self.assert_not_cut_off)
        self.world.cut = set(OTHER_DOMAINS)
        self.world.step(20)
        self.assertTrue(self.is_cut_off())
        self.world.cut = set()
        self.world.step(8)
        self.assertFalse(self.is_cut_off())

    def assert_not_cut_off(self):
        self.assertFalse(self.is_cut_off())

    def is_cut_off(self):
        links = self.world.entry.links.values()
        silent = are_other_domains_unreachable(links, "a", self.world.clock())
        return silent and is_cut_off(links, self.world.entry.reachable_links(), "a")

    def test_logs_each_switch_once_and_no_false_loss(self):
        """A loss of all other domains for 0.8 s is not logged; each switch is, once."""
        entry = self.world.entry_address
        with TestHandler() as handler:
            self.world.cut_pairs = {
                frozenset((entry, place)) for place in OTHER_DOMAINS
            }
            self.world.step(8)
            self.world.cut_pairs = set()
            self.world.step(40)
            events = {record.message for record in handler.records}
            # An instance that was not probed before may become reachable.
            self.assertLessEqual(events, {Event.CONTROL_REACHABLE})
            self.world.cut_pairs = {frozenset((entry, address(0)))}
            self.world.step(20)
            self.world.cut_pairs = set()
            self.world.step(60)
        events = [record.message for record in handler.records]
        switches = Event.FOLLOWS_OTHER_DOMAINS, Event.FOLLOWS_OWN_DOMAIN
        self.assertEqual([event for event in events if event in switches], [*switches])

    def test_idle_traffic_between_domains_is_bounded(self):
        """Without changes only probes are sent to other domains."""
        sent = []
        send = self.world.entry._send
        self.world.entry._send = lambda message, target: (
            sent.append(target),
            send(message, target),
        )
        self.world.step(80)
        # 8 s with a probe each 0.7 s.
        self.assertLessEqual(sum(target in OTHER_DOMAINS for target in sent), 11)


class TestRanks(unittest.TestCase):
    @given(st.dictionaries(st.sampled_from("abcde"), st.integers(1, 40), min_size=1))
    def test_ranks_are_unique_across_domains(self, sizes):
        """Control instances that reach only their own domain assign distinct ranks."""
        ranks = []
        for domain, size in sizes.items():
            entries = [(domain, address(number)) for number in range(size)]
            ranks += rank_entries(entries, sizes).values()
        count = sum(sizes.values())
        self.assertEqual({rank.count for rank in ranks}, {count})
        self.assertEqual(sorted(rank.position for rank in ranks), list(range(count)))

    def test_control_instances_exchange_entry_counts(self):
        """The count includes entry instances that only other domains reach."""
        world = World(PAIRED_DOMAINS)
        world.step(30)
        for number in (2, 3):
            for index in range(5):
                world.publisher(number)._subscribers[address(200 + index)] = (
                    make_subscriber(world)
                )
        world.step(8)
        self.assertEqual(world.entry.links[address(0)].rank.count, 6)


def make_subscriber(world):
    subscriber = Subscriber()
    # A poll in the future: its lease lasts during the steps that follow.
    subscriber.failure_domain, subscriber.last_poll_s = "b", world.clock() + 1.0
    return subscriber


class OwnDomainMachine(RuleBasedStateMachine):
    """Reports and drains during partitions, message loss and elections."""

    places = st.integers(0, 5)

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.world = World(PAIRED_DOMAINS, seed)
        self.sequences = {}
        self.drained = set()
        self.world.step(30)

    @rule(number=st.integers(1, 4), at=places, drains=st.booleans())
    def report(self, number, at, drains):
        """Send a report of a run, which may start to drain."""
        sequence = self.sequences[number] = self.sequences.get(number, 0) + 1
        if drains:
            self.drained.add(f"i-{number:x}")
        is_draining = f"i-{number:x}" in self.drained
        run_report = report(
            number, sequence, number, draining=is_draining, started_ms=1_000
        )
        self.world.run_table(at).report(run_report)

    @rule(places=st.sets(places, max_size=4))
    def cut(self, places):
        self.world.cut = {address(number) for number in places}

    @rule(pairs=st.sets(st.tuples(places, places), max_size=4))
    def cut_pairs(self, pairs):
        self.world.cut_pairs = {frozenset(map(address, pair)) for pair in pairs}

    @rule(places=st.sets(places, max_size=4))
    def elect(self, places):
        """Some control instances lose contact to the leader, all others have it."""
        self.world.leaderless = {address(number) for number in places}

    @rule(loss=st.sampled_from([0.0, 0.2]))
    def lose(self, loss):
        self.world.loss = loss

    @rule(count=st.integers(1, 15))
    def wait(self, count):
        self.world.step(count)

    @rule()
    def heal(self):
        """All changes arrive in time after the faults end."""
        self.world.cut, self.world.cut_pairs = set(), set()
        self.world.loss, self.world.leaderless = 0.0, set()
        self.world.step(30)
        received = self.world.received_runs()
        for run_id in self.drained:
            assert received[run_id].draining, run_id
        assert len(received) == len(self.sequences)
        assert len(self.world.entry._followed) >= OWN_DOMAIN_COUNT

    @invariant()
    def draining_is_never_reverted(self):
        """A draining run is never received as working again."""
        drained = set()
        for run in self.world.runs:
            assert run.draining or run.id not in drained
            if run.draining:
                drained.add(run.id)


TestOwnDomainMachine = OwnDomainMachine.TestCase
TestOwnDomainMachine.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
