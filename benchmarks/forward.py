"""Packets a second through one entry instance, beside two plain forwarders.

Each forwarder runs in a process of its own and gets the same bursts over loopback; what
comes out is counted. The entry instance decodes, checks the cookie's seal (through its
cache), looks the backend server up, and appends the return label.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import socket
import tempfile
import time
from collections import deque
from pathlib import Path

from hdrh.histogram import HdrHistogram

from agatethread.entry import EntryInstance
from agatethread.observability import Counters
from agatethread.settings import EntrySettings, Settings, format_address
from agatethread.wire import (
    Announcement,
    Cookie,
    Envelope,
    Kind,
    load_sealer,
    pack_address,
    seal_cookie,
    service_hash,
)

_PAYLOAD_BYTES = 120
_FLOWS = 256
_WINDOW = 128
_BATCH = 64
_TAIL_S = 0.5


def _udp() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    opened.bind(("127.0.0.1", 0))
    return opened


def _run_bare(port: socket.socket, sink: tuple[str, int], _: str) -> None:
    while True:
        data, _source = port.recvfrom(2_048)
        port.sendto(data, sink)


class _Plain(asyncio.DatagramProtocol):
    def __init__(self, sink: tuple[str, int]):
        self._sink = sink

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._transport.sendto(data, self._sink)


def _run_plain(port: socket.socket, sink: tuple[str, int], _: str) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: _Plain(sink), sock=port)
        await asyncio.Event().wait()

    asyncio.run(main())


def _run_entry(port: socket.socket, sink: tuple[str, int], key_file: str) -> None:
    listen = format_address(port.getsockname())
    port.close()
    inner = _udp()
    inner_address = format_address(inner.getsockname())
    inner.close()
    settings = Settings(
        name="bench",
        failure_domain="a",
        roles=("entry",),
        admin="127.0.0.1:1",
        entry=EntrySettings(listen, inner_address, key_file, warm_up_s=0.0),
        plain_text=True,
    )

    async def main() -> None:
        instance = EntryInstance(settings, Counters())
        announcement = Announcement(
            endpoint_id="sink",
            incarnation=1,
            service="tab",
            failure_domain="a",
            slots=2,
            connection_limit=2_000,
            lease_ms=600_000,
            sequence=1,
            address=pack_address(sink),
        )
        instance.announcements.on_forwarded(announcement)
        await instance.start()
        await asyncio.Event().wait()

    asyncio.run(main())


FORWARDERS = {"bare": _run_bare, "asyncio": _run_plain, "entry": _run_entry}


def _datagrams(key_file: str, sink: tuple[str, int]) -> list[bytes]:
    sealer = load_sealer(key_file)
    datagrams = []
    for flow_id in range(1, _FLOWS + 1):
        cookie = Cookie(pack_address(sink), 1, service_hash("tab"), flow_id)
        envelope = Envelope(
            kind=Kind.DATA,
            service="tab",
            flow_id=flow_id,
            cookie=seal_cookie(sealer, cookie),
            payload=os.urandom(_PAYLOAD_BYTES),
        )
        datagrams.append(envelope.SerializeToString())
    return datagrams


def _flood(
    target: tuple[str, int], sink: socket.socket, datagrams: list[bytes], seconds: float
) -> float:
    """Keep a window of datagrams under way and count what arrives."""
    sender = _udp()
    sent = arrived = 0
    sink.settimeout(0.2)
    started_s = time.perf_counter()
    end_s = started_s + seconds
    while time.perf_counter() < end_s:
        while sent - arrived < _WINDOW:
            sender.sendto(datagrams[sent % len(datagrams)], target)
            sent += 1
        try:
            for _ in range(_BATCH):
                sink.recv(2_048)
                arrived += 1
        except TimeoutError:
            sent = arrived
    elapsed_s = time.perf_counter() - started_s
    sender.close()
    return arrived / elapsed_s


def _pace(
    target: tuple[str, int],
    sink: socket.socket,
    datagrams: list[bytes],
    rate: float,
    seconds: float,
) -> dict[str, float]:
    """Send on a schedule, whatever arrives, and measure the time to arrival.

    Loopback keeps the order, so the n-th arrival is the n-th datagram; a time counts
    from when the datagram was due.
    """
    sender = _udp()
    histogram = HdrHistogram(1, 10_000_000, 3)
    sink.setblocking(False)
    due_s: deque[float] = deque()
    next_s = time.perf_counter()
    end_s = next_s + seconds
    sent = 0
    while next_s < end_s or (due_s and time.perf_counter() < end_s + _TAIL_S):
        if next_s < end_s and time.perf_counter() >= next_s:
            sender.sendto(datagrams[sent % len(datagrams)], target)
            sent += 1
            due_s.append(next_s)
            next_s += 1 / rate
        try:
            sink.recv(2_048)
        except BlockingIOError:
            continue
        if due_s:
            late_s = time.perf_counter() - due_s.popleft()
            histogram.record_value(max(1, int(late_s * 1e6)))
    sender.close()
    return {
        "rate": rate,
        "p50_us": histogram.get_value_at_percentile(50),
        "p99_us": histogram.get_value_at_percentile(99),
        "lost": len(due_s),
        "count": sent,
    }


def measure(name: str, seconds: float, rate: float) -> dict[str, float]:
    """Measure one forwarder.

    Parameters
    ----------
    name : str
        A name in `FORWARDERS`.
    seconds : float
        Time for each of the two measurements.
    rate : float
        Packets a second of the latency measurement; 0 for none.

    Returns
    -------
    dict
        ``packets_per_s`` and, with a rate, latencies.
    """
    with tempfile.TemporaryDirectory() as folder:
        key_file = Path(folder) / "key"
        key_file.write_text("ab" * 32)
        port, sink = _udp(), _udp()
        target, sink_address = port.getsockname(), sink.getsockname()
        context = multiprocessing.get_context("fork")
        process = context.Process(
            target=FORWARDERS[name], args=(port, sink_address, str(key_file))
        )
        process.start()
        port.close()
        try:
            time.sleep(0.7)
            datagrams = _datagrams(str(key_file), sink_address)
            _flood(target, sink, datagrams, 0.3)
            result = {"packets_per_s": _flood(target, sink, datagrams, seconds)}
            time.sleep(0.3)
            sink.setblocking(False)
            try:
                while sink.recv(2_048):
                    continue
            except BlockingIOError:
                sink.setblocking(True)
            if rate:
                result |= _pace(target, sink, datagrams, rate, seconds)
            return result
        finally:
            process.kill()
            process.join()
            sink.close()


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    rounds = []
    for _ in range(options.rounds):
        row = {"entry": measure("entry", options.seconds, 0)}
        half_rate = row["entry"]["packets_per_s"] / 2
        for name in FORWARDERS:
            row[name] = measure(name, options.seconds, half_rate)
        row["share_of_bare"] = (
            row["entry"]["packets_per_s"] / row["bare"]["packets_per_s"]
        )
        row["added_p99_us"] = row["entry"]["p99_us"] - row["bare"]["p99_us"]
        rounds.append(row)
        print(json.dumps(row), flush=True)
    shares = sorted(row["share_of_bare"] for row in rounds)
    print(f"median share of the bare loop: {shares[len(shares) // 2]:.2f}")


if __name__ == "__main__":
    _main()
