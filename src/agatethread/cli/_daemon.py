"""``agatethread``: a process with the roles that its settings list."""

import argparse
import sys
from typing import Any

from mode import Service, Worker

from agatethread import __version__
from agatethread.control import ControlInstance
from agatethread.entry import EntryInstance
from agatethread.exceptions import AgatethreadError, SettingsError
from agatethread.observability import (
    Counters,
    make_logger,
    set_up_logging,
    start_metrics,
)
from agatethread.rpc import AdminServer
from agatethread.settings import Settings, load_settings

EXIT_USAGE = 2

log = make_logger("daemon")


class Daemon(Service):
    """Service that runs all roles of a process.

    Parameters
    ----------
    settings : Settings
        The checked settings.
    """

    def __init__(self, settings: Settings):
        super().__init__()
        self._settings = settings
        self._counters = Counters()
        self._entry = None
        self._control = None
        self._admin = AdminServer(settings, self._dump)
        if "control" in settings.roles:
            self._control = ControlInstance(settings, self._counters)
            self._admin.register(self._control.register)
        if "entry" in settings.roles:
            self._entry = EntryInstance(settings, self._counters)

    async def on_start(self) -> None:
        """Start the roles, then the admin server and the metrics endpoint."""
        gauges = {}
        if self._control is not None:
            await self.add_runtime_dependency(self._control)
        if self._entry is not None:
            await self.add_runtime_dependency(self._entry)
            gauges = self._entry.gauges()
        await self.add_runtime_dependency(self._admin)
        start_metrics(self._settings, self._counters, gauges)
        log.info("ready", roles=",".join(self._settings.roles))

    async def on_stop(self) -> None:
        """Wait until the entry role has finished its operations."""
        if self._entry is not None:
            await self._entry.leave()

    def _dump(self) -> dict[str, Any]:
        dump: dict[str, Any] = {
            "instance": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "roles": list(self._settings.roles),
            "version": __version__,
            "counters": dict(self._counters),
        }
        if self._entry is not None:
            dump["entry"] = self._entry.dump()
        if self._control is not None:
            dump["control"] = self._control.dump()
        return dump


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="agatethread",
        description="Layer-4 load balancer for live events with a fixed start.",
        epilog="example: agatethread --config entry-1.json5",
    )
    parser.add_argument("--config", required=True, metavar="FILE", help="settings file")
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(arguments)


def run_daemon(arguments: list[str] | None = None) -> None:
    """Run the daemon until it is stopped by a signal.

    Parameters
    ----------
    arguments : list of str, optional
        Command line arguments without the program's name.
    """
    options = _parse_arguments(arguments)
    try:
        settings = load_settings(options.config)
        set_up_logging(settings.logging, settings.name, settings.failure_domain)
        daemon = Daemon(settings)
    except SettingsError as error:
        for fault in error.exceptions:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except (AgatethreadError, OSError) as error:
        print(f"{options.config}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)

    worker = Worker(daemon, override_logging=False, quiet=True, daemon=True)
    worker.execute_from_commandline()
