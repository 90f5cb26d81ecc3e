"""Control and entry instances for the tests of the registry."""

import random
import zlib

from agatethread.observability import Counters
from agatethread.registry import (
    CompressedTable,
    EvacuationPublisher,
    EvacuationReceiver,
    RegistryPublisher,
    RunTable,
    Subscription,
    decode_message,
)
from agatethread.wire.registry_pb2 import Evacuations, RoutingTable, TableRoute
from tests.fakes import Clock, address
from tests.registry.test_runs import INTERVAL_S


def compressed_table(version, routes=1):
    """Return an offer of a table with some routes."""
    table = RoutingTable(version=version, services=["tab"])
    for number in range(routes):
        table.routes.append(TableRoute(host=random.getrandbits(32), port=number + 1))
    return CompressedTable(version, zlib.compress(table.SerializeToString()))


class World:
    """One entry instance and some control instances on a lossy network."""

    def __init__(self, domains=("a", "b"), seed=1):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.loss = 0.0
        self.cut = set()
        #: Pairs of addresses that can't reach each other.
        self.cut_pairs = set()
        self.leaderless = set()
        self.sent_bytes = self.received_bytes = 0
        self.queue = []
        self.runs, self.tables = [], []
        self.hubs, self.links, self.publishers = {}, {}, {}
        #: Evacuated failure domains that the entry instance received.
        self.evacuated = []
        self.entry_address = address(99)
        seeds = [address(number) for number in range(len(domains))]
        for number, domain in enumerate(domains):
            self.start_hub(number, domain, seeds)
        self.entry = Subscription(
            "a",
            False,
            seeds,
            self.entry_address,
            self.sender(self.entry_address),
            self.clock,
            self.runs.append,
            self.tables.append,
            Counters(),
            EvacuationReceiver(self.evacuated.append),
        )

    def start_hub(self, number, domain, seeds):
        """Start a control instance without state."""
        place = address(number)
        table = RunTable(INTERVAL_S, self.clock)
        hub = RegistryPublisher(
            table,
            domain,
            self.sender(place),
            self.clock,
            lambda: True,
            lambda: place not in self.leaderless,
        )
        publisher = self.publishers[place] = EvacuationPublisher(
            hub.reachable_subscribers, self.sender(place), self.clock
        )
        link = Subscription(
            domain,
            True,
            seeds,
            place,
            self.sender(place),
            self.clock,
            table.apply_peer_run,
            lambda _: None,
            Counters(),
            publisher,
        )
        self.hubs[place] = (table, hub)
        publisher.on_acknowledged = link.poll
        hub.list_other_controls = link.reachable_links
        link.on_numbered_report = table.apply_numbered_report
        self.links[place] = link

    def sender(self, source):
        def send(message, target):
            data = message.SerializeToString()
            self.sent_bytes += len(data)
            lost = self.random.random() < self.loss
            is_cut = self.cut & {source, target}
            is_cut = is_cut or frozenset((source, target)) in self.cut_pairs
            if not lost and not is_cut:
                self.queue.append((data, source, target))

        return send

    def deliver(self):
        """Deliver all messages in transit."""
        while self.queue:
            data, source, target = self.queue.pop(0)
            message = decode_message(data)
            body = message.WhichOneof("body")
            if target == self.entry_address:
                self.received_bytes += len(data)
                handlers = {
                    "delta": self.entry.on_delta,
                    "routes": self.entry.on_chunk,
                    "evacuations": self.entry.on_evacuations,
                }
                handlers[body](getattr(message, body), source)
            elif body == "poll":
                self.hubs[target][1].on_poll(message.poll, source)
            else:
                self.links[target].on_delta(message.delta, source)

    def step(self, count=1, step_s=0.1, check=lambda: None):
        """Advance the clock in steps, and call `check` after each."""
        for number in range(count):
            self.clock.value_s += step_s
            for table, hub in self.hubs.values():
                table.sweep()
                hub.flush()
            for publisher in self.publishers.values():
                publisher.send_unacknowledged()
            if number % 4 == 0:
                self.entry.poll()
                for link in self.links.values():
                    link.poll()
            self.deliver()
            check()

    def table(self, number):
        return self.hubs[address(number)][0]

    def hub(self, number):
        return self.hubs[address(number)][1]

    def evacuate(self, version, *domains, numbers=None):
        """Offer an evacuation at some control instances."""
        for number in range(len(self.hubs)) if numbers is None else numbers:
            evacuations = Evacuations(version=version, failure_domains=domains)
            self.publishers[address(number)].publish_newer(evacuations)

    def received_runs(self):
        """Return the last received state of each run at the entry instance."""
        return {run.id: run for run in self.runs}
