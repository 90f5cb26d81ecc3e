"""Allocates the loopback addresses of a soak run.

An instance is advertised at one address and listens for other instances at another; the
proxy mesh listens at the advertised addresses and forwards to the others.
"""

import random
import socket
from dataclasses import dataclass

#: Second octet of an address, by its purpose.
_ADVERTISED, _LISTENING, _SERVERS, _CALLERS, _CLAIMS = 101, 102, 103, 104, 105
#: Port that a run binds in its net to reserve it.
_CLAIM_PORT = 14_999
_MAX_NETS = 250
_PORT_COUNT = 6


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses and ports of one run; concurrent runs use different nets."""

    net: int
    #: Reserves the net on this machine until it is closed.
    claim: socket.socket
    registry: int
    log: int
    api: int
    datagrams: int
    readiness: int
    servers: int

    def advertised(self, number: int) -> str:
        """Return the advertised address of an instance."""
        return f"127.{_ADVERTISED}.{self.net}.{number}"

    def listening(self, number: int) -> str:
        """Return the address at which an instance listens for other instances."""
        return f"127.{_LISTENING}.{self.net}.{number}"

    def server(self, number: int) -> str:
        """Return the address of a backend server."""
        return f"127.{_SERVERS}.{self.net}.{number}"

    def caller(self, number: int) -> str:
        """Return the address of a caller."""
        return f"127.{_CALLERS}.{self.net}.{number}"


def parse_number(host: str) -> int:
    """Return the number of the instance, server or caller at an address."""
    return int(host.rpartition(".")[2])


def claim_addresses(seed: int) -> Addresses:
    """Reserve a net and return its addresses and consecutive free ports.

    Keeps concurrent runs with the same seed from sharing addresses.

    Parameters
    ----------
    seed : int
        Determines where the search starts.

    Returns
    -------
    Addresses
        Addresses in the reserved net, with ports that were free.

    Raises
    ------
    OSError
        If all nets are reserved.
    """
    net, claim = _claim_net(seed)
    generator = random.Random(seed)
    while True:
        # Below the ephemeral port range of the kernel.
        first_port = generator.randrange(15_000, 30_000)
        ports = range(first_port, first_port + _PORT_COUNT)
        if all(_is_free(port) for port in ports):
            return Addresses(net, claim, *ports)


def _claim_net(seed: int) -> tuple[int, socket.socket]:
    for offset in range(_MAX_NETS):
        net = (seed + offset) % _MAX_NETS + 1
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{_CLAIMS}.{net}.1", _CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return net, claim
    raise OSError("all nets of this machine are reserved by other runs")


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
