import heapq
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath._pacing import PacedSender
from agatethread.observability import Counters
from tests.datapath.fixtures import packet
from tests.fakes import Clock

LINK_BITS_PER_S = 2e6
#: Less than the 16 packets of a caller's send window.
LINK_QUEUE_BYTES = 10_000


class SlowLink:
    """A simulated slow link behind a paced sender."""

    def __init__(self):
        self.clock = Clock(0.0)
        self.counters = Counters()
        self.timers = []
        self.link_free_s = 0.0
        self.delivered = []
        self.dropped = 0
        self.sender = PacedSender(
            self.transmit, LINK_BITS_PER_S, self.clock, self.call_later, self.counters
        )

    def call_later(self, delay_s, call):
        due = (self.clock.value_s + delay_s, len(self.timers), call)
        heapq.heappush(self.timers, due)

    def transmit(self, data, _):
        now_s = self.clock.value_s
        rate = LINK_BITS_PER_S / 8
        queued = max(0.0, self.link_free_s - now_s) * rate
        if queued + len(data) > LINK_QUEUE_BYTES:
            self.dropped += 1
            return
        self.link_free_s = max(self.link_free_s, now_s) + len(data) / rate
        self.delivered.append((self.link_free_s, data))

    def send(self, flow, sequence, size):
        data = bytes([flow]) * size
        self.sender.send(data, ("backend", 1), packet(flow).key, sequence)

    def run_until(self, until_s):
        while self.timers and self.timers[0][0] <= until_s:
            self.clock.value_s, _, call = heapq.heappop(self.timers)
            call()
        self.clock.value_s = until_s

    def arrivals(self, flow):
        return [at for at, data in self.delivered if data[0] == flow]


class TestPacedSender(unittest.TestCase):
    def test_paced_window_arrives(self):
        """Sixteen long packets at once arrive about as fast as the link permits."""
        link = SlowLink()
        for sequence in range(16):
            link.send(1, sequence, 1_240)
        link.run_until(2.0)
        self.assertEqual((link.dropped, len(link.arrivals(1))), (0, 16))
        # The link needs 0.08 s.
        self.assertLess(link.arrivals(1)[-1], 0.11)

    def test_unpaced_window_overflows_link_queue(self):
        """The same packets without pacing are dropped by the link."""
        link = SlowLink()
        for _ in range(16):
            link.transmit(b"x" * 1_240, None)
        self.assertGreater(link.dropped, 4)

    def test_short_packet_goes_before_long_ones(self):
        """A short packet does not wait for queued long ones."""
        link = SlowLink()
        for sequence in range(40):
            link.send(1, sequence, 1_240)
        link.send(2, 0, 120)
        link.run_until(2.0)
        self.assertLess(link.arrivals(2)[0], 0.03)

    def test_uploads_share_link(self):
        """A second upload does not wait for the end of the first."""
        link = SlowLink()
        for flow in (1, 2):
            for sequence in range(30):
                link.send(flow, sequence, 1_240)
        link.run_until(3.0)
        self.assertLess(link.arrivals(2)[0], 0.05)
        ends = [link.arrivals(flow)[-1] for flow in (1, 2)]
        self.assertLess(abs(ends[0] - ends[1]), 0.05)

    def test_short_packets_do_not_starve_upload(self):
        """Long packets are sent among endless short ones."""
        link = SlowLink()
        link.send(1, 0, 1_240)
        for step in range(2_000):
            link.send(2, step, 590)
            link.send(1, step // 100, 1_240)
            link.run_until(step * 0.001)
        self.assertGreater(len(link.arrivals(1)), 5)

    def test_does_not_queue_copy_of_queued_packet(self):
        """A retransmission of a queued long packet is dropped."""
        link = SlowLink()
        for _ in range(2):
            for sequence in range(30):
                link.send(1, sequence, 1_240)
        link.run_until(3.0)
        # Copies of the first three packets, which were sent without queueing, are sent.
        self.assertLessEqual(len(link.arrivals(1)), 33)

    def test_drops_packet_after_longest_wait(self):
        """After a suspension of the process no old packet is sent."""
        link = SlowLink()
        for sequence in range(16):
            link.send(1, sequence, 1_240)
        sent = len(link.delivered)
        link.clock.value_s = 5.0
        timers, link.timers = link.timers, []
        for _, _, call in timers:
            call()
        self.assertEqual(len(link.delivered), sent)
        self.assertEqual(link.sender.queued_bytes, 0)

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 4),
                st.integers(0, 9),
                st.integers(1, 1_240),
                st.floats(0.0, 0.2),
            ),
            max_size=80,
        )
    )
    def test_datagrams_are_sent_or_counted(self, steps):
        """Every datagram is sent or counted as dropped, and the queue stays bounded."""
        link = SlowLink()
        until_s = 0.0
        for flow, sequence, size, pause_s in steps:
            link.send(flow, sequence, size)
            until_s += pause_s
            link.run_until(until_s)
            self.assertLessEqual(link.sender.queued_bytes, 256 << 10)
        link.run_until(until_s + 10.0)
        counted = sum(
            link.counters[name]
            for name in (
                "paced_copy_dropped",
                "paced_dropped_full",
                "paced_dropped_late",
            )
        )
        sent = len(link.delivered) + link.dropped + counted
        self.assertEqual((sent, link.sender.queued_bytes), (len(steps), 0))
