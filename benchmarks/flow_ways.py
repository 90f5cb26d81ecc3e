"""Ways to choose the backend server of a flow: ours, and four plain ones."""

import random

from xxhash import xxh64_intdigest

from agatethread.routing import Endpoint, EndpointTable, FlowTable, choose_for_stream
from agatethread.wire import (
    Announcement,
    Cookie,
    Sealer,
    pack_address,
    parse_cookie,
    seal_cookie,
)

_MAGLEV_SIZE = 65_537


class View:
    """What one instance believes: the backend servers that take new work."""

    def __init__(self, active: tuple[int, ...]):
        self.active = active


def _mix(flow: int, salt: int = 0) -> int:
    return xxh64_intdigest(flow.to_bytes(8, "big"), seed=salt)


def _maglev(active: tuple[int, ...]) -> list[int]:
    """Build Maglev's table (Eisenbud et al., NSDI 2016, section 3.4)."""
    steps = [
        (_mix(server, 1) % _MAGLEV_SIZE, _mix(server, 2) % (_MAGLEV_SIZE - 1) + 1)
        for server in active
    ]
    table = [-1] * _MAGLEV_SIZE
    next_try = [0] * len(active)
    filled = 0
    while True:
        for position, (offset, skip) in enumerate(steps):
            while True:
                slot = (offset + next_try[position] * skip) % _MAGLEV_SIZE
                next_try[position] += 1
                if table[slot] < 0:
                    break
            table[slot] = active[position]
            filled += 1
            if filled == _MAGLEV_SIZE:
                return table


class HashModulo:
    """The flow's hash modulo the number of active backend servers."""

    def place(self, flow: int, view: View, chance: random.Random) -> int:
        """Choose for a new flow."""
        return view.active[_mix(flow) % len(view.active)]

    def route(self, flow: int, view: View, first: int, chance: random.Random) -> int:
        """Choose for a later packet."""
        return self.place(flow, view, chance)

    def closed(self, flow: int) -> None:
        """Forget a flow."""


class Maglev(HashModulo):
    """Maglev's table without its connection tracking."""

    def __init__(self) -> None:
        self._tables: dict[tuple[int, ...], list[int]] = {}

    def place(self, flow: int, view: View, chance: random.Random) -> int:
        """Choose for a new flow."""
        table = self._tables.get(view.active)
        if table is None:
            table = self._tables.setdefault(view.active, _maglev(view.active))
        return table[_mix(flow) % _MAGLEV_SIZE]


class RandomChoice(HashModulo):
    """Any backend server; the instance that opened a flow remembers it."""

    def __init__(self, instances: int):
        self._instances = instances
        self._opened_at: dict[int, int] = {}

    def place(self, flow: int, view: View, chance: random.Random) -> int:
        """Choose for a new flow."""
        self._opened_at[flow] = chance.randrange(self._instances)
        return self._next(view, chance)

    def _next(self, view: View, chance: random.Random) -> int:
        return chance.choice(view.active)

    def route(self, flow: int, view: View, first: int, chance: random.Random) -> int:
        """Choose for a later packet, which may meet another instance."""
        if chance.randrange(self._instances) == self._opened_at[flow]:
            return first
        return self._next(view, chance)


class RoundRobin(RandomChoice):
    """The next one in turn, at each instance by itself."""

    def __init__(self, instances: int):
        super().__init__(instances)
        self._turn = 0

    def _next(self, view: View, chance: random.Random) -> int:
        self._turn += 1
        return view.active[self._turn % len(view.active)]


class Ours:
    """The real tables, choice and cookies."""

    def __init__(self, endpoints: int, flows: int):
        self._sealer = Sealer([b"k" * 32])
        self._table = EndpointTable()
        self._flows = FlowTable(10 * flows)
        self._cookies: dict[int, bytes] = {}
        self._numbers: dict[bytes, int] = {}
        self._endpoints: list[Endpoint] = []
        for number in range(endpoints):
            address = pack_address((f"10.0.0.{number + 1}", 7_000))
            announcement = Announcement(
                endpoint_id=f"e{number}",
                incarnation=1,
                service="tab",
                slots=2,
                connection_limit=flows,
                lease_ms=600_000_000,
            )
            self._table.apply_announcement(address, announcement, 0.0)
            self._numbers[address] = number
            self._endpoints.append(self._table.by_address[address])

    def place(self, flow: int, view: View, chance: random.Random) -> int:
        """Choose for a new flow, and seal its cookie."""
        for number, endpoint in enumerate(self._endpoints):
            endpoint.drained = number not in view.active
        endpoint = choose_for_stream(self._endpoints, 1.0, 0.0)
        endpoint.last_used_s = chance.random()
        self._flows.place(flow, endpoint, b"caller")
        cookie = Cookie(endpoint.address, 1, 2, flow)
        self._cookies[flow] = seal_cookie(self._sealer, cookie)
        return self._numbers[endpoint.address]

    def route(self, flow: int, view: View, first: int, chance: random.Random) -> int:
        """Choose for a later packet, by what its caller echoes."""
        cookie = parse_cookie(self._sealer, self._cookies[flow])
        return self._numbers[cookie.endpoint]

    def closed(self, flow: int) -> None:
        """Forget a flow."""
        self._flows.remove(flow, None)
        del self._cookies[flow]
