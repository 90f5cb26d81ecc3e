"""Writes the settings files of a fleet on loopback addresses."""

import itertools
import json
import random
import secrets
import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.layouts import Layout, ServiceLayout


@dataclass(frozen=True)
class Node:
    """A process of the fleet."""

    name: str
    kind: str
    failure_domain: str
    command: tuple[str, ...]
    command_address: str = ""


#: Below the ephemeral port range of the kernel.
_PORTS = itertools.cycle(range(12_000, 30_000))
next(itertools.islice(_PORTS, random.randrange(18_000), None))


def _free_address() -> str:
    while True:
        port = next(_PORTS)
        try:
            for socket_type in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                with socket.socket(socket.AF_INET, socket_type) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return f"127.0.0.1:{port}"


@dataclass(frozen=True)
class SettingsOverrides:
    """Settings that override the defaults of all processes of a kind."""

    entry: dict[str, Any]
    control: dict[str, Any]
    caller: dict[str, Any]
    backend: dict[str, Any]


class FleetSettings:
    """The processes of a fleet, whose settings it writes into a folder.

    Parameters
    ----------
    layout : Layout
        The layout of the fleet.
    folder : Path
        Directory for settings, logs, data and results.
    seed : int
        Seed of the stand-ins.
    overrides : SettingsOverrides
        Settings that override the defaults.

    Attributes
    ----------
    nodes : dict of str to Node
        Processes by name.
    admin_addresses : dict of str to str
        gRPC addresses of entry and control instances by name.
    """

    def __init__(
        self, layout: Layout, folder: Path, seed: int, overrides: SettingsOverrides
    ):
        self._layout = layout
        self._folder = folder
        self._seed = seed
        self._overrides = overrides
        self.nodes: dict[str, Node] = {}
        self.admin_addresses: dict[str, str] = {}
        self._link_nodes: list[dict[str, str]] = []
        self._public_addresses: dict[str, str] = {}
        self._listen_addresses: dict[str, str] = {}
        self._service_addresses = {name: _free_address() for name in layout.services}
        self._write_settings()

    def _failure_domain(self, number: int) -> str:
        return self._layout.domains[number % len(self._layout.domains)]

    def _write(self, name: str, data: dict[str, Any]) -> str:
        path = self._folder / f"{name}.json5"
        path.write_text(json.dumps(data, indent=2))
        return str(path)

    def _write_settings(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / "seal.key").write_text(secrets.token_hex(32))
        self._announce_key = secrets.token_hex(32)
        (self._folder / "announce.key").write_text(self._announce_key)
        self._write_control()
        self._write_entries()
        for service, layout in self._layout.services.items():
            for number in range(layout.endpoint_count):
                self._write_backend(service, layout, number)
        self._write_fabric_and_link()
        self._write_caller()

    def _write_control(self) -> None:
        names = [
            f"control-{number + 1}" for number in range(self._layout.control_count)
        ]
        members = {name: _free_address() for name in names}
        for number, name in enumerate(names):
            self.admin_addresses[name] = members[name]
            settings = {
                "name": name,
                "failure_domain": self._failure_domain(number),
                "roles": ["control"],
                "admin": members[name],
                "plain_text": True,
                "control": {
                    "data_dir": str(self._folder / f"{name}.data"),
                    "members": members,
                }
                | self._overrides.control,
            }
            path = self._write(name, settings)
            self._add_daemon(name, "control", self._failure_domain(number), path)

    def _add_daemon(self, name: str, kind: str, domain: str, path: str) -> None:
        command = (sys.executable, "-m", "agatethread", "--config", path)
        self.nodes[name] = Node(name, kind, domain, command)

    def _add_link_node(self, name: str, domain: str, real_address: str) -> str:
        public_address = _free_address()
        self._public_addresses[name] = public_address
        node = {
            "name": name,
            "real": real_address,
            "public": public_address,
            "failure_domain": domain,
        }
        self._link_nodes.append(node)
        return public_address

    def _write_entries(self) -> None:
        control = [self.admin_addresses[name] for name in self.admin_addresses]
        names = [f"entry-{number + 1}" for number in range(self._layout.entry_count)]
        inner_addresses = {name: _free_address() for name in names}
        for number, name in enumerate(names):
            self._add_link_node(
                name, self._failure_domain(number), inner_addresses[name]
            )
        for number, name in enumerate(names):
            self.admin_addresses[name] = _free_address()
            self._listen_addresses[name] = _free_address()
            settings = {
                "name": name,
                "failure_domain": self._failure_domain(number),
                "roles": ["entry"],
                "admin": self.admin_addresses[name],
                "plain_text": True,
                "entry": {
                    "listen": self._listen_addresses[name],
                    "inner": inner_addresses[name],
                    "inner_advertised": self._public_addresses[name],
                    "seeds": [self._public_addresses[seed] for seed in names[:3]],
                    "control": control,
                    "seal_key_file": str(self._folder / "seal.key"),
                    "announce_key_file": str(self._folder / "announce.key"),
                }
                | self._overrides.entry,
            }
            path = self._write(name, settings)
            self._add_daemon(name, "entry", self._failure_domain(number), path)

    def _write_backend(self, service: str, layout: ServiceLayout, number: int) -> None:
        name = f"{service}-{number + 1}"
        domain = self._failure_domain(number)
        listen_address = _free_address()
        self._add_link_node(name, domain, listen_address)
        seeds = [
            self._public_addresses[node.name]
            for node in self.nodes.values()
            if node.kind == "entry" and node.failure_domain == domain
        ]
        settings = {
            "name": name,
            "service": service,
            "failure_domain": domain,
            "listen": listen_address,
            "instances": seeds,
            "slots": layout.slots,
            "connection_limit": layout.connection_limit,
            "service_time_ms": layout.service_time_ms,
            "push_interval_ms": 1000,
            "announce_interval_ms": 1000,
            "cold_start_s": 1.0,
            "announce_key": self._announce_key,
        } | self._overrides.backend
        self._add_standin(name, "backend", domain, "backend_server", settings)

    def _add_standin(
        self, name: str, kind: str, domain: str, module: str, settings: dict[str, Any]
    ) -> None:
        address = _free_address()
        settings |= {
            "command": address,
            "seed": self._seed * 1000 + len(self.nodes),
            "result": str(self._folder / f"{name}.result"),
        }
        path = self._write(name, settings)
        command = (sys.executable, "-m", f"standins.{module}", path)
        self.nodes[name] = Node(name, kind, domain, command, address)

    def _write_fabric_and_link(self) -> None:
        link = {"nodes": self._link_nodes, "delay_ms": self._layout.domain_delay_ms}
        self._add_standin("link", "link", "", "link", link)
        fabric = {
            "services": self._service_addresses,
            "instances": self._listen_addresses,
            "delay_ms": self._layout.caller_delay_ms,
        }
        self._add_standin("fabric", "fabric", "", "fabric", fabric)

    def _write_caller(self) -> None:
        services = {
            name: {
                "address": self._service_addresses[name],
                "streams": layout.stream_count,
                "requests_per_s": layout.requests_per_s,
                "idempotent_share": layout.idempotent_share,
                "upload_bytes": layout.upload_bytes,
            }
            for name, layout in self._layout.services.items()
        }
        settings = {
            "name": "caller",
            "services": services,
            "timeout_s": 5.0,
            "sockets": 8,
            "partner": "",
        } | self._overrides.caller
        self._add_standin("caller", "caller", "", "caller", settings)
