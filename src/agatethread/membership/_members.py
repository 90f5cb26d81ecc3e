"""Table of entry instances as this one sees them, and the ranking drawn from it."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from agatethread.membership._ring import HashRing
from agatethread.wire import MemberRef, MemberState, MemberUpdate

#: Members that a change is told to, as a multiple of log2 of their number.
_GOSSIP_FACTOR = 3
_DISPATCHING_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """One entry instance in one state."""

    name: str
    failure_domain: str
    address: bytes
    incarnation: int
    counter: int = 0
    state: int = MemberState.ALIVE
    joining: bool = False

    @property
    def ref(self) -> MemberRef:
        """Reference to this run of the instance."""
        return MemberRef(self.address, self.incarnation)

    @property
    def precedence(self) -> tuple[int, int, int, bool]:
        """Order in which news about one instance replaces older news."""
        return self.incarnation, self.counter, self.state, not self.joining

    def to_update(self) -> MemberUpdate:
        """Make the message that tells of this state.

        Returns
        -------
        MemberUpdate
            The message.
        """
        return MemberUpdate(
            name=self.name,
            failure_domain=self.failure_domain,
            address=self.address,
            incarnation=self.incarnation,
            counter=self.counter,
            state=self.state,
            joining=self.joining,
        )


def member_from_update(update: MemberUpdate) -> Member:
    """Read a member's state from a message.

    Parameters
    ----------
    update : MemberUpdate
        The message.

    Returns
    -------
    Member
        The state.
    """
    return Member(
        update.name,
        update.failure_domain,
        update.address,
        update.incarnation,
        update.counter,
        update.state,
        update.joining,
    )


class MemberTable:
    """Known instances; news is taken in any order and the newest state wins.

    Parameters
    ----------
    me : Member
        This instance.
    """

    def __init__(self, me: Member):
        self.me = me
        self.members: dict[str, Member] = {me.name: me}
        self._by_ref: dict[MemberRef, Member] = {me.ref: me}
        self._gossip: dict[str, int] = {}
        self._listeners: list[Callable[[Member], None]] = []
        self._warm = HashRing()
        self._joining = HashRing()
        self._update_rings(me)
        self._queue_gossip(me.name)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Be told of each change.

        Parameters
        ----------
        listener : callable
            Called with the member in its new state.
        """
        self._listeners.append(listener)

    def apply(self, member: Member) -> bool:
        """Take news about a member.

        Parameters
        ----------
        member : Member
            A state told by another instance or seen here.

        Returns
        -------
        bool
            Whether it was new.
        """
        if member.name == self.me.name:
            return self._refute(member)

        known = self.members.get(member.name)
        if known is not None and member.precedence <= known.precedence:
            return False

        self._store(member)
        return True

    def change_me(self, **changes: object) -> None:
        """Change this instance's own state and tell the others.

        Parameters
        ----------
        **changes
            Fields of `Member`.
        """
        counter = self.me.counter + 1
        self._store(replace(self.me, counter=counter, **changes))

    def suspect(self, member: Member) -> None:
        """Mark a member that did not answer a probe.

        Parameters
        ----------
        member : Member
            The state in which it was probed.
        """
        if member.state == MemberState.ALIVE:
            self.apply(replace(member, state=MemberState.SUSPECT))

    def declare_dead(self, member: Member) -> None:
        """Mark a member dead, unless there has been news of it since.

        Parameters
        ----------
        member : Member
            The state that the judgement rests on.
        """
        if self.members.get(member.name) == member:
            self.apply(replace(member, state=MemberState.DEAD))

    def _refute(self, member: Member) -> bool:
        if member.precedence <= self.me.precedence:
            return False

        # A higher incarnation of our own name means that our clock went back
        # between two runs; ours must be the newest all the same.
        if member.incarnation > self.me.incarnation:
            self.change_me(incarnation=member.incarnation + 1)
            return True

        counter = max(member.counter, self.me.counter)
        self._store(replace(self.me, counter=counter + 1))
        return True

    def _store(self, member: Member) -> None:
        old = self.members.get(member.name)
        if old is not None:
            self._by_ref.pop(old.ref, None)
        self.members[member.name] = member
        self._by_ref[member.ref] = member
        if member.name == self.me.name:
            self.me = member
        self._update_rings(member)
        self._queue_gossip(member.name)
        for listener in self._listeners:
            listener(member)

    def is_alive(self, ref: MemberRef) -> bool:
        """Tell whether one run of an instance is not known to have ended.

        Parameters
        ----------
        ref : MemberRef
            The run.

        Returns
        -------
        bool
            False also for runs never heard of.
        """
        member = self._by_ref.get(ref)
        return member is not None and member.state != MemberState.DEAD

    def live(self) -> list[Member]:
        """List the instances that are not dead, this one among them.

        Returns
        -------
        list of Member
            In no particular order.
        """
        return [m for m in self.members.values() if m.state != MemberState.DEAD]

    def live_peers(self) -> list[Member]:
        """List the other instances that are not dead.

        Returns
        -------
        list of Member
            In no particular order.
        """
        return [member for member in self.live() if member.name != self.me.name]

    def dead(self) -> list[Member]:
        """List the instances that are dead as far as known.

        Returns
        -------
        list of Member
            In no particular order.
        """
        return [m for m in self.members.values() if m.state == MemberState.DEAD]

    def sees_domain(self, failure_domain: str) -> bool:
        """Tell whether any live instance of a failure domain is in sight.

        Parameters
        ----------
        failure_domain : str
            The failure domain.

        Returns
        -------
        bool
            False when it is cut off from here, or empty.
        """
        return any(member.failure_domain == failure_domain for member in self.live())

    def rank(self, service: int, count: int = 2) -> tuple[Member, ...]:
        """Rank the instances that may dispatch for a service.

        Parameters
        ----------
        service : int
            Hash of the service's name.
        count : int, default=2
            How many to name.

        Returns
        -------
        tuple of Member
            The dispatcher, its standby, and on; empty when none may dispatch.
        """
        names = self._warm.find(service, count) or self._joining.find(service, count)
        return tuple(self.members[name] for name in names)

    def is_dispatcher(self, service: int) -> bool:
        """Tell whether this instance dispatches for a service now.

        Parameters
        ----------
        service : int
            Hash of the service's name.

        Returns
        -------
        bool
            As this instance sees the fleet.
        """
        ranked = self.rank(service, 1)
        return bool(ranked) and ranked[0].name == self.me.name

    def _update_rings(self, member: Member) -> None:
        may_dispatch = member.state in _DISPATCHING_STATES
        rings = (
            (self._warm, may_dispatch and not member.joining),
            (self._joining, may_dispatch and member.joining),
        )
        for ring, belongs in rings:
            if belongs:
                ring.add(member.name)
            else:
                ring.remove(member.name)

    def _queue_gossip(self, name: str) -> None:
        self._gossip[name] = _GOSSIP_FACTOR * max(1, len(self.members).bit_length())

    def take_gossip(self, limit: int) -> list[MemberUpdate]:
        """Take the news that goes with the next datagram.

        Parameters
        ----------
        limit : int
            Most updates to take.

        Returns
        -------
        list of MemberUpdate
            The least told first.
        """
        names = sorted(self._gossip, key=self._gossip.__getitem__, reverse=True)
        taken = names[:limit]
        for name in taken:
            self._gossip[name] -= 1
            if not self._gossip[name]:
                del self._gossip[name]
        return [self.members[name].to_update() for name in taken]
