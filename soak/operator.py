"""Simulates an operator, who changes configurations and evacuations and reads them."""

import asyncio
import random
from collections.abc import Callable

from soak.promise_monitor import PromiseMonitor
from soak.wire import call, encode_json, host_number

#: Limit for the acknowledgement of a change without faults.
ACK_LIMIT_S = 5.0
#: Retry period of a change, after which it may or may not be in force.
_RETRY_PERIOD_S = 12.0
_READ_INTERVAL_S = 0.3
#: Destinations that all versions route to a service.
BASE_ROUTES = {
    ("198.18.0.1", 443): "alpha",
    ("198.18.0.1", 8_080): "beta",
}
_EXTRA_HOST = "198.18.7.1"
#: Makes a body of about 256 KiB.
_FILLING_HOST, _FILLING_COUNT = "198.18.8.1", 2_000

Target = tuple[int, int]


class Operator:
    """Sends changes and checks the configurations that it reads.

    Parameters
    ----------
    control_addresses : callable
        Returns the API addresses of the control instances, in any order.
    promises : PromiseMonitor
        Records breaches.
    seed : int
        Seed of the random numbers.
    """

    def __init__(
        self,
        control_addresses: Callable[[], list[str]],
        promises: PromiseMonitor,
        seed: int,
    ):
        self._control_addresses = control_addresses
        self._promises = promises
        self._random = random.Random(seed)
        self._bodies: dict[int, set[bytes]] = {}
        self._bodies_read: dict[int, bytes] = {}
        self._next_version = 1
        self.acknowledged_version = 0
        self.change_count = 0
        self.read_count = 0
        #: Time at which an evacuation was acknowledged, by failure domain.
        self.evacuated_s: dict[str, float] = {}

    def targets(self) -> dict[Target, str]:
        """Return the destinations that all versions have, with their services."""
        return {
            (host_number(host), port): service
            for (host, port), service in BASE_ROUTES.items()
        }

    def can_route(self, service: str, target: Target) -> bool:
        """Return whether any version can route a destination to a service."""
        if target[0] == host_number(_EXTRA_HOST):
            return service == "alpha"
        return self.targets().get(target) == service

    @staticmethod
    def extra_target(version: int) -> Target:
        """Return the destination that a version has and its predecessor lacks."""
        return (host_number(_EXTRA_HOST), 1_000 + version % 50_000)

    async def change(self) -> int:
        """Send a new version until it is acknowledged; return it, or 0 on failure."""
        version = self._draw_version()
        body = self._make_body(version)
        return version if await self._send_change(version, body) else 0

    async def change_much(self) -> None:
        """Send a small new version and one of the largest size, one after the other."""
        await self.change()
        version = self._draw_version()
        await self._send_change(version, self._make_body(version, _FILLING_COUNT))

    async def race(self) -> None:
        """Send two bodies with the same version concurrently."""
        version = self._draw_version()
        bodies = [self._make_body(version), self._make_body(version)]
        await asyncio.gather(*(self._send_change(version, body) for body in bodies))

    async def resend_older(self) -> None:
        """Resend an older version, which is acknowledged and changes nothing."""
        older = [
            version for version in self._bodies if version < self.acknowledged_version
        ]
        if older:
            version = self._random.choice(older)
            body = self._random.choice(sorted(self._bodies[version]))
            await self._send_change(version, body)

    def _draw_version(self) -> int:
        version = self._next_version
        self._next_version += self._random.choice((1, 1, 2, 5))
        return version

    def _make_body(self, version: int, filling_count: int = 0) -> bytes:
        routes = [
            self._route(host, port, service)
            for (host, port), service in BASE_ROUTES.items()
        ]
        routes.append(self._route(_EXTRA_HOST, self.extra_target(version)[1], "alpha"))
        # Routes that nobody uses; they make the body large.
        routes += [
            self._route(_FILLING_HOST, 1 + number, "alpha")
            for number in range(filling_count)
        ]
        services = [{"name": name} for name in ("alpha", "beta")]
        body = encode_json({"version": version, "routes": routes, "services": services})
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

    async def _send_change(self, version: int, body: bytes) -> bool:
        started_s = self._promises.now_s()
        was_calm = self._promises.is_calm()
        while self._promises.now_s() - started_s < _RETRY_PERIOD_S:
            for address in self._control_addresses():
                reply = await call(address, "PUT", "/api/config", body)
                if reply.status == 200:
                    self.acknowledged_version = max(self.acknowledged_version, version)
                    self.change_count += 1
                    return True
                if 400 <= reply.status < 500:
                    detail = f"version {version}: {reply.status}"
                    self._promises.record_breach(
                        "a valid change is never refused", detail
                    )
                    return False
            await asyncio.sleep(0.1)
            elapsed_s = self._promises.now_s() - started_s
            if was_calm and elapsed_s > ACK_LIMIT_S and self._promises.is_calm():
                detail = f"version {version} after {elapsed_s:.1f} s"
                self._promises.record_breach("a change is acknowledged in time", detail)
                return False
        return False

    async def evacuate(self, domain: str) -> bool:
        """Request an evacuation until it is acknowledged; return whether it was."""
        if not await self._send_evacuation("POST", domain):
            return False
        self.evacuated_s[domain] = self._promises.now_s()
        return True

    async def readmit(self, domain: str) -> None:
        """End an evacuation, retrying until it is acknowledged."""
        self.evacuated_s.pop(domain, None)
        while not await self._send_evacuation("DELETE", domain):
            continue

    async def _send_evacuation(self, method: str, domain: str) -> bool:
        deadline_s = self._promises.now_s() + _RETRY_PERIOD_S
        while self._promises.now_s() < deadline_s:
            for address in self._control_addresses():
                reply = await call(address, method, f"/api/evacuation/{domain}")
                if reply.status == 200:
                    return True
                if 400 <= reply.status < 500:
                    detail = f"{method} {domain}: {reply.status}"
                    self._promises.record_breach(
                        "a valid order is never refused", detail
                    )
                    return False
            await asyncio.sleep(0.1)
        return False

    async def run_reads(self) -> None:
        """Read from the control instances in turn until cancelled."""
        while True:
            for address in self._control_addresses():
                await self.read(address)
                await asyncio.sleep(_READ_INTERVAL_S)

    async def read(self, address: str) -> bool:
        """Read and check the configuration; return whether there was one."""
        min_version = self.acknowledged_version
        reply = await call(address, "GET", "/api/config")
        if reply.status != 200:
            return False
        self.read_count += 1
        version = next(
            (each for each, bodies in self._bodies.items() if reply.body in bodies), 0
        )
        if not version:
            self._promises.record_breach("what is read was sent", repr(reply.body[:80]))
        elif version < min_version:
            detail = f"{version} after {min_version} at {address}"
            self._promises.record_breach(
                "a read is never older than what was known", detail
            )
        elif self._bodies_read.setdefault(version, reply.body) != reply.body:
            self._promises.record_breach("a version has one winner", str(version))
        return True
