"""Small fakes shared by the tests."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from agatethread.membership import Member, MemberTable
from agatethread.wire import Announcement, MemberState, pack_address

NO_LISTENER = lambda *_: None  # noqa: E731


class Clock:
    """A clock that a test sets."""

    def __init__(self, now_s: float = 1000.0):
        self.value_s = now_s

    def __call__(self) -> float:
        return self.value_s


class _SkippingSelector(selectors.SelectSelector):
    """Never waits: the time it was to wait passes at once."""

    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.skipped_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time runs only while nothing is ready."""

    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        return self._skipping.skipped_s + 1000.0


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


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
