"""Table of announced backend servers by address, with this instance's load counts."""

import enum
import math
from collections.abc import Callable, Iterator

from agatethread.wire import Announcement

#: Bounds of the backoff after failures, which doubles with each consecutive failure.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0
#: How long requests inherited from an earlier dispatcher are counted.
_INHERITED_LIFETIME_S = 30.0
#: A service with a backend server first announced longer ago than this counts as
#: established.
_ESTABLISHED_S = 10.0


class AnnouncementResult(enum.Enum):
    """Result of applying an announcement."""

    STALE = enum.auto()
    REFRESHED = enum.auto()
    CHANGED = enum.auto()


class Endpoint:
    """One run of a backend server at one address, from its start to its end.

    Other descriptions say "backend server" for it.

    Parameters
    ----------
    address : bytes
        Packed address.
    announcement : Announcement
        Its latest announcement.
    now_s : float
        Time of the announcement.
    """

    __slots__ = (
        "address",
        "announcement",
        "closing",
        "connection_limit",
        "drained",
        "failures",
        "gone",
        "has_exited",
        "first_announced_s",
        "in_flight",
        "incarnation",
        "inherited_in_flight",
        "inherited_streams",
        "inherited_until_s",
        "last_used_s",
        "is_unreachable",
        "lease_until_s",
        "penalty_until_s",
        "ramp_from_s",
        "service",
        "slots",
        "streams",
        "weight",
    )

    def __init__(self, address: bytes, announcement: Announcement, now_s: float):
        self.address = address
        self._apply_fields(announcement)
        self.service = announcement.service
        self.incarnation = announcement.incarnation
        self.first_announced_s = now_s
        self.ramp_from_s = now_s
        self.lease_until_s = now_s + announcement.lease_ms / 1000
        #: Whether it is told to be gone: it has left, its lease has expired or another
        #: run replaced it. It gets no new work, and may still serve.
        self.gone = False
        #: Whether its process has ended, as it answers nothing.
        self.has_exited = False
        #: Whether the operator has drained it or evacuated its failure domain.
        self.drained = False
        #: Whether its failure domain is unreachable from here.
        self.is_unreachable = False
        self.weight = 1.0
        self.streams = 0
        self.in_flight = 0
        self.inherited_streams = announcement.open_streams
        self.inherited_in_flight = announcement.in_flight
        self.inherited_until_s = now_s + _INHERITED_LIFETIME_S
        #: Consecutive failures, and the end of the backoff after the latest one.
        self.failures = 0
        self.penalty_until_s = 0.0
        self.last_used_s = 0.0

    def _apply_fields(self, announcement: Announcement) -> None:
        # Copied to plain attributes, which each selection reads of all backend servers.
        self.announcement = announcement
        self.slots = announcement.slots
        self.connection_limit = announcement.connection_limit
        # Whether it has announced that it drains or leaves.
        self.closing = announcement.draining or announcement.leaving

    @property
    def takes_new_work(self) -> bool:
        """Whether it may receive new flows and requests.

        Selections also leave out those in backoff, without weight or past their lease.
        """
        return not (self.gone or self.drained or self.closing or self.is_unreachable)

    @property
    def stream_load(self) -> int:
        """Open flows, including those that an earlier dispatcher placed."""
        return self.streams + self.inherited_streams

    @property
    def request_load(self) -> int:
        """Requests in flight, including those that an earlier dispatcher sent."""
        return self.in_flight + self.inherited_in_flight

    def refresh(self, announcement: Announcement, now_s: float) -> bool:
        """Apply a newer announcement of the same run.

        Parameters
        ----------
        announcement : Announcement
            The announcement.
        now_s : float
            Time of the announcement.

        Returns
        -------
        bool
            Whether it changes anything that must be sent to every instance.
        """
        old = self.announcement
        has_changed = self.gone != announcement.leaving or (
            old.draining,
            old.slots,
            old.connection_limit,
            old.failure_domain,
        ) != (
            announcement.draining,
            announcement.slots,
            announcement.connection_limit,
            announcement.failure_domain,
        )
        self._apply_fields(announcement)
        self.gone = announcement.leaving
        self.has_exited = self.has_exited and self.gone
        self.lease_until_s = now_s + announcement.lease_ms / 1000
        self._lower_inherited(announcement, now_s)
        return has_changed

    def _lower_inherited(self, announcement: Announcement, now_s: float) -> None:
        # Reports may be late or wrong, so they only lower inherited counts; this
        # instance's own counts never change.
        if now_s >= self.inherited_until_s:
            self.inherited_in_flight = 0
        reported_streams = max(0, announcement.open_streams - self.streams)
        reported_in_flight = max(0, announcement.in_flight - self.in_flight)
        self.inherited_streams = min(self.inherited_streams, reported_streams)
        self.inherited_in_flight = min(self.inherited_in_flight, reported_in_flight)

    def inherit_reported_load(self, now_s: float) -> None:
        """Set inherited counts from its report.

        Call this when this instance becomes the dispatcher of its service.

        Parameters
        ----------
        now_s : float
            Time of the takeover.
        """
        reported = self.announcement
        self.inherited_streams = max(0, reported.open_streams - self.streams)
        self.inherited_in_flight = max(0, reported.in_flight - self.in_flight)
        self.inherited_until_s = now_s + _INHERITED_LIFETIME_S

    def extend_lease(self, now_s: float) -> None:
        """Extend its lease to a full period from now, without an announcement.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        lease_until_s = now_s + self.announcement.lease_ms / 1000
        self.lease_until_s = max(self.lease_until_s, lease_until_s)

    def record_success(self) -> None:
        """Reset its consecutive failures after an answer."""
        self.failures = 0

    def record_failure(self, now_s: float, retry_after_s: float = 0.0) -> None:
        """Record a failure and start the exponential backoff of the backend server.

        Parameters
        ----------
        now_s : float
            Time of the failure.
        retry_after_s : float, default=0.0
            Backoff that it requested.
        """
        self.failures += 1
        exponential_s = _INITIAL_BACKOFF_S * 2 ** min(self.failures - 1, 10)
        backoff_s = min(max(exponential_s, retry_after_s), _MAX_BACKOFF_S)
        self.penalty_until_s = now_s + backoff_s


class EndpointTable:
    """All announced backend servers; an address belongs to one run at a time."""

    def __init__(self) -> None:
        self.by_address: dict[bytes, Endpoint] = {}
        self._by_service: dict[str, dict[bytes, Endpoint]] = {}

    def apply_announcement(
        self, address: bytes, announcement: Announcement, now_s: float
    ) -> tuple[AnnouncementResult, Endpoint | None]:
        """Apply an announcement.

        Parameters
        ----------
        address : bytes
            Packed address of the announced backend server.
        announcement : Announcement
            The announcement.
        now_s : float
            Time of the announcement.

        Returns
        -------
        tuple of (AnnouncementResult, Endpoint or None)
            The result, and the run that was replaced at the address, if any.
        """
        current = self.by_address.get(address)
        if current is not None and announcement.incarnation < current.incarnation:
            return AnnouncementResult.STALE, None
        if current is not None and announcement.incarnation == current.incarnation:
            return self._refresh(current, announcement, now_s), None

        if current is not None:
            self._delete(current)
        endpoint = Endpoint(address, announcement, now_s)
        endpoint.gone = announcement.leaving
        if not self._is_established(endpoint.service, now_s):
            endpoint.ramp_from_s = -math.inf
        self.by_address[address] = endpoint
        self._by_service.setdefault(endpoint.service, {})[address] = endpoint
        return AnnouncementResult.CHANGED, current

    def _is_established(self, service: str, now_s: float) -> bool:
        # Without established backend servers a new one starts at full weight.
        return any(
            not other.gone and now_s - other.first_announced_s > _ESTABLISHED_S
            for other in self._by_service.get(service, {}).values()
        )

    def _refresh(
        self, current: Endpoint, announcement: Announcement, now_s: float
    ) -> AnnouncementResult:
        if announcement.service != current.service:
            return AnnouncementResult.STALE
        order = (announcement.sequence, announcement.leaving)
        if order <= (current.announcement.sequence, current.announcement.leaving):
            return AnnouncementResult.STALE

        has_changed = current.refresh(announcement, now_s)
        return (
            AnnouncementResult.CHANGED if has_changed else AnnouncementResult.REFRESHED
        )

    def _delete(self, endpoint: Endpoint) -> None:
        endpoint.gone = endpoint.has_exited = True
        del self.by_address[endpoint.address]
        self._by_service[endpoint.service].pop(endpoint.address, None)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return a service's backend servers.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list of Endpoint
            Includes those that receive no new work.
        """
        return list(self._by_service.get(service, {}).values())

    def services(self) -> list[str]:
        """Return the services that backend servers were announced for.

        Returns
        -------
        list of str
            Names of the services.
        """
        return list(self._by_service)

    def expired(
        self, now_s: float, is_lease_holder: Callable[[str], bool]
    ) -> Iterator[Endpoint]:
        """Yield the backend servers whose lease has expired.

        Parameters
        ----------
        now_s : float
            Current time.
        is_lease_holder : callable
            Returns whether this instance holds the leases of a service.

        Yields
        ------
        Endpoint
            A backend server that is not yet marked gone.
        """
        for service, endpoints in self._by_service.items():
            if not is_lease_holder(service):
                continue
            for endpoint in endpoints.values():
                if not endpoint.gone and endpoint.lease_until_s < now_s:
                    yield endpoint

    def delete_gone(self, now_s: float, retention_s: float) -> None:
        """Delete records of gone backend servers after a retention time.

        Parameters
        ----------
        now_s : float
            Current time.
        retention_s : float
            Time for which a record is kept after the end of the lease, so that callers
            can still be notified. A backend server may leave before its lease ends.
        """
        for endpoint in list(self.by_address.values()):
            if endpoint.gone and endpoint.lease_until_s + retention_s < now_s:
                self._delete(endpoint)
