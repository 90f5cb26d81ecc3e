import unittest

from agatethread.registry._link import HubLink
from agatethread.registry._rounds import MOST_MESSAGES, next_limit, order_turns
from agatethread.registry._subscribers import Subscriber
from agatethread.wire.registry_pb2 import BackendRun, Delta
from tests.fakes import address


class TestNextLimit(unittest.TestCase):
    def test_bound_falls_while_much_is_sent_again(self):
        """A control instance that can't read acknowledgements tells less and less."""
        limit, limits = MOST_MESSAGES, []
        for _ in range(6):
            limit = next_limit(limit, told_count=100, resent_count=40)
            limits.append(limit)
        self.assertEqual(limits, [300, 150, 75, 50, 50, 50])

    def test_bound_rises_again(self):
        """Once acknowledgements come it is back at its height in a second or so."""
        limit = 50
        for _ in range(12):
            limit = next_limit(limit, told_count=100, resent_count=0)
        self.assertEqual(limit, MOST_MESSAGES)

    def test_losses_of_a_link_are_no_reason(self):
        """A link that loses 3 % of all messages does not slow the others."""
        self.assertEqual(next_limit(MOST_MESSAGES, 100, 3), MOST_MESSAGES)
        self.assertEqual(next_limit(MOST_MESSAGES, 0, 0), MOST_MESSAGES)


class TestOrderTurns(unittest.TestCase):
    def setUp(self):
        self.known = []
        for number, (domain, is_control) in enumerate(
            (("b", False), ("a", False), ("b", False), ("c", True), ("a", False))
        ):
            subscriber = Subscriber()
            subscriber.failure_domain = domain
            subscriber.is_control = is_control
            self.known.append((address(number), subscriber))

    def order(self, first=b""):
        """Numbers of the subscribers in the order of their turns."""
        addresses = [one for one, _ in self.known]
        turns = order_turns(self.known, "a", first)
        return [addresses.index(one) for one, _ in turns]

    def test_control_and_the_own_domain_go_first(self):
        """They tell the others; away instances are told by their own."""
        self.assertEqual(self.order(), [3, 1, 4, 0, 2])

    def test_nobody_is_left_out_for_long(self):
        """The next round begins with whom the last one did not reach."""
        self.assertEqual(self.order(first=address(2)), [3, 4, 1, 2, 0])


class TestAcknowledgements(unittest.TestCase):
    def setUp(self):
        self.link = HubLink(address(1))

    def take(self, index, complete=False):
        runs = [BackendRun(id=f"i-{index:x}")]
        return self.link.take(Delta(through_index=index, runs=runs, complete=complete))

    def test_the_last_message_is_acknowledged_at_once(self):
        """A change in quiet times comes alone, and its sender waits for that."""
        self.assertTrue(self.take(1, complete=True))

    def test_each_fourth_of_several(self):
        """A window of eight costs two acknowledgements."""
        taken = [self.take(index) for index in range(1, 9)]
        self.assertEqual(taken, [False, False, False, True] * 2)
        self.assertEqual(self.link.seen_index, 8)

    def test_what_comes_again_is_acknowledged_too(self):
        """A sender that missed an acknowledgement is told before long."""
        self.take(1, complete=True)
        self.assertIn(True, [self.take(1) for _ in range(4)])
        self.assertTrue(self.take(1, complete=True))

    def test_nothing_new_is_not_acknowledged(self):
        """A reply without changes would else be answered for ever."""
        empty = Delta(through_index=0, complete=True)
        self.assertFalse(self.link.take(empty))
