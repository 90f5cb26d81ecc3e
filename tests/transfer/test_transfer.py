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
    FragmentSender,
    split_message,
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
    def test_fragments_fit_in_a_datagram(self, size):
        """No datagram of a message of any size exceeds the limit."""
        for datagram in split_message(message(size)):
            self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)

    def test_rejects_oversized_message(self):
        """A message above the size limit is rejected before it is sent."""
        with self.assertRaises(PayloadTooLargeError):
            split_message(message(MAX_MESSAGE_BYTES + 1))


class TestAssembler(unittest.TestCase):
    @given(st.integers(0, 30_000), st.randoms(use_true_random=False), st.data())
    def test_returns_complete_message_or_none(self, size, rng, data):
        """Lost, duplicated or reordered fragments never give a wrong message."""
        sent = message(size)
        datagrams = split_message(sent)
        arrived = [datagram for datagram in datagrams if rng.random() < 0.7]
        arrived += [datagram for datagram in datagrams if rng.random() < 0.3]
        rng.shuffle(arrived)
        receiver = assembler()
        messages = [
            receiver.add("key", b"caller", Envelope.FromString(datagram))
            for datagram in arrived
        ]
        for completed in filter(None, messages):
            self.assertEqual(completed, sent)
        if set(arrived) == set(datagrams):
            self.assertTrue(any(messages))
        else:
            self.assertFalse(any(messages))

    def test_requests_missing_fragments_after_delay(self):
        """Missing fragments are requested once per delay and complete the message."""
        clock = Clock()
        receiver = assembler(clock)
        datagrams = split_message(message(10 * FRAGMENT_BYTES))
        for index in (0, 1, 4, 9):
            receiver.add("key", b"c", Envelope.FromString(datagrams[index]))
        self.assertEqual(receiver.collect_missing(), [])
        clock.value_s += 0.1
        ((_, missing),) = receiver.collect_missing()
        self.assertEqual(missing, [2, 3, 5, 6, 7, 8])
        self.assertEqual(receiver.collect_missing(), [])
        for index in missing:
            completed = receiver.add("key", b"c", Envelope.FromString(datagrams[index]))
        self.assertEqual(completed.payload, message(10 * FRAGMENT_BYTES).payload)
        self.assertEqual(receiver.reserved_bytes, 0)

    def test_rejects_message_with_wrong_checksum(self):
        """A message with a corrupted fragment is rejected."""
        datagrams = [
            Envelope.FromString(datagram) for datagram in split_message(message(3_000))
        ]
        datagrams[1].payload = bytes(len(datagrams[1].payload))
        receiver = assembler()
        with self.assertRaisesRegex(DatagramError, "checksum"):
            for fragment in datagrams:
                receiver.add("key", b"c", fragment)

    def test_rejects_fragment_of_other_message(self):
        """A fragment of another message with the same key is rejected."""
        receiver = assembler()
        first, second = (
            split_message(message(3_000, 1)),
            split_message(message(3_000, 2)),
        )
        receiver.add("key", b"c", Envelope.FromString(first[0]))
        with self.assertRaises(DatagramError):
            receiver.add("key", b"c", Envelope.FromString(second[1]))

    def test_limits_memory_per_source_and_in_total(self):
        """A new message above a memory limit is rejected, earlier ones complete."""
        receiver = assembler(limit=30_000, source_limit=15_000)
        first = split_message(message(10_000))
        receiver.add(1, b"a", Envelope.FromString(first[0]))
        fragment = Envelope.FromString(split_message(message(10_000, 1))[0])
        with self.assertRaises(TransferLimitError):
            receiver.add(2, b"a", fragment)
        receiver.add(2, b"b", fragment)
        with self.assertRaises(TransferLimitError):
            receiver.add(3, b"c", fragment)
        for datagram in first:
            completed = receiver.add(1, b"a", Envelope.FromString(datagram))
        self.assertIsNotNone(completed)

    def test_rejects_oversized_fragment_count(self):
        """A fragment of an oversized message reserves no memory."""
        fragment = Envelope.FromString(split_message(message(3_000))[0])
        fragment.fragment_count = 2**31
        receiver = assembler(limit=1 << 40, source_limit=1 << 40)
        with self.assertRaises(TransferLimitError):
            receiver.add("key", b"c", fragment)
        self.assertEqual(receiver.reserved_bytes, 0)

    def test_drops_abandoned_message(self):
        """A message without new fragments is dropped and its memory released."""
        clock = Clock()
        receiver = assembler(clock)
        receiver.add("key", b"c", Envelope.FromString(split_message(message(3_000))[0]))
        clock.value_s += 11
        self.assertEqual(receiver.collect_missing(), [])
        self.assertEqual(receiver.reserved_bytes, 0)


class TestFragmentSender(unittest.TestCase):
    def test_sends_all_fragments_in_paced_bursts(self):
        """A large message is sent in bursts, each fragment once and in order."""

        async def main():
            sent = []
            outbox = FragmentSender()
            datagrams = [b"%d" % number for number in range(100)]
            outbox.send_message("key", datagrams, sent.append)
            first_burst_count = len(sent)
            await asyncio.sleep(1)
            self.assertEqual(sent, datagrams)
            outbox.resend("key", [5, 99, 100])
            self.assertEqual(sent[100:], [b"5", b"99"])
            outbox.delete("key")
            outbox.resend("key", [1])
            self.assertEqual(len(sent), 102)
            return first_burst_count

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.assertLess(runner.run(main()), 50)
