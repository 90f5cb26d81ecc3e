"""The operator: changes the configuration, races itself, and reads it back."""

import asyncio
import random
from collections.abc import Callable

from soak.promises import Promises
from soak.wire import call, host_number, to_json

#: An acknowledgement in calm times may take so long at most.
ACK_BOUND_S = 5.0
#: A change that nobody takes for so long is given up; it may or may not be in force.
_GIVE_UP_S = 12.0
_READ_PAUSE_S = 0.3
#: Destinations that always lead to a service.
BASE_ROUTES = {
    ("198.18.0.1", 443): "alpha",
    ("198.18.0.1", 8_080): "beta",
}
_EXTRA_HOST = "198.18.7.1"

Target = tuple[int, int]


class Operator:
    """Sends changes and checks what is read.

    Parameters
    ----------
    control : callable
        Lists addresses of control instances, in any order.
    promises : Promises
        Told of breaches.
    seed : int
        Of the changes.
    """

    def __init__(self, control: Callable[[], list[str]], promises: Promises, seed: int):
        self._control = control
        self._promises = promises
        self._random = random.Random(seed)
        self._bodies: dict[int, set[bytes]] = {}
        self._seen: dict[int, bytes] = {}
        self._next_version = 1
        self.acknowledged = 0
        self.change_count = 0
        self.read_count = 0
        #: When an evacuation was acknowledged, by failure domain.
        self.evacuated_s: dict[str, float] = {}

    def targets(self) -> dict[Target, str]:
        """List the destinations that every version has."""
        return {
            (host_number(host), port): service
            for (host, port), service in BASE_ROUTES.items()
        }

    def allows(self, service: str, target: Target) -> bool:
        """Tell whether any version ever led a destination to a service."""
        if target[0] == host_number(_EXTRA_HOST):
            return service == "alpha"
        return self.targets().get(target) == service

    @staticmethod
    def extra_target(version: int) -> Target:
        """Find the destination that a version has and the one before has not."""
        return (host_number(_EXTRA_HOST), 1_000 + version % 50_000)

    # -- changes ------------------------------------------------------------------

    async def change(self) -> int:
        """Send the next version until it is acknowledged; return it, or 0."""
        version = self._take_version()
        body = self._make_body(version)
        return version if await self._put(version, body) else 0

    async def race(self) -> None:
        """Send two bodies under one number at once."""
        version = self._take_version()
        bodies = [self._make_body(version), self._make_body(version)]
        await asyncio.gather(*(self._put(version, body) for body in bodies))

    async def resend_older(self) -> None:
        """Send an older version again; it changes nothing and is acknowledged."""
        older = [version for version in self._bodies if version < self.acknowledged]
        if older:
            version = self._random.choice(older)
            body = self._random.choice(sorted(self._bodies[version]))
            await self._put(version, body)

    def _take_version(self) -> int:
        version = self._next_version
        self._next_version += self._random.choice((1, 1, 2, 5))
        return version

    def _make_body(self, version: int) -> bytes:
        routes = [
            self._route(host, port, service)
            for (host, port), service in BASE_ROUTES.items()
        ]
        routes.append(self._route(_EXTRA_HOST, self.extra_target(version)[1], "alpha"))
        services = [{"name": name} for name in ("alpha", "beta")]
        body = to_json({"version": version, "routes": routes, "services": services})
        self._bodies.setdefault(version, set()).add(body)
        return body

    def _route(self, host: str, port: int, service: str) -> dict:
        return {
            "host": host,
            "path_prefix": f"/{port}/",
            "route_type": "idempotent" if service == "alpha" else "non_idempotent",
            "timeout_ms": self._random.randrange(500, 5_000),
            "service": service,
        }

    async def _put(self, version: int, body: bytes) -> bool:
        began_s = self._promises.now_s()
        was_calm = self._promises.is_calm()
        while self._promises.now_s() - began_s < _GIVE_UP_S:
            for address in self._control():
                reply = await call(address, "PUT", "/api/config", body)
                if reply.status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    self.change_count += 1
                    return True
                if 400 <= reply.status < 500:
                    detail = f"version {version}: {reply.status}"
                    self._promises.broken("a valid change is never refused", detail)
                    return False
            await asyncio.sleep(0.1)
            took_s = self._promises.now_s() - began_s
            if was_calm and took_s > ACK_BOUND_S and self._promises.is_calm():
                detail = f"version {version} after {took_s:.1f} s"
                self._promises.broken("a change is acknowledged in time", detail)
                return False
        return False

    # -- evacuations --------------------------------------------------------------

    async def evacuate(self, domain: str) -> bool:
        """Ask for an evacuation until it is acknowledged."""
        if not await self._order("POST", domain):
            return False
        self.evacuated_s[domain] = self._promises.now_s()
        return True

    async def readmit(self, domain: str) -> None:
        """Take an evacuation back, however long that takes."""
        self.evacuated_s.pop(domain, None)
        while not await self._order("DELETE", domain):
            continue

    async def _order(self, method: str, domain: str) -> bool:
        until_s = self._promises.now_s() + _GIVE_UP_S
        while self._promises.now_s() < until_s:
            for address in self._control():
                reply = await call(address, method, f"/api/evacuation/{domain}")
                if reply.status == 200:
                    return True
                if 400 <= reply.status < 500:
                    detail = f"{method} {domain}: {reply.status}"
                    self._promises.broken("a valid order is never refused", detail)
                    return False
            await asyncio.sleep(0.1)
        return False

    # -- reads --------------------------------------------------------------------

    async def run_reads(self) -> None:
        """Read from one instance after the other until cancelled."""
        while True:
            for address in self._control():
                await self.read(address)
                await asyncio.sleep(_READ_PAUSE_S)

    async def read(self, address: str) -> bool:
        """Read once; return whether the instance was sure."""
        newest = self.acknowledged
        reply = await call(address, "GET", "/api/config")
        if reply.status != 200:
            return False
        self.read_count += 1
        version = next(
            (one for one, bodies in self._bodies.items() if reply.body in bodies), 0
        )
        if not version:
            self._promises.broken("what is read was sent", repr(reply.body[:80]))
        elif version < newest:
            detail = f"{version} after {newest} at {address}"
            self._promises.broken("a read is never older than what was known", detail)
        elif self._seen.setdefault(version, reply.body) != reply.body:
            self._promises.broken("a version has one winner", str(version))
        return True
