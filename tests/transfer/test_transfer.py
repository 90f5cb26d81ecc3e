import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import (
    DatagramError,
    PayloadTooLargeError,
    TransferLimitError,
)
from agatethread.transfer import (
    FRAGMENT_BYTES,
    MAX_MESSAGE_BYTES,
    Assembler,
    Outbox,
    split,
)
from agatethread.wire import MAX_DATAGRAM_BYTES, Envelope, Kind
from benchmarks.virtual_time import VirtualLoop
from tests.fakes import Clock


def message(size, seed=0):
    return Envelope(
        kind=Kind.ANSWER,
        operation_id=bytes(60),
        payload=random.Random(seed).randbytes(size),
        return_label=bytes(80),
    )


def assembler(clock=None, limit=1 << 20, source_limit=1 << 20):
    return Assembler(clock or Clock(), limit, source_limit)


class TestSplit(unittest.TestCase):
    @given(st.integers(0, 200_000))
    def test_every_fragment_fits_in_a_datagram(self, size):
        """Whatever the size, each datagram is below the limit."""
        for datagram in split(message(size)):
            self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)

    def test_too_large_is_refused(self):
        """A message above the largest size is refused before it is sent."""
        with self.assertRaises(PayloadTooLargeError):
            split(message(MAX_MESSAGE_BYTES + 1))


class TestAssembler(unittest.TestCase):
    @given(st.integers(0, 30_000), st.randoms(use_true_random=False), st.data())
    def test_whole_or_nothing(self, size, chance, data):
        """Fragments lost, twice or crossed give the whole message or none."""
        sent = message(size)
        datagrams = split(sent)
        arrived = [d for d in datagrams if chance.random() < 0.7]
        arrived += [d for d in datagrams if chance.random() < 0.3]
        chance.shuffle(arrived)
        receiver = assembler()
        wholes = [
            receiver.add("key", b"caller", Envelope.FromString(d)) for d in arrived
        ]
        for whole in filter(None, wholes):
            self.assertEqual(whole, sent)
        if set(arrived) == set(datagrams):
            self.assertTrue(any(wholes))
        else:
            self.assertFalse(any(wholes))

    def test_what_is_missing_is_asked_for_and_then_whole(self):
        """After a short silence the missing fragments are named."""
        clock = Clock()
        receiver = assembler(clock)
        datagrams = split(message(10 * FRAGMENT_BYTES))
        for index in (0, 1, 4, 9):
            receiver.add("key", b"c", Envelope.FromString(datagrams[index]))
        self.assertEqual(receiver.take_quiet(), [])
        clock.value_s += 0.1
        ((_, missing),) = receiver.take_quiet()
        self.assertEqual(missing, [2, 3, 5, 6, 7, 8])
        self.assertEqual(receiver.take_quiet(), [])
        for index in missing:
            whole = receiver.add("key", b"c", Envelope.FromString(datagrams[index]))
        self.assertEqual(whole.payload, message(10 * FRAGMENT_BYTES).payload)
        self.assertEqual(receiver.reserved_bytes, 0)

    def test_changed_content_is_not_handed_over(self):
        """A fragment whose content changed on the way spoils the message."""
        datagrams = [Envelope.FromString(d) for d in split(message(3_000))]
        datagrams[1].payload = bytes(len(datagrams[1].payload))
        receiver = assembler()
        with self.assertRaisesRegex(DatagramError, "checksum"):
            for fragment in datagrams:
                receiver.add("key", b"c", fragment)

    def test_fragments_of_two_messages_do_not_mix(self):
        """A fragment of another message under the same key is refused."""
        receiver = assembler()
        one, other = split(message(3_000, 1)), split(message(3_000, 2))
        receiver.add("key", b"c", Envelope.FromString(one[0]))
        with self.assertRaises(DatagramError):
            receiver.add("key", b"c", Envelope.FromString(other[1]))

    def test_memory_is_bounded_for_each_source_and_in_all(self):
        """Past either bound a new message is refused, and those begun go on."""
        receiver = assembler(limit=30_000, source_limit=15_000)
        first = split(message(10_000))
        receiver.add(1, b"a", Envelope.FromString(first[0]))
        fragment = Envelope.FromString(split(message(10_000, 1))[0])
        with self.assertRaises(TransferLimitError):
            receiver.add(2, b"a", fragment)
        receiver.add(2, b"b", fragment)
        with self.assertRaises(TransferLimitError):
            receiver.add(3, b"c", fragment)
        for datagram in first:
            whole = receiver.add(1, b"a", Envelope.FromString(datagram))
        self.assertIsNotNone(whole)

    def test_claimed_size_is_bounded(self):
        """A fragment that claims a huge message reserves nothing."""
        fragment = Envelope.FromString(split(message(3_000))[0])
        fragment.fragment_count = 2**31
        receiver = assembler(limit=1 << 40, source_limit=1 << 40)
        with self.assertRaises(TransferLimitError):
            receiver.add("key", b"c", fragment)
        self.assertEqual(receiver.reserved_bytes, 0)

    def test_abandoned_message_frees_its_memory(self):
        """A message whose sender went away is dropped after a while."""
        clock = Clock()
        receiver = assembler(clock)
        receiver.add("key", b"c", Envelope.FromString(split(message(3_000))[0]))
        clock.value_s += 11
        self.assertEqual(receiver.take_quiet(), [])
        self.assertEqual(receiver.reserved_bytes, 0)


class TestOutbox(unittest.TestCase):
    def test_bursts_are_paced_and_all_are_sent(self):
        """A large message leaves in bursts, each fragment once, in order."""

        async def main():
            sent = []
            outbox = Outbox()
            datagrams = [b"%d" % number for number in range(100)]
            outbox.start("key", datagrams, sent.append)
            at_once = len(sent)
            await asyncio.sleep(1)
            self.assertEqual(sent, datagrams)
            outbox.resend("key", [5, 99, 100])
            self.assertEqual(sent[100:], [b"5", b"99"])
            outbox.done("key")
            outbox.resend("key", [1])
            self.assertEqual(len(sent), 102)
            return at_once

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.assertLess(runner.run(main()), 50)
