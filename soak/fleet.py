"""Starts, supervises, signals and restarts the processes of the instances."""

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
#: Restart delay of the platform.
_RESTART_DELAY_S = 0.5
#: Start time of the interpreter on a loaded machine.
_INTERPRETER_START_S = 0.3
GRACE_S = 6.0
REPORT_INTERVAL_S = 0.5
#: Time after its start from which an instance bears the loss of another one.
CATCHUP_S = 4.0
#: Resident memory of a process, the least limit of the deployments.
_MAX_MEMORY_MB = {"control": 256, "entry": 120}
_MEMORY_INTERVAL_S = 0.2


@dataclass
class Machine:
    """An instance and its current process."""

    number: int
    role: str
    failure_domain: str
    folder: Path
    process: subprocess.Popen | None = None
    #: Whether the process is restarted when it exits.
    should_run: bool = True
    has_run: bool = False
    is_frozen: bool = False
    #: The terminating signal that was sent to the process, and the time of sending.
    end_signal: signal.Signals | None = None
    end_signal_sent_s: float = 0.0
    started_s: float = 0.0

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return f"{self.role}-{self.number}"

    @property
    def age_s(self) -> float:
        """Return the time since the last start of its process."""
        return time.monotonic() - self.started_s


class Fleet:
    """Runs the instances of a deployment as processes.

    Parameters
    ----------
    folder : Path
        Directory for settings, logs and disks.
    addresses : Addresses
        Addresses of the run.
    control_count, entry_count : int
        Number of instances per role.
    losses_borne : int
        Number of simultaneous failures of control instances to tolerate.
    sources : Path, optional
        Checkout from which the programs are run.
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
        self._python_path = os.pathsep.join(
            (str(sources / "platform"), str(sources / "src"))
        )
        self.addresses = addresses
        self._losses_borne = losses_borne
        roles = ["control"] * control_count + ["entry"] * entry_count
        self.machines = {
            number: Machine(number, role, f"domain-{number % 3}", folder / str(number))
            for number, role in enumerate(roles, 1)
        }
        #: Numbers are not used again: their addresses stay open.
        self._last_number = max(self.machines)
        self.seeds = self.machines_of_role("control")[:3]
        self.unexpected_exits: list[str] = []
        #: Largest resident memory of a process of each role.
        self.peak_memory_mb: dict[str, int] = {}

    def add_control(self, failure_domain: str) -> Machine:
        """Return a new control instance with an empty disk; it is not started."""
        self._last_number += 1
        number = self._last_number
        machine = Machine(
            number, "control", failure_domain, self.folder / str(number), has_run=True
        )
        self.machines[number] = machine
        return machine

    def remove(self, machine: Machine) -> None:
        """Remove an instance for good; its process has ended."""
        del self.machines[machine.number]
        self.seeds = self.machines_of_role("control")[:3]

    async def wait_until_down(self, machine: Machine, timeout_s: float) -> None:
        """Wait until the process of a machine has ended; kill it after a timeout."""
        deadline_s = time.monotonic() + timeout_s
        while machine.process is not None:
            if time.monotonic() > deadline_s:
                self.send_signal(machine, signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def watch_memory(self) -> None:
        """Record the largest resident memory of the processes."""
        while True:
            for machine in self.machines.values():
                pid = self.find_pid(machine.number)
                used_mb = _read_resident_mb(pid) if pid is not None else 0
                peak_mb = self.peak_memory_mb.get(machine.role, 0)
                self.peak_memory_mb[machine.role] = max(peak_mb, used_mb)
            await asyncio.sleep(_MEMORY_INTERVAL_S)

    def memory_excesses(self) -> list[str]:
        """Return a line for each role whose processes exceeded their memory."""
        return [
            f"{role}: {peak_mb} MB, limit {_MAX_MEMORY_MB[role]}"
            for role, peak_mb in self.peak_memory_mb.items()
            if peak_mb > _MAX_MEMORY_MB[role]
        ]

    def machines_of_role(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def find_pid(self, number: int) -> int | None:
        """Return the process id of an instance, or None if it is down."""
        machine = self.machines.get(number)
        if machine is None or machine.process is None:
            return None
        return machine.process.pid

    def write_settings(self, machine: Machine) -> Path:
        """Write the settings file of a machine and return its path."""
        addresses = self.addresses
        host = addresses.advertised(machine.number)
        seeds = ",".join(
            f"{addresses.advertised(seed.number)}:{addresses.api}"
            for seed in self.seeds
        )
        lines = [
            f"node_name={machine.name}",
            f"zone={machine.failure_domain}",
            f"ip={host}",
            f"agatethread.listen_ip={addresses.listening(machine.number)}",
            f"internal_port_range={addresses.registry},{addresses.log}",
            f"seed_addrs={seeds}",
            f"bootstrap={'false' if machine.has_run else 'true'}",
            f"heartbeat_interval_ms={int(REPORT_INTERVAL_S * 1000)}",
            # Enables the optional parts, so that the faults exercise them.
            "invariants=pressure,health",
            f"fault_tolerance.machines={self._losses_borne}",
            f"bounds.grace_s={GRACE_S}",
            f"bounds.catchup_s={CATCHUP_S}",
            f"listen_addrs.control_plane={host}:{addresses.api}",
            f"listen_addrs.datagram_addr={host}:{addresses.datagrams}",
            f"listen_addrs.readiness_addr={host}:{addresses.readiness}",
            f"data_dir={machine.folder / 'disk'}",
        ]
        machine.folder.mkdir(parents=True, exist_ok=True)
        path = machine.folder / "settings.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, machine: Machine) -> None:
        """Start the process of a machine."""
        path = self.write_settings(machine)
        environment = {
            "AGATETHREAD_SETTINGS": str(path),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": self._python_path,
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
        machine.end_signal = None
        machine.is_frozen = False

    async def supervise(self) -> None:
        """Restart processes that exited, and record unexpected exits."""
        while True:
            for machine in self.machines.values():
                process = machine.process
                if process is not None and process.poll() is not None:
                    self._record_exit(machine, process.returncode)
                    machine.process = None
                    asyncio.get_running_loop().call_later(
                        _RESTART_DELAY_S, self._restart, machine
                    )
                self._kill_overdue(machine)
            await asyncio.sleep(0.05)

    def _restart(self, machine: Machine) -> None:
        if machine.should_run and machine.process is None:
            self.start(machine)

    def _record_exit(self, machine: Machine, exit_code: int) -> None:
        if machine.end_signal is None:
            self.unexpected_exits.append(
                f"{machine.name} ended by itself with {exit_code}"
            )
        elif machine.end_signal is signal.SIGTERM and exit_code != 0:
            # The interpreter can't handle signals before it runs the program.
            if machine.end_signal_sent_s - machine.started_s > _INTERPRETER_START_S:
                self.unexpected_exits.append(
                    f"{machine.name} ended with {exit_code} on SIGTERM"
                )

    def _kill_overdue(self, machine: Machine) -> None:
        is_terminating = (
            machine.end_signal is signal.SIGTERM and machine.process is not None
        )
        if is_terminating and time.monotonic() - machine.end_signal_sent_s > GRACE_S:
            # A process that was frozen meanwhile is not at fault.
            if not machine.is_frozen:
                self.unexpected_exits.append(f"{machine.name} outlived its grace time")
            self.send_signal(machine, signal.SIGKILL)

    def send_signal(self, machine: Machine, signal_number: signal.Signals) -> None:
        """Send a signal to the process of a machine, if it runs."""
        if machine.process is None:
            return
        # Signals after SIGKILL have no effect on the exit.
        is_killed = machine.end_signal is signal.SIGKILL
        if signal_number in (signal.SIGTERM, signal.SIGKILL) and not is_killed:
            machine.end_signal = signal_number
            machine.end_signal_sent_s = time.monotonic()
        if signal_number is signal.SIGSTOP:
            machine.is_frozen = True
        machine.process.send_signal(signal_number)

    def resume(self, machine: Machine) -> None:
        """Let a suspended process run on."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(signal.SIGCONT)
        machine.is_frozen = False

    def start_if_down(self, machine: Machine) -> None:
        """Start the process of a machine unless it runs."""
        if machine.process is None:
            self.start(machine)

    def limit_disk(self, machine: Machine, limit_bytes: int) -> None:
        """Limit the file size of a process, which simulates a full disk."""
        pid = self.find_pid(machine.number)
        if pid is not None:
            hard_limit = resource.RLIM_INFINITY
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit_bytes, hard_limit))

    async def lose_disk(self, machine: Machine) -> None:
        """Kill a process, delete its data and restart it."""
        machine.should_run = False
        self.send_signal(machine, signal.SIGKILL)
        await self.wait_until_down(machine, GRACE_S)
        shutil.rmtree(machine.folder / "disk", ignore_errors=True)
        machine.should_run = True
        self.start(machine)

    def kill_all(self) -> None:
        """Kill all processes."""
        for machine in self.machines.values():
            machine.should_run = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()


def _read_resident_mb(pid: int) -> int:
    try:
        pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    except (OSError, IndexError):
        return 0  # the process has just ended
    return int(pages) * resource.getpagesize() >> 20
