"""Stand-in fabric: forwards each packet of a caller to a random live entry instance.

Each caller gets a separate socket towards the instances, so that each instance can
answer to its address. The fabric probes the instances.
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
_MAX_MISSED_PROBES = 3
_BATCH_SIZE = 64


def open_socket(address: Address) -> socket.socket:
    """Open a non-blocking datagram socket.

    Parameters
    ----------
    address : tuple of (str, int)
        Address to bind.

    Returns
    -------
    socket.socket
        The socket.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def read_batch(sock: socket.socket):
    """Read a batch of received datagrams.

    Parameters
    ----------
    sock : socket.socket
        The socket.

    Yields
    ------
    tuple of (bytes, tuple)
        Datagram and source address.
    """
    for _ in range(_BATCH_SIZE):
        try:
            yield sock.recvfrom(2_048)
        except ConnectionError:
            continue
        except OSError:
            return


class Fabric:
    """Distributes packets at random over the instances that answer probes.

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
        self._missed_probes = dict.fromkeys(self._instances, _MAX_MISSED_PROBES)
        self._draining: set[str] = set()
        self._withheld: set[str] = set()
        self._live: list[Address] = []
        self._loss_probability = 0.0
        self._duplicate_probability = 0.0
        self._callers: dict[tuple[Address, str], socket.socket] = {}
        self._services = {
            name: open_socket(parse_address(address))
            for name, address in settings["services"].items()
        }
        self._probe_socket = open_socket(("127.0.0.1", 0))
        for name, sock in self._services.items():
            self._loop.add_reader(sock.fileno(), self._forward_from_callers, name, sock)
        self._loop.add_reader(self._probe_socket.fileno(), self._read_probe_answers)

    async def probe_forever(self) -> None:
        """Probe the instances and remove those that are unreachable or draining."""
        while True:
            for number, name in enumerate(self._instances):
                self._missed_probes[name] += 1
                probe = Envelope(kind=Kind.PROBE, sequence=number)
                target = self._instances[name]
                self._probe_socket.sendto(probe.SerializeToString(), target)
            self._update_live()
            await asyncio.sleep(_PROBE_INTERVAL_S)

    def _read_probe_answers(self) -> None:
        by_address = {address: name for name, address in self._instances.items()}
        for data, source in read_batch(self._probe_socket):
            name = by_address.get(source)
            if name is None:
                continue
            self._missed_probes[name] = 0
            if Envelope.FromString(data).reason == Reason.DRAINING:
                self._draining.add(name)
            else:
                self._draining.discard(name)
        self._update_live()

    def _update_live(self) -> None:
        self._live = [
            address
            for name, address in self._instances.items()
            if self._missed_probes[name] <= _MAX_MISSED_PROBES
            and name not in self._draining
            and name not in self._withheld
        ]

    def _forward_from_callers(self, service: str, sock: socket.socket) -> None:
        for data, caller in read_batch(sock):
            instance_socket = self._callers.get((caller, service))
            if instance_socket is None:
                instance_socket = self._add_caller(caller, service)
            if not self._live:
                continue
            self._deliver(instance_socket, data, self._random.choice(self._live))
            if self._random.random() < self._duplicate_probability:
                self._deliver(instance_socket, data, self._random.choice(self._live))

    def _add_caller(self, caller: Address, service: str) -> socket.socket:
        instance_socket = open_socket(("127.0.0.1", 0))
        self._callers[caller, service] = instance_socket
        service_socket = self._services[service]
        self._loop.add_reader(
            instance_socket.fileno(),
            self._forward_from_instances,
            instance_socket,
            service_socket,
            caller,
        )
        return instance_socket

    def _forward_from_instances(
        self,
        instance_socket: socket.socket,
        service_socket: socket.socket,
        caller: Address,
    ) -> None:
        for data, _ in read_batch(instance_socket):
            self._deliver(service_socket, data, caller)

    def _deliver(self, sock: socket.socket, data: bytes, target: Address) -> None:
        if self._random.random() < self._loss_probability:
            return
        if not self._delay_s:
            self._send(sock, data, target)
            return
        self._loop.call_later(self._delay_s, self._send, sock, data, target)

    @staticmethod
    def _send(sock: socket.socket, data: bytes, target: Address) -> None:
        try:
            sock.sendto(data, target)
        except OSError:
            return

    def on_command(self, command: dict[str, Any]) -> Any:
        """Change which packets are dropped, duplicated or withheld.

        Parameters
        ----------
        command : dict
            ``loss``, ``duplicate``: probabilities; ``withheld``: names of instances
            that receive no packets; all optional.

        Returns
        -------
        dict
            The number of live instances.
        """
        self._loss_probability = command.get("loss", self._loss_probability)
        self._duplicate_probability = command.get(
            "duplicate", self._duplicate_probability
        )
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
