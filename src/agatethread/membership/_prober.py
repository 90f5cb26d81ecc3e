"""Failure detection: random probes, indirect probes, suspicion, and re-joining."""

import asyncio
import random
from collections.abc import Callable

from mode import Service

from agatethread.membership._members import Member, MemberTable, member_from_update
from agatethread.observability import Counters, make_logger
from agatethread.timing import TimerService
from agatethread.wire import Ack, MemberState, MemberUpdate, Peer, Ping

_MAX_UPDATES_PER_DATAGRAM = 6
#: Updates in the reply to a join, which fits one datagram.
_MAX_JOIN_UPDATES = 16
#: Members asked to probe one that did not answer this instance.
_INDIRECT_PROBE_COUNT = 2
#: Time between joins through a dead member, or a seed that is not a member.
_REJOIN_INTERVAL_S = 0.5
#: A sleep that is longer by this time means that the process was suspended.
_MAX_OVERSLEEP_S = 0.8

Send = Callable[[bytes, Peer], None]

log = make_logger("membership")


class Prober(Service):
    """Probes one other instance each interval, at a cost independent of their number.

    Parameters
    ----------
    table : MemberTable
        The known instances.
    timers : TimerService
        Drives the probes.
    send : callable
        Sends a peer message to a packed address.
    seeds : list of bytes
        Packed addresses to join through.
    interval_s, suspicion_s : float
        Time between probes, and from suspicion to declaring a member dead.
    counters : Counters
        Counts failed probes.
    """

    def __init__(
        self,
        table: MemberTable,
        timers: TimerService,
        send: Send,
        seeds: list[bytes],
        interval_s: float,
        suspicion_s: float,
        counters: Counters,
    ):
        super().__init__()
        self._table = table
        self._timers = timers
        self._send = send
        self._seeds = [seed for seed in seeds if seed != table.own_member.address]
        self._interval_s = interval_s
        self._suspicion_s = suspicion_s
        self._counters = counters
        self._sequence = 0
        #: Direct and indirect probes; pings that only carry updates are not waited for.
        self._pending_probes: dict[int, asyncio.Future[None]] = {}
        #: Names of the members left to probe before each is probed again.
        self._unprobed_names: list[str] = []
        self._random = random.Random(table.own_member.incarnation)
        table.subscribe(self._on_change)

    async def on_start(self) -> None:
        """Join the other instances and start probing."""
        self._join_all()
        self._timers.subscribe(self._interval_s, self._start_probe)
        self._timers.subscribe(_REJOIN_INTERVAL_S, self._rejoin)

    def _join_all(self) -> None:
        for seed in self._seeds:
            self._send_join(seed)

    def _send_join(self, address: bytes) -> None:
        ping = self._new_ping()
        ping.join = True
        ping.updates.append(self._table.own_member.to_update())
        self._send(address, Peer(ping=ping))

    def send_own_state(self) -> None:
        """Send this instance's own state to all other live instances at once."""
        for member in self._table.live_peers():
            ping = self._new_ping()
            ping.updates.append(self._table.own_member.to_update())
            self._send(member.address, Peer(ping=ping))

    def _new_ping(self) -> Ping:
        self._sequence += 1
        updates = self._table.next_gossip(_MAX_UPDATES_PER_DATAGRAM)
        return Ping(sequence=self._sequence, updates=updates)

    def _rejoin(self) -> None:
        # The end of a network partition is detected by joining through dead members;
        # one exchange merges the tables of both sides. A seed that is not a member was
        # unreachable when this instance started, and no other member may know it, so
        # groups that started separately join through it.
        candidates = [member.address for member in self._table.list_dead()]
        member_addresses = {member.address for member in self._table.members.values()}
        candidates += [seed for seed in self._seeds if seed not in member_addresses]
        if candidates:
            self._send_join(self._random.choice(candidates))

    def _start_probe(self) -> None:
        target = self._next_target()
        if target is not None:
            self.add_future(self._probe(target))

    def _next_target(self) -> Member | None:
        while True:
            if not self._unprobed_names:
                self._unprobed_names = [
                    member.name for member in self._table.live_peers()
                ]
                self._random.shuffle(self._unprobed_names)
            if not self._unprobed_names:
                return None
            member = self._table.members[self._unprobed_names.pop()]
            if member.state != MemberState.DEAD:
                return member

    async def _probe(self, target: Member) -> None:
        if await self._ping(target.address, Ping()):
            return

        helpers = [m for m in self._table.live_peers() if m.name != target.name]
        self._random.shuffle(helpers)
        indirect_probes = [
            self._ping(helper.address, Ping(target=target.address))
            for helper in helpers[:_INDIRECT_PROBE_COUNT]
        ]
        if any(await asyncio.gather(*indirect_probes)):
            return

        self._counters["probe_failed"] += 1
        current = self._table.members.get(target.name)
        if current is None or current.ref != target.ref:
            return
        if current.state == MemberState.LEAVING:
            await self._confirm_death(current)
        else:
            self._table.suspect(current)

    async def _confirm_death(self, leaving: Member) -> None:
        # A leaving member is never suspected, so it can't refute: it is asked on.
        deadline_s = self._timers.now_s() + self._suspicion_s
        while self._timers.now_s() < deadline_s:
            if await self._ping(leaving.address, Ping()):
                return
        self._table.declare_dead(leaving)

    async def _ping(self, address: bytes, ping: Ping) -> bool:
        ping.MergeFrom(self._new_ping())
        acknowledged = asyncio.get_running_loop().create_future()
        self._pending_probes[ping.sequence] = acknowledged
        self._send(address, Peer(ping=ping))
        try:
            await asyncio.wait_for(acknowledged, self._interval_s)
        except TimeoutError:
            return False
        finally:
            self._pending_probes.pop(ping.sequence, None)
        return True

    def on_ping(self, sender: bytes, ping: Ping) -> None:
        """Acknowledge a probe, or probe on behalf of another instance.

        Parameters
        ----------
        sender : bytes
            Packed address of the sender, which gets the acknowledgement.
        ping : Ping
            The probe.
        """
        self._apply_updates(ping.updates)
        if ping.target:
            self.add_future(self._probe_indirectly(sender, ping))
            return

        self._send(sender, Peer(ack=self._make_ack(ping)))

    def _make_ack(self, ping: Ping) -> Ack:
        if not ping.join:
            updates = self._table.next_gossip(_MAX_UPDATES_PER_DATAGRAM)
            return Ack(sequence=ping.sequence, updates=updates)

        # The known state of the joining instance comes first, so that it can refute it.
        names = [update.name for update in ping.updates]
        others = [name for name in self._table.members if name not in names]
        self._random.shuffle(others)
        chosen = [name for name in names if name in self._table.members] + others
        updates = [
            self._table.members[name].to_update() for name in chosen[:_MAX_JOIN_UPDATES]
        ]
        return Ack(sequence=ping.sequence, updates=updates)

    async def _probe_indirectly(self, sender: bytes, ping: Ping) -> None:
        if await self._ping(ping.target, Ping()):
            self._send(sender, Peer(ack=Ack(sequence=ping.sequence)))

    def on_ack(self, ack: Ack) -> None:
        """Apply the updates of an acknowledgement and complete its probe.

        Parameters
        ----------
        ack : Ack
            The acknowledgement.
        """
        self._apply_updates(ack.updates)
        acknowledged = self._pending_probes.get(ack.sequence)
        if acknowledged is not None and not acknowledged.done():
            acknowledged.set_result(None)

    def _apply_updates(self, updates: list[MemberUpdate]) -> None:
        for update in updates:
            self._table.apply(member_from_update(update))

    def _on_change(self, member: Member) -> None:
        if member.name == self._table.own_member.name:
            return
        log.info(
            "member changed",
            member=member.name,
            state=MemberState.Name(member.state),
            incarnation=member.incarnation,
        )
        if member.state == MemberState.SUSPECT:
            self.add_future(self._await_refutation(member))

    async def _await_refutation(self, member: Member) -> None:
        # If this process was suspended, it may not have read the refutation yet.
        while True:
            started_s = self._timers.now_s()
            await asyncio.sleep(self._suspicion_s)
            if self._timers.now_s() - started_s < self._suspicion_s + _MAX_OVERSLEEP_S:
                break
        self._table.declare_dead(member)
