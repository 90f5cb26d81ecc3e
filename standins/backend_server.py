"""Stand-in backend server.

Supports slots, a connection limit, drain, cold start, shedding, deadlines, cancellation
and pushes on streams.
"""

import argparse
import asyncio
import json
import random
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

from agatethread.settings import parse_address
from agatethread.transfer import Assembler, FragmentSender, split_message
from agatethread.wire import Envelope, Kind, pack_address
from standins.announcer import Announcer
from standins.commands import serve_commands

Address = tuple[str, int]

_RESEND_INTERVAL_S = 0.3
#: Period in which an unacknowledged answer is resent.
_ANSWER_RESEND_PERIOD_S = 5.0
_STREAM_IDLE_S = 30.0
_SHED_RETRY_MS = 50
#: Time for which a server serves on after it has announced that it leaves.
_LINGER_S = 1.5


class _Stream:
    def __init__(self, label: bytes, cookie: bytes):
        self.label = label
        self.cookie = cookie
        self.sequence = 0
        self.unacknowledged: dict[int, bytes] = {}
        self.last_received_s = time.monotonic()


class BackendServer(asyncio.DatagramProtocol):
    """Serves a service at an address.

    Parameters
    ----------
    settings : dict
        ``name``, ``service``, ``failure_domain``, ``listen``, ``instances``, ``slots``,
        ``connection_limit``, ``service_time_ms``, ``push_interval_ms``,
        ``announce_interval_ms``, ``cold_start_s``, ``seed``, ``announce_key``;
        optionally ``linger_s``.
    """

    def __init__(self, settings: dict[str, Any]):
        self._settings = settings
        self._random = random.Random(settings["seed"])
        self._incarnation = time.time_ns()
        self._streams: dict[int, _Stream] = {}
        self._running: dict[tuple[bytes, int], asyncio.Task] = {}
        self._pending_answers: dict[tuple[bytes, int], tuple[list[bytes], float]] = {}
        self._outbox = FragmentSender()
        self._assembler = Assembler(time.monotonic, 256 << 20, 256 << 20)
        self._seen_requests: set[tuple[bytes, int]] = set()
        self._announcer = Announcer(
            settings,
            self._incarnation,
            lambda: (len(self._streams), len(self._running)),
            lambda data, target: self._transport.sendto(data, target),
        )
        self._draining = False
        self._started_s = time.monotonic()
        self._sheds_all = False
        self._new_work_times_s: list[float] = []
        self.runs: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore undeliverable datagrams."""

    def announce(self, leaving: bool = False) -> None:
        """Send an announcement to one or two entry instances."""
        self._announcer.announce(self._draining, leaving)

    async def announce_forever(self) -> None:
        """Send announcements periodically."""
        while True:
            self.announce()
            await asyncio.sleep(self._settings["announce_interval_ms"] / 1000)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a datagram."""
        envelope = Envelope.FromString(data)
        kind = envelope.kind
        if kind == Kind.MISSING:
            self._on_missing(envelope, addr)
            return
        if kind == Kind.RECEIVED:
            self._pending_answers.pop((envelope.operation_id, envelope.attempt), None)
            return
        if kind == Kind.ANNOUNCE_ACK:
            self._announcer.on_ack(envelope)
            return
        if envelope.service != self._settings["service"]:
            self.counts["misdelivered"] += 1
            return
        if envelope.incarnation != self._incarnation:
            self.counts["wrong_incarnation"] += 1
            return
        if kind == Kind.PROBE:
            reply = Envelope(
                kind=Kind.PROBE_ACK,
                sequence=envelope.sequence,
                incarnation=self._incarnation,
            )
            self._transport.sendto(reply.SerializeToString(), addr)
        elif kind == Kind.OPEN:
            self._on_open(envelope, addr)
        elif kind == Kind.REQUEST:
            self._on_request(envelope, addr)
        elif kind == Kind.CANCEL:
            self._on_cancel(envelope)
        elif envelope.flow_id in self._streams:
            self._on_stream(envelope, addr)
        elif kind != Kind.CLOSE:
            self.counts["unknown_flow"] += 1
            self._reply(envelope, addr, Kind.CLOSED)

    def _reply(
        self, envelope: Envelope, addr: Address, kind: int, **fields
    ) -> list[bytes]:
        reply = Envelope(
            kind=kind,
            service=envelope.service,
            flow_id=envelope.flow_id,
            operation_id=envelope.operation_id,
            attempt=envelope.attempt,
            return_label=envelope.return_label,
            cookie=envelope.cookie,
            **fields,
        )
        datagrams = split_message(reply)
        self._outbox.send_paced(
            datagrams, lambda data: self._transport.sendto(data, addr)
        )
        return datagrams

    def _on_open(self, envelope: Envelope, addr: Address) -> None:
        if envelope.flow_id not in self._streams:
            is_full = len(self._streams) >= self._settings["connection_limit"]
            if is_full:
                self.counts["over_connection_limit"] += 1
            if is_full or self._draining or self._sheds_all:
                self._reply(envelope, addr, Kind.SHED, retry_after_ms=_SHED_RETRY_MS)
                return
            self._new_work_times_s.append(time.time())
            self._streams[envelope.flow_id] = _Stream(
                envelope.return_label, envelope.cookie
            )
            self.counts["streams_opened"] += 1
        self._reply(envelope, addr, Kind.OPENED)

    def _on_stream(self, envelope: Envelope, addr: Address) -> None:
        stream = self._streams[envelope.flow_id]
        stream.last_received_s = time.monotonic()
        stream.label = envelope.return_label
        if envelope.kind == Kind.CLOSE:
            del self._streams[envelope.flow_id]
            self._reply(envelope, addr, Kind.CLOSED)
        elif envelope.kind == Kind.KEEPALIVE:
            for sequence in list(stream.unacknowledged):
                if sequence <= envelope.sequence:
                    del stream.unacknowledged[sequence]
            self._reply(envelope, addr, Kind.KEEPALIVE_ACK)
        elif envelope.kind == Kind.DATA:
            self.counts["data"] += 1

    async def push_forever(self) -> None:
        """Push a sequence number to all streams periodically."""
        while True:
            await asyncio.sleep(self._settings["push_interval_ms"] / 1000)
            for flow_id, stream in list(self._streams.items()):
                stream.sequence += 1
                stream.unacknowledged[stream.sequence] = str(stream.sequence).encode()
                self._push(flow_id, stream, stream.sequence)
                if time.monotonic() - stream.last_received_s > _STREAM_IDLE_S:
                    del self._streams[flow_id]
                    self.counts["streams_idle"] += 1

    async def resend_forever(self) -> None:
        """Resend unacknowledged answers and pushes through random instances."""
        while True:
            await asyncio.sleep(_RESEND_INTERVAL_S)
            self._resend_answers()
            for flow_id, stream in list(self._streams.items()):
                for sequence in list(stream.unacknowledged)[:8]:
                    if sequence < stream.sequence or len(stream.unacknowledged) == 1:
                        self._push(flow_id, stream, sequence)

    def _resend_answers(self) -> None:
        now_s = time.monotonic()
        for key, (answer, expiry_s) in list(self._pending_answers.items()):
            if expiry_s < now_s:
                del self._pending_answers[key]
                continue
            self._transport.sendto(
                answer[0], self._random.choice(self._announcer.instances)
            )

    def _on_missing(self, envelope: Envelope, addr: Address) -> None:
        answer, _ = self._pending_answers.get(
            (envelope.operation_id, envelope.attempt), ([], 0.0)
        )
        fragments = [answer[index] for index in envelope.missing if index < len(answer)]
        self._outbox.send_paced(
            fragments, lambda data: self._transport.sendto(data, addr)
        )

    async def request_missing_forever(self) -> None:
        """Request missing fragments of requests periodically."""
        while True:
            await asyncio.sleep(0.05)
            for partial, indices in self._assembler.collect_missing():
                missing = Envelope(
                    kind=Kind.MISSING,
                    service=partial.first_fragment.service,
                    operation_id=partial.first_fragment.operation_id,
                    return_label=partial.first_fragment.return_label,
                    missing=indices,
                )
                target = self._random.choice(self._announcer.instances)
                self._transport.sendto(missing.SerializeToString(), target)

    def _push(self, flow_id: int, stream: _Stream, sequence: int) -> None:
        push = Envelope(
            kind=Kind.PUSH,
            service=self._settings["service"],
            flow_id=flow_id,
            return_label=stream.label,
            sequence=sequence,
            payload=stream.unacknowledged[sequence],
        )
        target = self._random.choice(self._announcer.instances)
        self._transport.sendto(push.SerializeToString(), target)

    def _on_request(self, envelope: Envelope, addr: Address) -> None:
        key = (envelope.operation_id, envelope.attempt)
        if key in self._seen_requests:
            self.counts["copies"] += 1
            return
        request = self._assembler.add(key, pack_address(addr), envelope)
        if request is None:
            return
        envelope = request
        self._seen_requests.add(key)
        has_no_free_slot = len(self._running) >= self._settings["slots"]
        if has_no_free_slot:
            self.counts["over_slots"] += 1
        if has_no_free_slot or self._draining or self._sheds_all:
            self.counts["shed"] += 1
            self._reply(envelope, addr, Kind.SHED, retry_after_ms=_SHED_RETRY_MS)
            return
        self._new_work_times_s.append(time.time())
        coroutine = self._run_request(envelope, addr, key)
        self._running[key] = asyncio.ensure_future(coroutine)

    async def _run_request(
        self, envelope: Envelope, addr: Address, key: tuple[bytes, int]
    ) -> None:
        self.runs[envelope.payload.partition(b"\0")[0].decode()] += 1
        self.counts["requests_run"] += 1
        mean_s = self._settings["service_time_ms"] / 1000
        cold_s = self._settings["cold_start_s"]
        if time.monotonic() - self._started_s < cold_s:
            mean_s *= 2
        try:
            async with asyncio.timeout(envelope.deadline_ms / 1000):
                await asyncio.sleep(self._random.uniform(0.5, 1.5) * mean_s)
            payload = b"done:" + envelope.payload
            answer = self._reply(envelope, addr, Kind.ANSWER, payload=payload)
            self._pending_answers[key] = (
                answer,
                time.monotonic() + _ANSWER_RESEND_PERIOD_S,
            )
        except TimeoutError:
            self.counts["deadline_passed"] += 1
        finally:
            self._running.pop(key, None)

    def _on_cancel(self, envelope: Envelope) -> None:
        task = self._running.get((envelope.operation_id, envelope.attempt))
        if task is not None:
            self.counts["cancelled"] += 1
            task.cancel()

    def on_command(self, command: dict[str, Any]) -> Any:
        """Change the behaviour and return the counts.

        Parameters
        ----------
        command : dict
            ``drain``, ``sheds_all``: flags; ``lie``: fields of the announcement to
            replace; all optional.

        Returns
        -------
        dict
            The counts, operations that ran twice, and the time of the last new work.
        """
        if "drain" in command:
            self._draining = command["drain"]
            self.announce()
        self._sheds_all = command.get("sheds_all", self._sheds_all)
        if "lie" in command:
            self._announcer.overrides = command["lie"] or {}
        return self.result()

    def result(self) -> dict[str, Any]:
        """Return the counts."""
        return {
            "name": self._settings["name"],
            "service": self._settings["service"],
            "counts": dict(self.counts),
            "open_streams": len(self._streams),
            "doubled": [name for name, count in self.runs.items() if count > 1][:20],
            "last_new_work_s": self._new_work_times_s[-1]
            if self._new_work_times_s
            else 0.0,
        }

    async def stop(self) -> None:
        """Finish running requests, announce the end, serve on for a while, and exit."""
        self._draining = True
        self.announce()
        while self._running or self._pending_answers:
            await asyncio.sleep(_RESEND_INTERVAL_S / 10)
            self._resend_answers()
        self.announce(leaving=True)
        await asyncio.sleep(self._settings.get("linger_s", _LINGER_S))
        result = self.result() | {"runs": dict(self.runs)}
        Path(self._settings["result"]).write_text(json.dumps(result))


async def _main(settings: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    _, server = await loop.create_datagram_endpoint(
        lambda: BackendServer(settings), local_addr=parse_address(settings["listen"])
    )
    await serve_commands(settings["command"], server.on_command)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    tasks = [
        asyncio.ensure_future(coroutine)
        for coroutine in (
            server.announce_forever(),
            server.push_forever(),
            server.resend_forever(),
            server.request_missing_forever(),
        )
    ]
    await stopped.wait()
    # Announcements would take the one of the end back.
    tasks.pop(0).cancel()
    await server.stop()
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings")
    options = parser.parse_args()
    asyncio.run(_main(json.loads(Path(options.settings).read_text())))
