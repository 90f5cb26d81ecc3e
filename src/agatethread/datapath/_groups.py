"""Which backend servers each dispatcher of the own failure domain places flows on."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from agatethread.balancing import choose_for_service, share_out
from agatethread.datapath._backend import Backend
from agatethread.wire.registry_pb2 import Dispatchers

#: How old the groups of a service may be: a server that joins is slow for seconds, and
#: whether one may take work is looked up with each opening.
_KEPT_S = 0.2


@dataclass(slots=True)
class _Service:
    made_s: float
    by_dispatcher: dict[bytes, tuple[Backend, ...]] = field(default_factory=dict)


class ServerGroups:
    """Backend servers of the own failure domain, shared out among its dispatchers.

    All instances that know the same servers and dispatchers share them out alike, so
    nobody has to be told. Where two differ for a moment, two dispatchers place on one
    server, each by its own counts.

    Parameters
    ----------
    failure_domain : str
        Of this instance.
    runs_of : callable
        Lists a service's runs, also those of other failure domains.
    may_take : callable
        Tells whether a run may be given a new flow.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        runs_of: Callable[[str], Sequence[Backend]],
        may_take: Callable[[Backend], bool],
        now_s: Callable[[], float],
    ):
        self._may_take = may_take
        self._failure_domain = failure_domain
        self._runs_of = runs_of
        self._now_s = now_s
        self._services: dict[str, _Service] = {}
        self.dispatchers: tuple[bytes, ...] = ()
        #: Entry instances of the failure domain that serve.
        self.entry_count = 0

    def take(self, told: Dispatchers | None) -> None:
        """Take who the dispatchers are.

        Parameters
        ----------
        told : Dispatchers or None
            Of the own failure domain; None if nobody tells.
        """
        addresses = tuple(told.addresses) if told else ()
        self.entry_count = told.entry_count if told else 0
        if addresses != self.dispatchers:
            self.dispatchers = addresses
            self._services.clear()

    def of_service(self, service: str) -> dict[bytes, tuple[Backend, ...]]:
        """Tell each dispatcher's servers of a service.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        dict of bytes to tuple of Backend
            By the dispatcher's packed address; some may be asked for no work.
        """
        now_s = self._now_s()
        known = self._services.get(service)
        if known is None or now_s - known.made_s > _KEPT_S:
            known = self._services[service] = self._share_out(service, now_s)
        return known.by_dispatcher

    def _share_out(self, service: str, now_s: float) -> _Service:
        near = {
            backend.number: backend
            for backend in self._runs_of(service)
            if backend.failure_domain == self._failure_domain
        }
        slot_count = sum(backend.slots for backend in near.values())
        chosen = choose_for_service(self.dispatchers, service, slot_count)
        shares = share_out(sorted(near), chosen)
        groups = {
            dispatcher: tuple(near[number] for number in numbers)
            for dispatcher, numbers in shares.items()
        }
        return _Service(now_s, groups)

    def usable(self, service: str, dispatcher: bytes) -> list[Backend]:
        """List the servers that a dispatcher may place flows on at present.

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
        group = self.of_service(service).get(dispatcher, ())
        return [backend for backend in group if self._may_take(backend)]

    def count_slots(self, service: str) -> dict[bytes, int]:
        """Count the slots that each dispatcher can give out.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        dict of bytes to int
            By the dispatcher's packed address; without those that have none.
        """
        counts = {
            dispatcher: sum(one.slots for one in self.usable(service, dispatcher))
            for dispatcher in self.of_service(service)
        }
        return {dispatcher: count for dispatcher, count in counts.items() if count}
