"""Assigns the backend servers of a failure domain to its dispatchers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from agatethread.balancing import assign_servers
from agatethread.datapath._backend import Backend
from agatethread.wire.registry_pb2 import Dispatchers

#: Age at which a service's groups are assigned again, for servers that have joined;
#: whether a server accepts flows is checked for each opening.
_GROUPS_VALIDITY_S = 0.2


@dataclass(slots=True)
class _ServiceGroups:
    created_s: float
    by_dispatcher: dict[bytes, tuple[Backend, ...]] = field(default_factory=dict)


class ServerGroups:
    """Assigns the backend servers of the own failure domain to its dispatchers.

    Instances that know the same servers and dispatchers assign them alike, without
    messages. While two instances know different ones, two dispatchers may place on one
    server, each by its own counts.

    Parameters
    ----------
    failure_domain : str
        Of this instance.
    runs_of : callable
        Returns a service's runs, also those of other failure domains.
    is_candidate : callable
        Returns whether a run may receive a new flow.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        runs_of: Callable[[str], Sequence[Backend]],
        is_candidate: Callable[[Backend], bool],
        now_s: Callable[[], float],
    ):
        self._is_candidate = is_candidate
        self._failure_domain = failure_domain
        self._runs_of = runs_of
        self._now_s = now_s
        self._groups: dict[str, _ServiceGroups] = {}
        self.dispatchers: tuple[bytes, ...] = ()
        #: Number of entry instances of the failure domain that are serving callers.
        self.entry_count = 0

    def set_dispatchers(self, dispatchers: Dispatchers | None) -> None:
        """Store the dispatchers.

        Parameters
        ----------
        dispatchers : Dispatchers or None
            Those of the own failure domain; None if unknown.
        """
        addresses = tuple(dispatchers.addresses) if dispatchers else ()
        self.entry_count = dispatchers.entry_count if dispatchers else 0
        if addresses != self.dispatchers:
            self.dispatchers = addresses
            self._groups.clear()

    def servers_by_dispatcher(self, service: str) -> dict[bytes, tuple[Backend, ...]]:
        """Return each dispatcher's servers of a service.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        dict of bytes to tuple of Backend
            By the dispatcher's packed address, also servers that accept no new flows.
        """
        now_s = self._now_s()
        groups = self._groups.get(service)
        if groups is None or now_s - groups.created_s > _GROUPS_VALIDITY_S:
            groups = self._groups[service] = self._assign_servers(service, now_s)
        return groups.by_dispatcher

    def _assign_servers(self, service: str, now_s: float) -> _ServiceGroups:
        own_domain_servers = {
            backend.number: backend
            for backend in self._runs_of(service)
            if backend.failure_domain == self._failure_domain
        }
        shares = assign_servers(sorted(own_domain_servers), self.dispatchers)
        by_dispatcher = {
            dispatcher: tuple(own_domain_servers[number] for number in numbers)
            for dispatcher, numbers in shares.items()
        }
        return _ServiceGroups(now_s, by_dispatcher)

    def usable_servers(self, service: str, dispatcher: bytes) -> list[Backend]:
        """Return the servers that a dispatcher may place flows on at present.

        Parameters
        ----------
        service : str
            The service.
        dispatcher : bytes
            Its packed address.

        Returns
        -------
        list of Backend
            Empty where there are none.
        """
        group = self.servers_by_dispatcher(service).get(dispatcher, ())
        return [backend for backend in group if self._is_candidate(backend)]

    def count_slots(self, service: str) -> dict[bytes, int]:
        """Return the number of usable slots of each dispatcher.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        dict of bytes to int
            By the dispatcher's packed address; dispatchers without slots are left out.
        """
        counts = {
            dispatcher: sum(
                server.slots for server in self.usable_servers(service, dispatcher)
            )
            for dispatcher in self.servers_by_dispatcher(service)
        }
        return {dispatcher: count for dispatcher, count in counts.items() if count}
