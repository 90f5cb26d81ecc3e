"""Stand-ins of clients, endpoints and routes, as the platform's pages describe them."""

import asyncio
import json
import random
import secrets
import struct
import time
from collections.abc import Sequence
from dataclasses import dataclass

from harness import Record, call

#: Fields: echo, src, sport, dport, dst, flags, pad, len, sum, seq, ack.
_HEADER = struct.Struct("!IIHHIBBHIII")
_RUN_NUMBER = struct.Struct("!Q")
SYN, RST, ACK, FIN = 1, 8, 16, 32
#: Times after which a client sends copies of its opening packet, and gives up.
_COPY_TIMES_S = (0.2, 0.6)
_OPEN_TIMEOUT_S = 1.4
_HEARTBEAT_INTERVAL_S = 1.2
_REQUEST_TIMEOUT_S = 1.2

Key = tuple[int, int, int, int]


@dataclass(frozen=True, slots=True)
class Packet:
    """A decoded packet."""

    echo: int
    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int
    ack: int
    data: bytes = b""

    @property
    def key(self) -> Key:
        """The four addresses and ports."""
        return (self.src, self.sport, self.dst, self.dport)


def encode(packet: Packet) -> bytes:
    """Encode a packet; the stand-ins use no keyed sum."""
    fields = (packet.echo, packet.src, packet.sport, packet.dport, packet.dst)
    rest = (packet.flags, 0, len(packet.data), 0, packet.seq, packet.ack)
    return _HEADER.pack(*fields, *rest) + packet.data


def decode(data: bytes) -> Packet:
    """Decode a packet."""
    echo, src, sport, dport, dst, flags, _, _, _, seq, ack = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    return Packet(echo, src, sport, dst, dport, flags, seq, ack, body)


def to_number(host: str) -> int:
    """Return an IPv4 address as a number."""
    first, second, third, fourth = (int(part) for part in host.split("."))
    return first << 24 | second << 16 | third << 8 | fourth


def to_host(number: int) -> str:
    """Return the text of an IPv4 address."""
    return ".".join(str(part) for part in number.to_bytes(4, "big"))


def make_config(
    version: int, service_by_route: dict[tuple[str, int], str], services: Sequence[str]
) -> bytes:
    """Return the body of a configuration."""
    routes = [
        {
            "name": f"r-{port}",
            "host": host,
            "path_prefix": f"/{port}/",
            "route_type": "idempotent",
            "timeout_ms": 1_200,
            "target_latency_ms": 120,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }
        for (host, port), service in service_by_route.items()
    ]
    entries = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 2_000,
            "protocol": "h1",
            "tls_enabled": False,
        }
        for name in services
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 262_144,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    body = {"version": version, "routes": routes, "services": entries, "limits": limits}
    return json.dumps(body).encode()


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint that reports its state, and answers each request after some time.

    Parameters
    ----------
    name, service, zone : str
        Name in the record, service and zone.
    host : str
        Address of the endpoint.
    port, clients_port : int
        Ports of the endpoint, and of all clients.
    control_addresses : sequence of str
        Addresses of the control API; the next one is called after a failure.
    record : Record
        Receives reports that were not acknowledged.
    work_s : float, optional
        Time that a request takes.
    has_born : bool, optional
        Whether its reports hold `born`, the time of its start.
    rotates : bool, optional
        Whether each report goes to the next control instance.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        clients_port: int,
        control_addresses: Sequence[str],
        record: Record,
        work_s: float = 0.02,
        has_born: bool = True,
        rotates: bool = False,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self._host, self._port, self._clients_port = host, port, clients_port
        self._controls = list(control_addresses)
        self._record = record
        self._work_s = work_s
        self._has_born = has_born
        self._rotates = rotates
        self.instance_id = f"i-{secrets.token_hex(4)}"
        self._number = int(self.instance_id[2:], 16)
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._flows: dict[Key, int] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._listener: asyncio.Server | None = None
        self._heartbeat: asyncio.Task | None = None
        #: Time at which its last acknowledged report was sent.
        self.reported_s = 0.0

    async def start(self) -> None:
        """Start to serve and to report."""
        loop = asyncio.get_running_loop()
        address = (self._host, self._port)
        self._listener = await asyncio.start_server(_close, *address)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self._heartbeat = asyncio.ensure_future(self._report_periodically())

    def stop(self) -> None:
        """Stop at once."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
            self._transport.close()
            self._listener.close()

    async def _report_periodically(self) -> None:
        while True:
            await self._report()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    def holds(self, key: Key) -> bool:
        """Return whether it holds a flow."""
        return key in self._flows

    def make_report(self) -> tuple[str, bytes]:
        """Return path and body of the next report."""
        self._sequence += 1
        status = {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 2,
            "state": "ready",
            "warmup_remaining_ms": 0,
            "sequence": self._sequence,
        }
        if self._has_born:
            status["born"] = self._born_ms
        return f"/api/endpoints/{self.instance_id}", json.dumps(status).encode()

    async def _report(self) -> None:
        """Send a report; after a failure call the next control instance."""
        for _ in range(len(self._controls)):
            sent_s = self._record.now_s()
            path, body = self.make_report()
            reply = await call(self._controls[0], "PUT", path, body)
            is_acknowledged = reply.status // 100 == 2
            if not is_acknowledged:
                self._record.add(f"{self.name}: no answer from {self._controls[0]}")
            if self._rotates or not is_acknowledged:
                self._controls.append(self._controls.pop(0))
            if is_acknowledged:
                self.reported_s = sent_s
                return

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of an entry machine."""
        (number,) = _RUN_NUMBER.unpack_from(data)
        if number not in (0, self._number):
            return
        packet = decode(data[_RUN_NUMBER.size :])
        if packet.flags & SYN:
            seq = self._flows.setdefault(packet.key, secrets.randbits(31))
            self._send(packet, SYN | ACK, seq, packet.seq + 1)
        elif packet.key not in self._flows:
            if not packet.flags & RST:
                self._send(packet, RST, packet.ack, 0)
        elif packet.flags & (FIN | RST):
            del self._flows[packet.key]
            if packet.flags & FIN:
                self._send(packet, FIN | ACK, packet.ack, packet.seq + 1)
        elif packet.data:
            loop = asyncio.get_running_loop()
            loop.call_later(self._work_s, self._answer, packet)

    def _answer(self, packet: Packet) -> None:
        if self._transport.is_closing():
            return
        body = f"{self.service} {self.name}".encode()
        end = packet.seq + len(packet.data)
        self._send(packet, ACK, packet.ack, end, body)

    def _send(
        self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        answer = Packet(
            packet.echo,
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            seq,
            ack,
            data,
        )
        target = (to_host(packet.src), self._clients_port)
        self._transport.sendto(encode(answer), target)


def _close(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _next_answer(queue: asyncio.Queue[Packet]) -> Packet:
    """Return the next packet that is no answer to a copy of the opening packet."""
    while (packet := await queue.get()).flags & SYN:
        continue
    return packet


@dataclass(slots=True)
class OpenFlow:
    """A flow that a client keeps open, and the reset that it got, if any."""

    key: Key
    queue: asyncio.Queue[Packet]
    echo: int = 0
    seq: int = 2
    ack: int = 0
    #: Name of the endpoint, from its first answer.
    endpoint: str = ""
    last_packet_s: float = 0.0
    reset_s: float = 0.0
    #: Host that sent the reset.
    reset_by: str = ""


class Client(asyncio.DatagramProtocol):
    """A client that keeps flows open.

    Parameters
    ----------
    host : str
        Address of the client.
    port : int
        Port at which all clients receive.
    entry : tuple of (str, int)
        Address of the entry machine that takes its packets.
    record : Record
        Clock of the run.
    """

    def __init__(
        self,
        host: str,
        port: int,
        entry: tuple[str, int],
        record: Record,
    ):
        self._number = to_number(host)
        self._address = (host, port)
        self._entry = entry
        self._record = record
        self._next_port = random.randrange(10_000, 30_000)
        self._flows: dict[Key, asyncio.Queue[Packet]] = {}
        self._open_flows: dict[Key, OpenFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        packet = decode(data)
        key = (packet.dst, packet.dport, packet.src, packet.sport)
        open_flow = self._open_flows.get(key)
        if open_flow is not None and packet.flags & RST and not open_flow.reset_by:
            open_flow.reset_s, open_flow.reset_by = self._record.now_s(), addr[0]
        queue = self._flows.get(key)
        if queue is not None:
            queue.put_nowait(packet)

    async def open_flow(self, route: tuple[str, int]) -> OpenFlow | None:
        """Open a flow, send a request on it and keep it open; None if that failed."""
        key = self._make_key(route)
        flow = OpenFlow(key, asyncio.Queue())
        self._flows[key] = flow.queue
        opened = await self._open(key, flow.queue)
        if opened is None or opened.flags & RST:
            return None
        flow.echo, flow.ack = opened.echo, opened.seq + 1
        self._open_flows[key] = flow
        return flow if await self.request_on(flow) else None

    async def request_on(self, flow: OpenFlow) -> bool:
        """Send a request on an open flow; return whether it was answered."""
        data = b"request"
        flow.last_packet_s = self._record.now_s()
        self._send(flow.key, ACK, flow.seq, flow.ack, flow.echo, data)
        try:
            answer = await asyncio.wait_for(
                _next_answer(flow.queue), _REQUEST_TIMEOUT_S
            )
        except TimeoutError:
            return False
        if answer.flags & RST:
            return False
        flow.seq += len(data)
        flow.ack += len(answer.data)
        flow.echo = answer.echo
        flow.endpoint = answer.data.decode().split(" ", 1)[1]
        self._send(flow.key, ACK, flow.seq, flow.ack, flow.echo)
        return True

    def _make_key(self, route: tuple[str, int]) -> Key:
        self._next_port += 1
        return (self._number, self._next_port, to_number(route[0]), route[1])

    async def _open(self, key: Key, queue: asyncio.Queue[Packet]) -> Packet | None:
        started_s = self._record.now_s()
        for copy, until_s in enumerate((*_COPY_TIMES_S, _OPEN_TIMEOUT_S)):
            self._send(key, SYN, 1, copy, 0)
            rest_s = started_s + until_s - self._record.now_s()
            try:
                return await asyncio.wait_for(queue.get(), max(0.0, rest_s))
            except TimeoutError:
                continue
        return None

    def _send(
        self, key: Key, flags: int, seq: int, ack: int, echo: int, data: bytes = b""
    ) -> None:
        packet = Packet(echo, *key, flags, seq, ack, data)
        self._transport.sendto(encode(packet), self._entry)
