"""Sends datagrams no faster than the rate of the instance's link.

Handles uploads that arrive in bursts of 16 long packets, which overflow the queue of a
slow link. Short packets (openings, requests, acknowledgements) go before long ones;
long packets are sent round-robin over their flows.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from agatethread.datapath._packets import Address, FlowKey
from agatethread.observability import Counters

#: Share of the link rate for callers' packets; the rest is for control messages.
LINK_RATIO = 0.92
#: UDP and IPv4 headers.
_OVERHEAD_BYTES = 28
#: Three packets of the largest size, with headers.
_BURST_BYTES = 4_000
#: Raises the burst on fast links.
_BURST_S = 0.002
#: Longest short packet; fits a request or an acknowledgement.
_MAX_SHORT_BYTES = 600
#: Keeps short packets from starving long ones.
_MAX_CONSECUTIVE_SHORT = 8
#: By then the caller has sent all copies of the packet (200, 600 and 1,400 ms).
_MAX_WAIT_S = 1.5
#: Keeps a delay that rounds to 0 from rescheduling endlessly.
_MIN_DELAY_S = 0.0005
#: About a second of a link of 2 Mbit/s.
_MAX_QUEUED_BYTES = 256 << 10

Send = Callable[[bytes, Address], None]
CallLater = Callable[[float, Callable[[], None]], object]


@dataclass(frozen=True, slots=True)
class _QueuedDatagram:
    data: bytes
    target: Address
    packet_id: tuple[FlowKey, int]
    queued_s: float


class PacedSender:
    """Rate-limited queue in front of a socket.

    Parameters
    ----------
    send : callable
        Sends a datagram.
    link_bits_per_s : float
        Rate of the instance's link.
    now_s : callable
        Monotonic clock.
    call_later : callable
        Calls a function after some seconds.
    counters : Counters
        Counts queued and dropped datagrams.
    """

    def __init__(
        self,
        send: Send,
        link_bits_per_s: float,
        now_s: Callable[[], float],
        call_later: CallLater,
        counters: Counters,
    ):
        self._send = send
        self._bytes_per_s = LINK_RATIO * link_bits_per_s / 8
        self._burst_bytes = max(_BURST_BYTES, self._bytes_per_s * _BURST_S)
        self._now_s = now_s
        self._call_later = call_later
        self._counters = counters
        self._budget_bytes = self._burst_bytes
        self._refilled_s = now_s()
        self._short_queue: deque[_QueuedDatagram] = deque()
        self._long_queues: OrderedDict[FlowKey, deque[_QueuedDatagram]] = OrderedDict()
        self._queued_ids: set[tuple[FlowKey, int]] = set()
        self._consecutive_short_count = 0
        self._is_scheduled = False
        self.queued_bytes = 0

    def send(self, data: bytes, target: Address, key: FlowKey, sequence: int) -> None:
        """Send a datagram now, or queue it until the link rate permits.

        Parameters
        ----------
        data : bytes
            The datagram.
        target : tuple of (str, int)
            Destination.
        key : FlowKey
            Flow of the datagram.
        sequence : int
            Sequence number in the flow; a copy of a queued long packet is dropped.
        """
        self._refill()
        size_bytes = len(data) + _OVERHEAD_BYTES
        if not self.queued_bytes and self._budget_bytes >= size_bytes:
            self._budget_bytes -= size_bytes
            self._send(data, target)
            return
        self._enqueue(_QueuedDatagram(data, target, (key, sequence), self._now_s()))

    def _enqueue(self, datagram: _QueuedDatagram) -> None:
        is_short = len(datagram.data) <= _MAX_SHORT_BYTES
        if not is_short and datagram.packet_id in self._queued_ids:
            self._counters["paced_copy_dropped"] += 1
            return
        if self.queued_bytes + len(datagram.data) > _MAX_QUEUED_BYTES:
            self._counters["paced_dropped_full"] += 1
            return
        if is_short:
            self._short_queue.append(datagram)
        else:
            self._queued_ids.add(datagram.packet_id)
            self._long_queues.setdefault(datagram.packet_id[0], deque()).append(
                datagram
            )
        self.queued_bytes += len(datagram.data)
        self._counters["paced"] += 1
        self._schedule_drain()

    def _refill(self) -> None:
        now_s = self._now_s()
        refill_bytes = (now_s - self._refilled_s) * self._bytes_per_s
        self._budget_bytes = min(self._burst_bytes, self._budget_bytes + refill_bytes)
        self._refilled_s = now_s

    def _schedule_drain(self) -> None:
        if self._is_scheduled or not self.queued_bytes:
            return
        self._is_scheduled = True
        missing_bytes = self._next_size_bytes() - self._budget_bytes
        self._call_later(
            max(_MIN_DELAY_S, missing_bytes / self._bytes_per_s), self._drain
        )

    def _next_size_bytes(self) -> int:
        return len(self._peek().data) + _OVERHEAD_BYTES

    def _peek(self) -> _QueuedDatagram:
        if self._is_short_next():
            return self._short_queue[0]
        return next(iter(self._long_queues.values()))[0]

    def _is_short_next(self) -> bool:
        if not self._long_queues:
            return True
        return (
            bool(self._short_queue)
            and self._consecutive_short_count < _MAX_CONSECUTIVE_SHORT
        )

    def _dequeue(self) -> _QueuedDatagram:
        if self._is_short_next():
            self._consecutive_short_count += 1
            datagram = self._short_queue.popleft()
        else:
            self._consecutive_short_count = 0
            key, queue = next(iter(self._long_queues.items()))
            datagram = queue.popleft()
            self._queued_ids.discard(datagram.packet_id)
            if queue:
                self._long_queues.move_to_end(key)
            else:
                del self._long_queues[key]
        self.queued_bytes -= len(datagram.data)
        return datagram

    def _drain(self) -> None:
        self._is_scheduled = False
        self._refill()
        now_s = self._now_s()
        while self.queued_bytes:
            if now_s - self._peek().queued_s > _MAX_WAIT_S:
                self._dequeue()
                self._counters["paced_dropped_late"] += 1
                continue
            size_bytes = self._next_size_bytes()
            if self._budget_bytes < size_bytes:
                break
            self._budget_bytes -= size_bytes
            datagram = self._dequeue()
            self._send(datagram.data, datagram.target)
        self._schedule_drain()
