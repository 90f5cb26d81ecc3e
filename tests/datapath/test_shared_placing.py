import heapq
import random
import unittest
from dataclasses import replace
from unittest import mock

from agatethread.datapath import BackendView, LabelForwarder
from agatethread.datapath._dispatching import Hands
from agatethread.datapath._placing import count_places, may_take_work
from agatethread.datapath._shared_placing import SharedPlacing
from agatethread.observability import Counters
from agatethread.routing import Route, RouteTable, Target
from agatethread.wire.registry_pb2 import Dispatchers, RegistryMessage
from tests.datapath.worlds import CODEC, HOST, opening, packet, run
from tests.fakes import Clock, address

#: Ports of the urgent route and of the other.
URGENT, OTHER = 443, 444
#: One way inside a failure domain, to another one, and to a caller and back.
NEAR_S, FAR_S, CALLER_S = 0.0001, 0.0014, 0.006
#: What a backend server works on at once, and what waits there before it sheds.
SLOTS, QUEUE = 2, 8


def route(urgency):
    """A route of the tab service."""
    target = (Target("tab", 1),)
    return Route(target, frozenset({"tab"}), False, urgency, 0.4, 2.0)


def make_table(version=1):
    """An urgent route and one that is not."""
    routes = {(HOST, URGENT): route(1), (HOST, OTHER): route(2)}
    return RouteTable(version, routes)


class World:
    """Entry instances, backend servers and callers of some failure domains.

    Callers open a flow, send their request when its server answered the opening, and
    end the flow with the answer. A shed or refused one is back at once, twice.
    """

    def __init__(self, domains="a", entries=8, servers=8, shares=True, seed=1):
        self.clock = Clock(0.0)
        self.draw = random.Random(seed)
        self.events, self.number, self.caller_count = [], 0, 0
        self.cut, self.lost = set(), 0.0
        self.outcomes = {}
        self.shed_count = self.arrival_count = 0
        self.entries, self.domain_of = {}, {}
        self.packets = {}
        self.servers = {
            1 + nth: [domain, 0, []] for nth, domain in enumerate(domains * servers)
        }
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
            forwarder.refuse,
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
            self.clock,
            counters,
        )
        for number, (server_domain, *_) in self.servers.items():
            view.take(run(number, failure_domain=server_domain))
        forwarder.take_table(make_table())
        self.entries[place], self.domain_of[place] = forwarder, domain

    def choose(self, each=2):
        """Tell all instances the first few of each failure domain as dispatchers."""
        if not self.shares:
            return
        told = {}
        for domain in set(self.domain_of.values()):
            near = [one for one, place in self.domain_of.items() if place == domain]
            near = [one for one in near if one not in self.cut]
            told[domain] = Dispatchers(
                failure_domain=domain, addresses=near[:each], entry_count=len(near)
            )
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
        if target not in self.cut:
            message = RegistryMessage.FromString(data)
            self.entries[target].shared_placing.on_message(message, source)

    def on_sent(self, place, data, key):
        if data[0] == "reset":
            self.later(CALLER_S / 2, self.on_refused, key)
        elif place not in self.cut:
            self.later(NEAR_S, self.on_server, data[1], key)

    # -- backend servers ----------------------------------------------------------

    def on_server(self, number, key):
        """Take an opening; the request follows it after a round trip to the caller."""
        caller = self.outcomes[key]
        if caller["server"] is None:
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
        if caller["server"] or caller["refused"] or caller["entry"] in self.cut:
            return
        self.packets[one.data] = one
        self.entries[caller["entry"]].on_datagram(one, ("router", 1))

    def see(self, key, number, acknowledged, closes=False, payload_bytes=0):
        """A packet of the caller's passes its instance."""
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

    def crowd(self, per_s, seconds, urgent_ratio=1 / 3, domains="a"):
        """Let callers come at random."""
        at_s = 0.0
        while at_s < seconds:
            at_s += self.draw.expovariate(per_s)
            port = URGENT if self.draw.random() < urgent_ratio else OTHER
            self.later(at_s, self.call, port, self.draw.choice(domains))

    def run(self, seconds):
        end_s, tick_s = self.clock() + seconds, self.clock()
        while self.events and self.events[0][0] <= end_s:
            due_s, _, call, arguments = heapq.heappop(self.events)
            self.clock.value_s = due_s
            if due_s - tick_s >= 0.05:
                tick_s = due_s
                for place, forwarder in self.entries.items():
                    if place not in self.cut:
                        forwarder.shared_placing.tick()
            call(*arguments)
        self.clock.value_s = end_s

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


class TestCrowd(unittest.TestCase):
    """Callers who want nearly all slots: 8 servers bear some 910 requests a second."""

    def play(self, per_s, **options):
        world = World(**options)
        world.crowd(per_s, 3.0)
        world.run(5.0)
        return world

    def test_room_for_all_serves_all(self):
        """With room for all hardly anything is shed, and nearly all are in time."""
        alone = self.play(880, shares=False, entries=24)
        shared = self.play(880, entries=24)
        self.assertGreater(alone.shed_count, 0.05 * alone.arrival_count)
        self.assertLess(shared.shed_count, 0.01 * shared.arrival_count)
        self.assertGreater(shared.served(), 0.985)

    def test_less_urgent_give_way(self):
        """At 1.3 times what there is the urgent are served as in calm."""
        world = self.play(1_180, entries=24)
        self.assertGreater(world.served(URGENT), 0.985)
        self.assertGreater(world.served(OTHER), 0.4)
        self.assertLess(world.served(OTHER), world.served(URGENT))

    def test_calm_is_left_alone(self):
        """With a tenth of the slots in use no opening is relayed."""
        world = self.play(90, entries=24)
        self.assertEqual(world.count("openings_relayed"), 0)
        self.assertGreater(world.served(), 0.999)

    def test_room_elsewhere_is_used(self):
        """Callers of one failure domain have the other's idle servers."""
        world = World(domains="ab", entries=12)
        world.crowd(1_300, 3.0, domains="aaaaaaab")
        world.run(5.0)
        self.assertGreater(world.served(domain="a"), 0.97)
        self.assertGreater(world.served(domain="b"), 0.97)
        self.assertGreater(world.count("openings_handed_over"), 100)


class TestFailures(unittest.TestCase):
    def crowded(self):
        world = World(entries=24)
        world.crowd(800, 4.0)
        world.run(1.0)
        return world

    def test_dead_dispatcher_costs_one_copy(self):
        """What it had is placed by the callers' copies; it gets nothing for a while."""
        world = self.crowded()
        dead = next(iter(world.entries))
        world.cut.add(dead)
        world.run(1.0)
        world.choose()
        world.run(4.0)
        through = [one for one in world.outcomes.values() if one["entry"] != dead]
        late = [one for one in through if one["tries"] and (one["answer_s"] or 9) > 0.4]
        self.assertLess(len(late), 0.05 * len(through))
        self.assertGreater(world.count("dispatchers_silent"), 5)

    def test_lost_words_of_ends_keep_no_place(self):
        """Without them places come back by themselves."""
        world = self.crowded()
        world.lost = 0.02
        world.run(5.0)
        self.assertGreater(world.served(), 0.93)
        self.assertGreater(world.count("places_given_up"), 0)
        dispatcher = next(iter(world.entries.values())).shared_placing.dispatcher
        self.assertEqual(len(dispatcher._places), 0)

    def test_other_table_gives_openings_back(self):
        """A dispatcher with another table places nothing, and nobody waits for it."""
        world = self.crowded()
        for forwarder in list(world.entries.values())[:2]:
            forwarder.take_table(make_table(2))
        before = world.count("openings_dispatched_urgency_1")
        world.run(0.5)
        self.assertLess(world.count("openings_dispatched_urgency_1") - before, 150)
        self.assertGreater(world.count("openings_returned"), 100)

    def test_no_server_gets_more_than_its_places(self):
        """Whatever comes, a dispatcher never has more in progress than places."""
        world = World(entries=24)
        with mock.patch.object(World, "on_server"):
            world.crowd(3_000, 0.2, urgent_ratio=0.5)
            world.run(0.2)
        for forwarder in world.entries.values():
            places = forwarder.shared_placing.dispatcher._places
            for backend, count in places.in_progress.items():
                self.assertLessEqual(count, count_places(backend))

    def test_opening_of_another_service_is_given_back(self):
        """A dispatcher places only where its own table allows."""
        world = World(entries=8)
        (place, forwarder), *_ = world.entries.items()
        one = opening(5)
        message = RegistryMessage()
        message.relayed.packet = b"x"
        message.relayed.service = "archive"
        message.relayed.table_version = 1
        world.packets[b"x"] = one
        with mock.patch.object(world, "tell") as tell:
            forwarder.shared_placing.on_message(message, address(1_001))
        self.assertEqual(tell.call_args.args[1].WhichOneof("body"), "returned")
