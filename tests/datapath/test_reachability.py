import heapq
import itertools
import random
import unittest
from unittest import mock

from agatethread.datapath import Backend, BackendView, LabelForwarder, derive_label
from agatethread.datapath._evidence import ProbeOutcome
from agatethread.datapath._reachability import detect_unreachable
from agatethread.observability import Counters
from agatethread.routing import Route, RouteTable, Target
from tests.datapath.fixtures import CODEC, HOST, opening, packet, run
from tests.fakes import Clock


class TestDetectUnreachable(unittest.TestCase):
    def setUp(self):
        self.silent, self.other = Backend(run(1)), Backend(run(2))
        self.silent.record_answer(10.0)

    def detect(self, now_s, running_since_s=0.0):
        return detect_unreachable(
            self.silent, [self.silent, self.other], now_s, running_since_s
        )

    def wait(self, count=3, since_s=11.0):
        for number in range(count):
            self.silent.add_waiting_flow(number, since_s)

    def test_silent_run_is_unreachable_if_others_answer(self):
        """Three flows wait for a second, and another run has just answered."""
        self.wait()
        self.other.record_answer(11.9)
        self.assertTrue(self.detect(12.0))

    def test_two_waiting_flows_are_not_enough(self):
        """Packets may be lost on the path of a single caller."""
        self.wait(count=2)
        self.other.record_answer(11.9)
        self.assertFalse(self.detect(12.0))

    def test_short_silence_is_not_enough(self):
        """A run may take some hundred milliseconds to answer."""
        self.wait()
        self.other.record_answer(11.4)
        self.assertFalse(self.detect(11.5))

    def test_reachable_if_no_run_answers(self):
        """The fault may be in this instance."""
        self.wait()
        self.assertFalse(self.detect(12.0))
        self.other.record_answer(10.5)
        self.assertFalse(self.detect(12.0))

    def test_reachable_after_suspension(self):
        """Answers missed while the process was suspended are no evidence."""
        self.wait()
        self.other.record_answer(11.9)
        self.assertFalse(self.detect(12.0, running_since_s=11.8))
        # The first call has cleared the waiting flows.
        self.assertFalse(self.detect(12.0))

    def test_answer_makes_run_reachable(self):
        """One answer clears the unreachable state and the waiting flows."""
        self.silent.unreachable = True
        self.wait()
        self.silent.record_answer(12.0)
        self.assertFalse(self.silent.unreachable)
        self.assertEqual(self.silent.waiting, set())


class CallerSimulation:
    """Simulation of callers with long flows through a real forwarder.

    Answers bypass the forwarder, as on the platform. `find_answer_delay_s` returns the
    answer time of a run by its number and the current time, or None if the run does
    not answer.
    """

    def __init__(self, find_answer_delay_s, idempotent=True, flows=120, seed=1):
        self.clock = Clock(0.0)
        self.random = random.Random(seed)
        # Placing chooses randomly among runs with the same load.
        random.seed(seed)
        self.find_answer_delay_s = find_answer_delay_s
        self.event_ids = itertools.count()
        self.events = []
        self.ports = itertools.count(1)
        self.received = {}
        self.in_time = self.late = self.failed = self.resets = 0
        #: Requests in progress by port, and ports of flows that were reset.
        self.pending, self.closed = {}, set()
        self.busy_resets = 0
        view = BackendView(self.clock, Counters())
        for number in range(1, 8):
            view.update_run(run(number))
        self.forwarder = LabelForwarder(
            CODEC,
            view,
            "a",
            self.on_sent,
            self.clock,
            Counters(),
            10_000,
            lambda: True,
        )
        self.forwarder.suspects.probe = self.probe
        route = Route((Target("tab", 1),), frozenset({"tab"}), idempotent)
        self.forwarder.table = RouteTable(1, {(HOST, 443): route})
        self.at(0.2, self.on_timer)
        for _ in range(flows):
            self.at(self.random.uniform(0.0, 2.0), self.begin, None)

    def at(self, time_s, call, *arguments):
        heapq.heappush(self.events, (time_s, next(self.event_ids), call, arguments))

    def on_timer(self):
        """Make the calls that a timer of the entry instance makes."""
        self.current = None
        self.forwarder.tick()
        self.forwarder.reset_flows_of_lost_runs()
        self.at(self.clock() + 0.2, self.on_timer)

    def probe(self, backend):
        """Connect to a run, which accepts as long as it answers callers."""
        answers = self.find_answer_delay_s(backend.number, self.clock()) is not None
        outcome = ProbeOutcome.ACCEPTED if answers else ProbeOutcome.REFUSED
        backend.record_probe(outcome, self.clock())

    def run_until(self, until_s):
        """Process the events before a time and return the simulation."""
        while self.events and self.events[0][0] < until_s:
            time_s, _, call, arguments = heapq.heappop(self.events)
            while self.clock.value_s + 0.2 < time_s:
                self.clock.value_s += 0.2
                self.forwarder.tick()
            self.clock.value_s = time_s
            call(*arguments)
        return self

    # A request is a list: [start time, is answered, port of its flow, number of its run
    # or 0]. `received` holds the last acknowledged sequence number by port.

    def begin(self, flow):
        """Begin a request on its long flow or on a new one."""
        if flow and flow[0] in self.closed:
            flow = None
        request = [self.clock(), False, *(flow or (next(self.ports), 0))]
        self.pending[request[2]] = request
        self.at(self.clock() + 1.2, self.give_up, request)
        self.send(request, 0, request[2])

    def send(self, request, copy, port):
        if request[1] or port != request[2] or copy > 2:
            return
        self.current = request
        number = request[3]
        if number:
            begun = int(request[0] * 1e6)
            datagram = packet(port, number, sequence=begun, payload_bytes=80)
            datagram = datagram._replace(acknowledged=self.received.get(port, 0))
        else:
            datagram = opening(port, copy)
        self.forwarder.on_datagram(datagram, ())
        wait_s = (0.2, 0.4, 0.8)[copy]
        self.at(self.clock() + wait_s, self.send, request, copy + 1, port)

    def on_sent(self, data, target, key, sequence):
        if data[0] == "reset":
            self.reset(data[1])
            return
        request = self.current
        if request is None:
            # An acknowledgement, which has no answer.
            return
        number = data[1]
        delay_s = self.find_answer_delay_s(number, self.clock())
        if delay_s is None:
            return
        if not request[3]:
            self.at(self.clock() + 0.01, self.opened, request, number, request[2])
        else:
            self.at(self.clock() + delay_s, self.answered, request, request[2])

    def reset(self, port):
        """Close a flow and send its pending request on a new one."""
        self.resets += 1
        self.closed.add(port)
        request = self.pending.pop(port, None)
        if request is None or request[1]:
            return
        self.busy_resets += 1
        request[2:] = (next(self.ports), 0)
        self.pending[request[2]] = request
        self.at(self.clock() + 0.006, self.send, request, 0, request[2])

    def opened(self, request, number, port):
        if request[3] or request[1] or port != request[2]:
            return
        request[3] = number
        datagram = packet(port, number, sequence=1, acknowledged=0)
        self.current = None
        self.forwarder.on_datagram(datagram, ())
        self.send(request, 0, port)

    def answered(self, request, port):
        if request[1] or port != request[2]:
            return
        request[1] = True
        took_s = self.clock() - request[0]
        # In time: without waiting for a retransmission, the first after 0.2 s.
        self.in_time += took_s <= 0.12
        self.late += took_s > 0.12
        self.received[port] = int(self.clock() * 1e6)
        datagram = packet(port, request[3], sequence=self.received[port])
        datagram = datagram._replace(acknowledged=self.received[port])
        self.current = None
        self.forwarder.on_datagram(datagram, ())
        pause_s = self.random.uniform(0.5, 3.5)
        self.at(self.clock() + pause_s, self.begin, (request[2], request[3]))

    def give_up(self, request):
        if not request[1]:
            request[1] = True
            self.failed += 1
            self.at(self.clock() + self.random.uniform(0.5, 3.5), self.begin, None)


def crashes_at_10(number, now_s):
    """Return the answer time, or None for run 3 from 10 s on."""
    return None if number == 3 and now_s >= 10.0 else 0.03


def slow_from_10(number, now_s):
    """Return the answer time, which is 0.5 s for run 3 from 10 s on."""
    return 0.5 if number == 3 and now_s >= 10.0 else 0.03


def count_failed_requests(seeds):
    """Return the number of failed requests if callers may not retry them."""
    simulations = [
        CallerSimulation(crashes_at_10, idempotent=False, seed=seed) for seed in seeds
    ]
    return sum(simulation.run_until(20.0).failed for simulation in simulations)


class TestCallerSimulation(unittest.TestCase):
    def test_resets_reduce_failed_requests(self):
        """Most requests on flows of a crashed run are answered by other runs."""
        with_resets = CallerSimulation(crashes_at_10).run_until(20.0)
        with mock.patch("agatethread.datapath._suspects.detect_unreachable") as detect:
            detect.return_value = False
            baseline = CallerSimulation(crashes_at_10).run_until(20.0)
        self.assertGreater(baseline.failed, 12)
        self.assertLess(with_resets.failed, baseline.failed / 2)
        self.assertGreater(with_resets.in_time, baseline.in_time)

    def test_slow_run_keeps_its_flows(self):
        """A run that is slow but answers is reachable."""
        self.assertEqual(CallerSimulation(slow_from_10).run_until(20.0).resets, 0)

    def test_busy_flows_are_not_reset_if_not_idempotent(self):
        """Only idle flows are reset if requests can't be retried."""
        simulation = CallerSimulation(crashes_at_10, idempotent=False).run_until(20.0)
        self.assertEqual(simulation.busy_resets, 0)
        self.assertGreater(simulation.resets, 0)

    def test_resets_of_idle_flows_reduce_failed_requests(self):
        """Fewer requests fail that callers can't retry."""
        with_resets = count_failed_requests(seeds=range(1, 5))
        with mock.patch(
            "agatethread.datapath._lost_flows.should_reset_flow"
        ) as should_reset:
            should_reset.return_value = False
            baseline = count_failed_requests(seeds=range(1, 5))
        self.assertGreater(baseline, 50)
        self.assertLess(with_resets, baseline * 0.7)

    def test_no_reset_if_all_runs_are_silent(self):
        """The fault may be in this instance."""
        simulation = CallerSimulation(
            lambda number, now_s: None if now_s >= 10.0 else 0.03
        ).run_until(20.0)
        self.assertEqual(simulation.resets, 0)

    def test_labels_differ(self):
        """The simulation needs seven distinct labels."""
        self.assertEqual(len({derive_label(number) for number in range(1, 8)}), 7)
