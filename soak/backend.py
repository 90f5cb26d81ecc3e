"""A backend server of the platform: it reports, takes flows, ends in many ways."""

import asyncio
import secrets
import time
from collections.abc import Callable, Mapping

from agatethread.settings import parse_address
from soak.addresses import Addresses
from soak.fleet import REPORT_INTERVAL_S
from soak.promises import Promises
from soak.wire import (
    ACK,
    FIN,
    RST,
    SYN,
    Segment,
    call,
    decode_for_run,
    encode,
    to_json,
)

#: A drain is acknowledged; from then on so long at most new flows may still come.
DRAIN_BOUND_S = 3.0

#: The same for an evacuation.
EVACUATION_BOUND_S = 2.0

FlowKey = tuple[tuple[int, int], tuple[int, int]]


class BackendServer(asyncio.DatagramProtocol):
    """One backend server at an address; each start is a new run, of a new id or not.

    Parameters
    ----------
    number : int
        Of its address.
    service : str
        Its service.
    addresses : Addresses
        Of servers and callers.
    control : callable
        Lists addresses of control instances.
    allowed : callable
        Tells whether a service was ever allowed a destination.
    evacuated_s : mapping of str to float
        When an evacuation was acknowledged, by failure domain.
    promises : Promises
        Told of breaches.
    """

    def __init__(
        self,
        number: int,
        service: str,
        addresses: Addresses,
        control: Callable[[], list[str]],
        allowed: Callable[[str, tuple[int, int]], bool],
        evacuated_s: Mapping[str, float],
        promises: Promises,
    ):
        self.number = number
        self.failure_domain = f"domain-{number % 3}"
        self._evacuated_s = evacuated_s
        self.service = service
        self._addresses = addresses
        self._control = control
        self._allowed = allowed
        self._promises = promises
        self._transport: asyncio.DatagramTransport | None = None
        self._reporting: asyncio.Task | None = None
        self._flows: dict[FlowKey, int] = {}
        self.run_id = ""
        self._sequence = 0
        self._started_ms = 0
        self.alive = False
        self.draining = False
        self.drain_known_s = float("inf")
        self.started_s = 0.0
        self.taken_count = 0

    @property
    def _address(self) -> str:
        return f"{self._addresses.server(self.number)}:{self._addresses.servers}"

    # -- life ---------------------------------------------------------------------

    async def start(self, keeps_id: bool = False) -> None:
        """Start a new run, under a new id or the one before."""
        if not keeps_id:
            self.run_id = f"i-{secrets.token_hex(5)}"
        self._sequence = 0
        self._started_ms = max(self._started_ms + 1, time.time_ns() // 1_000_000)
        self.draining = False
        self.drain_known_s = float("inf")
        self._flows.clear()
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=parse_address(self._address)
        )
        self.alive = True
        self.started_s = self._promises.now_s()
        self._reporting = asyncio.ensure_future(self._report_on())

    def crash(self) -> None:
        """End without a word."""
        if not self.alive:
            return
        self.alive = False
        self._reporting.cancel()
        self._transport.close()

    async def leave(self, stay_s: float) -> None:
        """Drain, stay a little longer, say that it has ended, and end."""
        self.draining = True
        for _ in range(20):
            if await self._report(0.0):
                self.drain_known_s = self._promises.now_s()
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(DRAIN_BOUND_S + stay_s)
        for address in self._control():
            path = f"/api/endpoints/{self.run_id}"
            if (await call(address, "DELETE", path)).status // 100 == 2:
                break
        self.crash()

    async def _report_on(self) -> None:
        while True:
            await self._report(0.0)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _status(self, warm_up_s: float) -> dict[str, object]:
        return {
            "service": self.service,
            "address": self._address,
            "zone": self.failure_domain,
            "version": "v1",
            "capacity": 2,
            "state": "draining" if self.draining else "ready",
            "warmup_remaining_ms": int(warm_up_s * 1000),
            "sequence": self._sequence,
            "born": self._started_ms,
        }

    async def send_foreign(self, **fields: object) -> None:
        """Let another writer report under this server's id; it must be refused."""
        status = self._status(0.0) | {"sequence": self._sequence + 1_000} | fields
        body = to_json({name: value for name, value in status.items() if value != ""})
        address = self._control()[0]
        reply = await call(address, "PUT", f"/api/endpoints/{self.run_id}", body)
        if reply.status // 100 == 2:
            detail = f"{self.run_id} {fields}"
            self._promises.broken("reports of another writer are refused", detail)

    async def _report(self, warm_up_s: float) -> bool:
        self._sequence += 1
        body = to_json(self._status(warm_up_s))
        for address in self._control():
            reply = await call(address, "PUT", f"/api/endpoints/{self.run_id}", body)
            if reply.status // 100 == 2:
                return True
        return False

    # -- flows --------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram from an entry instance."""
        run, segment = decode_for_run(data)
        if not self.alive:
            return
        if run not in (0, int(self.run_id[2:], 16)):
            return
        if not self._allowed(self.service, segment.target):
            self._promises.broken(
                "no packet reaches another service",
                f"{self.service} got one for {segment.target}",
            )
        if segment.flags & SYN:
            self._open(segment)
        else:
            self._serve(segment)

    def _open(self, segment: Segment) -> None:
        key = (segment.source, segment.target)
        late_s = self._promises.now_s() - self.drain_known_s - DRAIN_BOUND_S
        if late_s > 0 and key not in self._flows and self._promises.is_calm():
            self._promises.broken(
                "no new flow after a drain is known",
                f"{self.run_id} {late_s:.1f} s late",
            )
        self._check_evacuation(key)
        self._flows.setdefault(key, secrets.randbits(31))
        self.taken_count += 1
        self._answer(segment, SYN | ACK, b"")

    def _check_evacuation(self, key: FlowKey) -> None:
        ordered_s = self._evacuated_s.get(self.failure_domain, float("inf"))
        late_s = self._promises.now_s() - ordered_s - EVACUATION_BOUND_S
        if late_s > 0 and key not in self._flows and self._promises.is_calm():
            self._promises.broken(
                "no new flow in an evacuated domain",
                f"{self.run_id} in {self.failure_domain} {late_s:.1f} s late",
            )

    def _serve(self, segment: Segment) -> None:
        key = (segment.source, segment.target)
        if key not in self._flows:
            if not segment.flags & RST:
                self._answer(segment, RST, b"")
            return
        if segment.flags & (FIN | RST):
            del self._flows[key]
            return
        if segment.payload:
            answer = segment.payload + f" {self.service} {self.run_id}".encode()
            self._answer(segment, ACK, answer)

    def _answer(self, segment: Segment, flags: int, payload: bytes) -> None:
        answer = Segment(
            label=segment.label,
            source=segment.target,
            target=segment.source,
            flags=flags,
            sequence=self._flows.get((segment.source, segment.target), 0),
            acknowledged=segment.sequence + len(segment.payload),
            payload=payload,
        )
        host = ".".join(str(part) for part in segment.source[0].to_bytes(4, "big"))
        self._transport.sendto(encode(answer), (host, self._addresses.datagrams))
