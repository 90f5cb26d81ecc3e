"""The daemon and the operators' command line."""

from agatethread.cli._calls import (
    ControlTarget,
    apply_command,
    dump_instance,
    query_statuses,
)
from agatethread.cli._ctl import run_ctl
from agatethread.cli._daemon import run_daemon

__all__ = [
    "ControlTarget",
    "apply_command",
    "dump_instance",
    "query_statuses",
    "run_ctl",
    "run_daemon",
]
