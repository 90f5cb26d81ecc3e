"""Stand-in caller: keeps streams open and sends requests."""

import argparse
import asyncio
import json
import os
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from agatethread.client import Client, Stream, connect
from agatethread.exceptions import (
    AgatethreadError,
    FlowBrokenError,
    OperationRefusedError,
    OperationUnknownError,
)
from standins.commands import serve_commands

_MAX_LATENCY_US = 60_000_000


class Caller:
    """Simulates many callers with a few sockets.

    Parameters
    ----------
    settings : dict
        ``services``: for each its ``address``, ``streams``, ``requests_per_s`` and
        ``idempotent_share``; ``timeout_s``; ``sockets``; ``partner``; ``name``.
    """

    def __init__(self, settings: dict[str, Any]):
        self._settings = settings
        self.counts: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self._latency_us = HdrHistogram(1, _MAX_LATENCY_US, 3)
        self._open_time_us = HdrHistogram(1, _MAX_LATENCY_US, 3)
        self._answered_requests: list[str] = []
        self._refused_requests: list[str] = []
        self._unknown_requests: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._clients: list[Client] = []
        self._stopping = False

    async def run(self) -> None:
        """Open the streams and start to send requests."""
        addresses = {
            name: service["address"]
            for name, service in self._settings["services"].items()
        }
        for _ in range(self._settings["sockets"]):
            client = await connect(addresses, self._settings["partner"])
            self._clients.append(client)
        for name, service in self._settings["services"].items():
            for number in range(service["streams"]):
                client = self._clients[number % len(self._clients)]
                self._start_task(self._run_stream(client, name))
                if number % 16 == 15:
                    await asyncio.sleep(0.01)
            if service["requests_per_s"]:
                self._start_task(self._send_requests(name, service))

    def _start_task(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_stream(self, client: Client, service: str) -> None:
        started_s = time.monotonic()
        stream = await self._open(client, service)
        if stream is None:
            return
        self.counts["streams_opened"] += 1
        self._open_time_us.record_value(int((time.monotonic() - started_s) * 1e6))
        expected = 0
        try:
            async for push in stream:
                expected += 1
                self.counts["pushes"] += 1
                if push != str(expected).encode():
                    self.counts["pushes_wrong"] += 1
        except FlowBrokenError as error:
            self.reasons[f"broken {error}"] += 1
        if not self._stopping:
            self.counts["streams_broken"] += 1

    async def _open(self, client: Client, service: str) -> Stream | None:
        while not self._stopping:
            try:
                return await client.open_stream(service)
            except OperationRefusedError as error:
                self.counts["opens_refused"] += 1
                await asyncio.sleep(error.retry_after_s)
            except AgatethreadError as error:
                self.reasons[f"open {error}"] += 1
        return None

    async def _send_requests(self, name: str, service: dict[str, Any]) -> None:
        interval_s = 1 / service["requests_per_s"]
        share = service["idempotent_share"]
        number = 0
        next_s = time.monotonic()
        while not self._stopping:
            number += 1
            idempotent = (number * share) % 1 < share and share > 0
            client = self._clients[number % len(self._clients)]
            self._start_task(self._request(client, name, number, idempotent))
            next_s += interval_s
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))

    async def _request(
        self, client: Client, service: str, number: int, idempotent: bool
    ) -> None:
        prefix = "i" if idempotent else "n"
        request_name = f"{prefix}-{self._settings['name']}-{service}-{number}"
        timeout_s = self._settings["timeout_s"]
        padding_bytes = self._settings["services"][service].get("upload_bytes", 0)
        payload = request_name.encode()
        if padding_bytes:
            payload += b"\0" + os.urandom(padding_bytes)
        started_s = time.monotonic()
        self.counts["requests_sent"] += 1
        try:
            answer = await client.request(
                service, payload, idempotent=idempotent, timeout_s=timeout_s
            )
        except OperationRefusedError as error:
            self.counts["requests_refused"] += 1
            self.reasons[f"refused {error.reason}"] += 1
            self._refused_requests.append(request_name)
        except (OperationUnknownError, AgatethreadError) as error:
            self.counts["requests_unknown"] += 1
            self.reasons[f"unknown {error}"] += 1
            self._unknown_requests.append(request_name)
        else:
            self.counts["requests_answered"] += 1
            if answer != b"done:" + payload:
                self.counts["answers_wrong"] += 1
            self._answered_requests.append(request_name)
            self._latency_us.record_value(int((time.monotonic() - started_s) * 1e6))

    def result(self) -> dict[str, Any]:
        """Return the counts and latencies."""
        return {
            "counts": dict(self.counts),
            "reasons": dict(self.reasons),
            "latency_ms": {
                str(percentile): self._latency_us.get_value_at_percentile(percentile)
                / 1000
                for percentile in (50, 90, 99, 100)
            },
            "open_ms": {
                str(percentile): self._open_time_us.get_value_at_percentile(percentile)
                / 1000
                for percentile in (50, 99, 100)
            },
        }

    async def stop(self) -> None:
        """Wait for running requests, close the streams and write the result."""
        self._stopping = True
        deadline_s = time.monotonic() + self._settings["timeout_s"] + 1
        outcomes = ("requests_answered", "requests_refused", "requests_unknown")
        while time.monotonic() < deadline_s:
            if (
                sum(self.counts[name] for name in outcomes)
                >= (self.counts["requests_sent"])
            ):
                break
            await asyncio.sleep(0.02)
        for client in self._clients:
            client.close()
        result = self.result() | {
            "answered": self._answered_requests,
            "refused": self._refused_requests,
            "unknown": self._unknown_requests,
        }
        Path(self._settings["result"]).write_text(json.dumps(result))


async def _main(settings: dict[str, Any]) -> None:
    caller = Caller(settings)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await serve_commands(settings["command"], lambda command: caller.result())
    await caller.run()
    await stopped.wait()
    await caller.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings")
    options = parser.parse_args()
    asyncio.run(_main(json.loads(Path(options.settings).read_text())))
