"""Announcements of backend servers: checked, told on, and their leases held."""

import random
from collections.abc import Callable

from agatethread.exceptions import DatagramError, SealError
from agatethread.membership import Member, MemberTable
from agatethread.observability import Counters
from agatethread.routing import AnnouncementResult, Endpoint, EndpointTable
from agatethread.settings import EntrySettings, format_address
from agatethread.wire import (
    Announcement,
    Envelope,
    Kind,
    Peer,
    Sealer,
    load_sealer,
    service_hash,
    unpack_address,
    verify_signature,
)

#: The dispatcher and its standby hold the leases of a service.
_HOLDER_COUNT = 2
_INSTANCES_IN_ACK = 8
_FALLBACKS_IN_ACK = 2
_GONE_KEPT_S = 600.0
_LONGEST_LEASE_MS = 600_000
#: A sweep later than this means that the process did not run in between.
_LONGEST_GAP_S = 0.8


class AnnouncementDesk:
    """Takes announcements from backend servers and from other instances.

    An announcement that changes anything goes to every instance; one that only
    refreshes a lease goes to the two instances that hold it.

    Parameters
    ----------
    entry : EntrySettings
        Names the announcement key.
    members : MemberTable
        The fleet.
    endpoints : EndpointTable
        Where announcements are kept.
    send_peer : callable
        Sends a message to an instance's packed address.
    send_backend : callable
        Sends a datagram to a backend server's packed address.
    now_s : callable
        Monotonic clock.
    on_changed, on_gone : callable
        Told of a backend server that changed or ended.
    counters : Counters
        Counts announcements by what they changed.
    """

    def __init__(
        self,
        entry: EntrySettings,
        members: MemberTable,
        endpoints: EndpointTable,
        send_peer: Callable[[bytes, Peer], None],
        send_backend: Callable[[bytes, bytes], None],
        now_s: Callable[[], float],
        on_changed: Callable[[Endpoint], None],
        on_gone: Callable[[Endpoint], None],
        counters: Counters,
    ):
        self._signers = (
            load_sealer(entry.announce_key_file) if (entry.announce_key_file) else None
        )
        self._members = members
        self._endpoints = endpoints
        self._send_peer = send_peer
        self._send_backend = send_backend
        self._now_s = now_s
        self._on_changed = on_changed
        self._on_gone = on_gone
        self._counters = counters
        self._swept_s = now_s()
        self._held: set[str] = set()
        self._domains: set[str] = set()
        members.subscribe(self._on_member_changed)

    def _on_member_changed(self, _: Member) -> None:
        # What this instance did not hold, or could not hear, was not refreshed here:
        # it gets the time of one lease to be heard of.
        held = set(filter(self._is_holder, self._endpoints.services()))
        domains = {member.failure_domain for member in self._members.live()}
        now_s = self._now_s()
        for endpoint in self._endpoints.by_address.values():
            domain = endpoint.announcement.failure_domain
            endpoint.is_unreachable = domain not in domains
            is_new = endpoint.service in held - self._held
            if is_new or domain in domains - self._domains:
                endpoint.extend_lease(now_s)
        self._held, self._domains = held, domains

    def on_announce(self, envelope: Envelope, source: bytes) -> None:
        """Take an announcement that a backend server sent here.

        Parameters
        ----------
        envelope : Envelope
            The datagram.
        source : bytes
            Packed address of the backend server.

        Raises
        ------
        DatagramError
            If it makes no sense.
        SealError
            If it is not signed though it has to be.
        """
        announcement = envelope.announcement
        _check(announcement)
        if self._signers is not None:
            _check_signature(self._signers, announcement)
        announcement.address = source

        heard = self._hear(announcement)
        if heard is not AnnouncementResult.STALE:
            self._tell(announcement, heard)
        self._acknowledge(announcement, source)

    def on_relayed(self, announcement: Announcement) -> None:
        """Take an announcement that another instance told on.

        Parameters
        ----------
        announcement : Announcement
            The announcement, with its address.
        """
        self._hear(announcement)

    def _hear(self, announcement: Announcement) -> AnnouncementResult:
        address = announcement.address
        before = self._endpoints.by_address.get(address)
        was_gone = before is not None and before.gone
        heard, displaced = self._endpoints.apply_announcement(
            address, announcement, self._now_s()
        )
        self._counters["announcement_" + heard.name.lower()] += 1
        if displaced is not None:
            self._on_gone(displaced)

        endpoint = self._endpoints.by_address[address]
        if heard is not AnnouncementResult.STALE:
            domain = endpoint.announcement.failure_domain
            endpoint.is_unreachable = not self._members.sees_domain(domain)
        if heard is AnnouncementResult.CHANGED:
            self._on_changed(endpoint)
            if endpoint.gone and not was_gone:
                self._on_gone(endpoint)
        return heard

    def _tell(self, announcement: Announcement, heard: AnnouncementResult) -> None:
        targets = (
            self._members.live_peers()
            if heard is AnnouncementResult.CHANGED
            else self._other_holders(announcement.service)
        )
        for member in targets:
            self._send_peer(member.address, Peer(announcement=announcement))

    def _holders(self, service: str) -> tuple[Member, ...]:
        return self._members.rank(service_hash(service))[:_HOLDER_COUNT]

    def _other_holders(self, service: str) -> list[Member]:
        me = self._members.me.name
        return [member for member in self._holders(service) if member.name != me]

    def _is_holder(self, service: str) -> bool:
        me = self._members.me.name
        return any(member.name == me for member in self._holders(service))

    def _acknowledge(self, announcement: Announcement, source: bytes) -> None:
        domain = announcement.failure_domain
        near, far = [], []
        for member in self._members.live():
            group = near if member.failure_domain == domain else far
            group.append(format_address(unpack_address(member.address)))
        # A backend server that spoke to far instances as often as to near ones would
        # lose its lease in a cut that leaves its own failure domain whole.
        acknowledgement = Envelope(
            kind=Kind.ANNOUNCE_ACK,
            sequence=announcement.sequence,
            incarnation=announcement.incarnation,
            instances=random.sample(near, min(len(near), _INSTANCES_IN_ACK)),
            fallback_instances=random.sample(far, min(len(far), _FALLBACKS_IN_ACK)),
        )
        self._send_backend(source, acknowledgement.SerializeToString())

    def sweep(self) -> None:
        """End the leases that ran out, where their failure domain is in sight."""
        now_s = self._now_s()
        if now_s - self._swept_s > _LONGEST_GAP_S:
            # This process was stopped for a while: what was sent to it has not been
            # read yet.
            self._counters["pauses"] += 1
            for endpoint in self._endpoints.by_address.values():
                endpoint.extend_lease(now_s)
        self._swept_s = now_s
        for endpoint in list(self._endpoints.expired(now_s, self._is_holder)):
            # Silence from a failure domain that is cut off says nothing about its
            # backend servers: they get no new work from here, and no flow is reset.
            if not self._members.sees_domain(endpoint.announcement.failure_domain):
                continue
            self._counters["lease_expired"] += 1
            ended = Announcement()
            ended.CopyFrom(endpoint.announcement)
            ended.address = endpoint.address
            ended.leaving = True
            self._hear(ended)
            self._tell(ended, AnnouncementResult.CHANGED)
        self._endpoints.delete_gone(now_s, _GONE_KEPT_S)

    def tell_newcomer(self, member: Member) -> None:
        """Send a new instance what this one holds the leases of.

        Parameters
        ----------
        member : Member
            The new instance.
        """
        for endpoint in list(self._endpoints.by_address.values()):
            if self._is_dispatcher(endpoint.service):
                self._send_to(member, endpoint)

    def repair(self) -> None:
        """Send one backend server's state to one instance, both at random.

        This mends what was lost on the way when the state changed.
        """
        peers = self._members.live_peers()
        held = [
            endpoint
            for endpoint in self._endpoints.by_address.values()
            if self._is_dispatcher(endpoint.service)
        ]
        if peers and held:
            self._send_to(random.choice(peers), random.choice(held))

    def _is_dispatcher(self, service: str) -> bool:
        return self._members.is_dispatcher(service_hash(service))

    def _send_to(self, member: Member, endpoint: Endpoint) -> None:
        announcement = Announcement()
        announcement.CopyFrom(endpoint.announcement)
        announcement.address = endpoint.address
        self._send_peer(member.address, Peer(announcement=announcement))


def _check(announcement: Announcement) -> None:
    if not announcement.service or not announcement.endpoint_id:
        raise DatagramError("announcement without service")
    if not announcement.incarnation:
        raise DatagramError("announcement without incarnation")
    if not 0 < announcement.lease_ms <= _LONGEST_LEASE_MS:
        raise DatagramError("announcement with wrong lease")


def _check_signature(signers: Sealer, announcement: Announcement) -> None:
    code = announcement.mac
    announcement.ClearField("mac")
    announcement.ClearField("address")
    body = announcement.SerializeToString(deterministic=True)
    for key in signers.keys:
        try:
            verify_signature(key, body, code)
        except SealError:
            continue
        return
    raise SealError("announcement not signed with an announcement key")
