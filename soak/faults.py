"""Faults, each an action with a beginning and an end."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from itertools import product

from soak.backend import BackendServer
from soak.fleet import Fleet, Machine
from soak.mesh import Mesh
from soak.operator import Operator
from soak.promises import Promises

#: Least time between two losses of disks: the first one's instance votes again by then.
_BETWEEN_DISKS_S = 15.0

#: Planned work, which disturbs no promise.
_PLANNED = {"replace a server", "race changes", "resend a change"}
#: Failure domains that can be evacuated: the third has all servers of a service.
_EMPTIED_DOMAINS = ("domain-1", "domain-2")
#: A restart by a supervisor that does not wait.
_AT_ONCE_S = 0.05
#: Fields of reports that no server sends; an empty text leaves the field out.
_FOREIGN: tuple[dict[str, object], ...] = (
    {"state": "gone"},
    {"state": True},
    {"capacity": "2"},
    {"sequence": 1 << 70},
    {"born": 17.5},
    {"born": True},
    {"address": ""},
    {"zone": 7},
    {"service": ["alpha"]},
)

Fault = Callable[[], Awaitable[None]]


class FaultMaker:
    """Draws faults and lets them happen.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    mesh : Mesh
        What is between them.
    servers : list of BackendServer
        The backend servers.
    operator : Operator
        Sends changes meanwhile.
    promises : Promises
        Told when a fault begins and ends.
    seed : int
        Of every draw.
    """

    def __init__(
        self,
        fleet: Fleet,
        mesh: Mesh,
        servers: list[BackendServer],
        operator: Operator,
        promises: Promises,
        seed: int,
    ):
        self._fleet = fleet
        self._mesh = mesh
        self._servers = servers
        self._operator = operator
        self._promises = promises
        self._random = random.Random(seed)
        #: Draws of its own, so that seeds still draw the faults that they drew.
        self._restarts = random.Random(f"restarts {seed}")
        self._evacuations = random.Random(f"evacuations {seed}")
        self._disk_lost_s = float("-inf")
        self.counts: dict[str, int] = {}
        self._faults: dict[str, Fault] = {
            "kill": self._kill,
            "kill many": self._kill_many,
            "kill all control": self._kill_all_control,
            "freeze": self._freeze,
            "stop": self._stop,
            "rolling stop": self._rolling_stop,
            "lose a disk": self._lose_disk,
            "full disk": self._fill_disk,
            "cut a domain": self._cut_domain,
            "cut one way": self._cut_one_way,
            "split control": self._split_control,
            "delay": self._delay,
            "lose datagrams": self._lose_datagrams,
            "reset connections": self._reset_connections,
            "change settings": self._change_settings,
            "crash a server": self._crash_server,
            "replace a server": self._replace_server,
            "race changes": self._operator.race,
            "resend a change": self._operator.resend_older,
        }

    async def draw(self) -> None:
        """Let one fault happen from its beginning to its end."""
        name = self._random.choice(list(self._faults))
        self.counts[name] = self.counts.get(name, 0) + 1
        if name in _PLANNED:
            await self._faults[name]()
            return
        mark = f"{name} {sum(self.counts.values())}"
        self._promises.begin(mark)
        try:
            await self._faults[name]()
        finally:
            self._promises.end(mark)

    def _some_s(self) -> float:
        return self._random.uniform(0.5, 5.0)

    def _machine(self, role: str = "") -> Machine:
        role = role or self._random.choice(("entry", "control"))
        return self._random.choice(self._fleet.of_role(role))

    # -- processes ----------------------------------------------------------------

    async def _kill(self) -> None:
        self._fleet.send(self._machine(), signal.SIGKILL)

    async def _kill_many(self) -> None:
        for machine in self._fleet.machines.values():
            if self._random.random() < 0.6:
                self._fleet.send(machine, signal.SIGKILL)

    async def _kill_all_control(self) -> None:
        for machine in self._fleet.of_role("control"):
            self._fleet.send(machine, signal.SIGKILL)

    async def _freeze(self) -> None:
        machine = self._machine()
        self._fleet.send(machine, signal.SIGSTOP)
        process = machine.process
        await asyncio.sleep(self._some_s())
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)
        machine.stopped = False

    async def _stop(self) -> None:
        self._fleet.send(self._machine(), signal.SIGTERM)
        await asyncio.sleep(2.0)

    async def _rolling_stop(self) -> None:
        for machine in self._fleet.of_role("entry"):
            self._fleet.send(machine, signal.SIGTERM)
            await asyncio.sleep(1.2)
        await asyncio.sleep(3.0)

    async def _change_settings(self) -> None:
        self._random.shuffle(self._fleet.seeds)
        for machine in self._fleet.machines.values():
            if self._random.random() < 0.5:
                self._fleet.write_settings(machine)
                self._fleet.send(machine, signal.SIGHUP)

    # -- disks --------------------------------------------------------------------

    async def _lose_disk(self) -> None:
        since_s = self._promises.now_s() - self._disk_lost_s
        if since_s < _BETWEEN_DISKS_S:
            return
        self._disk_lost_s = self._promises.now_s()
        await self._fleet.lose_disk(self._machine("control"))

    async def _fill_disk(self) -> None:
        machine = self._machine("control")
        self._fleet.limit_disk(machine, 0)
        await asyncio.sleep(self._some_s())
        self._fleet.limit_disk(machine, 1 << 40)

    # -- the network between instances --------------------------------------------

    async def _cut(self, pairs: set[tuple[int, int]]) -> None:
        self._mesh.faults.cut |= pairs
        await asyncio.sleep(self._some_s())
        self._mesh.faults.cut -= pairs

    async def _cut_domain(self) -> None:
        domain = self._machine().failure_domain
        machines = self._fleet.machines.values()
        inside = [one.number for one in machines if one.failure_domain == domain]
        outside = [one.number for one in machines if one.failure_domain != domain]
        await self._cut({*product(inside, outside), *product(outside, inside)})

    async def _cut_one_way(self) -> None:
        number = self._machine().number
        others = [one for one in self._fleet.machines if one != number]
        await self._cut(set(product([number], others)))

    async def _split_control(self) -> None:
        numbers = [one.number for one in self._fleet.of_role("control")]
        self._random.shuffle(numbers)
        half = len(numbers) // 2
        one, other = numbers[:half], numbers[half:]
        await self._cut({*product(one, other), *product(other, one)})

    async def _delay(self) -> None:
        number = self._machine().number
        pairs = [(number, other) for other in self._fleet.machines]
        self._mesh.faults.delay_s.update(dict.fromkeys(pairs, 0.15))
        await asyncio.sleep(self._some_s())
        for pair in pairs:
            self._mesh.faults.delay_s.pop(pair, None)

    async def _lose_datagrams(self) -> None:
        self._mesh.faults.loss_ratio = 0.2
        await asyncio.sleep(self._some_s())
        self._mesh.faults.loss_ratio = 0.0

    async def _reset_connections(self) -> None:
        self._mesh.reset_connections(self._random.choice((0.3, 1.0)))

    # -- backend servers ----------------------------------------------------------

    async def _crash_server(self) -> None:
        server = self._random.choice(self._servers)
        if not server.alive or server.draining:
            return
        server.crash()
        gone_s = self._some_s()
        is_back_at_once = self._restarts.random() < 0.5
        await asyncio.sleep(_AT_ONCE_S if is_back_at_once else gone_s)
        await server.start(keeps_id=self._restarts.random() < 0.5)

    async def send_foreign(self) -> None:
        """Let another writer report under a server's id, which disturbs nothing."""
        server = self._restarts.choice(self._servers)
        if not server.alive:
            return
        self.counts["foreign reports"] = self.counts.get("foreign reports", 0) + 1
        for fields in _FOREIGN:
            await server.send_foreign(**fields)

    async def evacuate(self) -> str:
        """Evacuate a failure domain, which is planned work; return its name."""
        domain = self._evacuations.choice(_EMPTIED_DOMAINS)
        self.counts["evacuate"] = self.counts.get("evacuate", 0) + 1
        await asyncio.sleep(self._evacuations.uniform(0.0, 2.0))
        await self._operator.evacuate(domain)
        return domain

    async def _replace_server(self) -> None:
        server = self._random.choice(self._servers)
        if not server.alive or server.draining:
            return
        await server.leave(self._random.uniform(0.0, 2.0))
        await asyncio.sleep(2.0)
        await server.start()
