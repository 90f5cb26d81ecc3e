"""Entry instances under pressure, backend servers and callers, in virtual time."""

import heapq
import random
from dataclasses import replace

from agatethread.datapath import BackendView, LabelForwarder
from agatethread.datapath._placing import may_take_work
from agatethread.datapath._shared_placing import SharedPlacing
from agatethread.datapath._taken import Hands
from agatethread.observability import Counters
from agatethread.routing import Route, RouteTable, Target
from agatethread.wire.registry_pb2 import Dispatchers, RegistryMessage
from tests.datapath.worlds import CODEC, HOST, opening, packet, run
from tests.fakes import Clock, address

#: Ports of the urgent route, of the other, and of the archive's.
URGENT, OTHER, ARCHIVE = 443, 444, 445
#: One way inside a failure domain, to another one, and to a caller and back.
NEAR_S, FAR_S, CALLER_S = 0.0001, 0.0014, 0.006
#: What a backend server works on at once, and what waits there before it sheds.
SLOTS, QUEUE = 2, 8


def route(urgency, service="tab"):
    """A route of a service."""
    target = (Target(service, 1),)
    return Route(target, frozenset({service}), False, urgency, 0.4, 2.0)


def make_table(version=1):
    """An urgent route, one that is not, and one of another service."""
    routes = {(HOST, URGENT): route(1), (HOST, OTHER): route(2)}
    routes[HOST, ARCHIVE] = route(2, "archive")
    return RouteTable(version, routes)


class World:
    """Entry instances, backend servers and callers of some failure domains.

    Callers open a flow, send their request when its server answered the opening, and
    end the flow with the answer. A shed or refused one is back at once, twice.
    """

    def __init__(
        self, domains="a", entries=8, servers=8, shares=True, seed=1, archives=0
    ):
        self.clock = Clock(0.0)
        self.draw = random.Random(seed)
        # What instances draw: equal seeds give equal plays.
        random.seed(seed)
        self.events, self.number, self.caller_count = [], 0, 0
        self.cut, self.lost, self.dropped = set(), 0.0, 0.0
        #: What frozen instances have not read yet, and servers that answer nobody.
        self.frozen, self.mute = {}, set()
        self.outcomes = {}
        self.shed_count = self.arrival_count = 0
        self.entries, self.domain_of = {}, {}
        self.packets = {}
        self.servers = {
            1 + nth: [domain, 0, []] for nth, domain in enumerate(domains * servers)
        }
        self.archives = [1_000 + nth for nth in range(archives)]
        self.servers |= {number: [domains[0], 0, []] for number in self.archives}
        for nth, domain in enumerate(domains * entries):
            self.add_entry(address(1_000 + nth), domain)
        self.shares = shares
        self.choose()

    def later(self, delay_s, call, *arguments):
        self.number += 1
        due_s = self.clock() + delay_s
        heapq.heappush(self.events, (due_s, self.number, call, arguments))

    def add_entry(self, place, domain):
        counters = Counters()
        view = BackendView(self.clock, counters)
        codec = replace(CODEC, decode=lambda data: self.packets.get(data, data))

        def send(data, target, key, sequence):
            self.on_sent(place, data, key)

        forwarder = LabelForwarder(
            codec, view, domain, send, self.clock, counters, 10_000, lambda: True
        )
        hands = Hands(
            forwarder.forward_opening,
            lambda message, target: self.tell(place, message, target),
            lambda: forwarder.table.version,
        )
        forwarder.shared_placing = SharedPlacing(
            place,
            domain,
            view.of_service,
            may_take_work,
            codec.decode,
            lambda: forwarder.table,
            hands,
            forwarder.place_here,
            forwarder.refuse,
            self.clock,
            counters,
        )
        for number, (server_domain, *_) in self.servers.items():
            service = "archive" if number in self.archives else "tab"
            view.take(run(number, failure_domain=server_domain, service=service))
        forwarder.take_table(make_table())
        self.entries[place], self.domain_of[place] = forwarder, domain

    def choose(self, each=8):
        """Tell all instances the first few of each failure domain as dispatchers."""
        if not self.shares:
            return
        told = {}
        for domain in set(self.domain_of.values()):
            near = [one for one, place in self.domain_of.items() if place == domain]
            near = [one for one in near if one not in self.cut | self.frozen.keys()]
            told[domain] = Dispatchers(
                failure_domain=domain, addresses=near[:each], entry_count=len(near)
            )
        self.told = told
        for forwarder in self.entries.values():
            forwarder.shared_placing.take_dispatchers(told)

    # -- the network --------------------------------------------------------------

    def tell(self, source, message, target):
        if {source, target} & self.cut or self.draw.random() < self.lost:
            return
        near = self.domain_of[source] == self.domain_of[target]
        data = message.SerializeToString()
        self.later(NEAR_S if near else FAR_S, self.on_told, target, data, source)

    def on_told(self, target, data, source):
        if target in self.frozen:
            self.frozen[target].append((target, data, source))
        elif target not in self.cut:
            message = RegistryMessage.FromString(data)
            self.entries[target].shared_placing.on_message(message, source)

    def on_sent(self, place, data, key):
        if data[0] == "reset":
            self.later(CALLER_S / 2, self.on_refused, key)
        elif place not in self.cut and self.draw.random() >= self.dropped:
            self.later(NEAR_S, self.on_server, data[1], key)

    # -- backend servers ----------------------------------------------------------

    def on_server(self, number, key):
        """Take an opening; the request follows it after a round trip to the caller."""
        caller = self.outcomes[key]
        if caller["server"] is None and number not in self.mute:
            caller["server"] = number
            self.later(CALLER_S, self.on_request, number, key)

    def on_request(self, number, key):
        server = self.servers[number]
        self.arrival_count += 1
        self.see(key, number, 10, payload_bytes=100)
        if server[1] >= SLOTS + QUEUE:
            self.shed_count += 1
            self.later(CALLER_S, self.see, key, number, 20, True)
            self.later(CALLER_S, self.on_refused, key)
            return
        server[1] += 1
        server[2].append(key)
        if server[1] <= SLOTS:
            self.work(number)

    def work(self, number):
        key = self.servers[number][2].pop(0)
        self.later(0.0175 * self.draw.uniform(0.5, 1.5), self.on_done, number, key)

    def on_done(self, number, key):
        self.servers[number][1] -= 1
        if self.servers[number][2]:
            self.work(number)
        self.later(CALLER_S, self.on_answer, number, key)

    # -- callers ------------------------------------------------------------------

    def call(self, port, domain, tries=3, first_s=None, caller=None):
        """Let a caller ask through an instance of its failure domain."""
        near = [one for one, place in self.domain_of.items() if place == domain]
        self.caller_count += 1
        key = packet(self.caller_count % 60_000).key
        if caller is None:
            caller = self.caller_count // 60_000
        key = key._replace(caller=caller, port=port)
        one = opening(key=key)
        data = self.caller_count.to_bytes(8, "big")
        self.packets[data] = one = one._replace(data=data)
        self.outcomes[one.key] = {
            "entry": self.draw.choice(near),
            "domain": domain,
            "port": port,
            "first_s": self.clock() if first_s is None else first_s,
            "tries": tries,
            "server": None,
            "answer_s": None,
            "refused": False,
        }
        for copy, delay_s in enumerate((0.0, 0.2, 0.6)):
            self.later(delay_s, self.ask, one._replace(copy=copy))
        return one.key

    def ask(self, one):
        caller = self.outcomes[one.key]
        if caller["server"] or caller["refused"]:
            return
        if caller["entry"] in self.cut or caller["entry"] in self.frozen:
            return
        self.packets[one.data] = one
        self.entries[caller["entry"]].on_datagram(one, ("router", 1))

    def see(self, key, number, acknowledged, closes=False, payload_bytes=0):
        """A packet of the caller's passes its instance."""
        if self.outcomes[key]["entry"] in self.frozen:
            return
        one = packet(key.caller_port, number, key=key, acknowledged=acknowledged)
        one = one._replace(closes=closes, payload_bytes=payload_bytes)
        self.entries[self.outcomes[key]["entry"]].on_datagram(one, ("router", 1))

    def on_answer(self, number, key):
        caller = self.outcomes[key]
        caller["answer_s"] = self.clock() - caller["first_s"]
        self.see(key, number, 600)
        self.see(key, number, 601, closes=True)

    def on_refused(self, key):
        caller = self.outcomes[key]
        caller["refused"] = True
        if caller["tries"] > 1:
            left, first_s = caller["tries"] - 1, caller["first_s"]
            one, port = key.caller, caller["port"]
            self.call(port, caller["domain"], left, first_s, one)
            caller["tries"] = 0

    # -- time ---------------------------------------------------------------------

    def crowd(self, per_s, seconds, urgent_ratio=1 / 3, domains="a", ports=None):
        """Let callers come at random."""
        at_s = 0.0
        while at_s < seconds:
            at_s += self.draw.expovariate(per_s)
            port = URGENT if self.draw.random() < urgent_ratio else OTHER
            port = self.draw.choice(ports) if ports else port
            self.later(at_s, self.call, port, self.draw.choice(domains))

    def run(self, seconds):
        end_s, tick_s = self.clock() + seconds, self.clock()
        while self.events and self.events[0][0] <= end_s:
            due_s, _, call, arguments = heapq.heappop(self.events)
            self.clock.value_s = due_s
            if due_s - tick_s >= 0.05:
                tick_s = due_s
                for place, forwarder in self.entries.items():
                    if place not in self.cut and place not in self.frozen:
                        forwarder.shared_placing.tick()
            call(*arguments)
        self.clock.value_s = end_s

    def freeze(self, place):
        """Let an instance stand still for 2 s and read then what came meanwhile."""
        self.frozen[place] = []
        self.run(1.2)
        self.choose()
        self.run(0.8)
        for told in self.frozen.pop(place):
            self.on_told(*told)

    def served(self, port=None, domain=None, aim_s=0.4):
        """Share of the callers that were answered within the aim."""
        callers = [
            one
            for one in self.outcomes.values()
            if one["tries"] and port in (None, one["port"])
            if domain in (None, one["domain"])
        ]
        in_time = [one for one in callers if (one["answer_s"] or 9.0) <= aim_s]
        return len(in_time) / len(callers)

    def count(self, name):
        return sum(one._counters[name] for one in self.entries.values())
