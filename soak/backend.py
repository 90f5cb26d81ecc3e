"""Simulates a backend server: sends status reports, serves flows, stops or crashes."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping

from agatethread.settings import parse_address
from soak.addresses import Addresses, parse_number
from soak.fleet import REPORT_INTERVAL_S
from soak.open_flows import FlowKey, OpenFlows
from soak.promise_monitor import PromiseMonitor
from soak.wire import (
    ACK,
    FIN,
    RST,
    SYN,
    Segment,
    call,
    decode_for_run,
    encode,
    encode_json,
)

#: Time after an acknowledged drain within which new flows may still arrive.
DRAIN_LIMIT_S = 3.0

#: Time after an acknowledged evacuation within which new flows may still arrive.
EVACUATION_LIMIT_S = 2.0

#: Time that a request takes, and the share of requests that begin a pause of the
#: server, in which it answers nobody.
_MEAN_WORK_S = 0.02
_MAX_WORK_S = 0.14
_PAUSE_PROBABILITY = 0.01
_MAX_PAUSE_S = 0.45

#: Time from the end of a run, as it reports it, until its process is gone: with an
#: answer to the report, and without one.
_MAX_EXIT_S = 0.4
_UNANSWERED_EXIT_S = (1.0, 6.0)
_END_UNANSWERED_PROBABILITY = 0.4
#: Share of the leaving servers that refuse connections while they still serve.
_STOPS_LISTENING_PROBABILITY = 0.3


class BackendServer(asyncio.DatagramProtocol):
    """A backend server at an address; each start is a new run.

    Parameters
    ----------
    number : int
        Number of the server, which determines its address and failure domain.
    service : str
        The service that it serves.
    addresses : Addresses
        Addresses of the run.
    control_addresses : callable
        Returns the API addresses of the control instances.
    is_allowed : callable
        Returns whether any configuration routed a destination to a service.
    evacuated_s : mapping of str to float
        Time at which an evacuation was acknowledged, by failure domain.
    promises : PromiseMonitor
        Records breaches.
    open_flows : OpenFlows
        Checks the flows that are open at any server.
    reports_start : bool, optional
        Whether its reports contain the start time of the run.
    """

    def __init__(
        self,
        number: int,
        service: str,
        addresses: Addresses,
        control_addresses: Callable[[], list[str]],
        is_allowed: Callable[[str, tuple[int, int]], bool],
        evacuated_s: Mapping[str, float],
        promises: PromiseMonitor,
        open_flows: OpenFlows,
        reports_start: bool = True,
    ):
        self.number = self._address_number = number
        self.failure_domain = f"domain-{number % 3}"
        self._evacuated_s = evacuated_s
        self.service = service
        self._addresses = addresses
        self._control_addresses = control_addresses
        self._is_allowed = is_allowed
        self._promises = promises
        self._open_flows = open_flows
        self._transport: asyncio.DatagramTransport | None = None
        self._report_task: asyncio.Task | None = None
        self._flows: dict[FlowKey, int] = {}
        self.run_id = ""
        self._sequence = 0
        self._started_ms = 0
        self._reports_start = reports_start
        self._random = random.Random(number)
        self._exit_random = random.Random(f"exits {number}")
        #: Time until which a short pause of the server lasts.
        self._paused_until_s = 0.0
        self._listener: asyncio.Server | None = None
        self.alive = False
        self.draining = False
        self.drain_acknowledged_s = float("inf")
        self.started_s = 0.0
        self.opened_flow_count = 0

    @property
    def name(self) -> str:
        """Return the name of the server."""
        return f"server-{self.number}"

    @property
    def host(self) -> str:
        """Return the address of the server."""
        return self._addresses.server(self._address_number)

    def swap_address(self, other: "BackendServer") -> None:
        """Exchange the addresses of two servers that are down."""
        numbers = other._address_number, self._address_number
        self._address_number, other._address_number = numbers

    @property
    def _address(self) -> str:
        return f"{self.host}:{self._addresses.servers}"

    async def start(self, keep_id: bool = False) -> None:
        """Start a new run with a new id, or with the previous one."""
        if not keep_id:
            self.run_id = f"i-{secrets.token_hex(5)}"
        self._sequence = 0
        self._started_ms = max(self._started_ms + 1, time.time_ns() // 1_000_000)
        self.draining = False
        self.drain_acknowledged_s = float("inf")
        self._flows.clear()
        self._listener = await asyncio.start_server(
            lambda _, writer: writer.close(), *parse_address(self._address)
        )
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=parse_address(self._address)
        )
        self.alive = True
        self.started_s = self._promises.now_s()
        self._report_task = asyncio.ensure_future(self._report_periodically())

    def crash(self) -> None:
        """Stop without a report."""
        if not self.alive:
            return
        self.alive = False
        self._open_flows.record_exit(self)
        self._report_task.cancel()
        self._transport.close()
        self._listener.close()

    async def drain_and_stop(self, linger_s: float) -> None:
        """Drain, keep serving for some time, report the end of the run and exit later.

        The process is gone some time after the answer to its report, or seconds later
        if the answer is lost; it serves its flows until then.
        """
        self.draining = True
        for _ in range(20):
            if await self._send_report(0.0):
                self.drain_acknowledged_s = self._promises.now_s()
                break
            await asyncio.sleep(0.3)
        if self._exit_random.random() < _STOPS_LISTENING_PROBABILITY:
            self._listener.close()
        await asyncio.sleep(DRAIN_LIMIT_S + linger_s)
        if await self._report_end():
            await asyncio.sleep(self._exit_random.uniform(0.0, _MAX_EXIT_S))
        else:
            await asyncio.sleep(self._exit_random.uniform(*_UNANSWERED_EXIT_S))
        self.crash()

    async def _report_end(self) -> bool:
        """Report the end of the run; return whether an answer came back."""
        is_answer_lost = self._exit_random.random() < _END_UNANSWERED_PROBABILITY
        for address in self._control_addresses():
            reply = await call(address, "DELETE", f"/api/endpoints/{self.run_id}")
            if reply.status // 100 == 2 and not is_answer_lost:
                return True
        return False

    async def _report_periodically(self) -> None:
        while True:
            await self._send_report(0.0)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _make_status(self, warm_up_s: float) -> dict[str, object]:
        status = {
            "service": self.service,
            "address": self._address,
            "zone": self.failure_domain,
            "version": "v1",
            "capacity": 2,
            "state": "draining" if self.draining else "ready",
            "warmup_remaining_ms": int(warm_up_s * 1000),
            "sequence": self._sequence,
        }
        return status | ({"born": self._started_ms} if self._reports_start else {})

    async def send_invalid_report(self, **fields: object) -> None:
        """Send an invalid report with this server's id and check its rejection."""
        status = self._make_status(0.0) | {"sequence": self._sequence + 1_000} | fields
        body = encode_json(
            {name: value for name, value in status.items() if value != ""}
        )
        address = self._control_addresses()[0]
        reply = await call(address, "PUT", f"/api/endpoints/{self.run_id}", body)
        if reply.status // 100 == 2:
            detail = f"{self.run_id} {fields}"
            self._promises.record_breach(
                "reports of another writer are refused", detail
            )

    async def _send_report(self, warm_up_s: float) -> bool:
        self._sequence += 1
        body = encode_json(self._make_status(warm_up_s))
        for address in self._control_addresses():
            reply = await call(address, "PUT", f"/api/endpoints/{self.run_id}", body)
            if reply.status // 100 == 2:
                return True
        return False

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram from an entry instance."""
        run_number, segment = decode_for_run(data)
        if not self.alive:
            return
        key = (segment.source, segment.target)
        self._open_flows.check_arrival(key, self, f"entry-{parse_number(addr[0])}")
        if run_number not in (0, int(self.run_id[2:], 16)):
            return
        if not self._is_allowed(self.service, segment.target):
            self._promises.record_breach(
                "no packet reaches another service",
                f"{self.service} got one for {segment.target}",
            )
        if segment.flags & SYN:
            self._handle_opening(segment)
        else:
            self._handle_segment(segment)

    def _handle_opening(self, segment: Segment) -> None:
        key = (segment.source, segment.target)
        late_s = self._promises.now_s() - self.drain_acknowledged_s - DRAIN_LIMIT_S
        if late_s > 0 and key not in self._flows and self._promises.is_calm():
            self._promises.record_breach(
                "no new flow after a drain is known",
                f"{self.run_id} {late_s:.1f} s late",
            )
        self._check_evacuation(key)
        self._flows.setdefault(key, secrets.randbits(31))
        self.opened_flow_count += 1
        self._send(segment, SYN | ACK, b"")

    def _check_evacuation(self, key: FlowKey) -> None:
        acknowledged_s = self._evacuated_s.get(self.failure_domain, float("inf"))
        late_s = self._promises.now_s() - acknowledged_s - EVACUATION_LIMIT_S
        if late_s > 0 and key not in self._flows and self._promises.is_calm():
            self._promises.record_breach(
                "no new flow in an evacuated domain",
                f"{self.run_id} in {self.failure_domain} {late_s:.1f} s late",
            )

    def _handle_segment(self, segment: Segment) -> None:
        key = (segment.source, segment.target)
        if key not in self._flows:
            if not segment.flags & RST:
                self._send(segment, RST, b"")
            return
        if segment.flags & (FIN | RST):
            del self._flows[key]
            self._open_flows.record_close(key, self)
            return
        self._open_flows.record_own_packet(key, self)
        if segment.payload:
            payload = segment.payload + f" {self.service} {self.run_id}".encode()
            delay_s = self._draw_work_s()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._answer, segment, payload, self.started_s)

    def _draw_work_s(self) -> float:
        """Return the time until an answer; a sound server pauses now and then."""
        now_s = self._promises.now_s()
        is_paused = now_s < self._paused_until_s
        if not is_paused and self._random.random() < _PAUSE_PROBABILITY:
            self._paused_until_s = now_s + self._random.uniform(0.2, _MAX_PAUSE_S)
        work_s = min(self._random.expovariate(1 / _MEAN_WORK_S), _MAX_WORK_S)
        return max(self._paused_until_s - now_s, 0.0) + work_s

    def _answer(self, segment: Segment, payload: bytes, started_s: float) -> None:
        """Send an answer unless the run has ended meanwhile."""
        if self.alive and self.started_s == started_s:
            self._send(segment, ACK, payload)

    def _send(self, segment: Segment, flags: int, payload: bytes) -> None:
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
