"""Table of the known entry instances, and their ranking as dispatchers."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from agatethread.membership._ring import HashRing
from agatethread.wire import MemberRef, MemberState, MemberUpdate

#: Each change is sent in this many datagrams times log2 of the member count.
_GOSSIP_FACTOR = 3
#: A suspected member may dispatch until it is declared dead, so that lost probes alone
#: change no dispatcher.
_DISPATCHING_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """State of one entry instance.

    The instance increases `counter` with each change of its own state.
    """

    name: str
    failure_domain: str
    address: bytes
    incarnation: int
    counter: int = 0
    state: int = MemberState.ALIVE
    joining: bool = False

    @property
    def ref(self) -> MemberRef:
        """Reference to this incarnation of the instance."""
        return MemberRef(self.address, self.incarnation)

    @property
    def precedence(self) -> tuple[int, int, int, bool]:
        """Order of the states of one instance; the highest replaces the others.

        Of otherwise equal states, the joined one replaces the joining one.
        """
        return self.incarnation, self.counter, self.state, not self.joining

    def to_update(self) -> MemberUpdate:
        """Return the message that holds this state.

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
    """Return the member state that a message holds.

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
    """Known instances; of each, the state of the highest precedence is stored.

    The result does not depend on the order of the updates.

    Parameters
    ----------
    own_member : Member
        This instance.
    """

    def __init__(self, own_member: Member):
        self.own_member = own_member
        self.members: dict[str, Member] = {own_member.name: own_member}
        self._by_ref: dict[MemberRef, Member] = {own_member.ref: own_member}
        #: Datagrams that a changed state is still to be sent in, by member name.
        self._remaining_sends: dict[str, int] = {}
        self._listeners: list[Callable[[Member], None]] = []
        self._joined_ring = HashRing()
        self._joining_ring = HashRing()
        self._update_rings(own_member)
        self._queue_gossip(own_member.name)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Register a listener for all changes.

        Parameters
        ----------
        listener : callable
            Called with the member in its new state.
        """
        self._listeners.append(listener)

    def apply(self, member: Member) -> bool:
        """Store the state of a member if it is newer than the known one.

        Parameters
        ----------
        member : Member
            A state received from another instance or detected by this one.

        Returns
        -------
        bool
            Whether it was new.
        """
        if member.name == self.own_member.name:
            return self._refute(member)

        current = self.members.get(member.name)
        if current is not None and member.precedence <= current.precedence:
            return False

        self._store(member)
        return True

    def update_own_member(self, **changes: object) -> None:
        """Change this instance's own state and queue it for gossip.

        Parameters
        ----------
        **changes
            Fields of `Member`.
        """
        counter = self.own_member.counter + 1
        self._store(replace(self.own_member, counter=counter, **changes))

    def suspect(self, member: Member) -> None:
        """Mark a member as suspected after it did not answer a probe.

        Parameters
        ----------
        member : Member
            The state in which it was probed.
        """
        if member.state == MemberState.ALIVE:
            self.apply(replace(member, state=MemberState.SUSPECT))

    def declare_dead(self, member: Member) -> None:
        """Mark a member as dead, unless its state has changed since.

        Parameters
        ----------
        member : Member
            The state that the decision is based on.
        """
        if self.members.get(member.name) == member:
            self.apply(replace(member, state=MemberState.DEAD))

    def _refute(self, member: Member) -> bool:
        """Publish a newer own state if a received one is newer; return if it is."""
        if member.precedence <= self.own_member.precedence:
            return False

        # A higher incarnation of the own name usually means that the clock was set back
        # between two starts; the present incarnation must be the highest.
        if member.incarnation > self.own_member.incarnation:
            self.update_own_member(incarnation=member.incarnation + 1)
            return True

        counter = max(member.counter, self.own_member.counter)
        self._store(replace(self.own_member, counter=counter + 1))
        return True

    def _store(self, member: Member) -> None:
        previous = self.members.get(member.name)
        if previous is not None:
            self._by_ref.pop(previous.ref, None)
        self.members[member.name] = member
        self._by_ref[member.ref] = member
        if member.name == self.own_member.name:
            self.own_member = member
        self._update_rings(member)
        self._queue_gossip(member.name)
        for listener in self._listeners:
            listener(member)

    def is_alive(self, ref: MemberRef) -> bool:
        """Return whether an incarnation is known and not dead, in any other state.

        Parameters
        ----------
        ref : MemberRef
            The incarnation.

        Returns
        -------
        bool
            True also for suspected and leaving instances; False for unknown ones.
        """
        member = self._by_ref.get(ref)
        return member is not None and member.state != MemberState.DEAD

    def list_live(self) -> list[Member]:
        """Return the instances that are not dead, including this one.

        Returns
        -------
        list of Member
            In no particular order.
        """
        return [m for m in self.members.values() if m.state != MemberState.DEAD]

    def live_peers(self) -> list[Member]:
        """Return the other instances that are not dead.

        Returns
        -------
        list of Member
            In no particular order.
        """
        return [
            member for member in self.list_live() if member.name != self.own_member.name
        ]

    def list_dead(self) -> list[Member]:
        """Return the instances that are known to be dead.

        Returns
        -------
        list of Member
            In no particular order.
        """
        return [m for m in self.members.values() if m.state == MemberState.DEAD]

    def has_live_member(self, failure_domain: str) -> bool:
        """Return whether a failure domain has an instance that is not dead.

        Parameters
        ----------
        failure_domain : str
            The failure domain.

        Returns
        -------
        bool
            False if it is unreachable or empty.
        """
        return any(
            member.failure_domain == failure_domain for member in self.list_live()
        )

    def rank(self, service_hash: int, count: int = 2) -> tuple[Member, ...]:
        """Return the instances that may dispatch for a service, by rank.

        Parameters
        ----------
        service_hash : int
            Hash of the service's name.
        count : int, default=2
            Most instances to return.

        Returns
        -------
        tuple of Member
            The dispatcher, its standby, and so on; empty if none may dispatch. Joining
            instances are ranked only if there are no others.
        """
        names = self._joined_ring.find_owners(
            service_hash, count
        ) or self._joining_ring.find_owners(service_hash, count)
        return tuple(self.members[name] for name in names)

    def is_dispatcher(self, service_hash: int) -> bool:
        """Return whether this instance dispatches for a service now.

        Parameters
        ----------
        service_hash : int
            Hash of the service's name.

        Returns
        -------
        bool
            According to this instance's table.
        """
        ranked = self.rank(service_hash, 1)
        return bool(ranked) and ranked[0].name == self.own_member.name

    def _update_rings(self, member: Member) -> None:
        may_dispatch = member.state in _DISPATCHING_STATES
        rings = (
            (self._joined_ring, may_dispatch and not member.joining),
            (self._joining_ring, may_dispatch and member.joining),
        )
        for ring, is_part in rings:
            if is_part:
                ring.add(member.name)
            else:
                ring.remove(member.name)

    def _queue_gossip(self, name: str) -> None:
        self._remaining_sends[name] = _GOSSIP_FACTOR * max(
            1, len(self.members).bit_length()
        )

    def next_gossip(self, limit: int) -> list[MemberUpdate]:
        """Return the updates for the next datagram, and count each as sent in it.

        Parameters
        ----------
        limit : int
            Most updates to return.

        Returns
        -------
        list of MemberUpdate
            Those with the most remaining sends first.
        """
        names = sorted(
            self._remaining_sends, key=self._remaining_sends.__getitem__, reverse=True
        )
        chosen = names[:limit]
        for name in chosen:
            self._remaining_sends[name] -= 1
            if not self._remaining_sends[name]:
                del self._remaining_sends[name]
        return [self.members[name].to_update() for name in chosen]
