"""Entry and control instances that judge backend servers, in virtual time."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from agatethread.balancing import Quality
from agatethread.datapath import Backend, FlowKey, choose_backend
from agatethread.datapath._answers import AnswerWatch
from agatethread.datapath._weights import WeightBook
from agatethread.observability import Counters
from agatethread.registry import QualityKeeper, decode_message, label_of
from agatethread.wire.registry_pb2 import RegistryMessage
from tests.datapath.worlds import HOST, run
from tests.fakes import Clock, address

DOMAINS = ("a", "b", "c")
AIM_S = 0.4
#: What a busy server does: two at a time, eight wait, others are refused after a while.
SLOTS, QUEUE, SHED_S, SHED_BYTES = 2, 8, 0.06, 150


@dataclass(eq=False)
class Server:
    """One backend server."""

    told: object
    factor: float = 1.0
    loss: float = 0.0
    working: int = 0
    queue: list = field(default_factory=list)


class Entry:
    """What one entry instance keeps."""

    def __init__(self, world, number):
        self.address = address(1_000 + number)
        self.failure_domain = DOMAINS[number % len(DOMAINS)]
        self.backends = [Backend(server.told) for server in world.servers]
        by_label = {one.label: one for one in self.backends}
        self.watch = AnswerWatch(lambda host, port: AIM_S, world.clock())
        self.book = WeightBook(by_label.get)
        #: How much later than others it reads what arrives.
        self.late_s = 0.0


class World:
    """Callers' requests, each on a flow of its own, and who judges their servers."""

    def __init__(self, entries=87, servers=60, per_s=840.0, seed=1, judges=True):
        self.draw = random.Random(seed)
        random.seed(seed)
        self.clock = Clock(0.0)
        self.per_s, self.judges, self.loss = per_s, judges, 0.0
        self.servers = [
            Server(run(nth, failure_domain=DOMAINS[nth % 3]))
            for nth in range(1, servers + 1)
        ]
        self.entries = [Entry(self, number) for number in range(entries)]
        self.by_address = {one.address: one for one in self.entries}
        self.keepers = {
            address(number): self.make_keeper(number) for number in range(len(DOMAINS))
        }
        self.numbers, self.events = count(), []
        #: When each request was asked, how long it took, and its server.
        self.done, self.given = [], Counter()
        self.message_bytes = 0
        self.at(0.0, self.arrive)
        for number, entry in enumerate(self.entries):
            self.at(0.2 * number / entries, self.report, entry)
        for keeper in self.keepers.items():
            self.at(0.0, self.judge, *keeper)

    def make_keeper(self, number):
        place = address(number)
        return QualityKeeper(
            DOMAINS[number],
            lambda: [server.told for server in self.servers],
            lambda: self.by_address.items(),
            lambda: [other for other in self.keepers if other != place],
            lambda message, target: self.send(message, place, target),
            self.clock,
            Counters(),
        )

    # -- events -------------------------------------------------------------------

    def at(self, delay_s, call, *args):
        event = (self.clock() + delay_s, next(self.numbers), call, args)
        heapq.heappush(self.events, event)

    def play(self, until_s):
        while self.events and self.events[0][0] <= until_s:
            self.clock.value_s, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.clock.value_s = until_s

    def send(self, message, source, target):
        if self.draw.random() < self.loss:
            return
        data = message.SerializeToString()
        self.message_bytes += len(data)
        self.at(0.005, self.receive, data, source, target)

    def receive(self, data, source, target):
        message = decode_message(data)
        if target in self.keepers:
            self.keepers[target].on_message(message, source)
        else:
            self.by_address[target].book.take(message.weights, self.clock())

    def report(self, entry):
        self.at(0.2, self.report, entry)
        entry.book.sweep(self.clock())
        sums = entry.watch.collect(self.clock())
        if sums is not None and self.judges:
            place = address(DOMAINS.index(entry.failure_domain))
            self.send(RegistryMessage(answers=sums), entry.address, place)

    def judge(self, place, keeper):
        self.at(0.1, self.judge, place, keeper)
        keeper.tick()

    # -- requests -----------------------------------------------------------------

    def arrive(self):
        self.at(self.draw.expovariate(self.per_s), self.arrive)
        entry = self.draw.choice(self.entries)
        now_s = self.clock()
        backend = choose_backend(entry.backends, entry.failure_domain, now_s)
        server = self.servers[entry.backends.index(backend)]
        number = next(self.numbers)
        key = FlowKey(number, number % 60_000, HOST, 443)
        backend.in_flight += 1
        self.given[server] += 1
        self.at(entry.late_s, entry.watch.ask, key, backend, now_s + entry.late_s)
        request = (key, entry, backend, server, now_s)
        if server.working < SLOTS:
            self.start(request)
        elif len(server.queue) < QUEUE:
            server.queue.append(request)
        else:
            self.at(SHED_S, self.finish, request, SHED_BYTES)

    def start(self, request):
        server = request[3]
        server.working += 1
        mean_s = self.draw.choice((0.047, 0.061))
        tail = 7.0 if self.draw.random() < 0.03 else 1.0
        work_s = mean_s * self.draw.lognormvariate(-0.11, 0.47) * tail
        self.at(min(work_s, 0.6) * server.factor, self.end_work, request)

    def end_work(self, request):
        server = request[3]
        server.working -= 1
        if server.queue:
            self.start(server.queue.pop(0))
        lost = self.draw.random() < server.loss
        size = 1_000 * self.draw.lognormvariate(-0.16, 0.55)
        self.at(0.2 if lost else 0.0, self.finish, request, size)

    def finish(self, request, size):
        key, entry, backend, server, asked_s = request
        self.at(entry.late_s, self.seen, request, size)
        took_s = self.clock() - asked_s
        self.done.append((asked_s, took_s, server, size == SHED_BYTES))

    def seen(self, request, size):
        key, entry, backend = request[:3]
        backend.in_flight -= 1
        entry.watch.answer(key, size, True, self.clock())

    # -- what is asked ------------------------------------------------------------

    def late(self, from_s, until_s):
        """Share of the requests asked in a span that were late or refused."""
        took = [one for one in self.done if from_s <= one[0] < until_s]
        return sum(one[1] > AIM_S or one[3] for one in took) / len(took)

    def held(self, *qualities, servers=None):
        """Count the servers that their own domain's control instance holds for such."""
        count = 0
        for server in servers or self.servers:
            place = address(DOMAINS.index(server.told.failure_domain))
            label = label_of(server.told.number, server.told.started_ms)
            count += self.keepers[place].quality_of(label) in qualities
        return count

    def ejected(self, servers=None):
        return self.held(Quality.EJECTED, servers=servers)
