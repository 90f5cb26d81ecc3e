"""Processes, calls and records that the cases share.

Uses the standard library only. Processes run on loopback addresses of their own, with
settings and data in a temporary folder.
"""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

ROOT = Path(__file__).resolve().parent.parent
#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Time after which a caller of the control API asks another instance.
CALL_TIMEOUT_S = 1.0
_MAX_REDIRECTS = 2
_PORT_COUNT = 6
_MAX_NETS = 200


class NotRunError(Exception):
    """The case could not be run."""


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file, with times.

    Parameters
    ----------
    path : Path
        The file; replaced if it exists.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Write a line."""
        print(f"{self.now_s():8.3f} {text}", file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports that are the same on all machines."""

    registry: int
    log: int
    api: int
    datagrams: int
    readiness: int
    servers: int


@dataclass(slots=True)
class Machine:
    """A machine of the deployment and its process."""

    name: str
    role: str
    zone: str
    host: str
    folder: Path
    process: subprocess.Popen | None = None
    started_s: float = 0.0


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def _choose_net() -> tuple[str, Ports]:
    """Return the first octets of unused loopback addresses, and free ports."""
    generator = random.Random()
    for _ in range(_MAX_NETS):
        net = f"127.{generator.randrange(20, 90)}.{generator.randrange(1, 250)}"
        first_port = generator.randrange(15_000, 30_000)
        ports = range(first_port, first_port + _PORT_COUNT)
        if all(_is_free(f"{net}.{host}", ports[0]) for host in (1, 2)) and all(
            _is_free("0.0.0.0", port) for port in ports
        ):
            return net, Ports(*ports)
    raise NotRunError("no free loopback addresses")


def _copy_log(pipe: BinaryIO, path: Path) -> None:
    with pipe, path.open("ab") as log:
        shutil.copyfileobj(pipe, log, 1_024)


class Deployment:
    """A small deployment with processes of the project on loopback addresses.

    Parameters
    ----------
    settings : dict of str to str
        Settings that all machines share, in the platform's format.
    record : Record
        Receives starts and signals.
    """

    def __init__(self, settings: dict[str, str], record: Record):
        if not (ROOT / "target" / "deps" / "agatethread_platform").is_dir():
            raise NotRunError("target/deps is missing: run deploy/build.sh first")
        self.folder = Path(tempfile.mkdtemp(prefix="agatethread-review-"))
        self.net, self.ports = _choose_net()
        self.machines: dict[str, Machine] = {}
        self.seeds: list[Machine] = []
        self._settings = settings
        self._record = record

    def add(self, role: str, zone: str) -> Machine:
        """Add a machine, which is not started."""
        number = len(self.machines) + 1
        name = f"{role}-{number}"
        folder = self.folder / name
        (folder / "disk").mkdir(parents=True)
        machine = Machine(name, role, zone, f"{self.net}.{number}", folder)
        self.machines[name] = machine
        return machine

    def api(self, machine: Machine) -> str:
        """Return the address of a machine's control API."""
        return f"{machine.host}:{self.ports.api}"

    def of_role(self, role: str) -> list[Machine]:
        """Return the machines of a role whose processes run."""
        return [
            machine
            for machine in self.machines.values()
            if machine.role == role and machine.process is not None
        ]

    def _write_settings(self, machine: Machine, is_first_start: bool) -> Path:
        ports = self.ports
        settings = self._settings | {
            "node_name": machine.name,
            "role": machine.role,
            "ip": machine.host,
            "zone": machine.zone,
            "internal_port_range": f"{ports.registry},{ports.log}",
            "seed_addrs": ",".join(self.api(seed) for seed in self.seeds),
            "bootstrap": "true" if is_first_start else "false",
        }
        if machine.role == "control":
            settings["listen_addrs.control_plane"] = self.api(machine)
            settings["data_dir"] = str(machine.folder / "disk")
        else:
            settings["listen_addrs.datagram_addr"] = f"{machine.host}:{ports.datagrams}"
            readiness = f"{machine.host}:{ports.readiness}"
            settings["listen_addrs.readiness_addr"] = readiness
        path = machine.folder / "settings.conf"
        lines = [f"{name}={value}" for name, value in settings.items()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self, machine: Machine, is_first_start: bool = False) -> None:
        """Start the process of a machine with the command of the deploy file."""
        path = self._write_settings(machine, is_first_start)
        environment = {
            "AGATETHREAD_SETTINGS": str(path),
            "PYTHONPATH": "target/deps",
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(machine.folder),
        }
        machine.process = subprocess.Popen(
            ["python3", "-S", "-m", "agatethread_platform", machine.role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        # Through a pipe, so that a full disk does not affect the log of the process.
        arguments = (machine.process.stdout, machine.folder / "log")
        threading.Thread(target=_copy_log, args=arguments, daemon=True).start()
        machine.started_s = self._record.now_s()
        self._record.add(f"start {machine.name} at {machine.host} in {machine.zone}")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        if machine.process is not None:
            machine.process.send_signal(number)
            self._record.add(f"{number.name} to {machine.name}")

    async def wait_for_exit(self, machine: Machine, timeout_s: float) -> None:
        """Wait for the end of a process; end it after a timeout."""
        deadline_s = time.monotonic() + timeout_s
        while machine.process.poll() is None:
            if time.monotonic() > deadline_s:
                self.signal(machine, signal.SIGKILL)
                machine.process.wait()
                break
            await asyncio.sleep(0.01)
        code = machine.process.returncode
        self._record.add(f"{machine.name} has ended with {code}")
        machine.process = None

    async def kill(self, machine: Machine) -> None:
        """Kill the process of a machine."""
        self.signal(machine, signal.SIGKILL)
        await self.wait_for_exit(machine, 5.0)

    def wipe(self, machine: Machine) -> None:
        """Empty the data folder of a machine whose process has ended."""
        shutil.rmtree(machine.folder / "disk")
        (machine.folder / "disk").mkdir()
        self._record.add(f"the disk of {machine.name} is empty")

    def close(self) -> None:
        """End all processes, and delete the folder unless KEEP names another one."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        kept = os.environ.get("KEEP", "")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call, and the address that gave it; status 0 without a reply."""

    status: int
    body: bytes = b""
    address: str = ""


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Send a call to the control API, and follow redirects twice."""
    for _ in range(_MAX_REDIRECTS + 1):
        try:
            status, headers, answer = await asyncio.wait_for(
                _call_once(address, method, path, body), timeout_s
            )
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return Reply(0, b"", address)
        if status != 307:
            return Reply(status, answer, address)
        address = headers["location"].removeprefix("http://").split("/")[0]
    return Reply(0, b"", address)


async def _call_once(
    address: str, method: str, path: str, body: bytes
) -> tuple[int, dict[str, str], bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        raw_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *rows = raw_head.strip().split("\r\n")
        pairs = (row.partition(":") for row in rows)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        answer = await reader.readexactly(int(headers.get("content-length", "0")))
        return int(status_line.split()[1]), headers, answer
    finally:
        writer.close()


def run_case(path: Path, case: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case and exit with its code.

    Parameters
    ----------
    path : Path
        Folder of the case, for its record.
    case : callable
        Coroutine function that gets the record and returns the exit code.
    """
    record = Record(path / "record.txt")
    record.add(f"disruption: {'yes' if has_trouble() else 'no'}")
    # As SIGINT does, so that all processes are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(case(record))
    except NotRunError as error:
        record.add(f"not run: {error}")
        print(f"not run: {error}", file=sys.stderr)
        code = NOT_RUN
    except (Exception, KeyboardInterrupt):
        # An error of the case shows nothing about the rule.
        record.add(f"not run: {traceback.format_exc()}")
        traceback.print_exc()
        code = NOT_RUN
    record.add(f"exit code {code}")
    record.close()
    sys.exit(code)
