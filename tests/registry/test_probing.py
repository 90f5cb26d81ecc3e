import itertools
import random
import unittest

from logbook import TestHandler

from agatethread.observability import Event
from tests.fakes import address
from tests.registry.worlds import World

#: Interval between polls of an entry instance, as in `World.step`.
POLL_INTERVAL_S = 0.4
LEASE_S = 1.0


def make_world(other_count):
    """Return a world of two control instances of the own domain, and others."""
    domains = ("a", "a") + tuple("bc"[number % 2] for number in range(other_count))
    world = World(domains)
    world.step(30)
    return world


def others_of(world):
    """Return the addresses of the control instances of other failure domains."""
    return [address(number) for number in range(2, len(world.controls))]


def losses(handler):
    """Return the addresses that were logged as unreachable."""
    return [
        bytes.fromhex(record.kwargs["address"])
        for record in handler.records
        if record.message == Event.CONTROL_UNREACHABLE
    ]


def cut_from_entry(world, places):
    """Cut some control instances, and no others, off from the entry instance."""
    world.cut_pairs = {frozenset((world.entry_address, place)) for place in places}


def lose_request(world, number):
    """Lose the request with a number, counted from now, to another failure domain."""
    others, counter = set(others_of(world)), itertools.count()
    send = world.entry._send

    def send_most(message, target):
        if target in others and next(counter) == number:
            return
        send(message, target)

    world.entry._send = send_most


def step_until(world, is_true):
    """Advance the world by 20 s, and return the time at which a condition came true."""
    times_s = []
    world.step(200, check=lambda: is_true() and times_s.append(world.clock()))
    return times_s[0]


class TestProbes(unittest.TestCase):
    def test_short_loss_of_all_others_is_no_loss_of_an_instance(self):
        """The silent instance is asked again, however many others there are."""
        for other_count, seed in itertools.product((4, 6, 10, 16), range(10)):
            with self.subTest(others=other_count, seed=seed), TestHandler() as handler:
                random.seed(seed)
                world = make_world(other_count)
                cut_from_entry(world, others_of(world))
                world.step(8)
                cut_from_entry(world, [])
                world.step(40)
                self.assertEqual(losses(handler), [])

    def test_one_lost_request_is_no_loss_of_an_instance(self):
        """Nor while the entry instance changes whom it follows."""
        for number in range(30):
            with self.subTest(number=number), TestHandler() as handler:
                random.seed(number)
                world = make_world(6)
                lose_request(world, number)
                cut_from_entry(world, [address(0)])
                world.step(20)
                cut_from_entry(world, [])
                world.step(60)
                self.assertEqual(set(losses(handler)) - {address(0)}, set())

    def test_suspended_process_does_not_take_its_pause_for_a_loss(self):
        """A pause after a request leaves too few requests for a conclusion."""
        world = make_world(6)
        for _ in range(10):
            with TestHandler() as handler:
                world.entry.poll()
                world.clock.value_s += 2 * LEASE_S
                world.entry.poll()
                world.deliver()
                world.step(20)
            self.assertEqual(losses(handler), [])

    def test_lost_instance_is_logged_within_its_lease_and_a_poll(self):
        """Repeated requests do not delay the conclusion."""
        for other_count, seed in itertools.product((4, 10), range(10)):
            with self.subTest(others=other_count, seed=seed), TestHandler() as handler:
                random.seed(seed)
                world = make_world(other_count)
                world.step(seed)
                lost = random.choice(others_of(world))
                cut_from_entry(world, [lost])
                logged_s = step_until(world, lambda: losses(handler))
                silent_s = logged_s - world.entry.links[lost].unanswered_since_s
                self.assertEqual(losses(handler), [lost])
                self.assertLessEqual(silent_s, LEASE_S + POLL_INTERVAL_S)

    def test_probed_instances_remember_the_entry_instance_between_its_turns(self):
        """With many control instances, a turn takes longer than with few."""
        world = make_world(16)
        world.step(200)
        for _ in range(20):
            world.step(10)
            for number in range(2, 18):
                (known,) = world.publisher(number).known_entries()
                self.assertEqual(known.address, world.entry_address)

    def test_each_instance_behind_a_partition_is_logged(self):
        """All are found lost soon, and reachable again after it."""
        for other_count, seed in itertools.product((4, 10), range(5)):
            with self.subTest(others=other_count, seed=seed), TestHandler() as handler:
                random.seed(seed)
                world = make_world(other_count)
                # Each has been probed in its turn, so that it is known as reachable.
                world.step(100)
                cut_from_entry(world, others_of(world))
                world.step(40)
                self.assertEqual(sorted(losses(handler)), others_of(world))
