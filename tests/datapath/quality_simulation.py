"""Simulates entry and control instances that judge backend servers."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from agatethread.balancing import Quality
from agatethread.datapath import Backend, FlowKey, choose_backend
from agatethread.datapath._answers import AnswerMonitor
from agatethread.datapath._weights import RunWeightStore
from agatethread.observability import Counters
from agatethread.registry import QualityMonitor, decode_message, derive_label
from agatethread.wire.registry_pb2 import RegistryMessage
from tests.datapath.fixtures import HOST, run
from tests.fakes import Clock, address

DOMAINS = ("a", "b", "c")
AIM_S = 0.4
#: A server's limits of requests in progress and waiting; delay and size of a refusal.
SLOTS, QUEUE_LIMIT, REFUSAL_DELAY_S, REFUSAL_BYTES = 2, 8, 0.06, 150


@dataclass(eq=False)
class Server:
    """A simulated backend server."""

    run_report: object
    slowdown: float = 1.0
    answer_loss: float = 0.0
    working: int = 0
    queue: list = field(default_factory=list)


class Entry:
    """The state of an entry instance."""

    def __init__(self, simulation, number):
        self.address = address(1_000 + number)
        self.failure_domain = DOMAINS[number % len(DOMAINS)]
        self.backends = [Backend(server.run_report) for server in simulation.servers]
        by_label = {backend.label: backend for backend in self.backends}
        self.answer_monitor = AnswerMonitor(
            lambda host, port: AIM_S, simulation.clock()
        )
        self.weights = RunWeightStore(by_label.get)
        #: Delay with which it reads packets.
        self.read_delay_s = 0.0


class QualitySimulation:
    """Simulates requests on flows of their own, and the judging of their servers."""

    def __init__(self, entries=87, servers=60, per_s=840.0, seed=1, is_judging=True):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.clock = Clock(0.0)
        self.per_s, self.is_judging, self.message_loss = per_s, is_judging, 0.0
        self.servers = [
            Server(run(nth, failure_domain=DOMAINS[nth % 3]))
            for nth in range(1, servers + 1)
        ]
        self.entries = [Entry(self, number) for number in range(entries)]
        self.by_address = {entry.address: entry for entry in self.entries}
        self.quality_keepers = {
            address(number): self.make_quality_keeper(number)
            for number in range(len(DOMAINS))
        }
        self.numbers, self.events = count(), []
        #: Time, duration, server and refusal of each request, and requests by server.
        self.completed, self.assigned_counts = [], Counter()
        self.message_bytes = 0
        self.schedule(0.0, self.send_request)
        for number, entry in enumerate(self.entries):
            self.schedule(0.2 * number / entries, self.report, entry)
        for keeper in self.quality_keepers.items():
            self.schedule(0.0, self.judge, *keeper)

    def make_quality_keeper(self, number):
        control_address = address(number)
        return QualityMonitor(
            DOMAINS[number],
            lambda: [server.run_report for server in self.servers],
            lambda: self.by_address.items(),
            lambda: [
                other for other in self.quality_keepers if other != control_address
            ],
            lambda message, target: self.send(message, control_address, target),
            self.clock,
            Counters(),
        )

    def schedule(self, delay_s, callback, *args):
        event = (self.clock() + delay_s, next(self.numbers), callback, args)
        heapq.heappush(self.events, event)

    def run_until(self, until_s):
        """Process the events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.clock.value_s, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.clock.value_s = until_s

    def send(self, message, source, target):
        if self.rng.random() < self.message_loss:
            return
        data = message.SerializeToString()
        self.message_bytes += len(data)
        self.schedule(0.005, self.receive, data, source, target)

    def receive(self, data, source, target):
        message = decode_message(data)
        if target in self.quality_keepers:
            self.quality_keepers[target].on_message(message, source)
        else:
            self.by_address[target].weights.apply(message.weights, self.clock())

    def report(self, entry):
        self.schedule(0.2, self.report, entry)
        entry.weights.sweep(self.clock())
        sums = entry.answer_monitor.collect(self.clock())
        if sums is not None and self.is_judging:
            control_address = address(DOMAINS.index(entry.failure_domain))
            self.send(RegistryMessage(answers=sums), entry.address, control_address)

    def judge(self, control_address, keeper):
        self.schedule(0.1, self.judge, control_address, keeper)
        keeper.tick()

    def send_request(self):
        self.schedule(self.rng.expovariate(self.per_s), self.send_request)
        entry = self.rng.choice(self.entries)
        now_s = self.clock()
        backend = choose_backend(entry.backends, entry.failure_domain, now_s)
        server = self.servers[entry.backends.index(backend)]
        number = next(self.numbers)
        key = FlowKey(number, number % 60_000, HOST, 443)
        backend.in_flight += 1
        self.assigned_counts[server] += 1
        self.schedule(
            entry.read_delay_s,
            entry.answer_monitor.on_request,
            key,
            backend,
            now_s + entry.read_delay_s,
        )
        request = (key, entry, backend, server, now_s)
        if server.working < SLOTS:
            self.start(request)
        elif len(server.queue) < QUEUE_LIMIT:
            server.queue.append(request)
        else:
            self.schedule(REFUSAL_DELAY_S, self.finish, request, REFUSAL_BYTES)

    def start(self, request):
        server = request[3]
        server.working += 1
        mean_s = self.rng.choice((0.047, 0.061))
        tail = 7.0 if self.rng.random() < 0.03 else 1.0
        work_s = mean_s * self.rng.lognormvariate(-0.11, 0.47) * tail
        self.schedule(min(work_s, 0.6) * server.slowdown, self.end_work, request)

    def end_work(self, request):
        server = request[3]
        server.working -= 1
        if server.queue:
            self.start(server.queue.pop(0))
        is_lost = self.rng.random() < server.answer_loss
        size = 1_000 * self.rng.lognormvariate(-0.16, 0.55)
        self.schedule(0.2 if is_lost else 0.0, self.finish, request, size)

    def finish(self, request, size):
        key, entry, backend, server, requested_s = request
        self.schedule(entry.read_delay_s, self.on_answer, request, size)
        took_s = self.clock() - requested_s
        self.completed.append((requested_s, took_s, server, size == REFUSAL_BYTES))

    def on_answer(self, request, size):
        key, entry, backend = request[:3]
        backend.in_flight -= 1
        entry.answer_monitor.on_answer(key, size, True, self.clock())

    def late_ratio(self, from_s, until_s):
        """Return the ratio of late or refused requests among those sent in a period."""
        requests = [
            request for request in self.completed if from_s <= request[0] < until_s
        ]
        return sum(request[1] > AIM_S or request[3] for request in requests) / len(
            requests
        )

    def count_with_quality(self, *qualities, servers=None):
        """Return how many servers have such a quality at their control instance."""
        matching = 0
        for server in servers or self.servers:
            control_address = address(DOMAINS.index(server.run_report.failure_domain))
            label = derive_label(server.run_report.number, server.run_report.started_ms)
            matching += (
                self.quality_keepers[control_address].get_quality(label) in qualities
            )
        return matching

    def count_ejected(self, servers=None):
        return self.count_with_quality(Quality.EJECTED, servers=servers)
