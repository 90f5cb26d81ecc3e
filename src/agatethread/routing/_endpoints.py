"""Backend servers that announced themselves, by address, with what we count of each."""

import enum
import math
from collections.abc import Callable, Iterator

from agatethread.wire import Announcement

_FIRST_PENALTY_S = 0.1
_LONGEST_PENALTY_S = 5.0
#: How long counts inherited from an earlier dispatcher are believed.
_INHERITED_LIFETIME_S = 30.0
#: A service whose first backend server is older than this has started.
_ESTABLISHED_S = 10.0


class Heard(enum.Enum):
    """What an announcement changed."""

    STALE = enum.auto()
    REFRESHED = enum.auto()
    CHANGED = enum.auto()


class Endpoint:
    """One run of a backend server at one address.

    Parameters
    ----------
    address : bytes
        Packed address.
    announcement : Announcement
        What it last said of itself.
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
        "heard_first_s",
        "in_flight",
        "incarnation",
        "inherited_in_flight",
        "inherited_streams",
        "inherited_until_s",
        "last_used_s",
        "out_of_sight",
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
        self._read(announcement)
        self.service = announcement.service
        self.incarnation = announcement.incarnation
        self.heard_first_s = now_s
        self.ramp_from_s = now_s
        self.lease_until_s = now_s + announcement.lease_ms / 1000
        self.gone = False
        self.drained = False
        #: Whether its failure domain is cut off from here.
        self.out_of_sight = False
        self.weight = 1.0
        self.streams = 0
        self.in_flight = 0
        self.inherited_streams = announcement.open_streams
        self.inherited_in_flight = announcement.in_flight
        self.inherited_until_s = now_s + _INHERITED_LIFETIME_S
        self.failures = 0
        self.penalty_until_s = 0.0
        self.last_used_s = 0.0

    def _read(self, announcement: Announcement) -> None:
        # Plain attributes, since each decision reads them of every backend server.
        self.announcement = announcement
        self.slots = announcement.slots
        self.connection_limit = announcement.connection_limit
        self.closing = announcement.draining or announcement.leaving

    @property
    def takes_new_work(self) -> bool:
        """Whether it may be given new flows and requests."""
        return not (self.gone or self.drained or self.closing or self.out_of_sight)

    @property
    def stream_load(self) -> int:
        """Open streams, with those that an earlier dispatcher placed."""
        return self.streams + self.inherited_streams

    @property
    def request_load(self) -> int:
        """Requests in flight, with those that an earlier dispatcher sent."""
        return self.in_flight + self.inherited_in_flight

    def refresh(self, announcement: Announcement, now_s: float) -> bool:
        """Take a newer announcement of the same run.

        Parameters
        ----------
        announcement : Announcement
            The announcement.
        now_s : float
            Time of it.

        Returns
        -------
        bool
            Whether it says anything that every instance must know.
        """
        old = self.announcement
        changed = self.gone != announcement.leaving or (
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
        self._read(announcement)
        self.gone = announcement.leaving
        self.lease_until_s = now_s + announcement.lease_ms / 1000
        self._settle_inherited(announcement, now_s)
        return changed

    def _settle_inherited(self, announcement: Announcement, now_s: float) -> None:
        # Reports lag or lie, so they may only lower what was inherited and never
        # touch what we counted ourselves.
        if now_s >= self.inherited_until_s:
            self.inherited_in_flight = 0
        reported_streams = max(0, announcement.open_streams - self.streams)
        reported_in_flight = max(0, announcement.in_flight - self.in_flight)
        self.inherited_streams = min(self.inherited_streams, reported_streams)
        self.inherited_in_flight = min(self.inherited_in_flight, reported_in_flight)

    def inherit(self, now_s: float) -> None:
        """Start counting from its own report, on becoming its dispatcher.

        Parameters
        ----------
        now_s : float
            Time of the change.
        """
        reported = self.announcement
        self.inherited_streams = max(0, reported.open_streams - self.streams)
        self.inherited_in_flight = max(0, reported.in_flight - self.in_flight)
        self.inherited_until_s = now_s + _INHERITED_LIFETIME_S

    def extend_lease(self, now_s: float) -> None:
        """Give it the time of one lease, without having heard of it.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        lease_until_s = now_s + self.announcement.lease_ms / 1000
        self.lease_until_s = max(self.lease_until_s, lease_until_s)

    def succeed(self) -> None:
        """Note that it did its work."""
        self.failures = 0

    def fail(self, now_s: float, retry_after_s: float = 0.0) -> None:
        """Note that it shed, refused or lost its work; keep away for a while.

        Parameters
        ----------
        now_s : float
            Time of the failure.
        retry_after_s : float, default=0.0
            What it asked for itself.
        """
        self.failures += 1
        backoff_s = _FIRST_PENALTY_S * 2 ** min(self.failures - 1, 10)
        pause_s = min(max(backoff_s, retry_after_s), _LONGEST_PENALTY_S)
        self.penalty_until_s = now_s + pause_s


class EndpointTable:
    """All known backend servers; an address belongs to one run at a time."""

    def __init__(self) -> None:
        self.by_address: dict[bytes, Endpoint] = {}
        self._by_service: dict[str, dict[bytes, Endpoint]] = {}

    def hear(
        self, address: bytes, announcement: Announcement, now_s: float
    ) -> tuple[Heard, Endpoint | None]:
        """Take an announcement.

        Parameters
        ----------
        address : bytes
            Packed address that it speaks for.
        announcement : Announcement
            The announcement.
        now_s : float
            Time of it.

        Returns
        -------
        tuple of (Heard, Endpoint or None)
            What it changed, and the run that it displaced from the address, if any.
        """
        known = self.by_address.get(address)
        if known is not None and announcement.incarnation < known.incarnation:
            return Heard.STALE, None
        if known is not None and announcement.incarnation == known.incarnation:
            return self._hear_again(known, announcement, now_s), None

        if known is not None:
            self._drop(known)
        endpoint = Endpoint(address, announcement, now_s)
        endpoint.gone = announcement.leaving
        if not self._is_established(endpoint.service, now_s):
            endpoint.ramp_from_s = -math.inf
        self.by_address[address] = endpoint
        self._by_service.setdefault(endpoint.service, {})[address] = endpoint
        return Heard.CHANGED, known

    def _is_established(self, service: str, now_s: float) -> bool:
        # Where all are new none is spared; a ramp is against those that serve already.
        return any(
            not other.gone and now_s - other.heard_first_s > _ESTABLISHED_S
            for other in self._by_service.get(service, {}).values()
        )

    def _hear_again(
        self, known: Endpoint, announcement: Announcement, now_s: float
    ) -> Heard:
        if announcement.service != known.service:
            return Heard.STALE
        order = (announcement.sequence, announcement.leaving)
        if order <= (known.announcement.sequence, known.announcement.leaving):
            return Heard.STALE

        changed = known.refresh(announcement, now_s)
        return Heard.CHANGED if changed else Heard.REFRESHED

    def _drop(self, endpoint: Endpoint) -> None:
        endpoint.gone = True
        del self.by_address[endpoint.address]
        self._by_service[endpoint.service].pop(endpoint.address, None)

    def of_service(self, service: str) -> list[Endpoint]:
        """List a service's backend servers.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list of Endpoint
            Also those that take no new work.
        """
        return list(self._by_service.get(service, {}).values())

    def services(self) -> list[str]:
        """List the services that backend servers were announced for.

        Returns
        -------
        list of str
            Names.
        """
        return list(self._by_service)

    def expired(
        self, now_s: float, is_holder: Callable[[str], bool]
    ) -> Iterator[Endpoint]:
        """Find the backend servers whose lease has run out.

        Parameters
        ----------
        now_s : float
            Present time.
        is_holder : callable
            Tells whether this instance holds the leases of a service.

        Yields
        ------
        Endpoint
            One that is not yet marked gone.
        """
        for service, endpoints in self._by_service.items():
            if not is_holder(service):
                continue
            for endpoint in endpoints.values():
                if not endpoint.gone and endpoint.lease_until_s < now_s:
                    yield endpoint

    def forget_gone(self, now_s: float, keep_s: float) -> None:
        """Drop records of backend servers that left long ago.

        Parameters
        ----------
        now_s : float
            Present time.
        keep_s : float
            How long after the lease's end a record is kept, so that callers are told.
        """
        for endpoint in list(self.by_address.values()):
            if endpoint.gone and endpoint.lease_until_s + keep_s < now_s:
                self._drop(endpoint)
