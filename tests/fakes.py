"""Small fakes shared by the tests."""

import os
import socket
from typing import Any

from agatethread.membership import Member, MemberTable
from agatethread.wire import Announcement, MemberState, pack_address


class Clock:
    """A clock that a test sets."""

    def __init__(self, now_s: float = 1000.0):
        self.value_s = now_s

    def __call__(self) -> float:
        return self.value_s


def own_host(number: int) -> str:
    """Loopback address number N of this process, for ports that can't be chosen."""
    process = os.getpid()
    return f"127.{110 + number}.{process >> 8 & 255}.{process & 255}"


def address(number: int) -> bytes:
    """Packed address number N."""
    return pack_address(("127.0.0.1", number))


def member(number: int, domain: str = "a", **fields: Any) -> Member:
    """Entry instance number N."""
    return Member(f"entry-{number}", domain, address(number), 1, **fields)


def fleet_table(count: int, me: int = 1) -> MemberTable:
    """A view of a fleet of which all are alive."""
    table = MemberTable(member(me))
    for number in range(1, count + 1):
        table.apply(member(number))
    return table


def dead(known: Member) -> Member:
    """The same member, dead."""
    fields = (known.name, known.failure_domain, known.address, known.incarnation)
    return Member(*fields, known.counter, MemberState.DEAD)


def announcement(number: int = 1, **fields: Any) -> Announcement:
    """Announcement of backend server number N of the tab service."""
    values = {
        "endpoint_id": f"tab-{number}",
        "incarnation": 1,
        "service": "tab",
        "failure_domain": "a",
        "slots": 2,
        "connection_limit": 2000,
        "lease_ms": 3000,
        "sequence": 1,
    }
    return Announcement(**(values | fields))


def free_port() -> int:
    """A port that was free a moment ago, for datagrams and for connections."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connections,
        ):
            datagrams.bind(("", 0))
            port = datagrams.getsockname()[1]
            try:
                connections.bind(("", port))
            except OSError:
                continue
            return port
