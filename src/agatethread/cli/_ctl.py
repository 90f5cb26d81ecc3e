"""``agatethreadctl``: command line for operators."""

import argparse
import asyncio
import contextlib
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from agatethread import __version__
from agatethread.cli._calls import ControlTarget, dump_instance, get_document
from agatethread.cli._calls import query_statuses as read_statuses
from agatethread.cli._changes import (
    apply_document,
    evacuate_domain,
    readmit_domain,
    set_draining,
    wait_and_report,
)
from agatethread.cli._explanation import explain
from agatethread.cli._explanation_text import format_explanation
from agatethread.cli._log_lines import read_logs
from agatethread.cli._policies import describe_policies, read_policies
from agatethread.cli._results import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_USAGE,
    print_result,
)
from agatethread.exceptions import (
    AgatethreadError,
    DocumentError,
    FieldError,
    SettingsError,
    VersionConflictError,
)
from agatethread.settings import (
    TlsSettings,
    load_settings,
    parse_document,
)
from agatethread.wire.control_pb2 import StatusReply

#: Commands that do not connect to control instances.
_LOCAL_COMMANDS = ("check", "explain", "policies")

Handler = Callable[[argparse.Namespace, ControlTarget], Awaitable[int]]


async def _get(options: argparse.Namespace, target: ControlTarget) -> int:
    record = await get_document(target, options.service)
    data = {
        "service": record.service,
        "version": record.version,
        "index": record.index,
        "change_id": record.change_id,
        "text": record.text.decode(),
    }
    print_result(options, data, record.text.decode())
    return EXIT_DONE


async def _status(options: argparse.Namespace, target: ControlTarget) -> int:
    statuses = await read_statuses(target)
    newest = max(status.last_change_index for status in statuses)
    if options.wait_s:
        return await wait_and_report(options, target, newest)

    control, entry = _control_rows(statuses), _entry_rows(statuses)
    services = sorted({name for status in statuses for name in status.services})
    drained = sorted({name for status in statuses for name in status.drained})
    evacuated = sorted({name for status in statuses for name in status.evacuated})
    data = {
        "last_change_index": newest,
        "control": control,
        "entry": entry,
        "services": services,
        "drained": drained,
        "evacuated": evacuated,
    }
    lines = [f"last change: {newest}"]
    lines += [f"control {row['instance']}: {row['role']}" for row in control]
    lines += [
        f"entry {row['instance']}: at {row['applied_index']}"
        + ("" if row["connected"] else ", not connected")
        for row in entry
    ]
    lines += [
        f"services: {', '.join(services)}",
        f"drained: {', '.join(drained)}",
        f"evacuated: {', '.join(evacuated)}",
    ]
    print_result(options, data, "\n".join(lines))
    return EXIT_DONE


def _control_rows(statuses: list[StatusReply]) -> list[dict[str, Any]]:
    return [
        {
            "instance": status.instance,
            "role": status.role,
            "term": status.term,
            "commit_index": status.commit_index,
        }
        for status in statuses
    ]


def _entry_rows(statuses: list[StatusReply]) -> list[dict[str, Any]]:
    rows: dict[str, dict[str, Any]] = {}
    for status in statuses:
        for watcher in status.watchers:
            row = {
                "instance": watcher.instance,
                "failure_domain": watcher.failure_domain,
                "applied_index": watcher.applied_index,
                "connected": watcher.connected,
                "admin": watcher.admin,
            }
            if watcher.connected or watcher.instance not in rows:
                rows[watcher.instance] = row
    return list(rows.values())


async def _dump(options: argparse.Namespace, target: ControlTarget) -> int:
    print(json.dumps(await dump_instance(target, options.instance), indent=2))
    return EXIT_DONE


async def _check(options: argparse.Namespace, target: ControlTarget) -> int:
    text = Path(options.file).read_text(encoding="utf-8")
    if options.document:
        parse_document(options.file, text)
    else:
        load_settings(options.file)
    print_result(
        options, {"file": options.file, "faults": []}, f"{options.file}: no faults"
    )
    return EXIT_DONE


async def _explain(options: argparse.Namespace, _: ControlTarget) -> int:
    with contextlib.ExitStack() as files:
        logs = read_logs(
            files.enter_context(open(name, encoding="utf-8", errors="replace"))
            for name in options.logs
        )
    explanation = explain(logs, options.name)
    data = {
        "cause": explanation.cause,
        "deciding": explanation.deciding.fields if explanation.deciding else None,
        "lines": [line.fields for line in explanation.lines],
        "unreadable_lines": logs.unreadable_count,
        "left_out_lines": logs.left_out_count,
    }
    print_result(options, data, format_explanation(explanation))
    return EXIT_DONE if explanation.lines else EXIT_REFUSED


async def _policies(options: argparse.Namespace, _: ControlTarget) -> int:
    rows = describe_policies(await read_policies(options.at, options.file))
    text = "\n".join(f"{row.name} = {row.value!r}  ({row.state})" for row in rows)
    print_result(options, {row.name: row.value for row in rows}, text)
    return EXIT_DONE


def _add_command(
    commands, name: str, handler: Handler, summary: str, example: str
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=f"example: agatethreadctl {example}",
    )
    parser.set_defaults(handler=handler)
    return parser


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="agatethreadctl",
        description="Operate a fleet of agatethread instances.",
        epilog="exit codes: 0 done, 1 refused, 2 usage",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--control",
        default="",
        metavar="ADDRESS[,ADDRESS...]",
        help="gRPC addresses of control instances",
    )
    parser.add_argument(
        "--timeout-s", type=float, default=10.0, help="for each command"
    )
    parser.add_argument("--json", action="store_true", help="print data as JSON")
    parser.add_argument("--plain-text", action="store_true", help="gRPC without TLS")
    for name in ("certificate-file", "key-file", "authority-file"):
        parser.add_argument(f"--{name}", default="", help="TLS key file")
    _add_commands(parser.add_subparsers(dest="command", required=True))
    return parser


def _not_empty(name: str) -> str:
    if not name:
        raise argparse.ArgumentTypeError("an empty name would match every line")
    return name


def _add_commands(commands) -> None:
    apply = _add_command(
        commands, "apply", apply_document, "apply a service document", "apply tab.json5"
    )
    apply.add_argument("file", metavar="FILE")
    get = _add_command(commands, "get", _get, "print a service document", "get tab")
    get.add_argument("service", metavar="SERVICE")
    status = _add_command(
        commands, "status", _status, "show the fleet", "status --wait-s 5"
    )
    drain = _add_command(
        commands,
        "drain",
        set_draining,
        "give an instance or endpoint no new work",
        "drain tab-3",
    )
    drain.add_argument("name", metavar="INSTANCE|ENDPOINT")
    drain.add_argument("--undo", action="store_true", help="give it work again")
    evacuate = _add_command(
        commands,
        "evacuate",
        evacuate_domain,
        "give a failure domain's backend servers no new work",
        "evacuate hall-a --wait-s 5",
    )
    readmit = _add_command(
        commands,
        "readmit",
        readmit_domain,
        "give a failure domain's backend servers work again",
        "readmit hall-a",
    )
    for command in (evacuate, readmit):
        command.add_argument("domain", metavar="DOMAIN")
    dump = _add_command(
        commands, "dump", _dump, "print an instance's whole state", "dump entry-1"
    )
    dump.add_argument("instance", metavar="INSTANCE|ADDRESS")
    check = _add_command(
        commands, "check", _check, "check a settings file", "check entry-1.json5"
    )
    check.add_argument("file", metavar="FILE")
    check.add_argument("--document", action="store_true", help="it is a document")
    explain_command = _add_command(
        commands,
        "explain",
        _explain,
        "explain from logs what happened to a flow, a run or a version",
        "explain '10.0.0.7:40001' edge-*.log core-*.log",
    )
    explain_command.add_argument(
        "name", metavar="CALLER:PORT|RUN|version:N", type=_not_empty
    )
    explain_command.add_argument("logs", metavar="LOG", nargs="+")
    policies = _add_command(
        commands,
        "policies",
        _policies,
        "print the policies in force at an instance, or those of a file",
        "policies --at 10.1.0.10:9464",
    )
    source_group = policies.add_mutually_exclusive_group()
    source_group.add_argument(
        "--at", default="", metavar="IP:PORT", help="metrics address"
    )
    source_group.add_argument(
        "--file", default="", metavar="FILE", help="file of policies"
    )
    for command in (apply, drain, evacuate, readmit):
        command.add_argument("--change-id", default="", help="to send a change again")
    for command in (apply, drain, evacuate, readmit, status):
        command.add_argument(
            "--wait-s", type=float, default=0.0, help="wait until in force everywhere"
        )


def _target(options: argparse.Namespace) -> ControlTarget:
    files = (options.certificate_file, options.key_file, options.authority_file)
    tls = TlsSettings(*files) if all(files) else None
    if options.command not in _LOCAL_COMMANDS:
        if tls is None and not options.plain_text:
            fault = FieldError("command line", "tls", "", "key files, or --plain-text")
            raise SettingsError("command line has faults", [fault])
        if not options.control:
            fault = FieldError("command line", "--control", "", "an address")
            raise SettingsError("command line has faults", [fault])
    addresses = tuple(part for part in options.control.split(",") if part)
    return ControlTarget(addresses, options.timeout_s, tls)


def run_ctl(arguments: list[str] | None = None) -> None:
    """Run one command of an operator and exit with its code.

    Parameters
    ----------
    arguments : list of str, optional
        Command line arguments without the program's name.
    """
    options = _make_parser().parse_args(arguments)
    try:
        code = asyncio.run(options.handler(options, _target(options)))
    except (SettingsError, DocumentError) as error:
        for fault in error.exceptions:
            print(fault, file=sys.stderr)
        code = EXIT_USAGE
    except OSError as error:
        print(error, file=sys.stderr)
        code = EXIT_USAGE
    except VersionConflictError as error:
        print(f"conflict: {error}", file=sys.stderr)
        code = EXIT_REFUSED
    except AgatethreadError as error:
        print(error, file=sys.stderr)
        code = EXIT_REFUSED
    sys.exit(code)
