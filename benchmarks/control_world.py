"""Control instances' real logs on real files, joined by a faulty network in memory."""

import asyncio
import shutil
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from agatethread.control import LogStorage, PeerCalls, RaftNode, Role
from agatethread.exceptions import DiskFullError, NotLeaderError, UnavailableError
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import Command, Outcome, PutDocument
from benchmarks.faulty_network import Network

_CALL_TIMEOUT_S = 0.6


async def call_over(
    network: Network, source: str, target: str, serve: Callable[[], Any]
) -> Any:
    """Make a call between two instances over a faulty network.

    Parameters
    ----------
    network : Network
        Carries the request and the reply.
    source, target : str
        Names of the instances.
    serve : callable
        Answers at the target; None where nobody does.

    Returns
    -------
    object
        The reply.

    Raises
    ------
    UnavailableError
        If none came in time.
    """
    reply = asyncio.get_running_loop().create_future()

    def give_back(result) -> None:
        if not reply.done():
            reply.set_result(result)

    def arrive() -> None:
        try:
            result = serve()
        except DiskFullError:
            return
        if result is not None:
            network.send(target, source, lambda: give_back(result))

    network.send(source, target, arrive)
    try:
        return await asyncio.wait_for(reply, _CALL_TIMEOUT_S)
    except TimeoutError:
        raise UnavailableError(target) from None


@dataclass
class Acknowledged:
    """A change and the outcome that its operator was given."""

    change_id: str
    version: int
    outcome: Outcome


@dataclass
class History:
    """What the oracle remembers."""

    leaders: dict[int, str] = field(default_factory=dict)
    entries: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    acknowledged: list[Acknowledged] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


class ControlWorld:
    """A few control instances, their disks and the network between them.

    Parameters
    ----------
    folder : Path
        For the disks.
    seed : int
        Of every chance.
    count : int, default=3
        Members.
    snapshot_entry_count : int, default=20
        Entries before a snapshot.
    """

    def __init__(
        self, folder: Path, seed: int, count: int = 3, snapshot_entry_count: int = 20
    ):
        self.network = Network(seed)
        self._seed = seed
        self.names = [f"control-{number}" for number in range(count)]
        self.nodes: dict[str, RaftNode] = {}
        self.history = History()
        self._folder = folder
        self._settings = ControlSettings(
            "unused", snapshot_entry_count=snapshot_entry_count
        )
        self._tasks: set[asyncio.Task] = set()

    async def start(self, name: str) -> None:
        """Start a member, from what its disk holds."""
        peers = {
            other: self._calls(name, other) for other in self.names if other != name
        }
        storage = LogStorage(str(self._folder / name))
        loop = asyncio.get_running_loop()
        node = RaftNode(
            name, self._settings, storage, peers, loop.time, self._next_seed()
        )
        self.nodes[name] = node
        self.network.dead.discard(name)
        node.subscribe(lambda: self._on_applied(node))
        await node.start()

    def _next_seed(self) -> int:
        self._seed += 1
        return self._seed

    async def kill(self, name: str) -> None:
        """End a member; what it had synced stays."""
        node = self.nodes.pop(name, None)
        if node is not None:
            self.network.dead.add(name)
            self.network.thaw(name)
            await node.stop()

    def lose_disk(self, name: str) -> None:
        """Remove a dead member's files."""
        shutil.rmtree(self._folder / name, ignore_errors=True)

    def tear_disk(self, name: str) -> None:
        """Leave half a record at the end of a dead member's log."""
        with open(self._folder / name / "log", "ab") as file:
            file.write(b"\x00\x00\x00\x40torn")

    def _calls(self, source: str, target: str) -> PeerCalls:
        def caller(method: str):
            async def call(request):
                return await self._call(source, target, method, request)

            return call

        return PeerCalls(caller("on_vote"), caller("on_append"), caller("on_snapshot"))

    async def _call(self, source: str, target: str, method: str, request):
        def serve():
            node = self.nodes.get(target)
            return None if node is None else getattr(node, method)(request)

        return await call_over(self.network, source, target, serve)

    # -- operators ----------------------------------------------------------------

    def apply(self, version: int, change_id: str) -> None:
        """Send a change to whoever leads, until there is an answer or time is up."""
        task = asyncio.ensure_future(self._apply(version, change_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply(self, version: int, change_id: str) -> None:
        put = PutDocument(service="tab", version=version, text=change_id.encode())
        command = Command(put_document=put, change_id=change_id).SerializeToString()
        for _ in range(20):
            for node in list(self.nodes.values()):
                if node.name in self.network.frozen:
                    continue
                try:
                    outcome = await asyncio.wait_for(node.propose(command), 2.0)
                except (NotLeaderError, DiskFullError, TimeoutError):
                    continue
                known = Acknowledged(change_id, version, outcome)
                self.history.acknowledged.append(known)
                return
            await asyncio.sleep(0.1)

    # -- oracle -------------------------------------------------------------------

    def _on_applied(self, node: RaftNode) -> None:
        self.check_leaders()
        entries = self.history.entries
        for entry in node.committed_entries():
            seen = entries.setdefault(entry.index, (entry.term, entry.command))
            if seen != (entry.term, entry.command):
                self.history.violations.append(f"two entries at {entry.index}")

    def check_leaders(self) -> None:
        """Note who leads, and whether a term has two leaders."""
        for node in self.nodes.values():
            if node.role is not Role.LEADER:
                continue
            leader = self.history.leaders.setdefault(node.term, node.name)
            if leader != node.name:
                self.history.violations.append(f"two leaders in term {node.term}")

    def violations(self) -> list[str]:
        """List what broke so far.

        Returns
        -------
        list of str
            Empty if all was well.
        """
        self.check_leaders()
        found = list(self.history.violations)
        winners: dict[int, str] = {}
        for known in self.history.acknowledged:
            if not known.outcome.accepted:
                continue
            winner = winners.setdefault(known.version, known.change_id)
            if winner != known.change_id:
                found.append(f"two winners of version {known.version}")
        return found

    def settled_violations(self) -> list[str]:
        """List what is wrong once everyone has caught up.

        Returns
        -------
        list of str
            Lost changes and differing states.
        """
        found = self.violations()
        states = {
            node.documents.snapshot().SerializeToString(deterministic=True)
            for node in self.nodes.values()
        }
        if len(states) > 1:
            found.append("the members' states differ")
        for node in self.nodes.values():
            for known in self.history.acknowledged:
                if node.documents.get_outcome(known.change_id) != known.outcome:
                    found.append(f"{node.name} lost {known.change_id}")
        return found

    async def close(self) -> None:
        """End everything."""
        for task in list(self._tasks):
            task.cancel()
        for name in list(self.nodes):
            await self.kill(name)
