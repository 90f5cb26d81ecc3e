"""A backend server in memory, whose list of runs is the oracle."""

import asyncio
from typing import TYPE_CHECKING

from agatethread.wire import Envelope, Kind, decode_envelope

if TYPE_CHECKING:
    from benchmarks.operations_world import World

SERVICE = "tab"
_RESEND_S = 0.3


class Backend:
    """A backend server with slots; its runs are the oracle.

    Parameters
    ----------
    name : str
        Its name.
    address : bytes
        Packed address.
    world : World
        Where it stands.
    """

    def __init__(self, name: str, address: bytes, world: "World"):
        self.name = name
        self.address = address
        self._world = world
        self._in_flight = 0
        self._seen: set[tuple[bytes, int]] = set()
        self._unreceived: dict[tuple[bytes, int], tuple[bytes, str]] = {}
        self._tasks: set[asyncio.Task] = set()
        self.shed_share = 0.0

    def receive(self, data: bytes, sender: str) -> None:
        """Take a datagram of an entry instance."""
        envelope = decode_envelope(data)
        key = (envelope.operation_id, envelope.attempt)
        if envelope.kind == Kind.RECEIVED:
            self._unreceived.pop(key, None)
        elif envelope.kind == Kind.REQUEST and key not in self._seen:
            self._seen.add(key)
            over = self._in_flight >= 2
            self._world.over_slots += over
            if over or self._world.random.random() < self.shed_share:
                self._reply(envelope, Kind.SHED, sender)
                return
            self._world.runs[envelope.payload] += 1
            self._in_flight += 1
            self._start(self._work(envelope, sender, key))

    def _start(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reply(self, envelope: Envelope, kind: int, sender: str) -> bytes:
        reply = Envelope(
            kind=kind,
            service=SERVICE,
            operation_id=envelope.operation_id,
            attempt=envelope.attempt,
            return_label=envelope.return_label,
            payload=b"done:" + envelope.payload,
        ).SerializeToString()
        self._world.to_instance(self, sender, reply)
        return reply

    async def _work(self, envelope: Envelope, sender: str, key) -> None:
        await asyncio.sleep(self._world.random.uniform(0.005, 0.03))
        self._in_flight -= 1
        answer = self._reply(envelope, Kind.ANSWER, sender)
        self._unreceived[key] = (answer, sender)
        for _ in range(10):
            await asyncio.sleep(_RESEND_S)
            if key not in self._unreceived:
                return
            other = self._world.random.choice(list(self._world.nodes))
            self._world.to_instance(self, other, answer)
        self._unreceived.pop(key, None)
