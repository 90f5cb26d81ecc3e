"""What callers get where openings are placed by dispatchers, under rising load.

Entry instances of three failure domains stand before servers with two slots and a
queue of eight. Compared are each instance's own counts, and dispatchers that place all
flows of some servers by exact counts, with the product's functions for who places on
what, who waits and who is refused. An opening is 6 ms on its way, the word of an end
another 6; one end of a thousand is not told, and one dispatcher is dead for a second.
Shed and refused callers come back twice. Nothing is handed over between failure
domains, and dispatchers place whatever the load is. Times are virtual.
"""

import argparse
import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import product
from math import inf
from statistics import mean
from unittest import mock

from agatethread.balancing import (
    Opening,
    Verdict,
    WaitingLine,
    choose_dispatchers,
    judge_opening,
    share_out,
)
from agatethread.datapath import Backend, FlowKey, choose_backend
from agatethread.datapath._places import PlaceCounts
from agatethread.datapath._placing import choose_place
from agatethread.wire.registry_pb2 import BackendRun

_SLOT_COUNT, _QUEUE_COUNT = 2, 8
_DOMAINS, _SERVERS_EACH = "abc", 20
#: One way of an opening, of the word of an end, and back to a caller that is shed.
_WAY_S = 0.006
_LOST_RATIO = 0.001
#: When the first dispatcher is dead.
_DEAD_FROM_S, _DEAD_S = 4.0, 1.0
#: When a caller sends a copy, and for how long it makes an instance distrust.
_COPY_S, _DISTRUST_S = 0.2, 2.0
_TRIES, _AGAIN_S = 3, 0.003
_AIM_S, _TIMEOUT_S = 0.4, 2.0
#: Usual times that the product allows for an answer.
_ANSWER_TIMES = 2.0
_TICK_S = 0.05


@dataclass(frozen=True)
class Load:
    """A deployment and its load."""

    entry_count: int
    #: Share of the slots that all callers together need.
    use: float
    work_s: float
    #: Share of the requests that take seven times as long.
    long_ratio: float = 0.0
    seconds: float = 8.0
    #: Slots for each dispatcher, and places of each server.
    slots_each: int = 12
    place_count: int = 2 * _SLOT_COUNT + 1
    #: Whether what a dead dispatcher does not place goes to its servers only.
    keeps_group: bool = True


@dataclass
class Got:
    """What callers got."""

    waits_s: list[float] = field(default_factory=list)
    asked_count: int = 0
    in_time_count: int = 0
    refused_count: int = 0
    arrival_count: int = 0
    shed_count: int = 0


class Server:
    """A server with slots and a queue."""

    def __init__(self, number: int):
        self.run = BackendRun(
            id=f"i-{number:x}",
            number=number,
            service="tab",
            address=bytes(6),
            failure_domain=_DOMAINS[number % len(_DOMAINS)],
            slots=_SLOT_COUNT,
        )
        self.free_s = [0.0] * _SLOT_COUNT
        self.in_progress = 0


@dataclass
class Caller:
    """One caller's try."""

    key: FlowKey
    domain: str
    entry: "Entry"
    first_s: float
    tries_left: int


class Entry:
    """An entry instance: its own counts, and whom it distrusts."""

    def __init__(self, domain: str, servers: Sequence[Server]):
        self.domain = domain
        self.records = [Backend(server.run) for server in servers]
        self.distrusted_until_s: dict[bytes, float] = {}


class Dispatcher:
    """Places openings by exact counts."""

    def __init__(self, now_s: Callable[[], float], backends: Sequence[Backend]):
        self.places = PlaceCounts(now_s)
        self.line: WaitingLine[Caller] = WaitingLine()
        self.backends = backends
        self._now_s = now_s

    def choose(self, caller: Caller) -> Verdict:
        """Decide about an opening."""
        now_s = self._now_s()
        aim_s = _AIM_S - _ANSWER_TIMES * self.places.usual_s("tab")
        opening = Opening(1, now_s, aim_s, _TIMEOUT_S)
        load = self.places.load("tab", self.backends, len(self.line))
        verdict = judge_opening(opening, load, self.line.count_ahead(1), now_s)
        if verdict is Verdict.WAIT:
            self.line.push(opening, caller.key, caller, now_s)
        return verdict

    def place(self, caller: Caller) -> int:
        """Take a place; return the server's number."""
        chosen = choose_place(self.backends, self.places.in_progress, self._now_s())
        self.places.take(caller.key, chosen, "tab")
        return chosen.number

    def has_room(self) -> bool:
        """Tell whether any place is free."""
        return self.places.load("tab", self.backends, 0).free_count > 0


class Play:
    """One play of a load."""

    def __init__(self, load: Load, shares: bool, seed: int = 1):
        random.seed(seed)
        self.load, self.shares, self.got = load, shares, Got()
        self.now_s, self.number = 0.0, 0
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.servers = [Server(n) for n in range(len(_DOMAINS) * _SERVERS_EACH)]
        self.entries = [
            Entry(_DOMAINS[n % len(_DOMAINS)], self.servers)
            for n in range(load.entry_count)
        ]
        self.dispatchers = {domain: self._choose(domain) for domain in _DOMAINS}
        self.dead = next(iter(self.dispatchers["a"]))

    def _choose(self, domain: str) -> dict[bytes, Dispatcher]:
        near = {
            server.run.number: Backend(server.run)
            for server in self.servers
            if server.run.failure_domain == domain
        }
        count = sum(entry.domain == domain for entry in self.entries)
        names = [domain.encode() + n.to_bytes(5, "big") for n in range(count)]
        # The product's choice for 12 slots each, with as many as asked for.
        slots = 12 * _SLOT_COUNT * len(near) // self.load.slots_each
        shares = share_out(sorted(near), choose_dispatchers(names, slots))
        return {
            name: Dispatcher(lambda: self.now_s, [near[number] for number in numbers])
            for name, numbers in shares.items()
        }

    def later(self, delay_s: float, call: Callable[..., None], *arguments) -> None:
        """Let something happen."""
        self.number += 1
        due_s = self.now_s + delay_s
        heapq.heappush(self.events, (due_s, self.number, call, arguments))

    def run(self) -> Got:
        """Play all of it."""
        self.later(0.0, self.arrive)
        self.later(_TICK_S, self.tick)
        while self.events:
            self.now_s, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return self.got

    # -- callers ------------------------------------------------------------------

    def arrive(self) -> None:
        """Let the next caller come."""
        if self.now_s > self.load.seconds:
            return
        slots = len(self.servers) * _SLOT_COUNT
        work_s = self.load.work_s * (1 + 6 * self.load.long_ratio)
        self.later(random.expovariate(self.load.use * slots / work_s), self.arrive)
        self.got.asked_count += 1
        self.ask(random.choice(self.entries), self.now_s, _TRIES)

    def ask(self, entry: Entry, first_s: float, tries_left: int) -> None:
        """Open a flow."""
        key = FlowKey(self.number, 0, 0, 0)
        caller = Caller(key, entry.domain, entry, first_s, tries_left - 1)
        if self.shares:
            self.dispatch(caller)
        else:
            self.place_here(caller)

    def again(self, caller: Caller) -> None:
        """Let a caller that was shed or refused come back, through anybody."""
        if not caller.tries_left:
            self.got.refused_count += 1
            return
        near = [one for one in self.entries if one.domain == caller.domain]
        entry = random.choice(near)
        self.later(_AGAIN_S, self.ask, entry, caller.first_s, caller.tries_left)

    # -- placing ------------------------------------------------------------------

    def place_here(self, caller: Caller, among: frozenset[int] = frozenset()) -> None:
        """Place by the instance's own counts, on some servers only if named."""
        entry = caller.entry
        records = [one for one in entry.records if not among or one.number in among]
        chosen = choose_backend(records, entry.domain, self.now_s)
        chosen.in_flight += 1

        def end() -> None:
            chosen.in_flight -= 1

        self.later(_WAY_S, self.on_server, caller, chosen.number, end)

    def dispatch(self, caller: Caller) -> None:
        """Relay an opening to a dispatcher."""
        near = self.dispatchers[caller.domain]
        weights = [len(one.backends) for one in near.values()]
        name = random.choices(list(near), weights)[0]
        until_s = caller.entry.distrusted_until_s.get(name, -inf)
        if self.now_s < until_s:
            self.place_for(caller, name)
            return
        if name == self.dead and 0 <= self.now_s - _DEAD_FROM_S < _DEAD_S:
            self.later(_COPY_S, self.distrust, caller, name)
            return
        dispatcher = near[name]
        verdict = dispatcher.choose(caller)
        if verdict is Verdict.PLACE:
            self.place_there(dispatcher, caller)
        elif verdict is Verdict.REFUSE:
            self.later(_WAY_S / 2, self.again, caller)

    def distrust(self, caller: Caller, name: bytes) -> None:
        """Place a copy here, and ask that dispatcher no more for a while."""
        caller.entry.distrusted_until_s[name] = self.now_s + _DISTRUST_S
        self.place_for(caller, name)

    def place_for(self, caller: Caller, name: bytes) -> None:
        """Place here what a dispatcher that is distrusted does not."""
        group = self.dispatchers[caller.domain][name].backends
        numbers = frozenset(one.number for one in group)
        self.place_here(caller, numbers if self.load.keeps_group else frozenset())

    def place_there(self, dispatcher: Dispatcher, caller: Caller) -> None:
        """Place on the server that the dispatcher chooses."""
        number = dispatcher.place(caller)

        def end() -> None:
            if random.random() >= _LOST_RATIO:
                dispatcher.places.end(caller.key)
                self.fill(dispatcher)

        self.later(_WAY_S, self.on_server, caller, number, end)

    def fill(self, dispatcher: Dispatcher) -> None:
        """Place those who wait."""
        while dispatcher.line and dispatcher.has_room():
            caller = dispatcher.line.pop(self.now_s)
            if caller is None:
                return
            self.place_there(dispatcher, caller)

    def tick(self) -> None:
        """Give up places and openings that are over."""
        for near in self.dispatchers.values():
            for dispatcher in near.values():
                dispatcher.places.give_up()
                for caller in dispatcher.line.take_expired(self.now_s):
                    self.again(caller)
                self.fill(dispatcher)
        if self.now_s < self.load.seconds + 3.0:
            self.later(_TICK_S, self.tick)

    # -- servers ------------------------------------------------------------------

    def on_server(self, caller: Caller, number: int, end: Callable[[], None]) -> None:
        """Work, let it wait, or shed."""
        server = self.servers[number]
        self.got.arrival_count += 1
        if server.in_progress >= _SLOT_COUNT + _QUEUE_COUNT:
            self.got.shed_count += 1
            self.later(_WAY_S, end)
            self.later(_WAY_S, self.again, caller)
            return
        server.in_progress += 1
        work_s = self.load.work_s * random.uniform(0.5, 1.5)
        if random.random() < self.load.long_ratio:
            work_s *= 7
        slot = min(range(_SLOT_COUNT), key=server.free_s.__getitem__)
        begins_s = max(self.now_s, server.free_s[slot])
        server.free_s[slot] = begins_s + work_s
        waited_s = begins_s - caller.first_s - _WAY_S
        self.got.waits_s.append(waited_s)
        self.got.in_time_count += waited_s + work_s + 2 * _WAY_S <= _AIM_S
        self.later(begins_s + work_s - self.now_s, self.on_done, server, end)

    def on_done(self, server: Server, end: Callable[[], None]) -> None:
        """Free a slot; word of it comes later."""
        server.in_progress -= 1
        self.later(_WAY_S, end)


def play(load: Load, shares: bool, seed: int = 1) -> Got:
    """Play a load.

    Parameters
    ----------
    load : Load
        The deployment and its load.
    shares : bool
        Whether dispatchers place, and not each instance by its own counts.
    seed : int, optional
        Of the load.

    Returns
    -------
    Got
        What callers got.
    """
    count_places = mock.Mock(side_effect=lambda _: load.place_count)
    places = "agatethread.datapath._places.count_places"
    placing = "agatethread.datapath._placing.count_places"
    with mock.patch(places, count_places), mock.patch(placing, count_places):
        return Play(load, shares, seed).run()


def _row(load: Load, shares: bool) -> str:
    got = play(load, shares)
    waits_s = sorted(got.waits_s)
    cells = [
        "dispatchers" if shares else "own counts",
        f"{load.entry_count}",
        f"{1000 * load.work_s:g}{' + tail' if load.long_ratio else ''}",
        f"{load.use:g}",
        f"{1000 * mean(waits_s):.1f}",
        f"{1000 * waits_s[int(0.99 * len(waits_s))]:.0f}",
        f"{100 * got.shed_count / got.arrival_count:.2f}",
        f"{100 * got.refused_count / got.asked_count:.2f}",
        f"{got.in_time_count / got.asked_count:.3f}",
        f"{load.place_count}",
        f"{load.slots_each}",
    ]
    return f"| {' | '.join(cells)} |"


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[85, 200])
    parser.add_argument("--uses", type=float, nargs="+", default=[0.3, 0.6, 0.92])
    parser.add_argument("--work-ms", type=float, default=17.0)
    parser.add_argument("--long", type=float, default=0.0)
    parser.add_argument("--places", type=int, nargs="+", default=[5])
    parser.add_argument("--slots-each", type=int, nargs="+", default=[12])
    parser.add_argument("--ways", nargs="+", default=["own", "dispatchers"])
    options = parser.parse_args()
    print("| Way | Entries | Work ms | Use | Mean ms | p99 ms ", end="")
    print("| Shed % | Refused % | In time | Places | Slots each |")
    print(f"|{' --- |' * 11}")
    ways = options.entries, options.uses, options.ways
    for entries, use, way in product(*ways):
        for places, slots in product(options.places, options.slots_each):
            load = Load(
                entries,
                use,
                options.work_ms / 1000,
                options.long,
                slots_each=slots,
                place_count=places,
            )
            print(_row(load, way == "dispatchers"), flush=True)


if __name__ == "__main__":
    _main()
