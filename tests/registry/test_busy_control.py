import heapq
import unittest

from agatethread.observability import Counters
from agatethread.registry import (
    RegistryPublisher,
    RunTable,
    Subscription,
    decode_message,
)
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S, report

#: Processor time of a control instance for each message sent, each message read, and
#: each report.
SEND_S, READ_S, REPORT_S = 25e-6, 40e-6, 240e-6
STEP_S = 0.01


class BusyControl:
    """A control instance with limited processor time, and its entry instances.

    Unread messages wait in its inbox.
    """

    def __init__(self, run_count, entry_count, processor_share):
        self.clock = Clock()
        self.processor_share = processor_share
        self.backlog_s = self.next_flush_s = 0.0
        self.inbox, self.in_transit, self.sent_bytes, self.sent_count = [], [], 0, 0
        self.address = address(1)
        self.runs = RunTable(INTERVAL_S, self.clock)
        for number in range(1, run_count + 1):
            self.runs.report(report(number, place=number))
        # One of three control instances receives a third of the reports.
        self.reports_per_step = run_count / 3 / INTERVAL_S * STEP_S
        self.publisher = RegistryPublisher(
            self.runs, "a", self.send, self.clock, lambda: True, lambda: True
        )
        self.entries = {}
        for number in range(entry_count):
            place = address(20_000 + number)
            self.entries[place] = Subscription(
                "a" if number % 3 == 0 else "b",
                False,
                [self.address],
                place,
                lambda message, _, place=place: self.inbox.append((message, place)),
                self.clock,
                lambda *_: None,
                lambda table: None,
                Counters(),
            )

    def send(self, message, target):
        data = message.SerializeToString()
        self.backlog_s += SEND_S
        self.sent_bytes += len(data)
        self.sent_count += 1
        delivery = (self.clock.value_s + 0.001, self.sent_count, data, target)
        heapq.heappush(self.in_transit, delivery)

    def advance(self, duration_s):
        for step in range(round(duration_s / STEP_S)):
            self.clock.value_s += STEP_S
            for number, entry in enumerate(self.entries.values()):
                if (step + number) % 40 == 0:
                    entry.poll()
            self.deliver()
            spent_s = self.reports_per_step * REPORT_S
            idle_s = STEP_S * self.processor_share
            self.backlog_s = max(-idle_s, self.backlog_s + spent_s - idle_s)
            self.process()

    def deliver(self):
        while self.in_transit and self.in_transit[0][0] <= self.clock.value_s:
            _, _, data, target = heapq.heappop(self.in_transit)
            self.entries[target].on_delta(decode_message(data).delta, self.address)

    def process(self):
        if self.clock.value_s >= self.next_flush_s and self.backlog_s < 0:
            self.publisher.flush()
            self.next_flush_s = self.clock.value_s + 0.1
        while self.inbox and self.backlog_s < 0:
            message, source = self.inbox.pop(0)
            self.backlog_s += READ_S
            self.publisher.on_poll(message.poll, source)

    def complete_count(self):
        return sum(entry.is_complete() for entry in self.entries.values())


class TestBusyControl(unittest.TestCase):
    def test_sends_full_state_to_all_with_limited_processor_time(self):
        """Guards against a growing backlog of unread acknowledgements and resends."""
        # The last argument is a share of one processor.
        control = BusyControl(1_000, 99, 0.13)
        control.advance(12.0)
        self.assertEqual(control.complete_count(), 99)
        self.assertLess(len(control.inbox), 100)
        content_bytes = sum(run.ByteSize() for run in control.runs.snapshot())
        self.assertLess(control.sent_bytes, 2 * 99 * content_bytes)
