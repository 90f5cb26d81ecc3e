"""Operators' commands that change the configuration of the fleet."""

import argparse
import uuid
from pathlib import Path

from agatethread.cli._calls import ControlTarget, apply_command, wait_in_force
from agatethread.cli._results import EXIT_DONE, EXIT_REFUSED, print_result
from agatethread.settings import parse_document
from agatethread.wire.control_pb2 import Command, PutDocument, SetDrain, SetEvacuation


async def apply_document(options: argparse.Namespace, target: ControlTarget) -> int:
    """Apply a service document.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    target : ControlTarget
        The control instances.

    Returns
    -------
    int
        Exit code.
    """
    text = Path(options.file).read_text(encoding="utf-8")
    document = parse_document(options.file, text)
    change_id = options.change_id or str(uuid.uuid4())
    put = PutDocument(
        service=document.service, version=document.version, text=text.encode()
    )
    outcome = await apply_command(
        target, Command(put_document=put, change_id=change_id)
    )
    data = {
        "service": document.service,
        "version": document.version,
        "index": outcome.index,
        "change_id": change_id,
    }
    text = f"accepted {document.service} version {document.version}"
    return await _report_change(options, target, data, text)


async def _report_change(
    options: argparse.Namespace,
    target: ControlTarget,
    data: dict[str, object],
    text: str,
) -> int:
    """Print an agreed change, and wait until it is in force if asked to."""
    print_result(options, data, text)
    if options.wait_s:
        return await wait_and_report(options, target, data["index"])
    return EXIT_DONE


async def set_draining(options: argparse.Namespace, target: ControlTarget) -> int:
    """Drain an instance or backend server, or put it back in service.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    target : ControlTarget
        The control instances.

    Returns
    -------
    int
        Exit code.
    """
    change = SetDrain(name=options.name, draining=not options.undo)
    command = Command(
        set_drain=change, change_id=options.change_id or str(uuid.uuid4())
    )
    outcome = await apply_command(target, command)
    state = "back in service" if options.undo else "draining"
    data = {"name": options.name, "draining": not options.undo, "index": outcome.index}
    return await _report_change(options, target, data, f"{options.name} {state}")


async def _set_evacuation(
    options: argparse.Namespace, target: ControlTarget, evacuated: bool
) -> int:
    change = SetEvacuation(failure_domain=options.domain, evacuated=evacuated)
    command = Command(
        set_evacuation=change, change_id=options.change_id or str(uuid.uuid4())
    )
    outcome = await apply_command(target, command)
    state = "evacuated" if evacuated else "back in service"
    data = {
        "failure_domain": options.domain,
        "evacuated": evacuated,
        "index": outcome.index,
    }
    return await _report_change(options, target, data, f"{options.domain} {state}")


async def evacuate_domain(options: argparse.Namespace, target: ControlTarget) -> int:
    """Evacuate a failure domain: its backend servers get no new work.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    target : ControlTarget
        The control instances.

    Returns
    -------
    int
        Exit code.
    """
    return await _set_evacuation(options, target, evacuated=True)


async def readmit_domain(options: argparse.Namespace, target: ControlTarget) -> int:
    """End the evacuation of a failure domain.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    target : ControlTarget
        The control instances.

    Returns
    -------
    int
        Exit code.
    """
    return await _set_evacuation(options, target, evacuated=False)


async def wait_and_report(
    options: argparse.Namespace, target: ControlTarget, index: int
) -> int:
    """Wait until a change is in force, and print the instances that lag.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    target : ControlTarget
        The control instances.
    index : int
        Log index of the change.

    Returns
    -------
    int
        Exit code.
    """
    elapsed_s, laggards = await wait_in_force(target, index, options.wait_s)
    data = {"in_force_s": elapsed_s, "laggards": laggards}
    if laggards:
        lines = "\n".join(f"  {row['instance']}: {row['why']}" for row in laggards)
        print_result(
            options, data, f"not in force after {elapsed_s:.3f} s at:\n{lines}"
        )
        return EXIT_REFUSED
    print_result(options, data, f"in force everywhere after {elapsed_s:.3f} s")
    return EXIT_DONE
