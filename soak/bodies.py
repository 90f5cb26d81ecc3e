"""Sends invalid configurations of drawn shapes and sizes, several at once."""

import asyncio
import random
from collections.abc import Callable

from soak.operator import ACK_LIMIT_S
from soak.promise_monitor import PromiseMonitor
from soak.wire import call

#: Largest body of the deployments, and one over the limit of the API.
_BODY_BYTES = (64, 4_096, 65_536, 262_144, 262_144, 3 << 20)
#: Time for which a caller waits for the response to a large body.
_RESPONSE_TIMEOUT_S = 3.0
_ITEMS = ("{}", "[]", "1", "null", '""', "1e999", '{"":0}', '{"host":1}', "[[]]", "x")
_WRAPPERS = (
    '{"version":%d,"routes":[%s],"services":[{"name":"alpha"}]}',
    '{"version":%d,"services":[%s],"routes":[]}',
    '{"version":%d,"services":[],"routes":[{"host":"1.2.3.4","backends":[%s]}]}',
    '{"version":%d,"routes":[%s',
    '{"version":%d,"routes":{"x":[%s]},"services":[]}',
)


class InvalidBodies:
    """Sends invalid configurations, which must be refused and cost little.

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
        self._random = random.Random(f"bodies {seed}")
        self.count = 0

    async def send_some(self) -> None:
        """Send bodies to instances in turn until each is refused, some at once."""
        await asyncio.sleep(self._random.uniform(0.0, 3.0))
        bodies = [self._draw() for _ in range(self._random.choice((1, 4, 12)))]
        await asyncio.gather(*(self._send(body) for body in bodies))

    def _draw(self) -> bytes:
        size = self._random.choice(_BODY_BYTES)
        item = self._random.choice(_ITEMS)
        rows = ",".join([item] * max(1, size // (len(item) + 1)))
        version = self._random.choice((1, 1_000_000_000))
        return (self._random.choice(_WRAPPERS) % (version, rows)).encode()

    async def _send(self, body: bytes) -> None:
        self.count += 1
        was_calm = self._promises.is_calm()
        started_s = self._promises.now_s()
        status, elapsed_s = 0, 0.0
        while elapsed_s < ACK_LIMIT_S and not 400 <= status < 500:
            address = self._random.choice(self._control_addresses())
            reply = await call(
                address, "PUT", "/api/config", body, timeout_s=_RESPONSE_TIMEOUT_S
            )
            status = reply.status
            if status == 200:
                detail = f"{body[:60]!r}... of {len(body)} bytes"
                self._promises.record_breach("nothing invalid is accepted", detail)
                return
            await asyncio.sleep(0.05)
            elapsed_s = self._promises.now_s() - started_s
        if 400 <= status < 500 or not (was_calm and self._promises.is_calm()):
            return
        detail = f"{body[:60]!r}... of {len(body)} bytes: status {status}"
        self._promises.record_breach("what is invalid is refused in time", detail)
