"""The real programs as processes: started, stopped, killed and started again."""

import asyncio
import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from soak.addresses import Addresses

_ROOT = Path(__file__).resolve().parent.parent
#: The platform starts a process again after about this time.
_RESTART_S = 0.5
#: The interpreter's own start, on a busy computer.
_INTERPRETER_START_S = 0.3
GRACE_S = 6.0
REPORT_INTERVAL_S = 0.5


@dataclass
class Machine:
    """One instance and its present process."""

    number: int
    role: str
    failure_domain: str
    folder: Path
    process: subprocess.Popen | None = None
    #: Whether it is to run; a process that ends is started again.
    wanted: bool = True
    has_run: bool = False
    stopped: bool = False
    #: When a signal of ours was sent that ends it, and which.
    ending: signal.Signals | None = None
    ending_s: float = 0.0
    started_s: float = 0.0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return f"{self.role}-{self.number}"


class Fleet:
    """Runs the instances of a small deployment.

    Parameters
    ----------
    folder : Path
        For settings, logs and disks.
    addresses : Addresses
        Of all instances.
    control_count, entry_count : int
        Instances of each role.
    losses_borne : int
        Control instances whose loss is to be borne.
    sources : Path, optional
        Checkout that the programs are run from.
    """

    def __init__(
        self,
        folder: Path,
        addresses: Addresses,
        control_count: int,
        entry_count: int,
        losses_borne: int,
        sources: Path = _ROOT,
    ):
        self.folder = folder
        self._path = os.pathsep.join((str(sources / "platform"), str(sources / "src")))
        self.addresses = addresses
        self._losses_borne = losses_borne
        roles = ["control"] * control_count + ["entry"] * entry_count
        self.machines = {
            number: Machine(number, role, f"domain-{number % 3}", folder / str(number))
            for number, role in enumerate(roles, 1)
        }
        self.seeds = self.of_role("control")[:3]
        self.exits: list[str] = []

    def of_role(self, role: str) -> list[Machine]:
        """List the machines of a role."""
        return [one for one in self.machines.values() if one.role == role]

    def pid_of(self, number: int) -> int | None:
        """Find an instance's process."""
        machine = self.machines.get(number)
        if machine is None or machine.process is None:
            return None
        return machine.process.pid

    # -- settings -----------------------------------------------------------------

    def write_settings(self, machine: Machine) -> Path:
        """Write a machine's settings as the platform does."""
        ports = self.addresses
        host = ports.advertised(machine.number)
        seeds = ",".join(
            f"{ports.advertised(s.number)}:{ports.api}" for s in self.seeds
        )
        lines = [
            f"node_name={machine.name}",
            f"zone={machine.failure_domain}",
            f"ip={host}",
            f"agatethread.listen_ip={ports.listening(machine.number)}",
            f"internal_port_range={ports.registry},{ports.log}",
            f"seed_addrs={seeds}",
            f"bootstrap={'false' if machine.has_run else 'true'}",
            f"heartbeat_interval_ms={int(REPORT_INTERVAL_S * 1000)}",
            # So that faults meet the parts that are on only where they are called for.
            "invariants=pressure,health",
            f"fault_tolerance.machines={self._losses_borne}",
            f"bounds.grace_s={GRACE_S}",
            f"listen_addrs.control_plane={host}:{ports.api}",
            f"listen_addrs.datagram_addr={host}:{ports.datagrams}",
            f"listen_addrs.readiness_addr={host}:{ports.readiness}",
            f"data_dir={machine.folder / 'disk'}",
        ]
        machine.folder.mkdir(parents=True, exist_ok=True)
        path = machine.folder / "settings.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    # -- processes ----------------------------------------------------------------

    def start(self, machine: Machine) -> None:
        """Start a machine's process."""
        path = self.write_settings(machine)
        environment = {
            "AGATETHREAD_SETTINGS": str(path),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": self._path,
        }
        (machine.folder / "disk").mkdir(exist_ok=True)
        with open(machine.folder / "log", "ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "agatethread_platform", machine.role],
                env=environment,
                stdout=log,
                stderr=log,
            )
        machine.has_run = True
        machine.started_s = time.monotonic()
        machine.ending = None
        machine.stopped = False

    async def watch(self) -> None:
        """Start processes again that ended, and note how they ended."""
        while True:
            for machine in self.machines.values():
                process = machine.process
                if process is not None and process.poll() is not None:
                    self._note_exit(machine, process.returncode)
                    machine.process = None
                    asyncio.get_running_loop().call_later(
                        _RESTART_S, self._start_again, machine
                    )
                self._note_overdue(machine)
            await asyncio.sleep(0.05)

    def _start_again(self, machine: Machine) -> None:
        if machine.wanted and machine.process is None:
            self.start(machine)

    def _note_exit(self, machine: Machine, code: int) -> None:
        if machine.ending is None:
            self.exits.append(f"{machine.name} ended by itself with {code}")
        elif machine.ending is signal.SIGTERM and code != 0:
            # Before its first line of Python runs, nothing can catch a signal.
            if machine.ending_s - machine.started_s > _INTERPRETER_START_S:
                self.exits.append(f"{machine.name} ended with {code} on SIGTERM")

    def _note_overdue(self, machine: Machine) -> None:
        is_ending = machine.ending is signal.SIGTERM and machine.process is not None
        if is_ending and time.monotonic() - machine.ending_s > GRACE_S:
            # A process that stood still in between can't be blamed.
            if not machine.stopped:
                self.exits.append(f"{machine.name} outlived its grace time")
            self.send(machine, signal.SIGKILL)

    def send(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        if machine.process is None:
            return
        # A process that was killed ends by that, whatever it is sent afterwards.
        is_killed = machine.ending is signal.SIGKILL
        if number in (signal.SIGTERM, signal.SIGKILL) and not is_killed:
            machine.ending = number
            machine.ending_s = time.monotonic()
        if number is signal.SIGSTOP:
            machine.stopped = True
        machine.process.send_signal(number)

    def limit_disk(self, machine: Machine, limit_bytes: int) -> None:
        """Let no file of a process grow beyond a size, as on a full disk."""
        pid = self.pid_of(machine.number)
        if pid is not None:
            hard = resource.RLIM_INFINITY
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit_bytes, hard))

    async def lose_disk(self, machine: Machine) -> None:
        """Kill a process and remove its files before it starts again."""
        machine.wanted = False
        self.send(machine, signal.SIGKILL)
        while machine.process is not None:
            await asyncio.sleep(0.02)
        shutil.rmtree(machine.folder / "disk", ignore_errors=True)
        machine.wanted = True
        self.start(machine)

    def end_all(self) -> None:
        """End every process that was started here."""
        for machine in self.machines.values():
            machine.wanted = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
