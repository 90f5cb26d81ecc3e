"""Control instances whose log keeps its own members, among faults and lost disks.

The real log, membership manager, names and files; the network is in memory and time is
virtual. The oracle is what operators were told.
"""

import asyncio
import itertools
import random
import shutil
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from agatethread.control import LogStorage, PeerCalls, RaftNode, Role
from agatethread.control._member_name import load_or_create_member_name
from agatethread.control._members import voter_names
from agatethread.control._membership import MembershipManager
from agatethread.exceptions import AgatethreadError
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import Command, ControlMember, PutRoutes
from benchmarks.control_world import call_over
from benchmarks.faulty_network import Network

#: Time after which an instance that has started must bear the next loss.
CATCHUP_S = 4.0
VOTER_TIMEOUT_S = CATCHUP_S / 4
_MANAGE_INTERVAL_S = 0.25
_HANDOVER_LIMIT_S = 3.0
_CHANGE_LIMIT_S = 2.5
_READ_LIMIT_S = 0.8
_TRIES = 20

Claim = Callable[[LogStorage, str, bool, list[ControlMember]], str]


class MemberWorld:
    """Control instances at fixed addresses, with as many voters as losses need.

    Parameters
    ----------
    folder : Path
        For the disks.
    seed : int
        Of every chance.
    losses_borne : int, default=1
        Control instances whose loss has to be borne at once.
    claim : callable, optional
        Names a disk; another one switches the safeguard off.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        losses_borne: int = 1,
        claim: Claim = load_or_create_member_name,
    ):
        self.network = Network(seed)
        self.random = random.Random(seed)
        self.losses_borne = losses_borne
        self.nodes: dict[str, RaftNode] = {}
        self.addresses: list[str] = []
        self._claim = claim
        self._folder = folder
        self._settings = ControlSettings("unused", snapshot_entry_count=12)
        self._keepers: dict[str, MembershipManager] = {}
        self._managing: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count()
        self._founders: list[ControlMember] = []
        self._oracle_entries: dict[int, tuple[int, bytes]] = {}
        self._leaders: dict[int, str] = {}
        #: Content of each version that was seen in force.
        self._winners: dict[int, bytes] = {}
        #: Each kind once, in the order seen.
        self._faults: dict[str, None] = {}
        self.acknowledged = 0
        self.read_count = 0
        self.last_version = 0

    # -- instances ----------------------------------------------------------------

    async def found(self) -> None:
        """Start the first instances, as many as there are to be voters."""
        self.addresses = [self._new_address() for _ in range(2 * self.losses_borne + 1)]
        self._founders = [
            ControlMember(name=one, target=one, failure_domain=one, voter=True)
            for one in self.addresses
        ]
        for address in self.addresses:
            await self.start(address, is_first_start=True)

    def _new_address(self) -> str:
        return f"control-{next(self._numbers)}"

    async def start(self, address: str, is_first_start: bool = False) -> None:
        """Start an instance, from what its disk holds."""
        storage = LogStorage(str(self._folder / address))
        name = self._claim(storage, address, is_first_start, self._founders)
        loop = asyncio.get_running_loop()
        node = RaftNode(
            name,
            self._settings,
            storage,
            {},
            loop.time,
            self.random.getrandbits(32),
            connect=lambda member: self._calls(address, member.target),
        )
        self.nodes[address] = node
        self.network.dead.discard(address)
        self._keepers[address] = self._make_keeper(address, node)
        node.subscribe(lambda: self._on_applied(node))
        await node.start()
        self._managing[address] = asyncio.ensure_future(self._manage(address))

    def _make_keeper(self, address: str, node: RaftNode) -> MembershipManager:
        return MembershipManager(
            node,
            ControlMember(target=address, api=address, failure_domain=address),
            2 * self.losses_borne + 1,
            VOTER_TIMEOUT_S,
            lambda: [one for one in self.nodes if one != address],
            lambda target: self._calls(address, target),
            asyncio.get_running_loop().time,
            self._spawn,
        )

    async def _manage(self, address: str) -> None:
        while True:
            await asyncio.sleep(_MANAGE_INTERVAL_S)
            if address not in self.network.frozen:
                self._keepers[address].request_join()
                self._keepers[address].start_next_change()

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def kill(self, address: str) -> None:
        """End an instance; what it had synced stays."""
        node = self.nodes.pop(address, None)
        if node is None:
            return
        self._managing.pop(address).cancel()
        self.network.dead.add(address)
        self.network.thaw(address)
        await node.stop()

    async def leave(self, address: str) -> None:
        """Stop an instance as planned: it announces its stop before it ends."""
        await self._keepers[address].leave(_HANDOVER_LIMIT_S)
        await self.kill(address)

    def lose_disk(self, address: str) -> None:
        """Remove a dead instance's files."""
        shutil.rmtree(self._folder / address, ignore_errors=True)

    async def replace(self, address: str) -> str:
        """End an instance for good and start an empty one at a new address."""
        await self.kill(address)
        self.lose_disk(address)
        return await self.start_successor(address)

    async def start_successor(self, address: str) -> str:
        """Start an empty instance, at a new address, in the place of another one."""
        fresh = self._new_address()
        self.addresses[self.addresses.index(address)] = fresh
        await self.start(fresh)
        return fresh

    def is_whole(self) -> bool:
        """Tell whether every instance votes that should, so that losses are borne.

        Returns
        -------
        bool
            False also while the change that lets one vote is not committed.
        """
        leaders = [node for node in self.nodes.values() if node.can_change_members]
        if not leaders or len(self.nodes) < len(self.addresses):
            return False
        newest = max(leaders, key=lambda node: node.term)
        names = {node.name for node in self.nodes.values()}
        return set(voter_names(newest.members)) == names

    # -- calls between instances --------------------------------------------------

    def _calls(self, source: str, target: str) -> PeerCalls:
        def caller(method: str):
            async def call(request):
                return await self._call(source, target, method, request)

            return call

        methods = ("on_vote", "on_append", "on_snapshot", "on_join", "on_leave")
        return PeerCalls(*(caller(method) for method in methods))

    async def _call(self, source: str, target: str, method: str, request):
        def serve():
            node = self.nodes.get(target)
            if node is None:
                return None
            if method == "on_join":
                return self._keepers[target].on_join(request.member)
            if method == "on_leave":
                return self._keepers[target].on_leave(request.name)
            return (
                getattr(node, method)(request)
                if request.receiver == node.name
                else None
            )

        return await call_over(self.network, source, target, serve)

    # -- operators ----------------------------------------------------------------

    def change(self, version: int, content: bytes) -> None:
        """Send a change to all in turn until one acknowledges it."""
        self._spawn(self._change(version, content))

    async def _change(self, version: int, content: bytes) -> None:
        command = Command(put_routes=PutRoutes(version=version, source=content))
        data = command.SerializeToString()
        for _ in range(_TRIES):
            for address, node in list(self.nodes.items()):
                if address in self.network.frozen:
                    continue
                try:
                    await asyncio.wait_for(node.propose(data), _CHANGE_LIMIT_S)
                except (AgatethreadError, TimeoutError):
                    continue
                self.acknowledged = max(self.acknowledged, version)
                return
            await asyncio.sleep(0.1)

    def read(self) -> None:
        """Read from every instance, also from frozen ones and those cut off."""
        for address in self.nodes:
            self._spawn(self._read(address))

    async def _read(self, address: str) -> None:
        node = self.nodes[address]
        newest = self.acknowledged
        try:
            await node.confirm_leadership(_READ_LIMIT_S)
        except AgatethreadError:
            return
        self.read_count += 1
        found = node.documents.routes.version
        if found < newest:
            self._note(f"{address} read {found} after {newest}")

    # -- oracle -------------------------------------------------------------------

    def _note(self, fault: str) -> None:
        self._faults.setdefault(fault)

    def _on_applied(self, node: RaftNode) -> None:
        for entry in node.committed_entries():
            self._check_entry(entry.index, (entry.term, entry.command))
        routes = node.documents.routes
        if not routes.version:
            return
        winner = self._winners.setdefault(routes.version, routes.source)
        if winner != routes.source:
            self._note(f"two winners of version {routes.version}")

    def _check_entry(self, index: int, entry: tuple[int, bytes]) -> None:
        if self._oracle_entries.setdefault(index, entry) != entry:
            self._note(f"two entries at {index}")

    def violations(self) -> list[str]:
        """List what broke so far.

        Returns
        -------
        list of str
            Empty if all was well.
        """
        for node in self.nodes.values():
            if node.role is Role.LEADER:
                leader = self._leaders.setdefault(node.term, node.name)
                if leader != node.name:
                    self._note(f"two leaders in term {node.term}")
        return list(self._faults)

    def settled_violations(self) -> list[str]:
        """List what is wrong some time after every fault has ended.

        Returns
        -------
        list of str
            Lost changes, differing states, nobody leading.
        """
        found = self.violations()
        states = {
            (node.documents.routes.version, node.documents.routes.source)
            for node in self.nodes.values()
        }
        if len(states) != 1:
            found.append(f"the states differ: {states}")
        if any(version < self.acknowledged for version, _ in states):
            found.append(f"lost {self.acknowledged}, has {states}")
        if sum(node.role is Role.LEADER for node in self.nodes.values()) != 1:
            found.append("not one leader")
        if not self.is_whole():
            found.append("not every instance votes again")
        return found

    def fingerprint(self) -> str:
        """Sum up the run so far; takes a draw from both sources of chance.

        Returns
        -------
        str
            Equal for two runs that sent and drew the same at the same virtual times.
        """
        sources = (self.network.random, self.random)
        draws = "-".join(f"{source.getrandbits(64):016x}" for source in sources)
        return f"{asyncio.get_running_loop().time():.9f}-{draws}"

    async def heal(self) -> None:
        """End every fault, and start what is down."""
        for address in sorted(self.network.frozen):
            self.network.thaw(address)
        self.network.cut.clear()
        self.network.loss = self.network.duplicate = 0.0
        for address in self.addresses:
            if address not in self.nodes:
                await self.start(address)

    async def close(self) -> None:
        """End everything."""
        for task in list(self._tasks):
            task.cancel()
        for address in list(self.nodes):
            await self.kill(address)


def without_syncs():
    """Skip syncs: nothing here loses power, and they take most of the time."""
    return mock.patch("os.fsync")


def with_seeded_names(seed: int):
    """Draw the names of empty disks from a seed, so that equal seeds give equal runs.

    Parameters
    ----------
    seed : int
        Of the names.
    """
    names = random.Random(seed)
    return mock.patch("secrets.token_hex", lambda size: names.randbytes(size).hex())
