"""A few entry instances' request code, joined by a faulty network in memory.

The request desks, the claims, the queues and the client are the real ones; what is fake
is the network between them, the failure detector (it may err at any time) and the
backend servers, whose list of runs is the oracle.
"""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from agatethread.client import Client
from agatethread.entry import DocumentStore, RequestRouter
from agatethread.exceptions import (
    AgatethreadError,
    OperationRefusedError,
    OperationUnknownError,
)
from agatethread.membership import Member, MemberTable
from agatethread.observability import Counters
from agatethread.operations import InstanceCallbacks
from agatethread.routing import EndpointTable
from agatethread.settings import EntrySettings, ServiceDocument
from agatethread.wire import (
    NO_MEMBER,
    Announcement,
    Envelope,
    Kind,
    MemberRef,
    MemberState,
    Peer,
    Sealer,
    Token,
    decode_envelope,
    pack_address,
    seal_token,
    service_hash,
)
from benchmarks.faulty_network import Network
from benchmarks.operations_backend import SERVICE, Backend

_ENTRY = EntrySettings("127.0.0.1:1", "127.0.0.1:2", "unused", retention_s=120.0)
_SWEEP_S = 0.1
_LEASE_MS = 10_000_000


class Node:
    """One entry instance's request router, with its own view of the fleet.

    Parameters
    ----------
    member : Member
        Who it is.
    world : World
        Where it stands.
    """

    def __init__(self, member: Member, world: "World"):
        self.member = member
        self.name = member.name
        self._world = world
        self._tasks: set[asyncio.Task] = set()
        self.members = MemberTable(member)
        self.endpoints = EndpointTable()
        self.counters = Counters()
        book = DocumentStore()
        book.documents[SERVICE] = ServiceDocument(SERVICE, 1, ramp_s=0.0)
        ports = InstanceCallbacks(
            now_s=asyncio.get_running_loop().time,
            own_member=lambda: self.members.own_member.ref,
            is_alive=self.members.is_alive,
            send_peer=self._send_peer,
            send_backend=self._send_backend,
            send_caller=self._send_caller,
            fresh_token=self.fresh_token,
        )
        self.desk = RequestRouter(
            _ENTRY,
            ports,
            world.sealer,
            self.members,
            self.endpoints,
            book,
            self._start,
            self.counters,
        )
        self._start(self._sweep())

    def _start(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.desk.sweep()

    def die(self) -> None:
        """End every task, as a killed process does."""
        for task in list(self._tasks):
            task.cancel()

    def fresh_token(self, service: str) -> bytes:
        """Seal a token by this instance's view."""
        ranked = self.members.rank(service_hash(service))
        refs = [member.ref for member in ranked[:2]] + [NO_MEMBER, NO_MEMBER]
        return seal_token(
            self._world.sealer, Token(service_hash(service), refs[0], refs[1])
        )

    def _send_peer(self, address: bytes, peer: Peer) -> None:
        target = self._world.name_of(address)
        data = peer.SerializeToString()
        sender = self.members.own_member.ref
        self._world.network.send(
            self.name,
            target,
            lambda: self._world.nodes[target].on_peer(sender, Peer.FromString(data)),
        )

    def _send_backend(self, address: bytes, data: bytes) -> None:
        backend = self._world.backends[address]
        self._world.network.send(
            self.name, backend.name, lambda: backend.receive(data, self.name)
        )

    def _send_caller(self, address: bytes, data: bytes) -> None:
        client = self._world.client
        self._world.network.send(
            self.name, "caller", lambda: client.datagram_received(data, ("", 0))
        )

    def on_peer(self, sender: MemberRef, peer: Peer) -> None:
        """Take a message of another instance."""
        if peer.HasField("relay"):
            self._on_relay(peer)
        elif peer.HasField("claim"):
            self.desk.standby_claims.on_claim(sender, peer.claim)
        elif peer.HasField("claim_reply"):
            self.desk.owner.claim_requester.on_reply(peer.claim_reply)
        elif peer.HasField("verdict_note"):
            self.desk.standby_claims.on_verdict_note(peer.verdict_note)

    def _on_relay(self, peer: Peer) -> None:
        envelope = decode_envelope(peer.relay.datagram)
        if envelope.kind == Kind.REQUEST:
            self.desk.on_relayed_request(envelope, peer.relay.caller)
        elif envelope.kind == Kind.CANCEL:
            self.desk.on_relayed_cancel(envelope)
        else:
            self.desk.on_relayed_reply(envelope, peer.relay.caller)

    def on_caller(self, data: bytes) -> None:
        """Take a caller's datagram."""
        envelope = decode_envelope(data)
        if envelope.kind == Kind.HELLO:
            token = self.fresh_token(SERVICE)
            welcome = Envelope(kind=Kind.WELCOME, service=SERVICE, token=token)
            self._send_caller(b"", welcome.SerializeToString())
        elif envelope.kind == Kind.CANCEL:
            self.desk.on_cancel(envelope)
        elif envelope.kind == Kind.REQUEST:
            self.desk.on_request(envelope, pack_address(("127.0.0.1", 7)))


class _Transport:
    def __init__(self, world: "World"):
        self._world = world

    def sendto(self, data: bytes, _) -> None:
        name = self._world.random.choice(sorted(self._world.nodes))
        node = self._world.nodes[name]
        self._world.network.send("caller", name, lambda: node.on_caller(data))


class World:
    """Instances, backend servers and a caller.

    Parameters
    ----------
    seed : int
        Of every chance.
    instance_count, backend_count : int
        How many there are.
    """

    def __init__(self, seed: int, instance_count: int = 3, backend_count: int = 2):
        self.network = Network(seed)
        self.random = random.Random(seed + 1)
        self.sealer = Sealer([b"k" * 32])
        self.runs: Counter[bytes] = Counter()
        self.over_slots = 0
        self.verdicts: dict[bytes, str] = {}
        self.cancelled: set[bytes] = set()
        self.backends = {
            address: Backend(f"backend-{n}", address, self)
            for n in range(backend_count)
            for address in [pack_address(("127.0.0.1", 900 + n))]
        }
        self.nodes: dict[str, Node] = {}
        for number in range(instance_count):
            self.add_node(number, incarnation=1)
        self.client = Client({SERVICE: "127.0.0.1:7"})
        self.client.connection_made(_Transport(self))
        self._requests: set[asyncio.Task] = set()
        self._sent_count = 0

    def add_node(self, number: int, incarnation: int) -> None:
        """Start an instance, or start it anew with a new incarnation."""
        address = pack_address(("127.0.0.1", 100 + number))
        member = Member(f"entry-{number}", "a", address, incarnation)
        node = Node(member, self)
        for other in self.nodes.values():
            other.members.apply(member)
            if other.name not in self.network.dead:
                node.members.apply(other.members.own_member)
        for number, address in enumerate(self.backends):
            announcement = Announcement(
                endpoint_id=f"backend-{number}",
                incarnation=1,
                service=SERVICE,
                slots=2,
                connection_limit=10,
                lease_ms=_LEASE_MS,
                sequence=1,
            )
            node.endpoints.apply_announcement(
                address, announcement, asyncio.get_running_loop().time()
            )
        self.nodes[node.name] = node
        self.network.dead.discard(node.name)

    def name_of(self, address: bytes) -> str:
        """Name of the instance at an address."""
        return next(
            node.name for node in self.nodes.values() if node.member.address == address
        )

    def to_instance(self, backend: Backend, name: str, data: bytes) -> None:
        """Send a backend server's reply to an instance."""

        def deliver() -> None:
            envelope = decode_envelope(data)
            self.nodes[name].desk.on_backend_reply(data, envelope, backend.address)

        self.network.send(backend.name, name, deliver)

    # -- faults -------------------------------------------------------------------

    def kill(self, name: str) -> None:
        """Kill an instance."""
        self.network.dead.add(name)
        self.network.thaw(name)
        self.nodes[name].die()

    def restart(self, name: str) -> None:
        """Start a killed instance again, with nothing remembered."""
        old = self.nodes.pop(name).members.own_member
        self.add_node(int(name.split("-")[1]), old.incarnation + 1)

    def suspect(self, viewer: str, name: str) -> None:
        """Make one instance hold another dead, rightly or not."""
        table = self.nodes[viewer].members
        known = table.members.get(name)
        if known is not None and viewer != name:
            table.apply(replace(known, state=MemberState.DEAD))

    def trust(self, viewer: str, name: str) -> None:
        """Make one instance hold another alive again."""
        if viewer == name or name in self.network.dead:
            return
        table = self.nodes[viewer].members
        known = table.members.get(name, self.nodes[name].member)
        alive = self.nodes[name].members.own_member
        table.apply(replace(alive, counter=known.counter + 1, state=MemberState.ALIVE))

    def calm(self) -> None:
        """End every fault but the deaths, and let each see who is alive."""
        self.network.loss = self.network.duplicate = 0.0
        self.network.cut.clear()
        for name in list(self.network.frozen):
            self.network.thaw(name)
        for viewer in self.nodes:
            for name in self.nodes:
                if name in self.network.dead:
                    self.suspect(viewer, name)
                else:
                    self.trust(viewer, name)

    # -- requests -----------------------------------------------------------------

    def request(self, label: bytes, idempotent: bool, timeout_s: float) -> None:
        """Send a request and note its verdict."""
        self._sent_count += 1
        task = asyncio.ensure_future(self._request(label, idempotent, timeout_s))
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _request(self, label: bytes, idempotent: bool, timeout_s: float) -> None:
        try:
            answer = await self.client.request(
                SERVICE, label, idempotent=idempotent, timeout_s=timeout_s
            )
        except OperationRefusedError:
            self.verdicts[label] = "refused"
        except OperationUnknownError:
            self.verdicts[label] = "unknown"
        except AgatethreadError:
            self.verdicts[label] = "not sent"
        else:
            right = answer == b"done:" + label
            self.verdicts[label] = "answered" if right else "crossed"

    @property
    def open_count(self) -> int:
        """Requests without a verdict."""
        return self._sent_count - len(self.verdicts)

    def violations(self) -> list[str]:
        """List the promises that were broken so far.

        Returns
        -------
        list of str
            Empty if all was well.
        """
        found = [
            f"{label.decode()} ran {count} times"
            for label, count in self.runs.items()
            if count > 1 and label.startswith(b"n")
        ]
        for label, verdict in self.verdicts.items():
            if verdict in ("refused", "not sent") and self.runs[label]:
                found.append(f"{label.decode()} was {verdict} but ran")
            if verdict == "crossed":
                found.append(f"{label.decode()} got another's answer")
            if verdict == "answered" and not self.runs[label]:
                found.append(f"{label.decode()} was answered but never ran")
        return found

    def close(self) -> None:
        """End every task."""
        for node in self.nodes.values():
            node.die()
        for backend in self.backends.values():
            for task in list(backend._tasks):
                task.cancel()
        for task in list(self._requests):
            task.cancel()
