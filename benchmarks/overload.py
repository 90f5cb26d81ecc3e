"""Goodput at and above capacity.

Two backend servers with two slots each and 40 ms a request serve 100 requests a second
at best. Goodput is answers a second; the rest is refused, with when to come back.
"""

import argparse
import json
import tempfile
import time
from collections import Counter
from pathlib import Path

from standins.fleet import Fleet, with_services
from standins.layouts import FAELLESFANE, ServiceLayout

_CAPACITY_PER_S = 100
_MEASURE_S = 8.0


def _snapshot(fleet: Fleet) -> tuple[float, Counter]:
    return time.monotonic(), Counter(fleet.send_command("caller")["counts"])


def run_load(factor: float, folder: Path) -> dict[str, object]:
    """Run a fleet under a share of its capacity.

    Parameters
    ----------
    factor : float
        Offered load as a share of the capacity.
    folder : Path
        For settings and logs.

    Returns
    -------
    dict
        Rates and latencies.
    """
    rate = _CAPACITY_PER_S * factor
    layout = with_services(FAELLESFANE, tab=ServiceLayout(2, 0, 40, 4, rate, 1.0))
    fleet = Fleet(layout, folder, caller_settings={"timeout_s": 1.0})
    try:
        fleet.start_all()
        time.sleep(4)
        started_s, before = _snapshot(fleet)
        time.sleep(_MEASURE_S)
        ended_s, after = _snapshot(fleet)
    finally:
        fleet.stop_all()
    elapsed_s = ended_s - started_s
    backends = [
        Counter(fleet.read_result(name)["counts"])
        for name in fleet.names_of_kind("backend")
    ]

    def per_s(name: str) -> float:
        return round((after[name] - before[name]) / elapsed_s, 1)

    return {
        "offered_per_s": rate,
        "answered_per_s": per_s("requests_answered"),
        "refused_per_s": per_s("requests_refused"),
        "unknown_per_s": per_s("requests_unknown"),
        "over_slots": sum(counts["over_slots"] for counts in backends),
        "p99_ms": fleet.read_result("caller")["latency_ms"]["99"],
    }


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--factors", type=float, nargs="+", default=[0.8, 0.95, 1.0, 1.5, 2.0]
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for number, factor in enumerate(options.factors):
            row = run_load(factor, Path(folder) / str(number))
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    _main()
