"""Runs the soak test and prints its report as JSON; exit code 1 on a breach."""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from dataclasses import asdict, replace
from pathlib import Path

from soak.run import Report, RunSize, Soak

_ROOT = Path(__file__).resolve().parent.parent
_LARGE = RunSize(
    control_count=5, entry_count=24, server_count=30, caller_count=60, losses_borne=2
)


async def _run(soak: Soak, duration_s: float) -> Report:
    # Cancelled on SIGTERM, so that the processes it started are stopped.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await soak.run(duration_s)


def main() -> None:
    """Run the soak test with the options of the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--large", action="store_true", help="some dozen instances")
    parser.add_argument("--entries", type=int, default=0, help="entry instances")
    parser.add_argument("--keep", default="", help="folder for logs, kept afterwards")
    parser.add_argument(
        "--sources", default=str(_ROOT), help="checkout that the programs are run from"
    )
    options = parser.parse_args()
    size = _LARGE if options.large else RunSize()
    if options.entries:
        size = replace(size, entry_count=options.entries)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(options.keep or temporary)
        if folder.exists() and any(folder.iterdir()):
            parser.error(f"{folder} is not empty: its disks are another run's")
        soak = Soak(folder, options.seed, size, Path(options.sources))
        report = asyncio.run(_run(soak, 60 * options.minutes))
    print(json.dumps(asdict(report)))
    sys.exit(1 if report.breaches else 0)


if __name__ == "__main__":
    main()
