"""Runs a fleet as separate processes on loopback addresses."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from agatethread.cli import ControlTarget, dump_instance
from agatethread.exceptions import UnavailableError
from standins.commands import send_command
from standins.fleet_settings import FleetSettings, SettingsOverrides
from standins.layouts import Layout, ServiceLayout

_ROOT = Path(__file__).resolve().parent.parent
_READY_TIMEOUT_S = 15.0
_STOP_TIMEOUT_S = 20.0
_DUMP_TIMEOUT_S = 2.0


class Fleet:
    """Writes settings into a folder, and starts, stops and kills processes.

    Parameters
    ----------
    layout : Layout
        The layout of the fleet.
    folder : Path
        Directory for settings, logs, data and results.
    seed : int, default=1
        Seed of the stand-ins.
    entry_settings, control_settings, caller_settings, backend_settings : dict, optional
        Settings that override the defaults of all processes of a kind.
    """

    def __init__(
        self,
        layout: Layout,
        folder: Path,
        seed: int = 1,
        entry_settings: dict[str, Any] | None = None,
        control_settings: dict[str, Any] | None = None,
        caller_settings: dict[str, Any] | None = None,
        backend_settings: dict[str, Any] | None = None,
    ):
        self.layout = layout
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self._missing: list[str] = []
        overrides = SettingsOverrides(
            entry_settings or {},
            control_settings or {},
            caller_settings or {},
            backend_settings or {},
        )
        fleet_settings = FleetSettings(layout, folder, seed, overrides)
        self.nodes = fleet_settings.nodes
        self._admin_addresses = fleet_settings.admin_addresses

    def start(self, *names: str) -> None:
        """Start processes.

        Parameters
        ----------
        *names : str
            Their names.
        """
        environment = os.environ | {"PYTHONPATH": str(_ROOT), "PYTHONUNBUFFERED": "1"}
        for name in names:
            with open(self.folder / f"{name}.log", "ab") as output:
                self.processes[name] = subprocess.Popen(
                    self.nodes[name].command,
                    stdout=output,
                    stderr=output,
                    env=environment,
                    cwd=self.folder,
                )

    def start_all(self, with_caller: bool = True) -> None:
        """Start the fleet, apply its documents, then start the callers.

        Parameters
        ----------
        with_caller : bool, default=True
            Whether to start the callers.
        """
        self.start(*(name for name in self.nodes if name != "caller"))
        for service in self.layout.services:
            self.apply_document(service, 1)
        self.wait_for(self._all_ready, "the fleet")
        if with_caller:
            self.start("caller")

    def _all_ready(self) -> bool:
        self._missing = [
            f"{name}: {missing}"
            for name in self.names_of_kind("entry")
            if (missing := self._describe_missing(self.read_state(name)))
        ]
        return not self._missing

    def _describe_missing(self, state: dict[str, Any] | None) -> str:
        """Return what an instance still lacks, or an empty string."""
        if state is None:
            return "does not answer"
        entry = state["entry"]
        services = self.layout.services.values()
        expected = {
            "documents": len(services),
            "members": self.layout.entry_count,
            "endpoints": sum(service.endpoint_count for service in services),
        }
        actual = {
            "documents": len(entry["documents"]),
            "members": sum(not member["joining"] for member in entry["members"]),
            "endpoints": entry["endpoints_total"],
        }
        return ", ".join(
            f"{actual[name]} of {count} {name}"
            for name, count in expected.items()
            if actual[name] < count
        )

    def names_of_kind(self, kind: str) -> list[str]:
        """Return the names of the nodes of a kind.

        Parameters
        ----------
        kind : str
            ``entry``, ``control`` or ``backend``.

        Returns
        -------
        list of str
            The names.
        """
        return [node.name for node in self.nodes.values() if node.kind == kind]

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process.

        Parameters
        ----------
        name : str
            Name of the process.
        number : int
            Number of the signal.
        """
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit.

        Parameters
        ----------
        name : str
            The process.
        """
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, *names: str) -> None:
        """Stop processes gracefully and wait for their exit.

        Parameters
        ----------
        *names : str
            Their names.
        """
        for name in names:
            self.send_signal(name, signal.SIGTERM)
        for name in names:
            self.processes[name].wait(_STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """Stop callers and backend servers gracefully, and kill the others."""
        running = [
            name for name, process in self.processes.items() if process.poll() is None
        ]
        try:
            self.stop(*(name for name in running if name == "caller"))
            self.stop(*(name for name in running if self.nodes[name].kind == "backend"))
        finally:
            for name in running:
                if self.processes[name].poll() is None:
                    self.send_signal(name, signal.SIGCONT)
                    self.kill(name)

    def send_command(self, name: str, **command: Any) -> Any:
        """Send a command to a stand-in.

        Parameters
        ----------
        name : str
            Name of the stand-in.
        **command
            Fields of the command.

        Returns
        -------
        object
            The reply.
        """
        return send_command(self.nodes[name].command_address, **command)

    @property
    def control_target(self) -> ControlTarget:
        """Return the control instances as the target of calls."""
        addresses = tuple(
            self._admin_addresses[name] for name in self.names_of_kind("control")
        )
        return ControlTarget(addresses, _READY_TIMEOUT_S)

    def run_ctl(self, *arguments: str, timeout_s: float = 10.0) -> tuple[int, str, str]:
        """Run the operators' command line tool.

        Parameters
        ----------
        *arguments : str
            Arguments of the command.
        timeout_s : float, default=10.0
            Timeout of the command.

        Returns
        -------
        tuple of (int, str, str)
            Exit code, standard output and standard error.
        """
        control = ",".join(
            self._admin_addresses[name] for name in self.names_of_kind("control")
        )
        command = (
            sys.executable,
            "-c",
            "from agatethread.cli import run_ctl; run_ctl()",
            "--plain-text",
            "--control",
            control,
            "--timeout-s",
            str(timeout_s),
            *arguments,
        )
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=timeout_s + 20
        )
        return completed.returncode, completed.stdout, completed.stderr

    def read_state(self, name: str) -> dict[str, Any] | None:
        """Return the state of an instance.

        Parameters
        ----------
        name : str
            Name of the instance.

        Returns
        -------
        dict or None
            The state, or None if the instance does not answer.
        """
        target = ControlTarget((), _DUMP_TIMEOUT_S)
        try:
            return asyncio.run(dump_instance(target, self._admin_addresses[name]))
        except UnavailableError:
            return None

    def write_document(self, service: str, version: int, **fields: Any) -> str:
        """Write a service document to a file.

        Parameters
        ----------
        service : str
            The service.
        version : int
            Its version.
        **fields
            Further fields.

        Returns
        -------
        str
            Path of the file.
        """
        urgency = self.layout.services[service].urgency
        data = {"service": service, "version": version, "urgency": urgency} | fields
        path = self.folder / f"{service}-{version}.document"
        path.write_text("// kept as written\n" + json.dumps(data, indent=2))
        return str(path)

    def apply_document(self, service: str, version: int, **fields: Any) -> float:
        """Apply a document and wait until it is in force on all instances.

        Parameters
        ----------
        service : str
            The service.
        version : int
            Its version.
        **fields
            Further fields.

        Returns
        -------
        float
            Time until the document was in force, in seconds.

        Raises
        ------
        RuntimeError
            If the document was rejected or is not in force in time.
        """
        path = self.write_document(service, version, **fields)
        code, output, errors = self.run_ctl(
            "--json", "apply", path, "--wait-s", "10", timeout_s=20.0
        )
        if code != 0:
            raise RuntimeError(f"{service} version {version}: {output}{errors}")
        _, _, in_force = output.partition("}\n")
        return json.loads(in_force)["in_force_s"]

    def wait_for(
        self, condition, description: str, timeout_s: float = _READY_TIMEOUT_S
    ):
        """Wait until a condition holds.

        Parameters
        ----------
        condition : callable
            Returns whether the condition holds.
        description : str
            Description of the condition for the error.
        timeout_s : float
            Timeout in seconds.

        Raises
        ------
        TimeoutError
            If the condition does not hold in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"{description} not ready after {timeout_s} s; {self._missing}"
                )
            time.sleep(0.1)

    def read_result(self, name: str) -> dict[str, Any]:
        """Return the result of a stopped stand-in.

        Parameters
        ----------
        name : str
            Name of the stand-in.

        Returns
        -------
        dict
            The result.
        """
        return json.loads((self.folder / f"{name}.result").read_text())


def with_services(layout: Layout, **services: ServiceLayout) -> Layout:
    """Return a copy of a layout with other services.

    Parameters
    ----------
    layout : Layout
        The layout.
    **services : ServiceLayout
        Services by name.

    Returns
    -------
    Layout
        The copy.
    """
    return replace(layout, services=services)
