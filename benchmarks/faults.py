"""What each fault costs callers: a fleet of processes, one fault after the other.

For each fault a fleet starts anew, runs under load, and the fault strikes; printed are
the requests that ended unknown, refused or answered, the broken streams, and the bytes
that each instance sent to others a second while nothing happened.
"""

import argparse
import json
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from standins.fleet import Fleet
from standins.layouts import LAYOUTS

_CALM_S = 4.0


def _dispatcher(fleet: Fleet) -> str:
    service = next(iter(fleet.layout.services))
    for name in fleet.names_of_kind("entry"):
        state = fleet.read_state(name)
        if state and service in state["entry"]["dispatches_for"]:
            return name
    raise RuntimeError("nobody dispatches")


def _stop_dispatcher(fleet: Fleet) -> None:
    fleet.stop(_dispatcher(fleet))


def _kill_dispatcher(fleet: Fleet) -> None:
    fleet.kill(_dispatcher(fleet))


def _kill_two(fleet: Fleet) -> None:
    for _ in range(2):
        fleet.kill(_dispatcher(fleet))
        time.sleep(2.5)


def _freeze_dispatcher(fleet: Fleet) -> None:
    name = _dispatcher(fleet)
    fleet.send_signal(name, signal.SIGSTOP)
    time.sleep(5)
    fleet.send_signal(name, signal.SIGCONT)


def _kill_backend(fleet: Fleet) -> None:
    fleet.kill(fleet.names_of_kind("backend")[0])


def _cut_domain(fleet: Fleet) -> None:
    first, *others = fleet.layout.domains
    fleet.send_command("link", cuts=[[first, other] for other in others])
    time.sleep(6)
    fleet.send_command("link", cuts=[])


def _nothing(fleet: Fleet) -> None:
    time.sleep(1)


FAULTS: dict[str, Callable[[Fleet], None]] = {
    "nothing": _nothing,
    "planned stop of the dispatcher": _stop_dispatcher,
    "death of the dispatcher": _kill_dispatcher,
    "death of two dispatchers in turn": _kill_two,
    "dispatcher frozen for 5 s": _freeze_dispatcher,
    "death of a backend server": _kill_backend,
    "a domain cut off for 6 s": _cut_domain,
}


def _sent_bytes(fleet: Fleet) -> dict[str, int]:
    return {
        name: state["counters"]["peer_bytes_sent"]
        for name in fleet.names_of_kind("entry")
        if (state := fleet.read_state(name)) is not None
    }


def idle_bytes_per_s(layout: str, folder: Path, seconds: float) -> dict[str, float]:
    """Measure what instances send each other while no caller is there.

    Parameters
    ----------
    layout : str
        A name in `LAYOUTS`.
    folder : Path
        For settings and logs.
    seconds : float
        How long.

    Returns
    -------
    dict of str to float
        Bytes a second by instance.
    """
    fleet = Fleet(LAYOUTS[layout], folder)
    try:
        fleet.start_all(with_caller=False)
        time.sleep(3)
        before, started_s = _sent_bytes(fleet), time.monotonic()
        time.sleep(seconds)
        after, elapsed_s = _sent_bytes(fleet), time.monotonic() - started_s
        return {n: round((after[n] - before[n]) / elapsed_s, 1) for n in after}
    finally:
        fleet.stop_all()


def run_fault(name: str, layout: str, folder: Path) -> dict[str, object]:
    """Run a fleet through one fault.

    Parameters
    ----------
    name : str
        A name in `FAULTS`.
    layout : str
        A name in `LAYOUTS`.
    folder : Path
        For settings and logs.

    Returns
    -------
    dict
        Counts, shares and latencies.
    """
    fleet = Fleet(LAYOUTS[layout], folder)
    try:
        fleet.start_all()
        time.sleep(_CALM_S)
        FAULTS[name](fleet)
        time.sleep(_CALM_S)
    finally:
        fleet.stop_all()
    caller = fleet.read_result("caller")
    counts = Counter(caller["counts"])
    runs: Counter[str] = Counter()
    for backend in fleet.names_of_kind("backend"):
        if fleet.processes[backend].returncode == 0:
            runs.update(fleet.read_result(backend)["runs"])
    doubled = sum(1 for n, count in runs.items() if count > 1 and n[0] == "n")
    return {
        "fault": name,
        "layout": layout,
        "streams_opened": counts["streams_opened"],
        "streams_broken": counts["streams_broken"],
        "sent": counts["requests_sent"],
        "answered": counts["requests_answered"],
        "refused": counts["requests_refused"],
        "unknown": counts["requests_unknown"],
        "reasons": caller["reasons"],
        "doubled": doubled,
        "false_refusals": sum(1 for n in caller["refused"] if runs[n]),
        "p50_ms": caller["latency_ms"]["50"],
        "p99_ms": caller["latency_ms"]["99"],
        "max_ms": caller["latency_ms"]["100"],
    }


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", choices=sorted(LAYOUTS), default="faellesfane")
    parser.add_argument("--fault", choices=sorted(FAULTS), help="only this one")
    parser.add_argument("--idle-seconds", type=float, default=10.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        idle = idle_bytes_per_s(options.layout, root / "idle", options.idle_seconds)
        print(json.dumps({"idle_peer_bytes_per_s": idle}), flush=True)
        names = [options.fault] if options.fault else list(FAULTS)
        for number, name in enumerate(names):
            row = run_fault(name, options.layout, root / str(number))
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    _main()
