"""An operator sends an invalid configuration until it is refused.

All of its routes lack all of their fields. The platform ends processes that use more
memory than they may, and starts them again.
"""

import asyncio
import json
from collections import Counter
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    ROOT,
    Deployment,
    Machine,
    NotRunError,
    Record,
    call,
    has_trouble,
    run_case,
)
from stand_ins import make_config

_ZONES = ("zone-a", "zone-b", "zone-c")
_ROUTES = {("198.18.0.1", 8_080): "svc"}
_MEMORY_MB = 296
#: Limit of the site for a body.
_BODY_BYTES = 262_144
_ACK_S = 5.0
_START_TIMEOUT_S = 20.0
_CALM_S = 4.0
#: Time for which the invalid configuration is sent again, unless it is refused.
_SEND_S = 75.0
#: "A second without a response (more for large bodies)".
_LARGE_BODY_TIMEOUT_S = 3.0
_BACKOFFS_S = (0.1, 0.2, 0.4, 0.8)
#: Ends of a process, and machines with as many, from which the day counts nothing.
_MAX_END_COUNT = 3
_CORE_RATIO = 0.5
_RESTART_DELAY_S = 0.5
_POLL_INTERVAL_S = 0.02
_SETTINGS = {
    "region": "region",
    **{f"zones.{zone}": "region" for zone in _ZONES},
    "counts_as_loss": "true",
    "limits.memory_mb": str(_MEMORY_MB),
    "limits.max_fds": "4096",
    "limits.link_mbps": "170.0",
    "limits.disk_mb": "128",
    "discovery": "registration",
    "ingress": "advertisement",
    "heartbeat_interval_ms": "1200",
    "invariants": "base,drain,config,cost,recover,flows",
    "fault_tolerance.machines": "1",
    "fault_tolerance.zones": "1",
    "fault_tolerance.regions": "0",
    "bounds.seed_lag_s": "3",
    "bounds.stability_window_ms": "4000",
    "bounds.ack_ms": "5000",
    "bounds.catchup_s": "4",
    "bounds.drain_ms": "3000",
    "bounds.grace_s": "6",
    "bounds.config_apply_ms": "3000",
    "bounds.recovery_s": "12",
    "config_mode": "highest",
    "hash_algorithm": "mod",
    "forwarding_mode": "echo",
}


def _make_invalid_config(version: int) -> bytes:
    """Return a configuration of the largest size, whose routes have no fields."""
    config = json.loads(make_config(version, _ROUTES, ("svc",)))
    config["routes"] = []
    size = len(json.dumps(config, separators=(",", ":")))
    config["routes"] = [{}] * ((_BODY_BYTES - size) // len("{},"))
    return json.dumps(config, separators=(",", ":")).encode()


def _make_large_config(version: int) -> bytes:
    """Return a valid configuration of about the same size."""
    routes = {("198.18.0.1", port): "svc" for port in range(8_080, 8_080 + 2_000)}
    size = len(make_config(version, routes, ("svc",)))
    count = int(len(routes) * _BODY_BYTES / size)
    return make_config(version, dict(list(routes.items())[:count]), ("svc",))


def _used_mb(machine: Machine) -> float:
    """Return the resident memory of a process."""
    try:
        status = Path(f"/proc/{machine.process.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0.0
    rows = dict(row.split(":", 1) for row in status.splitlines())
    return int(rows.get("VmRSS", "0 kB").split()[0]) / 1_024


class _Platform:
    """Ends processes of control that use too much memory, and starts them again."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment = deployment
        self._record = record
        #: Ends of each machine's process.
        self.ends: Counter[str] = Counter()
        self.peaks_mb: dict[str, float] = {}

    async def run(self, machines: list[Machine]) -> None:
        """Watch machines until cancelled."""
        await asyncio.gather(*(self._watch(machine) for machine in machines))

    async def _watch(self, machine: Machine) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            used_mb = _used_mb(machine)
            self.peaks_mb[machine.name] = max(
                used_mb, self.peaks_mb.get(machine.name, 0.0)
            )
            has_exited = machine.process.poll() is not None
            if used_mb <= _MEMORY_MB and not has_exited:
                continue
            self.ends[machine.name] += 1
            self._record.add(f"{machine.name} uses {used_mb:.0f} MB, too much")
            await self._deployment.kill(machine)
            await asyncio.sleep(_RESTART_DELAY_S)
            self._deployment.start(machine)


class _Operator:
    """Sends configurations to one instance after another."""

    def __init__(self, apis: list[str], record: Record, name: str):
        self._apis = apis
        self._record = record
        self._name = name

    async def send(
        self, label: str, body: bytes, limit_s: float, timeout_s: float = 1.0
    ) -> tuple[int, float]:
        """Send a configuration until there is a clear response, for a limited time.

        Returns
        -------
        tuple of (int, float)
            Status, 0 without a clear response, and the time that it took.
        """
        started_s = self._record.now_s()
        attempt = 0
        while self._record.now_s() < started_s + limit_s:
            address = self._apis[attempt % len(self._apis)]
            reply = await call(address, "PUT", "/api/config", body, timeout_s)
            text = f"{self._name}: {label} at {address}: status {reply.status or '-'}"
            self._record.add(text)
            if reply.status == 200 or 400 <= reply.status < 500:
                return reply.status, self._record.now_s() - started_s
            rounds = attempt // len(self._apis)
            await asyncio.sleep(_BACKOFFS_S[min(rounds, len(_BACKOFFS_S) - 1)])
            attempt += 1
        return 0, limit_s


async def _run(deployment: Deployment, record: Record) -> int:
    controls = [deployment.add("control", zone) for zone in _ZONES]
    deployment.seeds = controls
    for machine in controls:
        deployment.start(machine, is_first_start=True)
    apis = [deployment.api(machine) for machine in controls]
    first, second = (_Operator(apis, record, f"operator {name}") for name in "12")
    config = make_config(1, _ROUTES, ("svc",))
    status, _ = await first.send("version 1", config, _START_TIMEOUT_S)
    if status != 200:
        raise NotRunError("the first configuration was not acknowledged")
    await asyncio.sleep(_CALM_S)

    platform = _Platform(deployment, record)
    watching = asyncio.ensure_future(platform.run(controls))
    invalid_version, version = 5, 2
    body = _make_invalid_config(invalid_version)
    if not has_trouble():
        body = _make_large_config(invalid_version)
    record.add(f"operator 1 sends version {invalid_version}, {len(body)} bytes")
    sending = asyncio.ensure_future(
        first.send("version 5", body, _SEND_S, _LARGE_BODY_TIMEOUT_S)
    )
    unacknowledged_count = 0
    end_s = record.now_s() + _SEND_S
    while record.now_s() < end_s:
        config = make_config(version, _ROUTES, ("svc",))
        if not has_trouble():
            config = _make_large_config(version)
        status, took_s = await second.send(f"version {version}", config, _ACK_S)
        if status != 200:
            unacknowledged_count += 1
            record.add(f"operator 2: no acknowledgement in {took_s:.1f} s")
        version += 1 if version != invalid_version - 1 else 2
        await asyncio.sleep(1.0)
    status, took_s = await sending
    watching.cancel()
    record.add(f"version 5: status {status or '-'} after {took_s:.1f} s")
    record.add(
        f"valid changes without acknowledgement in ack_ms: {unacknowledged_count}"
    )
    peaks_mb = {name: round(peak_mb) for name, peak_mb in platform.peaks_mb.items()}
    record.add(f"peak memory in MB: {peaks_mb}, limit {_MEMORY_MB}")
    record.add(f"ends for too much memory: {dict(platform.ends)}")
    failed = [name for name, ends in platform.ends.items() if ends >= _MAX_END_COUNT]
    return BROKEN if len(failed) >= _CORE_RATIO * len(controls) else HELD


async def _case(record: Record) -> int:
    deployment = Deployment(_SETTINGS, record)
    try:
        return await _run(deployment, record)
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(ROOT / "review" / Path(__file__).resolve().parent.name, _case)
