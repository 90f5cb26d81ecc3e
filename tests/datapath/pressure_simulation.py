"""Simulates entry instances under pressure, backend servers and callers."""

import heapq
import random
from dataclasses import replace

from agatethread.datapath import BackendView, LabelForwarder
from agatethread.datapath._placing import accepts_new_flows
from agatethread.datapath._received_openings import OpeningActions
from agatethread.datapath._shared_placing import SharedPlacing
from agatethread.observability import Counters
from agatethread.routing import Route, RouteTable, Target
from agatethread.wire.registry_pb2 import Dispatchers, RegistryMessage
from tests.datapath.fixtures import CODEC, HOST, opening, packet, run
from tests.fakes import Clock, address

#: Ports of the urgent route, of the other one, and of the archive's route.
URGENT, OTHER, ARCHIVE = 443, 444, 445
#: One-way delays within a failure domain and between two; round trip to a caller.
OWN_DOMAIN_DELAY_S, OTHER_DOMAIN_DELAY_S, CALLER_ROUND_TRIP_S = 0.0001, 0.0014, 0.006
#: Requests in progress and waiting requests of a backend server before it sheds.
SLOTS, QUEUE_LIMIT = 2, 8


def route(urgency, service="tab"):
    """Return a route of a service."""
    target = (Target(service, 1),)
    return Route(target, frozenset({service}), False, urgency, 0.4, 2.0)


def make_table(version=1):
    """Return a table with an urgent route, another one, and one of another service."""
    routes = {(HOST, URGENT): route(1), (HOST, OTHER): route(2)}
    routes[HOST, ARCHIVE] = route(2, "archive")
    return RouteTable(version, routes)


class PressureSimulation:
    """Simulates entry instances, backend servers and callers of failure domains.

    Callers open a flow, send a request once the server has answered the opening, and
    end the flow with the answer. A shed or refused caller retries at once, twice.
    """

    def __init__(
        self, domains="a", entries=8, servers=8, shares_placing=True, seed=1, archives=0
    ):
        self.clock = Clock(0.0)
        self.rng = random.Random(seed)
        # Instances draw from the generator of the `random` module.
        random.seed(seed)
        self.events, self.number, self.caller_count = [], 0, 0
        self.failed, self.message_loss, self.packet_loss = set(), 0.0, 0.0
        #: Unread messages of paused instances, and unresponsive servers.
        self.paused, self.unresponsive = {}, set()
        self.outcomes = {}
        self.shed_count = self.arrival_count = 0
        self.entries, self.domain_of = {}, {}
        self.packets = {}
        #: Failure domain, requests in progress and waiting requests by server number.
        self.servers = {
            1 + index: [domain, 0, []] for index, domain in enumerate(domains * servers)
        }
        self.archives = [1_000 + index for index in range(archives)]
        self.servers |= {number: [domains[0], 0, []] for number in self.archives}
        for index, domain in enumerate(domains * entries):
            self.add_entry(address(1_000 + index), domain)
        self.shares_placing = shares_placing
        self.update_dispatchers()

    def schedule(self, delay_s, callback, *arguments):
        self.number += 1
        due_s = self.clock() + delay_s
        heapq.heappush(self.events, (due_s, self.number, callback, arguments))

    def add_entry(self, entry_address, domain):
        counters = Counters()
        view = BackendView(self.clock, counters)
        codec = replace(CODEC, decode=lambda data: self.packets.get(data, data))

        def send(data, target, key, sequence):
            self.on_forwarded(entry_address, data, key)

        forwarder = LabelForwarder(
            codec, view, domain, send, self.clock, counters, 10_000, lambda: True
        )
        actions = OpeningActions(
            forwarder.forward_opening,
            lambda message, target: self.send_message(entry_address, message, target),
            lambda: forwarder.table.version,
        )
        forwarder.shared_placing = SharedPlacing(
            entry_address,
            domain,
            view.runs_of_service,
            accepts_new_flows,
            codec.decode,
            lambda: forwarder.table,
            actions,
            forwarder.place_locally,
            forwarder.refuse,
            self.clock,
            counters,
        )
        for number, (server_domain, *_) in self.servers.items():
            service = "archive" if number in self.archives else "tab"
            view.update_run(run(number, failure_domain=server_domain, service=service))
        forwarder.apply_table(make_table())
        self.entries[entry_address], self.domain_of[entry_address] = forwarder, domain

    def update_dispatchers(self, dispatcher_count=8):
        """Set the first few instances of each failure domain as dispatchers."""
        if not self.shares_placing:
            return
        dispatchers = {}
        for domain in set(self.domain_of.values()):
            own_domain_entries = [
                entry
                for entry, entry_domain in self.domain_of.items()
                if entry_domain == domain
            ]
            own_domain_entries = [
                entry
                for entry in own_domain_entries
                if entry not in self.failed | self.paused.keys()
            ]
            dispatchers[domain] = Dispatchers(
                failure_domain=domain,
                addresses=own_domain_entries[:dispatcher_count],
                entry_count=len(own_domain_entries),
            )
        self.dispatchers = dispatchers
        for forwarder in self.entries.values():
            forwarder.shared_placing.set_dispatchers(dispatchers)

    def send_message(self, source, message, target):
        if {source, target} & self.failed or self.rng.random() < self.message_loss:
            return
        is_same_domain = self.domain_of[source] == self.domain_of[target]
        data = message.SerializeToString()
        self.schedule(
            OWN_DOMAIN_DELAY_S if is_same_domain else OTHER_DOMAIN_DELAY_S,
            self.on_message,
            target,
            data,
            source,
        )

    def on_message(self, target, data, source):
        if target in self.paused:
            self.paused[target].append((target, data, source))
        elif target not in self.failed:
            message = RegistryMessage.FromString(data)
            self.entries[target].shared_placing.on_message(message, source)

    def on_forwarded(self, entry_address, data, key):
        if data[0] == "reset":
            self.schedule(CALLER_ROUND_TRIP_S / 2, self.on_refused, key)
        elif entry_address not in self.failed and self.rng.random() >= self.packet_loss:
            self.schedule(OWN_DOMAIN_DELAY_S, self.on_opening, data[1], key)

    def on_opening(self, number, key):
        """Answer an opening; the request follows after a round trip to the caller."""
        attempt = self.outcomes[key]
        if attempt["server"] is None and number not in self.unresponsive:
            attempt["server"] = number
            self.schedule(CALLER_ROUND_TRIP_S, self.on_request, number, key)

    def on_request(self, number, key):
        server = self.servers[number]
        self.arrival_count += 1
        self.deliver_caller_packet(key, number, 10, payload_bytes=100)
        if server[1] >= SLOTS + QUEUE_LIMIT:
            self.shed_count += 1
            self.schedule(
                CALLER_ROUND_TRIP_S, self.deliver_caller_packet, key, number, 20, True
            )
            self.schedule(CALLER_ROUND_TRIP_S, self.on_refused, key)
            return
        server[1] += 1
        server[2].append(key)
        if server[1] <= SLOTS:
            self.work(number)

    def work(self, number):
        key = self.servers[number][2].pop(0)
        self.schedule(0.0175 * self.rng.uniform(0.5, 1.5), self.on_done, number, key)

    def on_done(self, number, key):
        self.servers[number][1] -= 1
        if self.servers[number][2]:
            self.work(number)
        self.schedule(CALLER_ROUND_TRIP_S, self.on_answer, number, key)

    def start_call(self, port, domain, attempts_left=3, first_s=None, caller=None):
        """Start a call through an instance of the caller's failure domain."""
        own_domain_entries = [
            entry
            for entry, entry_domain in self.domain_of.items()
            if entry_domain == domain
        ]
        self.caller_count += 1
        key = packet(self.caller_count % 60_000).key
        if caller is None:
            caller = self.caller_count // 60_000
        key = key._replace(caller=caller, port=port)
        call_opening = opening(key=key)
        data = self.caller_count.to_bytes(8, "big")
        self.packets[data] = call_opening = call_opening._replace(data=data)
        self.outcomes[call_opening.key] = {
            "entry": self.rng.choice(own_domain_entries),
            "domain": domain,
            "port": port,
            "first_s": self.clock() if first_s is None else first_s,
            "attempts_left": attempts_left,
            "server": None,
            "answer_s": None,
            "refused": False,
        }
        for copy, delay_s in enumerate((0.0, 0.2, 0.6)):
            self.schedule(delay_s, self.send_opening, call_opening._replace(copy=copy))
        return call_opening.key

    def send_opening(self, call_opening):
        attempt = self.outcomes[call_opening.key]
        if attempt["server"] or attempt["refused"]:
            return
        if attempt["entry"] in self.failed or attempt["entry"] in self.paused:
            return
        self.packets[call_opening.data] = call_opening
        self.entries[attempt["entry"]].on_datagram(call_opening, ("router", 1))

    def deliver_caller_packet(
        self, key, number, acknowledged, closes=False, payload_bytes=0
    ):
        """Pass a packet of the caller to its instance."""
        if self.outcomes[key]["entry"] in self.paused:
            return
        caller_packet = packet(
            key.caller_port, number, key=key, acknowledged=acknowledged
        )
        caller_packet = caller_packet._replace(
            closes=closes, payload_bytes=payload_bytes
        )
        self.entries[self.outcomes[key]["entry"]].on_datagram(
            caller_packet, ("router", 1)
        )

    def on_answer(self, number, key):
        attempt = self.outcomes[key]
        attempt["answer_s"] = self.clock() - attempt["first_s"]
        self.deliver_caller_packet(key, number, 600)
        self.deliver_caller_packet(key, number, 601, closes=True)

    def on_refused(self, key):
        attempt = self.outcomes[key]
        attempt["refused"] = True
        if attempt["attempts_left"] > 1:
            attempts_left, first_s = attempt["attempts_left"] - 1, attempt["first_s"]
            caller_number, port = key.caller, attempt["port"]
            self.start_call(
                port, attempt["domain"], attempts_left, first_s, caller_number
            )
            # The attempt was replaced, and does not count any more.
            attempt["attempts_left"] = 0

    def schedule_calls(
        self, per_s, seconds, urgent_ratio=1 / 3, domains="a", ports=None
    ):
        """Schedule calls at random times."""
        at_s = 0.0
        while at_s < seconds:
            at_s += self.rng.expovariate(per_s)
            port = URGENT if self.rng.random() < urgent_ratio else OTHER
            port = self.rng.choice(ports) if ports else port
            self.schedule(at_s, self.start_call, port, self.rng.choice(domains))

    def run(self, seconds):
        """Process the events of the next seconds."""
        end_s, tick_s = self.clock() + seconds, self.clock()
        while self.events and self.events[0][0] <= end_s:
            due_s, _, callback, arguments = heapq.heappop(self.events)
            self.clock.value_s = due_s
            if due_s - tick_s >= 0.05:
                tick_s = due_s
                for entry_address, forwarder in self.entries.items():
                    if (
                        entry_address not in self.failed
                        and entry_address not in self.paused
                    ):
                        forwarder.shared_placing.tick()
            callback(*arguments)
        self.clock.value_s = end_s

    def pause_entry(self, entry_address):
        """Pause an instance for 2 s, then deliver the messages that arrived."""
        self.paused[entry_address] = []
        self.run(1.2)
        self.update_dispatchers()
        self.run(0.8)
        for arguments in self.paused.pop(entry_address):
            self.on_message(*arguments)

    def served_ratio(self, port=None, domain=None, aim_s=0.4):
        """Return the ratio of calls that were answered within the aim."""
        attempts = [
            attempt
            for attempt in self.outcomes.values()
            if attempt["attempts_left"] and port in (None, attempt["port"])
            if domain in (None, attempt["domain"])
        ]
        in_time = [
            attempt for attempt in attempts if (attempt["answer_s"] or 9.0) <= aim_s
        ]
        return len(in_time) / len(attempts)

    def count(self, name):
        return sum(forwarder._counters[name] for forwarder in self.entries.values())
