"""Run a whole fleet as separate processes on the loopback addresses."""

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
from standins.fleet_settings import ChangedSettings, FleetSettings
from standins.layouts import Layout, ServiceLayout

_ROOT = Path(__file__).resolve().parent.parent
_READY_TIMEOUT_S = 15.0
_STOP_TIMEOUT_S = 20.0
_DUMP_TIMEOUT_S = 2.0


class Fleet:
    """Writes settings into a folder and starts, stops and kills processes.

    Parameters
    ----------
    layout : Layout
        Where everything stands.
    folder : Path
        For settings, logs, data and results.
    seed : int, default=1
        Of all the stand-ins.
    entry_settings, control_settings, caller_settings, backend_settings : dict, optional
        Replace single settings of each such process.
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
        self._lacking: list[str] = []
        changes = ChangedSettings(
            entry_settings or {},
            control_settings or {},
            caller_settings or {},
            backend_settings or {},
        )
        written = FleetSettings(layout, folder, seed, changes)
        self.nodes = written.nodes
        self._admin = written.admin

    # -- processes ----------------------------------------------------------------

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
        """Start the fleet, have its documents accepted, then start the callers.

        Parameters
        ----------
        with_caller : bool, default=True
            Whether to start the callers.
        """
        self.start(*(name for name in self.nodes if name != "caller"))
        for service in self.layout.services:
            self.apply(service, 1)
        self.wait_for(self._all_ready, "the fleet")
        if with_caller:
            self.start("caller")

    def _all_ready(self) -> bool:
        self._lacking = [
            f"{name}: {lack}"
            for name in self.names("entry")
            if (lack := self._lack(self.dump(name)))
        ]
        return not self._lacking

    def _lack(self, state: dict[str, Any] | None) -> str:
        """Say what an instance still waits for, or nothing."""
        if state is None:
            return "does not answer"
        entry = state["entry"]
        services = self.layout.services.values()
        wanted = {
            "documents": len(services),
            "members": self.layout.entry_count,
            "endpoints": sum(service.endpoint_count for service in services),
        }
        found = {
            "documents": len(entry["documents"]),
            "members": sum(not member["joining"] for member in entry["members"]),
            "endpoints": entry["endpoints_total"],
        }
        return ", ".join(
            f"{found[name]} of {count} {name}"
            for name, count in wanted.items()
            if found[name] < count
        )

    def names(self, kind: str) -> list[str]:
        """List the nodes of a kind.

        Parameters
        ----------
        kind : str
            ``entry``, ``control`` or ``backend``.

        Returns
        -------
        list of str
            Names.
        """
        return [node.name for node in self.nodes.values() if node.kind == kind]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this fleet started.

        Parameters
        ----------
        name : str
            The process.
        number : int
            The signal.
        """
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once.

        Parameters
        ----------
        name : str
            The process.
        """
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, *names: str) -> None:
        """Stop processes gracefully and wait for their end.

        Parameters
        ----------
        *names : str
            Their names.
        """
        for name in names:
            self.signal(name, signal.SIGTERM)
        for name in names:
            self.processes[name].wait(_STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """End everything: callers and backend servers with their results."""
        running = [
            name for name, process in self.processes.items() if process.poll() is None
        ]
        try:
            self.stop(*(name for name in running if name == "caller"))
            self.stop(*(name for name in running if self.nodes[name].kind == "backend"))
        finally:
            for name in running:
                if self.processes[name].poll() is None:
                    self.signal(name, signal.SIGCONT)
                    self.kill(name)

    # -- questions ----------------------------------------------------------------

    def command(self, name: str, **command: Any) -> Any:
        """Send a command to a stand-in.

        Parameters
        ----------
        name : str
            The stand-in.
        **command
            The command.

        Returns
        -------
        object
            Its answer.
        """
        return send_command(self.nodes[name].control_port, **command)

    @property
    def target(self) -> ControlTarget:
        """The control instances, for calls from this process."""
        addresses = tuple(self._admin[name] for name in self.names("control"))
        return ControlTarget(addresses, _READY_TIMEOUT_S)

    def ctl(self, *arguments: str, timeout_s: float = 10.0) -> tuple[int, str, str]:
        """Run the operators' command.

        Parameters
        ----------
        *arguments : str
            Its arguments.
        timeout_s : float, default=10.0
            Its time limit.

        Returns
        -------
        tuple of (int, str, str)
            Exit code, output, errors.
        """
        control = ",".join(self._admin[name] for name in self.names("control"))
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
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=timeout_s + 20
        )
        return done.returncode, done.stdout, done.stderr

    def dump(self, name: str) -> dict[str, Any] | None:
        """Read a process's state.

        Parameters
        ----------
        name : str
            An instance.

        Returns
        -------
        dict or None
            None if it does not answer.
        """
        target = ControlTarget((), _DUMP_TIMEOUT_S)
        try:
            return asyncio.run(dump_instance(target, self._admin[name]))
        except UnavailableError:
            return None

    def document(self, service: str, version: int, **fields: Any) -> str:
        """Write a service document.

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
            The file.
        """
        urgency = self.layout.services[service].urgency
        data = {"service": service, "version": version, "urgency": urgency} | fields
        path = self.folder / f"{service}-{version}.document"
        path.write_text("// kept as written\n" + json.dumps(data, indent=2))
        return str(path)

    def apply(self, service: str, version: int, **fields: Any) -> float:
        """Have a document accepted and wait until it is in force everywhere.

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
            Seconds until it was in force.

        Raises
        ------
        RuntimeError
            If it was refused or did not come into force.
        """
        path = self.document(service, version, **fields)
        code, output, errors = self.ctl(
            "--json", "apply", path, "--wait-s", "10", timeout_s=20.0
        )
        if code != 0:
            raise RuntimeError(f"{service} version {version}: {output}{errors}")
        _, _, rest = output.partition("}\n")
        return json.loads(rest)["in_force_s"]

    def wait_for(self, condition, what: str, timeout_s: float = _READY_TIMEOUT_S):
        """Wait until something holds.

        Parameters
        ----------
        condition : callable
            Returns whether it does.
        what : str
            For the error.
        timeout_s : float
            Longest time.

        Raises
        ------
        TimeoutError
            If it does not in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"{what} not ready after {timeout_s} s; {self._lacking}"
                )
            time.sleep(0.1)

    def result(self, name: str) -> dict[str, Any]:
        """Read what a stopped stand-in wrote.

        Parameters
        ----------
        name : str
            The stand-in.

        Returns
        -------
        dict
            Its result.
        """
        return json.loads((self.folder / f"{name}.result").read_text())


def scaled(layout: Layout, **services: ServiceLayout) -> Layout:
    """Copy a layout with other services.

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
