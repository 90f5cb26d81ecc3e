"""Seconds from a change being sent, and accepted, to its being in force everywhere.

A fleet without callers takes one change after the other, while an entry instance is
killed and started again every few seconds. In force means: at every instance that has a
stream to a control instance.
"""

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from agatethread.cli import ControlTarget, apply_command, query_statuses
from agatethread.wire.control_pb2 import Command, PutDocument
from standins.fleet import Fleet
from standins.layouts import LAYOUTS

_KILL_EVERY = 25
_LONGEST_US = 60_000_000


async def _lagging(target: ControlTarget, index: int) -> bool:
    best: dict[str, int] = {}
    for status in await query_statuses(target):
        for watcher in status.watchers:
            if watcher.connected:
                applied = max(watcher.applied_index, best.get(watcher.instance, 0))
                best[watcher.instance] = applied
    return any(applied < index for applied in best.values())


async def _change(target: ControlTarget, version: int) -> tuple[float, float]:
    text = json.dumps({"service": "tab", "version": version, "note": "x" * 200})
    put = PutDocument(service="tab", version=version, text=text.encode())
    started_s = time.monotonic()
    command = Command(put_document=put, change_id=f"change-{version}")
    outcome = await apply_command(target, command)
    accepted_s = time.monotonic()
    while await _lagging(target, outcome.index):
        await asyncio.sleep(0.005)
    return accepted_s - started_s, time.monotonic() - accepted_s


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        name: histogram.get_value_at_percentile(percentile) / 1e6
        for name, percentile in (("p50_s", 50), ("p99_s", 99), ("max_s", 100))
    }


def measure(layout: str, changes: int, folder: Path) -> dict[str, object]:
    """Apply changes and measure each.

    Parameters
    ----------
    layout : str
        A name in `LAYOUTS`.
    changes : int
        How many.
    folder : Path
        For settings and logs.

    Returns
    -------
    dict
        Percentiles of both times.
    """
    fleet = Fleet(LAYOUTS[layout], folder)
    service = "tab" if "tab" in fleet.layout.services else "claims"
    accepted = HdrHistogram(1, _LONGEST_US, 3)
    in_force = HdrHistogram(1, _LONGEST_US, 3)
    kills = 0
    try:
        fleet.start_all(with_caller=False)
        target = fleet.control_target
        first = 2 if service == "tab" else 1
        entries = fleet.names_of_kind("entry")
        for number in range(changes):
            if number % _KILL_EVERY == _KILL_EVERY // 2:
                victim = entries[kills % len(entries)]
                fleet.kill(victim)
                fleet.start(victim)
                kills += 1
            times = asyncio.run(_change(target, first + number))
            accepted.record_value(max(1, int(times[0] * 1e6)))
            in_force.record_value(max(1, int(times[1] * 1e6)))
            time.sleep(0.05)
    finally:
        fleet.stop_all()
    return {
        "layout": layout,
        "changes": changes,
        "kills": kills,
        "until_accepted": _percentiles(accepted),
        "accepted_until_in_force": _percentiles(in_force),
    }


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", choices=sorted(LAYOUTS), default="faellesfane")
    parser.add_argument("--changes", type=int, default=200)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure(options.layout, options.changes, Path(folder))))


if __name__ == "__main__":
    _main()
