"""Loopback addresses of everything that takes part in a run.

An instance is advertised at one address and listens for the others at another; the mesh
listens at the advertised ones and forwards.
"""

import random
import socket
from dataclasses import dataclass

#: Second part of an address, by what it is of.
_ADVERTISED, _LISTENING, _SERVERS, _CALLERS, _CLAIMS = 101, 102, 103, 104, 105
#: Held at the net's own address by the run that has the net.
_CLAIM_PORT = 14_999
_MOST_NETS = 250
_PORT_COUNT = 6


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses of one run; runs beside each other have other nets."""

    net: int
    #: Keeps the net from other runs on this computer until it is closed.
    claim: socket.socket
    registry: int
    log: int
    api: int
    datagrams: int
    readiness: int
    servers: int

    def advertised(self, number: int) -> str:
        """Give the address that others know an instance by."""
        return f"127.{_ADVERTISED}.{self.net}.{number}"

    def listening(self, number: int) -> str:
        """Give the address that an instance listens at for the others."""
        return f"127.{_LISTENING}.{self.net}.{number}"

    def server(self, number: int) -> str:
        """Give the address of a backend server."""
        return f"127.{_SERVERS}.{self.net}.{number}"

    def caller(self, number: int) -> str:
        """Give the address of a caller."""
        return f"127.{_CALLERS}.{self.net}.{number}"


def number_of(host: str) -> int:
    """Read the number of the instance, server or caller at an address."""
    return int(host.rpartition(".")[2])


def draw_addresses(seed: int) -> Addresses:
    """Claim a net, and find ports in a row free for datagrams and connections.

    Two runs with one seed side by side would else share addresses, and each would
    hear the other's instances.

    Parameters
    ----------
    seed : int
        Where to start to look.

    Returns
    -------
    Addresses
        With a net of its own, and ports that were free a moment ago.

    Raises
    ------
    OSError
        If all nets are taken.
    """
    net, claim = _claim_net(seed)
    draw = random.Random(seed)
    while True:
        # Below the range from which the kernel takes ports for outgoing connections.
        first = draw.randrange(15_000, 30_000)
        ports = range(first, first + _PORT_COUNT)
        if all(_is_free(port) for port in ports):
            return Addresses(net, claim, *ports)


def _claim_net(seed: int) -> tuple[int, socket.socket]:
    for number in range(_MOST_NETS):
        net = (seed + number) % _MOST_NETS + 1
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{_CLAIMS}.{net}.1", _CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return net, claim
    raise OSError("every net of this computer is claimed by another run")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
