"""Stand-in network between the failure domains of entry instances and backend servers.

Each node has a public address here. A datagram to it is forwarded to the node with the
sender's public address as source, after the delay between their failure domains, or
dropped if the domains are cut off from each other.
"""

import argparse
import asyncio
import json
import random
import socket
from pathlib import Path
from typing import Any

from agatethread.settings import parse_address
from standins.commands import serve_commands
from standins.fabric import Address, open_socket, read_batch


class Link:
    """Forwards datagrams between nodes.

    Parameters
    ----------
    settings : dict
        ``nodes``: a list of ``name``, ``real``, ``public``, ``failure_domain``;
        ``delay_ms`` between failure domains; ``seed``; ``command``.
    """

    def __init__(self, settings: dict[str, Any]):
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(settings["seed"])
        self._delay_s = settings["delay_ms"] / 1000
        self._loss_probability = 0.0
        self._cuts: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._sent_bytes: dict[str, int] = {}
        self._nodes = {
            parse_address(node["real"]): (
                node["name"],
                node["failure_domain"],
                open_socket(parse_address(node["public"])),
            )
            for node in settings["nodes"]
        }
        for address, (name, domain, sock) in self._nodes.items():
            self._loop.add_reader(
                sock.fileno(), self._forward, sock, address, name, domain
            )

    def _forward(self, sock: socket.socket, address: Address, name: str, domain: str):
        for data, source in read_batch(sock):
            sender = self._nodes.get(source)
            if sender is None:
                continue
            sender_name, sender_domain, sender_socket = sender
            self._sent_bytes[sender_name] = self._sent_bytes.get(sender_name, 0) + len(
                data
            )
            if self._is_lost({sender_name, name}, sender_domain, domain):
                continue
            delay_s = 0.0 if sender_domain == domain else self._delay_s
            if delay_s:
                self._loop.call_later(delay_s, _send, sender_socket, data, address)
            else:
                _send(sender_socket, data, address)

    def _is_lost(self, names: set[str], domain: str, other_domain: str) -> bool:
        if names & self._isolated:
            return True
        if frozenset((domain, other_domain)) in self._cuts:
            return True
        return self._random.random() < self._loss_probability

    def on_command(self, command: dict[str, Any]) -> Any:
        """Change which datagrams are dropped.

        Parameters
        ----------
        command : dict
            ``loss``: a probability; ``cuts``: pairs of failure domains; ``isolated``:
            names of nodes; all optional.

        Returns
        -------
        dict
            Number of bytes that each node has sent.
        """
        self._loss_probability = command.get("loss", self._loss_probability)
        if "cuts" in command:
            self._cuts = {frozenset(pair) for pair in command["cuts"]}
        if "isolated" in command:
            self._isolated = set(command["isolated"])
        return {"bytes": self._sent_bytes}


def _send(sock: socket.socket, data: bytes, target: Address) -> None:
    try:
        sock.sendto(data, target)
    except OSError:
        return


async def _main(settings: dict[str, Any]) -> None:
    link = Link(settings)
    await serve_commands(settings["command"], link.on_command)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings")
    options = parser.parse_args()
    asyncio.run(_main(json.loads(Path(options.settings).read_text())))
