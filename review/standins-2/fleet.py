"""Starts the programs of the deploy file on loopback addresses, with proxies between.

Needs the standard library only. Each machine has the advertised address
``127.N.1.number``, at which a proxy takes the internal traffic, and listens for that
traffic at ``127.N.2.number``.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("dar-a", "dar-b", "dar-c")
#: Time after which a caller gives up a call.
CALL_TIMEOUT_S = 1.0
#: Bounds of the site `further/kce-tradein.toml`, as its sheet states them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catchup_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "partition_ms": 12000,
    "recovery_s": 12,
    "reorder_window_ms": 2000,
    "flow_lifetime_s": 60,
}
HEARTBEAT_INTERVAL_MS = 770
#: Pauses of a caller between two calls; they increase, as the pages ask.
_BACKOFF_S = (0.1, 0.2, 0.4, 0.8, 1.0)
#: Answers that end a call of the operator at once; other 4xx end it at the third.
_FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
#: Answers after which the operator goes on to another node, like after a 5xx.
_RETRY_STATUSES = frozenset({0, 408, 429})
_CHUNK_BYTES = 65_536
#: Port of the programs' own metrics, at each machine's address.
_METRICS_PORT = 9464
#: Port whose binding reserves a net for one run at a time.
_CLAIM_PORT = 14_999


class Record:
    """Writes what was sent, answered and run, with the time since the start.

    Parameters
    ----------
    path : Path
        The file to write.
    """

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text):
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


def _is_free(host, port):
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Machine:
    """One machine of the deployment, and the process that runs on it.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    role : str
        A role of the deploy file.
    zone : str
        Its zone.
    number : int
        Last octet of its addresses.
    """

    def __init__(self, fleet, role, zone, number):
        self._fleet = fleet
        self.role, self.zone, self.number = role, zone, number
        self.name = f"{role}-{zone}-{number}"
        self.ip = f"127.{fleet.net}.1.{number}"
        self.listen_ip = f"127.{fleet.net}.2.{number}"
        self.folder = fleet.folder / self.name
        self.process = None
        self._has_run = False

    @property
    def api(self):
        """Address of the operator's API."""
        return f"{self.ip}:{self._fleet.ports['control']}"

    def _write_settings(self):
        ports, is_entry = self._fleet.ports, self.role == "entry"
        lines = [
            f"node_name={self.name}",
            f"role={self.role}",
            f"machine_class={'edge' if is_entry else 'core'}",
            f"serves={'edge' if is_entry else 'control'}",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=dar",
            *(f"zones.{zone}=dar" for zone in ZONES),
            f"internal_port_range={ports['first']},{ports['first'] + 15}",
            f"seed_addrs={','.join(self._fleet.seeds())}",
            f"bootstrap={'false' if self._has_run else 'true'}",
            f"heartbeat_interval_ms={HEARTBEAT_INTERVAL_MS}",
            "discovery=registration",
            "ingress=advertisement",
            "invariants=base,drain,config,cost,recover,flows",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
            "config_mode=highest",
            "hash_algorithm=mod",
            "forwarding_mode=echo",
            "limits.link_mbps=1000.0",
            f"agatethread.listen_ip={self.listen_ip}",
        ]
        if is_entry:
            lines += [
                f"listen_addrs.datagram_addr={self.ip}:{ports['datagram']}",
                f"listen_addrs.readiness_addr={self.ip}:{ports['ready']}",
            ]
        else:
            lines += [
                f"listen_addrs.control_plane={self.api}",
                f"data_dir={self.folder / 'disk'}",
            ]
        path = self.folder / "settings.conf"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self):
        """Start the process with the command of the deploy file."""
        (self.folder / "disk").mkdir(parents=True, exist_ok=True)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["AGATETHREAD_SETTINGS"] = str(self._write_settings())
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self._fleet.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._has_run = True

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)


class Fleet:
    """Three control instances, one a zone, and some entry instances.

    Parameters
    ----------
    folder : str
        Folder for settings, logs and disks.
    entry_count : int
        Number of entry instances.
    """

    def __init__(self, folder, entry_count):
        self.folder = Path(folder)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        control_numbers = range(1, 1 + len(ZONES))
        entry_numbers = range(11, 11 + entry_count)
        self._choose_addresses([*control_numbers, *entry_numbers])
        self.controls = [
            Machine(self, "control", zone, number)
            for number, zone in zip(control_numbers, ZONES, strict=True)
        ]
        self.entries = [
            Machine(self, "entry", ZONES[number % len(ZONES)], number)
            for number in entry_numbers
        ]

    def _choose_addresses(self, numbers):
        while True:
            self.net, first = (
                random.randrange(20, 250),
                random.randrange(12_000, 30_000),
            )
            self.ports = {
                "first": first,
                "control": first + 20,
                "datagram": first + 21,
                "ready": first + 22,
                "server": first + 23,
            }
            hosts = [f"127.{self.net}.{part}.{n}" for part in (1, 2) for n in numbers]
            ports = [first, first + 1, _METRICS_PORT, *self.ports.values()]
            if self._claim_net() and all(
                _is_free(host, port) for host in hosts for port in ports
            ):
                return

    def _claim_net(self):
        """Reserve the net; another run beside this one takes another net."""
        self._claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._claim.bind((f"127.{self.net}.3.1", _CLAIM_PORT))
        except OSError:
            self._claim.close()
            return False
        return True

    @property
    def machines(self):
        """All machines."""
        return [*self.controls, *self.entries]

    def seeds(self):
        """Return the seed addresses."""
        return [machine.api for machine in self.controls]

    def start(self):
        """Start all processes."""
        for machine in self.machines:
            machine.start()

    def stop(self):
        """End all processes that were started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def ended(self):
        """Return the machines whose process has ended by itself, and their codes."""
        return [
            f"{machine.name} ({machine.process.returncode})"
            for machine in self.machines
            if machine.process is not None and machine.process.poll() is not None
        ]


class _Channel:
    """A connection that goes through the proxy."""

    def __init__(self):
        self.is_silent = False


class Mesh:
    """Forwards datagrams and connections between the machines.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._datagrams = {}
        self._servers = []
        self._channels = set()

    async def open(self):
        """Listen at the advertised addresses."""
        loop = asyncio.get_running_loop()
        first = self._fleet.ports["first"]
        for machine in self._fleet.machines:
            transport, _ = await loop.create_datagram_endpoint(
                lambda machine=machine: _Receiver(self, machine),
                local_addr=(machine.ip, first),
            )
            self._datagrams[machine.number] = transport
            if machine.role == "control":
                server = await asyncio.start_server(
                    lambda reader, writer, machine=machine: self._serve(
                        machine, reader, writer
                    ),
                    machine.ip,
                    first + 1,
                )
                self._servers.append(server)

    def forward(self, data, sender_ip, target):
        """Forward a datagram; its source is the sender's advertised address."""
        transport = self._datagrams.get(int(sender_ip.rpartition(".")[2]))
        if transport is not None:
            transport.sendto(data, (target.listen_ip, self._fleet.ports["first"]))

    async def _serve(self, machine, reader, writer):
        channel = _Channel()
        self._channels.add(channel)
        upstream = None
        try:
            upstream = await asyncio.open_connection(
                machine.listen_ip, self._fleet.ports["first"] + 1
            )
            await asyncio.gather(
                self._copy(reader, upstream[1], channel),
                self._copy(upstream[0], writer, channel),
            )
        except asyncio.CancelledError:
            # The script ends.
            return
        except (OSError, EOFError):
            if channel.is_silent:
                # The other end is not told of the close either.
                await asyncio.Event().wait()
        finally:
            self._channels.discard(channel)
            for each in (writer, upstream[1] if upstream else writer):
                each.transport.abort()

    @staticmethod
    async def _copy(reader, writer, channel):
        while True:
            data = await reader.read(_CHUNK_BYTES)
            if channel.is_silent:
                # Stays open; nothing gets through any more, in either direction.
                await asyncio.Event().wait()
            if not data:
                raise EOFError
            writer.write(data)
            await writer.drain()

    def silence_open_channels(self):
        """Let the channels that are open now carry nothing any more.

        New channels work. Returns how many went silent.
        """
        for channel in self._channels:
            channel.is_silent = True
        return len(self._channels)

    def count_channels(self):
        """Return the number of open channels, and that of silent ones among them."""
        return len(self._channels), sum(each.is_silent for each in self._channels)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, mesh, machine):
        self._mesh, self._machine = mesh, machine

    def datagram_received(self, data, addr):
        self._mesh.forward(data, addr[0], self._machine)


async def call(address, method, path, body=b"", redirects=2):
    """Send a call as the platform does.

    Parameters
    ----------
    address : str
        ``IP:port``.
    method, path : str
        The call.
    body : bytes, optional
        JSON body.
    redirects : int, optional
        How many redirects are followed.

    Returns
    -------
    tuple of (int, bytes)
        Status and body; status 0 without an answer in time.
    """
    for _ in range(1 + redirects):
        try:
            status, headers, answer = await asyncio.wait_for(
                _call_once(address, method, path, body), CALL_TIMEOUT_S
            )
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return 0, b""
        if status != 307 or not redirects:
            return status, answer
        address = headers["location"].removeprefix("http://").split("/")[0]
    return 0, b""


async def _call_once(address, method, path, body):
    host, _, port = address.partition(":")
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


def make_route(name, port, service, timeout_ms=1500, route_type="non_idempotent"):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "198.18.0.1",
        "path_prefix": f"/{port}/",
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 150,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def make_configuration(version, routes, services):
    """Return the body of a configuration as the operator sends it."""
    service_rows = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 2000,
            "protocol": "h1",
            "tls_enabled": False,
        }
        for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    configuration = {
        "version": version,
        "routes": routes,
        "services": service_rows,
        "limits": limits,
    }
    return json.dumps(configuration).encode()


def backoff_s(turn):
    """Return the pause of a caller after its call number `turn`, from 0 on."""
    return _BACKOFF_S[min(turn, len(_BACKOFF_S) - 1)]


def ends_call(statuses):
    """Return whether the operator sends a call no more, by the answers so far."""
    status = statuses[-1]
    if status in _RETRY_STATUSES or status >= 500:
        return False
    refusals = [each for each in statuses if 400 <= each < 500]
    others = [each for each in refusals if each not in _RETRY_STATUSES]
    return status < 300 or status in _FINAL_STATUSES or len(others) >= 3


async def put_until_answered(fleet, record, version, body, limit_s):
    """Send a configuration to the nodes in turn until one acknowledges it.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    record : Record
        Gets each new outcome.
    version : int
        Version of the configuration.
    body : bytes
        The configuration.
    limit_s : float
        Time after which it is given up.

    Returns
    -------
    float or None
        Time until the acknowledgement; None if there was none.
    """
    started_s, statuses = time.monotonic(), []
    while time.monotonic() - started_s < limit_s:
        turn = len(statuses)
        machine = fleet.controls[turn % len(fleet.controls)]
        status, _ = await call(machine.api, "PUT", "/api/config", body)
        if not statuses or status != statuses[-1]:
            record.write(f"operator: PUT version {version} at {machine.name}: {status}")
        statuses.append(status)
        if ends_call(statuses):
            return time.monotonic() - started_s if status == 200 else None
        await asyncio.sleep(backoff_s(turn))
    return None
