"""Stand-in fabric: hands each packet of a caller to any live entry instance.

Each caller gets a socket of its own towards the instances, so that they see one address
for each caller and may all answer to it. Instances are probed, as a fabric would.
"""

import argparse
import asyncio
import json
import random
import socket
from pathlib import Path
from typing import Any

from agatethread.settings import parse_address
from agatethread.wire import Envelope, Kind, Reason
from standins.commands import serve_commands

Address = tuple[str, int]

_PROBE_INTERVAL_S = 0.1
_MISSES_TO_REMOVE = 3
_BATCH = 64


def open_socket(address: Address) -> socket.socket:
    """Open a non-blocking datagram socket.

    Parameters
    ----------
    address : tuple of (str, int)
        Where to bind.

    Returns
    -------
    socket.socket
        The socket.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    opened.setblocking(False)
    opened.bind(address)
    return opened


def read_batch(opened: socket.socket):
    """Read what has arrived at a socket.

    Parameters
    ----------
    opened : socket.socket
        The socket.

    Yields
    ------
    tuple of (bytes, tuple)
        Datagram and source.
    """
    for _ in range(_BATCH):
        try:
            yield opened.recvfrom(2_048)
        except ConnectionError:
            continue
        except OSError:
            return


class Fabric:
    """Sprays packets over the instances that answer its probes.

    Parameters
    ----------
    settings : dict
        ``services`` (name to address), ``instances`` (name to address), ``seed``,
        ``delay_ms``, ``command``.
    """

    def __init__(self, settings: dict[str, Any]):
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(settings["seed"])
        self._delay_s = settings["delay_ms"] / 1000
        self._instances = {
            name: parse_address(address)
            for name, address in settings["instances"].items()
        }
        self._misses = dict.fromkeys(self._instances, _MISSES_TO_REMOVE)
        self._leaving: set[str] = set()
        self._withheld: set[str] = set()
        self._live: list[Address] = []
        self._loss = 0.0
        self._duplicate = 0.0
        self._callers: dict[tuple[Address, str], socket.socket] = {}
        self._services = {
            name: open_socket(parse_address(address))
            for name, address in settings["services"].items()
        }
        self._prober = open_socket(("127.0.0.1", 0))
        for name, opened in self._services.items():
            self._loop.add_reader(opened.fileno(), self._from_callers, name, opened)
        self._loop.add_reader(self._prober.fileno(), self._on_probe_answers)

    async def probe_forever(self) -> None:
        """Probe the instances and drop those that are silent or leaving."""
        while True:
            for number, name in enumerate(self._instances):
                self._misses[name] += 1
                probe = Envelope(kind=Kind.PROBE, sequence=number)
                target = self._instances[name]
                self._prober.sendto(probe.SerializeToString(), target)
            self._update_live()
            await asyncio.sleep(_PROBE_INTERVAL_S)

    def _on_probe_answers(self) -> None:
        by_address = {address: name for name, address in self._instances.items()}
        for data, source in read_batch(self._prober):
            name = by_address.get(source)
            if name is None:
                continue
            self._misses[name] = 0
            if Envelope.FromString(data).reason == Reason.DRAINING:
                self._leaving.add(name)
            else:
                self._leaving.discard(name)
        self._update_live()

    def _update_live(self) -> None:
        self._live = [
            address
            for name, address in self._instances.items()
            if self._misses[name] <= _MISSES_TO_REMOVE
            and name not in self._leaving
            and name not in self._withheld
        ]

    def _from_callers(self, service: str, opened: socket.socket) -> None:
        for data, caller in read_batch(opened):
            outer = self._callers.get((caller, service))
            if outer is None:
                outer = self._add_caller(caller, service)
            if not self._live:
                continue
            self._deliver(outer, data, self._random.choice(self._live))
            if self._random.random() < self._duplicate:
                self._deliver(outer, data, self._random.choice(self._live))

    def _add_caller(self, caller: Address, service: str) -> socket.socket:
        outer = open_socket(("127.0.0.1", 0))
        self._callers[caller, service] = outer
        inner = self._services[service]
        self._loop.add_reader(
            outer.fileno(), self._from_instances, outer, inner, caller
        )
        return outer

    def _from_instances(
        self, outer: socket.socket, inner: socket.socket, caller: Address
    ) -> None:
        for data, _ in read_batch(outer):
            self._deliver(inner, data, caller)

    def _deliver(self, opened: socket.socket, data: bytes, target: Address) -> None:
        if self._random.random() < self._loss:
            return
        if not self._delay_s:
            self._send(opened, data, target)
            return
        self._loop.call_later(self._delay_s, self._send, opened, data, target)

    @staticmethod
    def _send(opened: socket.socket, data: bytes, target: Address) -> None:
        try:
            opened.sendto(data, target)
        except OSError:
            return

    def on_command(self, command: dict[str, Any]) -> Any:
        """Change how packets are treated.

        Parameters
        ----------
        command : dict
            ``loss``, ``duplicate``: probabilities; ``withheld``: names of instances
            that get nothing; all optional.

        Returns
        -------
        dict
            How many instances are live.
        """
        self._loss = command.get("loss", self._loss)
        self._duplicate = command.get("duplicate", self._duplicate)
        self._withheld = set(command.get("withheld", self._withheld))
        self._update_live()
        return {"live": len(self._live)}


async def _main(settings: dict[str, Any]) -> None:
    fabric = Fabric(settings)
    await serve_commands(settings["command"], fabric.on_command)
    await fabric.probe_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings")
    options = parser.parse_args()
    asyncio.run(_main(json.loads(Path(options.settings).read_text())))
