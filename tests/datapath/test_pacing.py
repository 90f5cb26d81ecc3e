import heapq
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath._pacing import PacedSender
from agatethread.observability import Counters
from tests.datapath.worlds import packet
from tests.fakes import Clock

LINK_BITS_PER_S = 2e6
#: What the link's own queue holds: fewer than the 16 packets of a caller's window.
LINK_QUEUE_BYTES = 10_000


class World:
    """A slow link behind a sender, in simulated time."""

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
    def test_window_of_packets_is_not_dropped(self):
        """Sixteen full packets at once all arrive, in the time that the link needs."""
        world = World()
        for sequence in range(16):
            world.send(1, sequence, 1_240)
        world.run_until(2.0)
        self.assertEqual((world.dropped, len(world.arrivals(1))), (0, 16))
        self.assertLess(world.arrivals(1)[-1], 0.11)

    def test_unpaced_window_is_dropped(self):
        """The same packets without pacing overflow the link's queue."""
        world = World()
        for _ in range(16):
            world.transmit(b"x" * 1_240, None)
        self.assertGreater(world.dropped, 4)

    def test_request_goes_before_an_upload(self):
        """A short packet waits for one full packet at most."""
        world = World()
        for sequence in range(40):
            world.send(1, sequence, 1_240)
        world.send(2, 0, 120)
        world.run_until(2.0)
        self.assertLess(world.arrivals(2)[0], 0.03)

    def test_uploads_take_turns(self):
        """A second upload does not wait for the end of the first."""
        world = World()
        for flow in (1, 2):
            for sequence in range(30):
                world.send(flow, sequence, 1_240)
        world.run_until(3.0)
        self.assertLess(world.arrivals(2)[0], 0.05)
        ends = [world.arrivals(flow)[-1] for flow in (1, 2)]
        self.assertLess(abs(ends[0] - ends[1]), 0.05)

    def test_upload_is_not_starved_by_requests(self):
        """Full packets have their turn among endless short ones."""
        world = World()
        world.send(1, 0, 1_240)
        for step in range(2_000):
            world.send(2, step, 590)
            world.send(1, step // 100, 1_240)
            world.run_until(step * 0.001)
        self.assertGreater(len(world.arrivals(1)), 5)

    def test_copy_of_a_waiting_packet_is_not_queued(self):
        """What the caller sends again while it still waits takes no place."""
        world = World()
        for _ in range(2):
            for sequence in range(30):
                world.send(1, sequence, 1_240)
        world.run_until(3.0)
        self.assertLessEqual(len(world.arrivals(1)), 33)

    def test_late_packet_is_dropped(self):
        """After a pause of the process nothing old is sent."""
        world = World()
        for sequence in range(16):
            world.send(1, sequence, 1_240)
        sent = len(world.delivered)
        world.clock.value_s = 5.0
        timers, world.timers = world.timers, []
        for _, _, call in timers:
            call()
        self.assertEqual(len(world.delivered), sent)
        self.assertEqual(world.sender.waiting_bytes, 0)

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
    def test_all_is_sent_or_counted_and_memory_is_bounded(self, steps):
        """Every datagram is sent, or counted as dropped; nothing stays behind."""
        world = World()
        until_s = 0.0
        for flow, sequence, size, pause_s in steps:
            world.send(flow, sequence, size)
            until_s += pause_s
            world.run_until(until_s)
            self.assertLessEqual(world.sender.waiting_bytes, 256 << 10)
        world.run_until(until_s + 10.0)
        counted = sum(
            world.counters[name]
            for name in (
                "paced_copy_dropped",
                "paced_dropped_full",
                "paced_dropped_late",
            )
        )
        sent = len(world.delivered) + world.dropped + counted
        self.assertEqual((sent, world.sender.waiting_bytes), (len(steps), 0))
