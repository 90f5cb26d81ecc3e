import unittest

from agatethread.registry._control_link import ControlLink
from agatethread.registry._send_rounds import (
    MAX_ROUND_MESSAGES,
    next_message_limit,
    order_round,
)
from agatethread.registry._subscribers import Subscriber
from agatethread.wire.registry_pb2 import BackendRun, Delta
from tests.fakes import address


class TestNextLimit(unittest.TestCase):
    def test_limit_falls_while_many_messages_are_resent(self):
        """The limit halves down to the minimum."""
        limit, limits = MAX_ROUND_MESSAGES, []
        for _ in range(6):
            limit = next_message_limit(limit, sent_count=100, resent_count=40)
            limits.append(limit)
        self.assertEqual(limits, [300, 150, 75, 50, 50, 50])

    def test_limit_rises_without_resends(self):
        """The limit returns to the maximum once acknowledgements arrive."""
        limit = 50
        for _ in range(12):
            limit = next_message_limit(limit, sent_count=100, resent_count=0)
        self.assertEqual(limit, MAX_ROUND_MESSAGES)

    def test_packet_loss_does_not_lower_the_limit(self):
        """A lossy link does not slow the other subscribers."""
        self.assertEqual(
            next_message_limit(MAX_ROUND_MESSAGES, 100, 3), MAX_ROUND_MESSAGES
        )
        self.assertEqual(
            next_message_limit(MAX_ROUND_MESSAGES, 0, 0), MAX_ROUND_MESSAGES
        )


class TestOrderRound(unittest.TestCase):
    def setUp(self):
        self.subscribers = []
        for number, (domain, is_control) in enumerate(
            (("b", False), ("a", False), ("b", False), ("c", True), ("a", False))
        ):
            subscriber = Subscriber()
            subscriber.failure_domain = domain
            subscriber.is_control = is_control
            self.subscribers.append((address(number), subscriber))

    def order(self, first=b""):
        """Return the numbers of the subscribers in sending order."""
        addresses = [address for address, _ in self.subscribers]
        ordered = order_round(self.subscribers, "a", first)
        return [addresses.index(address) for address, _ in ordered]

    def test_control_instances_and_own_domain_go_first(self):
        """Other domains receive changes from their own control instances."""
        self.assertEqual(self.order(), [3, 1, 4, 0, 2])

    def test_next_round_continues_where_the_last_ended(self):
        """The round starts with the first subscriber not reached before."""
        self.assertEqual(self.order(first=address(2)), [3, 4, 1, 2, 0])


class TestAcknowledgements(unittest.TestCase):
    def setUp(self):
        self.link = ControlLink(address(1))

    def advance(self, index, complete=False):
        runs = [BackendRun(id=f"i-{index:x}")]
        return self.link.advance(
            Delta(through_index=index, runs=runs, complete=complete)
        )

    def test_acknowledges_last_message_at_once(self):
        """The sender of a single change waits for the acknowledgement."""
        self.assertTrue(self.advance(1, complete=True))

    def test_acknowledges_each_fourth_message(self):
        """A window of eight messages needs two acknowledgements."""
        is_acknowledged = [self.advance(index) for index in range(1, 9)]
        self.assertEqual(is_acknowledged, [False, False, False, True] * 2)
        self.assertEqual(self.link.seen_index, 8)

    def test_acknowledges_resent_messages(self):
        """A sender that missed an acknowledgement receives another one."""
        self.advance(1, complete=True)
        self.assertIn(True, [self.advance(1) for _ in range(4)])
        self.assertTrue(self.advance(1, complete=True))

    def test_does_not_acknowledge_reply_without_changes(self):
        """Guards against an endless exchange of replies."""
        empty = Delta(through_index=0, complete=True)
        self.assertFalse(self.link.advance(empty))
