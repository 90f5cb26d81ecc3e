"""A core machine is replaced; later the one that acknowledged a change loses its disk.

The second loss comes `catchup_s` after the start of the successor, when the machine
that was removed no longer counts as lost. The configuration must stay readable.

Environment: with REPLACE=crash the leader is killed instead, and its successor starts
just afterwards; LOSS_DELAY_S is the time from the start of the successor to the second
loss.
"""

import asyncio
import json
import os
import signal
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    Deployment,
    Machine,
    NotRunError,
    Record,
    Reply,
    call,
    has_trouble,
    run_case,
)

_ZONES = ("zone-a", "zone-b", "zone-c")
_CATCHUP_S = 4.0
_GRACE_S = 6.0
_ACK_S = 5.0
_RECOVERY_S = 12.0
_STABILITY_WINDOW_S = 4.0
#: Time from the start of the successor to the SIGTERM of the machine it replaces.
_STOP_DELAY_S = 2.0
#: Time from the start of the successor to the loss of the disk; at least `_CATCHUP_S`.
_LOSS_DELAY_S = float(os.environ.get("LOSS_DELAY_S", "4.2"))
#: Time for which a lost machine is down.
_DOWN_S = 1.0
_START_TIMEOUT_S = 20.0
_CALM_S = 5.0
_RETRY_INTERVAL_S = 0.2
_READ_INTERVAL_S = 1.0
#: Whether the replaced machine crashes, in place of planned work.
_IS_CRASH = os.environ.get("REPLACE", "planned") == "crash"
#: Time from a crash to the start of the successor.
_SUCCESSOR_DELAY_S = 0.1
_SETTINGS = {
    "region": "region",
    **{f"zones.{zone}": "region" for zone in _ZONES},
    "counts_as_loss": "true",
    "limits.memory_mb": "296",
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


def _make_config(version: int) -> bytes:
    route = {
        "name": "r-1",
        "host": "198.18.0.1",
        "path_prefix": "/8080/",
        "route_type": "idempotent",
        "timeout_ms": 1_000 + version,
        "target_latency_ms": 150,
        "priority": 1,
        "service": "svc",
        "max_attempts": 2,
    }
    service = {
        "name": "svc",
        "health_path": "/healthz",
        "max_connections": 2_000,
        "protocol": "h1",
        "tls_enabled": False,
    }
    limits = {"idle_timeout_ms": 15_000}
    body = {"version": version, "routes": [route], "services": [service]}
    return json.dumps(body | {"limits": limits}).encode()


class _Operator:
    """Sends configurations to the instances in turn, and reads them back."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment = deployment
        self._record = record

    def _addresses(self) -> list[str]:
        controls = self._deployment.of_role("control")
        return [self._deployment.api(machine) for machine in controls]

    async def put(self, version: int, timeout_s: float) -> Reply | None:
        """Send a version until it is acknowledged; return the reply, if any."""
        record, body = self._record, _make_config(version)
        deadline_s = record.now_s() + timeout_s
        record.add(f"operator sends version {version}")
        while record.now_s() < deadline_s:
            for address in self._addresses():
                reply = await call(address, "PUT", "/api/config", body)
                if reply.status == 200:
                    record.add(f"version {version} acknowledged by {reply.address}")
                    return reply
            await asyncio.sleep(_RETRY_INTERVAL_S)
        record.add(f"version {version} not acknowledged in {timeout_s:.0f} s")
        return None

    async def read(self) -> int:
        """Read at all instances; return the highest version, 0 if none came."""
        version = 0
        for address in self._addresses():
            reply = await call(address, "GET", "/api/config")
            read = json.loads(reply.body)["version"] if reply.status == 200 else 0
            self._record.add(f"read at {address}: status {reply.status}, {read or '-'}")
            version = max(version, read)
        return version


async def _replace(deployment: Deployment, old: Machine, record: Record) -> Machine:
    """Start an empty successor at another address, then stop the old machine."""
    successor = deployment.add("control", old.zone)
    if _IS_CRASH:
        await deployment.kill(old)
        record.add(f"{old.name} is removed for good")
        await asyncio.sleep(_SUCCESSOR_DELAY_S)
        deployment.start(successor)
        return successor
    deployment.start(successor)
    await asyncio.sleep(_STOP_DELAY_S)
    deployment.signal(old, signal.SIGTERM)
    await deployment.wait_for_exit(old, _GRACE_S)
    record.add(f"{old.name} is removed for good")
    return successor


def _find_machine(deployment: Deployment, address: str) -> Machine:
    for machine in deployment.of_role("control"):
        if deployment.api(machine) == address:
            return machine
    raise NotRunError(f"no instance at {address}")


async def _run(deployment: Deployment, record: Record) -> int:
    controls = [deployment.add("control", zone) for zone in _ZONES]
    deployment.seeds = controls
    for machine in controls:
        deployment.start(machine, is_first_start=True)
    operator = _Operator(deployment, record)
    first = await operator.put(1, _START_TIMEOUT_S)
    if first is None:
        raise NotRunError("the first configuration was not acknowledged")
    await asyncio.sleep(_CALM_S)

    if has_trouble():
        # A follower, so that planned work causes no election; a crash hits the leader.
        old = next(
            machine
            for machine in controls
            if (deployment.api(machine) == first.address) == _IS_CRASH
        )
        successor = await _replace(deployment, old, record)
        passed_s = record.now_s() - successor.started_s
        await asyncio.sleep(max(0.0, _LOSS_DELAY_S - passed_s))
    reply = await operator.put(2, _ACK_S)
    if reply is None:
        raise NotRunError("no acknowledgement before the second loss")
    if has_trouble():
        passed_s = record.now_s() - successor.started_s
        if passed_s < _CATCHUP_S:
            raise NotRunError("the second loss would come too early")
        lost = _find_machine(deployment, reply.address)
        await deployment.kill(lost)
        record.add(f"second loss {passed_s:.2f} s after the start of the successor")
        deployment.wipe(lost)
        await asyncio.sleep(_DOWN_S)
        deployment.start(lost)

    await asyncio.sleep(_CATCHUP_S + _RECOVERY_S)
    record.add("the operator reads back")
    deadline_s = record.now_s() + 2 * _STABILITY_WINDOW_S
    version = 0
    while record.now_s() < deadline_s and version < 2:
        version = await operator.read()
        await asyncio.sleep(_READ_INTERVAL_S)
    record.add(f"newest version read: {version or 'none'}; acknowledged: 2")
    # For the record only: whether a change is still possible.
    await operator.put(3, 2 * _ACK_S)
    return HELD if version >= 2 else BROKEN


async def _case(record: Record) -> int:
    deployment = Deployment(_SETTINGS, record)
    try:
        return await _run(deployment, record)
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, _case)
