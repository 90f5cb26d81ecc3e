"""Runs a fleet under load with a crash, a drain and a change, and prints a summary."""

import argparse
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.fleet import Fleet
from standins.layouts import LAYOUTS

_NEW_WORK_LIMIT_S = 3.0
_IN_FORCE_LIMIT_S = 4.0


@dataclass
class Summary:
    """Measured values and broken promises."""

    lines: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def add(self, label: str, value: Any) -> None:
        """Add a measured value.

        Parameters
        ----------
        label : str
            Description of the value.
        value : object
            The value.
        """
        self.lines.append(f"{label:<44} {value}")

    def require(self, is_kept: bool, promise: str) -> None:
        """Record a promise if it is broken.

        Parameters
        ----------
        is_kept : bool
            Whether the promise was kept.
        promise : str
            Description of the promise.
        """
        if not is_kept:
            self.broken.append(promise)


def _print_progress(text: str) -> None:
    print(f"[demo] {text}", flush=True)


def _wait_for_streams(fleet: Fleet) -> None:
    expected = sum(service.stream_count for service in fleet.layout.services.values())

    def all_open() -> bool:
        counts = fleet.send_command("caller")["counts"]
        return counts.get("streams_opened", 0) >= expected

    fleet.wait_for(all_open, "the streams", timeout_s=20.0)


def _inject_events(fleet: Fleet, summary: Summary) -> None:
    service = next(iter(fleet.layout.services))
    _print_progress("all streams are open; load runs")
    time.sleep(3)

    instance = fleet.names_of_kind("entry")[1]
    _print_progress(f"killing entry instance {instance}")
    fleet.kill(instance)
    time.sleep(3)

    endpoint = f"{service}-3"
    _print_progress(f"draining endpoint {endpoint}")
    code, _, errors = fleet.run_ctl("drain", endpoint)
    summary.require(code == 0, f"drain is accepted ({errors.strip()})")
    drained_s = time.time()

    _print_progress(f"applying version 2 of the document of {service}")
    in_force_s = _apply_and_wait(fleet, service)
    summary.add("seconds until the document was in force", f"{in_force_s:.3f}")
    summary.require(in_force_s <= _IN_FORCE_LIMIT_S, "a document is soon in force")
    time.sleep(5)

    last_s = fleet.send_command(endpoint)["last_new_work_s"]
    late_s = max(0.0, last_s - drained_s)
    summary.add("seconds until the drained endpoint got no work", f"{late_s:.3f}")
    summary.require(late_s <= _NEW_WORK_LIMIT_S, "a drained endpoint gets no new work")


def _apply_and_wait(fleet: Fleet, service: str) -> float:
    # Waits for the running instances only, since the killed one never acknowledges.
    path = fleet.write_document(service, 2, note="applied by the demo")
    started_s = time.monotonic()
    code, _, errors = fleet.run_ctl("apply", path)
    if code != 0:
        raise RuntimeError(errors)

    def in_force() -> bool:
        for name in fleet.names_of_kind("entry"):
            if fleet.processes[name].poll() is not None:
                continue
            state = fleet.read_state(name)
            if state is None or state["entry"]["documents"].get(service) != 2:
                return False
        return True

    fleet.wait_for(in_force, "the document", timeout_s=15.0)
    return time.monotonic() - started_s


def _imbalance(values: list[int]) -> str:
    if not values or not sum(values):
        return "no load"
    return f"{max(values) * len(values) / sum(values):.3f}"


def _summarize(
    fleet: Fleet, summary: Summary, streams: dict[str, dict[str, int]]
) -> None:
    caller = fleet.read_result("caller")
    backends = [fleet.read_result(name) for name in fleet.names_of_kind("backend")]
    counts = Counter(caller["counts"])
    summary.add("streams opened", counts["streams_opened"])
    summary.add("streams broken", counts["streams_broken"])
    summary.add("pushes delivered", counts["pushes"])
    summary.add("requests answered", counts["requests_answered"])
    summary.add("requests refused, not run", counts["requests_refused"])
    summary.add("requests unknown", counts["requests_unknown"])
    summary.add("answer time p50 / p99 (ms)", _format_percentiles(caller["latency_ms"]))

    runs: Counter[str] = Counter()
    for backend in backends:
        runs.update(backend["runs"])
    repeated_runs = [
        name for name, count in runs.items() if count > 1 and name[0] == "n"
    ]
    false_refusals = [name for name in caller["refused"] if runs[name]]
    unserved = [name for name in caller["answered"] if not runs[name]]
    misdelivered = sum(
        Counter(backend["counts"])["misdelivered"] for backend in backends
    )
    summary.add("doubles", len(repeated_runs))
    summary.add("refusals that were not true", len(false_refusals))
    summary.add("misdelivered packets", misdelivered)
    for service, loads in streams.items():
        requests = [
            Counter(backend["counts"])["requests_run"]
            for backend in backends
            if backend["service"] == service
        ]
        summary.add(
            f"imbalance of {service}: streams / requests",
            f"{_imbalance(list(loads.values()))} / {_imbalance(requests)}",
        )

    summary.require(not counts["streams_broken"], "no stream breaks")
    summary.require(not counts["pushes_wrong"], "pushes come in order")
    summary.require(not counts["answers_wrong"], "each gets its own answer")
    summary.require(not repeated_runs, "non-idempotent requests run at most once")
    summary.require(not false_refusals, "refusals are true")
    summary.require(not unserved, "answered requests have run")
    summary.require(not misdelivered, "no packet reaches another service")
    summary.require(counts["requests_answered"] > 0, "requests are answered")


def _format_percentiles(latency_ms: dict[str, float]) -> str:
    return f"{latency_ms['50']:.1f} / {latency_ms['99']:.1f}"


def _stream_loads(fleet: Fleet) -> dict[str, dict[str, int]]:
    loads: dict[str, dict[str, int]] = {name: {} for name in fleet.layout.services}
    for name in fleet.names_of_kind("backend"):
        reply = fleet.send_command(name)
        loads[reply["service"]][name] = reply["open_streams"]
    return loads


def run_demo(layout: str, folder: Path) -> int:
    """Run the demo.

    Parameters
    ----------
    layout : str
        Name of a layout in `LAYOUTS`.
    folder : Path
        Directory for settings and logs.

    Returns
    -------
    int
        Exit code, 1 if a promise was broken.
    """
    started_s = time.monotonic()
    summary = Summary()
    fleet = Fleet(LAYOUTS[layout], folder)
    try:
        _print_progress(f"starting {len(fleet.nodes)} processes, layout {layout}")
        fleet.start_all()
        _wait_for_streams(fleet)
        loads = _stream_loads(fleet)
        _inject_events(fleet, summary)
    finally:
        fleet.stop_all()
    _summarize(fleet, summary, loads)
    summary.add("seconds in all", f"{time.monotonic() - started_s:.1f}")
    print("\n".join(summary.lines))
    for promise in summary.broken:
        print(f"BROKEN PROMISE: {promise}")
    print("every promise was kept" if not summary.broken else "see above")
    return 1 if summary.broken else 0


def _main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", choices=sorted(LAYOUTS), default="faellesfane")
    parser.add_argument("--folder", help="keep settings and logs here")
    options = parser.parse_args()
    if options.folder:
        return run_demo(options.layout, Path(options.folder).resolve())
    with tempfile.TemporaryDirectory() as folder:
        return run_demo(options.layout, Path(folder))


if __name__ == "__main__":
    sys.exit(_main())
