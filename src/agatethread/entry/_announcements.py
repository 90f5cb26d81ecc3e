"""Verify and forward announcements of backend servers, and end expired leases."""

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

#: The first instances in the ranking of a service: its dispatcher and the next one.
_LEASE_HOLDER_COUNT = 2
#: Limits of addresses in an acknowledgement.
_ACK_INSTANCE_LIMIT_COUNT = 8
_ACK_FALLBACK_LIMIT_COUNT = 2
#: Time after the lease for which an ended run is kept, so that callers can still be
#: notified.
_GONE_RETENTION_S = 600.0
_MAX_LEASE_MS = 600_000
#: A longer time between sweeps, which run every 0.1 s, means that the process was
#: paused.
_MAX_SWEEP_GAP_S = 0.8


class AnnouncementHandler:
    """Handles announcements from backend servers and from other instances.

    An announcement with a change is forwarded to every instance; one that only
    refreshes a lease is forwarded to the lease holders of the service.

    Parameters
    ----------
    entry : EntrySettings
        Settings with the path of the announcement key.
    members : MemberTable
        Entry instances.
    endpoints : EndpointTable
        Stores the announced backend servers.
    send_peer : callable
        Sends a message to an instance's packed address.
    send_backend : callable
        Sends a datagram to a backend server's packed address.
    now_s : callable
        Monotonic clock.
    on_changed : callable
        Called with a backend server whose announced state changed.
    on_told_gone : callable
        Called with a run that left or whose lease has expired; it may still serve.
    on_exited : callable
        Called with a run that was replaced at its address.
    counters : Counters
        Counts announcements by their result.
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
        on_told_gone: Callable[[Endpoint], None],
        on_exited: Callable[[Endpoint], None],
        counters: Counters,
    ):
        self._announce_sealer = (
            load_sealer(entry.announce_key_file) if (entry.announce_key_file) else None
        )
        self._members = members
        self._endpoints = endpoints
        self._send_peer = send_peer
        self._send_backend = send_backend
        self._now_s = now_s
        self._on_changed = on_changed
        self._on_told_gone = on_told_gone
        self._on_exited = on_exited
        self._counters = counters
        self._last_sweep_s = now_s()
        self._held_services: set[str] = set()
        self._live_domains: set[str] = set()
        members.subscribe(self._on_member_changed)

    def _on_member_changed(self, _: Member) -> None:
        # Leases of newly held services and newly reachable failure domains were not
        # refreshed here before, so they start anew.
        held_services = set(filter(self._is_lease_holder, self._endpoints.services()))
        live_domains = {member.failure_domain for member in self._members.list_live()}
        now_s = self._now_s()
        for endpoint in self._endpoints.by_address.values():
            domain = endpoint.announcement.failure_domain
            endpoint.is_unreachable = domain not in live_domains
            is_new = endpoint.service in held_services - self._held_services
            if is_new or domain in live_domains - self._live_domains:
                endpoint.extend_lease(now_s)
        self._held_services, self._live_domains = held_services, live_domains

    def on_announce(self, envelope: Envelope, source: bytes) -> None:
        """Handle an announcement that a backend server sent to this instance.

        Parameters
        ----------
        envelope : Envelope
            Decoded datagram.
        source : bytes
            Packed address of the backend server.

        Raises
        ------
        DatagramError
            If a field is missing or invalid.
        SealError
            If a required signature is missing or wrong.
        """
        announcement = envelope.announcement
        _check_fields(announcement)
        if self._announce_sealer is not None:
            _check_signature(self._announce_sealer, announcement)
        announcement.address = source

        result = self._apply(announcement)
        if result is not AnnouncementResult.STALE:
            self._forward(announcement, result)
        self._acknowledge(announcement, source)

    def on_forwarded(self, announcement: Announcement) -> None:
        """Handle an announcement that another instance forwarded.

        Parameters
        ----------
        announcement : Announcement
            Announcement with the address of its backend server.
        """
        self._apply(announcement)

    def _apply(self, announcement: Announcement) -> AnnouncementResult:
        address = announcement.address
        previous = self._endpoints.by_address.get(address)
        was_gone = previous is not None and previous.gone
        result, displaced = self._endpoints.apply_announcement(
            address, announcement, self._now_s()
        )
        self._counters["announcement_" + result.name.lower()] += 1
        if displaced is not None:
            self._on_exited(displaced)

        endpoint = self._endpoints.by_address[address]
        if result is not AnnouncementResult.STALE:
            domain = endpoint.announcement.failure_domain
            endpoint.is_unreachable = not self._members.has_live_member(domain)
        if result is AnnouncementResult.CHANGED:
            self._on_changed(endpoint)
            if endpoint.gone and not was_gone:
                self._on_told_gone(endpoint)
        return result

    def _forward(self, announcement: Announcement, result: AnnouncementResult) -> None:
        targets = (
            self._members.live_peers()
            if result is AnnouncementResult.CHANGED
            else self._other_lease_holders(announcement.service)
        )
        for member in targets:
            self._send_peer(member.address, Peer(announcement=announcement))

    def _lease_holders(self, service: str) -> tuple[Member, ...]:
        return self._members.rank(service_hash(service))[:_LEASE_HOLDER_COUNT]

    def _other_lease_holders(self, service: str) -> list[Member]:
        own_name = self._members.own_member.name
        return [
            member for member in self._lease_holders(service) if member.name != own_name
        ]

    def _is_lease_holder(self, service: str) -> bool:
        own_name = self._members.own_member.name
        return any(member.name == own_name for member in self._lease_holders(service))

    def _acknowledge(self, announcement: Announcement, source: bytes) -> None:
        domain = announcement.failure_domain
        own_domain_addresses, other_domain_addresses = [], []
        for member in self._members.list_live():
            addresses = (
                own_domain_addresses
                if member.failure_domain == domain
                else other_domain_addresses
            )
            addresses.append(format_address(unpack_address(member.address)))
        # Instances of other failure domains are fallbacks only: in a partition between
        # failure domains, announcements to them are lost and the lease would expire.
        reply = Envelope(
            kind=Kind.ANNOUNCE_ACK,
            sequence=announcement.sequence,
            incarnation=announcement.incarnation,
            instances=random.sample(
                own_domain_addresses,
                min(len(own_domain_addresses), _ACK_INSTANCE_LIMIT_COUNT),
            ),
            fallback_instances=random.sample(
                other_domain_addresses,
                min(len(other_domain_addresses), _ACK_FALLBACK_LIMIT_COUNT),
            ),
        )
        self._send_backend(source, reply.SerializeToString())

    def sweep(self) -> None:
        """End expired leases in reachable failure domains."""
        now_s = self._now_s()
        if now_s - self._last_sweep_s > _MAX_SWEEP_GAP_S:
            # Announcements received during a pause have not been read yet, so the
            # leases start anew.
            self._counters["pauses"] += 1
            for endpoint in self._endpoints.by_address.values():
                endpoint.extend_lease(now_s)
        self._last_sweep_s = now_s
        for endpoint in list(self._endpoints.expired(now_s, self._is_lease_holder)):
            # Backend servers in an unreachable failure domain may still run: they get
            # no new work, and their flows are not reset.
            if not self._members.has_live_member(endpoint.announcement.failure_domain):
                continue
            self._counters["lease_expired"] += 1
            ended = Announcement()
            ended.CopyFrom(endpoint.announcement)
            ended.address = endpoint.address
            ended.leaving = True
            self._apply(ended)
            self._forward(ended, AnnouncementResult.CHANGED)
        self._endpoints.delete_gone(now_s, _GONE_RETENTION_S)

    def send_announcements_to(self, member: Member) -> None:
        """Send a new instance the announcements of services dispatched by this one.

        Parameters
        ----------
        member : Member
            New instance.
        """
        for endpoint in list(self._endpoints.by_address.values()):
            if self._is_dispatcher(endpoint.service):
                self._send_announcement(member, endpoint)

    def send_random_announcement(self) -> None:
        """Send the announcement of a random backend server to a random instance.

        Repairs the state of instances that missed a change because of packet loss.
        """
        peers = self._members.live_peers()
        endpoints = [
            endpoint
            for endpoint in self._endpoints.by_address.values()
            if self._is_dispatcher(endpoint.service)
        ]
        if peers and endpoints:
            self._send_announcement(random.choice(peers), random.choice(endpoints))

    def _is_dispatcher(self, service: str) -> bool:
        return self._members.is_dispatcher(service_hash(service))

    def _send_announcement(self, member: Member, endpoint: Endpoint) -> None:
        announcement = Announcement()
        announcement.CopyFrom(endpoint.announcement)
        announcement.address = endpoint.address
        self._send_peer(member.address, Peer(announcement=announcement))


def _check_fields(announcement: Announcement) -> None:
    # The texts are part of the names of counters; the first one stands for a missing
    # service or endpoint id, the last one for a lease of zero or above the limit.
    if not announcement.service or not announcement.endpoint_id:
        raise DatagramError("announcement without service")
    if not announcement.incarnation:
        raise DatagramError("announcement without incarnation")
    if not 0 < announcement.lease_ms <= _MAX_LEASE_MS:
        raise DatagramError("announcement with wrong lease")


def _check_signature(sealer: Sealer, announcement: Announcement) -> None:
    signature = announcement.mac
    announcement.ClearField("mac")
    announcement.ClearField("address")
    body = announcement.SerializeToString(deterministic=True)
    for key in sealer.keys:
        try:
            verify_signature(key, body, signature)
        except SealError:
            continue
        return
    raise SealError("announcement not signed with an announcement key")
