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
    """Return a compressed routing table with some routes."""
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
        #: Addresses that can't reach any other.
        self.cut = set()
        #: Pairs of addresses that can't reach each other.
        self.cut_pairs = set()
        #: Control instances without contact to a Raft leader.
        self.leaderless = set()
        self.sent_bytes = self.received_bytes = 0
        self.queue = []
        self.runs, self.received_tables = [], []
        self.controls, self.subscriptions, self.evacuation_publishers = {}, {}, {}
        #: Evacuated failure domains that the entry instance received.
        self.evacuated = []
        self.entry_address = address(99)
        seeds = [address(number) for number in range(len(domains))]
        for number, domain in enumerate(domains):
            self.start_control(number, domain, seeds)
        self.entry = Subscription(
            "a",
            False,
            seeds,
            self.entry_address,
            self.sender(self.entry_address),
            self.clock,
            lambda run, _: self.runs.append(run),
            self.received_tables.append,
            Counters(),
            EvacuationReceiver(self.evacuated.append),
        )

    def start_control(self, number, domain, seeds):
        """Start a control instance without state."""
        place = address(number)
        table = RunTable(INTERVAL_S, self.clock)
        publisher = RegistryPublisher(
            table,
            domain,
            self.sender(place),
            self.clock,
            lambda: True,
            lambda: place not in self.leaderless,
        )
        evacuation_publisher = self.evacuation_publishers[place] = EvacuationPublisher(
            publisher.active_subscribers, self.sender(place), self.clock
        )
        subscription = Subscription(
            domain,
            True,
            seeds,
            place,
            self.sender(place),
            self.clock,
            table.apply_peer_run,
            lambda _: None,
            Counters(),
            evacuation_publisher,
        )
        self.controls[place] = (table, publisher)
        evacuation_publisher.on_acknowledged = subscription.poll
        publisher.list_other_controls = subscription.reachable_links
        subscription.on_numbered_report = table.apply_numbered_report
        self.subscriptions[place] = subscription

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
                self.controls[target][1].on_poll(message.poll, source)
            else:
                self.subscriptions[target].on_delta(message.delta, source)

    def step(self, count=1, step_s=0.1, check=lambda: None):
        """Advance the clock in steps, and call `check` after each.

        All instances poll in the first step of each call and in each fourth after it.
        """
        for number in range(count):
            self.clock.value_s += step_s
            for table, publisher in self.controls.values():
                table.sweep()
                publisher.flush()
            for evacuation_publisher in self.evacuation_publishers.values():
                evacuation_publisher.send_unacknowledged()
            if number % 4 == 0:
                self.entry.poll()
                for subscription in self.subscriptions.values():
                    subscription.poll()
            self.deliver()
            check()

    def run_table(self, number):
        return self.controls[address(number)][0]

    def publisher(self, number):
        return self.controls[address(number)][1]

    def evacuate(self, version, *domains, numbers=None):
        """Publish evacuations at some control instances, all of them by default."""
        for number in range(len(self.controls)) if numbers is None else numbers:
            evacuations = Evacuations(version=version, failure_domains=domains)
            self.evacuation_publishers[address(number)].publish_newer(evacuations)

    def received_runs(self):
        """Return the last received state of each run at the entry instance."""
        return {run.id: run for run in self.runs}
