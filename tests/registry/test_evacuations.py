import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from agatethread.registry import KnownEntry
from tests.fakes import address
from tests.registry.worlds import World, compressed_table


class TestEvacuations(unittest.TestCase):
    """Delivery of evacuations to entry instances."""

    def test_change_is_received_within_one_round(self):
        """An evacuation and its end each reach the entry instance in one round."""
        world = World()
        world.step(5)
        world.evacuate(7, "b")
        world.deliver()
        self.assertEqual(world.evacuated, [{"b"}])
        world.evacuate(8)
        world.deliver()
        self.assertEqual(world.evacuated[-1], set())

    def test_ignores_older_version(self):
        """A control instance that lacks the evacuation does not undo it."""
        world = World()
        world.step(5)
        world.evacuate(7, "b", numbers=[0])
        world.evacuate(5, numbers=[1])
        world.step(20)
        self.assertEqual(world.evacuated, [{"b"}])

    def test_change_is_received_despite_losses(self):
        """With half of all messages lost, retries deliver the change."""
        for seed in range(20):
            with self.subTest(seed=seed):
                world = World(seed=seed)
                world.step(5)
                world.loss = 0.5
                world.evacuate(7, "b")
                world.step(20)
                self.assertEqual(world.evacuated, [{"b"}])

    def test_instance_receives_missed_change_after_partition(self):
        """A change during a partition arrives with the first reply after it."""
        world = World()
        world.step(5)
        world.cut = {world.entry_address}
        world.evacuate(7, "b")
        world.step(50)
        self.assertEqual(world.evacuated, [])
        world.cut = set()
        world.step(6)
        self.assertEqual(world.evacuated, [{"b"}])

    def test_first_table_includes_evacuations(self):
        """The first table has the evacuations, in case their own message was lost."""
        world = World(("a",))
        world.evacuate(7, "b")
        offer = compressed_table(9)
        offer.evacuations.CopyFrom(world.evacuation_publishers[address(0)].newest)
        world.publisher(0).greet([KnownEntry(world.entry_address, "a")])
        world.publisher(0).publish_routes(offer)
        world.deliver()
        self.assertEqual(world.entry.routes_version, 9)
        self.assertEqual(world.evacuated, [{"b"}])

    def test_acknowledged_change_is_not_sent_again(self):
        """No bytes are sent once all instances have acknowledged."""
        world = World()
        world.step(5)
        world.evacuate(7, "b")
        world.step(5)
        before_bytes = world.sent_bytes
        for publisher in world.evacuation_publishers.values():
            publisher.send_unacknowledged()
        self.assertEqual(world.sent_bytes, before_bytes)


class TestWaiting(unittest.IsolatedAsyncioTestCase):
    async def test_wait_ends_when_all_reachable_entries_acknowledged(self):
        """The operator's reply waits for the entry instances, up to the timeout."""
        world = World(("a",))
        world.step(5)
        publisher = world.evacuation_publishers[address(0)]
        world.cut = {world.entry_address}
        world.evacuate(7, "b")
        self.assertFalse(await publisher.wait_until_acknowledged(7, 0.01))
        world.cut = set()
        world.step(4)
        self.assertTrue(await publisher.wait_until_acknowledged(7, 0.01))

    async def test_wait_includes_entries_of_other_control_instances(self):
        """It includes an entry instance that only its own domain's control serves."""
        world = World(("a", "a", "b", "b"))
        world.step(30)
        publisher = world.evacuation_publishers[address(2)]
        self.assertEqual(len(list(world.publisher(2).active_entries())), 0)
        home = address(0), address(1)
        world.cut_pairs = {frozenset((world.entry_address, place)) for place in home}
        world.evacuate(7, "b")
        world.deliver()
        self.assertFalse(await publisher.wait_until_acknowledged(7, 0.01))
        world.cut_pairs = set()
        world.step(4)
        self.assertTrue(await publisher.wait_until_acknowledged(7, 0.01))

    async def test_does_not_wait_without_reachable_entries(self):
        """Without entry instances the request is answered at once."""
        world = World(("a",))
        world.evacuate(7, "b")
        is_known = await world.evacuation_publishers[
            address(0)
        ].wait_until_acknowledged(7, 0.01)
        self.assertTrue(is_known)


class EvacuationMachine(RuleBasedStateMachine):
    """Compares delivered evacuations with the log under losses and partitions."""

    layout = ("a", "b", "c")

    @initialize(seed=strategies.integers(0, 1_000))
    def begin(self, seed):
        self.world = World(self.layout, seed)
        self.version = 0
        self.domains = set()
        self.world.step(5)

    @rule(domain=strategies.sampled_from("abc"), behind=strategies.integers(0, 6))
    def change_evacuation(self, domain, behind):
        """Change an evacuation; one control instance may lack it."""
        self.version += 1
        self.domains ^= {domain}
        count = len(self.layout)
        numbers = [number for number in range(count) if number != behind]
        self.world.evacuate(self.version, *sorted(self.domains), numbers=numbers)

    @rule(loss=strategies.sampled_from([0.0, 0.3]))
    def lose(self, loss):
        self.world.loss = loss

    @rule(cut=strategies.sets(strategies.sampled_from([0, 1, 2, 3, 4, 5, 99])))
    def cut(self, cut):
        self.world.cut = {address(number) for number in cut}

    @rule(count=strategies.integers(1, 5))
    def wait(self, count):
        self.world.step(count)

    @rule()
    def heal(self):
        """Without faults the newest evacuations are in force after 20 steps."""
        self.world.cut, self.world.loss = set(), 0.0
        self.world.evacuate(self.version, *sorted(self.domains))
        self.world.step(20)
        newest = self.world.evacuated[-1] if self.world.evacuated else set()
        assert newest == self.domains, (newest, self.domains)

    @invariant()
    def is_not_newer_than_published(self):
        """The version in force at the entry instance is a published one."""
        versions = [
            publisher.newest.version
            for publisher in self.world.evacuation_publishers.values()
        ]
        assert self.world.entry._evacuations.version <= max(versions)


class OwnDomainEvacuationMachine(EvacuationMachine):
    """Like `EvacuationMachine`; the entry may follow its own domain only."""

    layout = ("a", "a", "b", "b", "c", "c")


TestEvacuationMachine = EvacuationMachine.TestCase
TestOwnDomainEvacuationMachine = OwnDomainEvacuationMachine.TestCase
TestOwnDomainEvacuationMachine.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None
)
TestEvacuationMachine.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None
)
