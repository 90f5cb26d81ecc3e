"""Sends load reports of a dispatcher, which also show that it is alive."""

from collections.abc import Callable
from math import inf

from agatethread.balancing import GroupLoad, expected_wait_s
from agatethread.wire.registry_pb2 import DispatcherLoad, RegistryMessage

#: Minimum time between two reports to an instance that relays openings; less than a
#: caller waits before it sends a copy.
LIVENESS_INTERVAL_S = 0.1
#: Minimum time between two reports to a dispatcher that hands openings over.
LOAD_INTERVAL_S = 0.02
#: Upper bound of a reported wait, which is infinite if all servers are avoided.
_MAX_REPORTED_WAIT_S = 3_600.0


class LoadReporter:
    """Sends load reports, at a limited rate for each service and instance.

    Parameters
    ----------
    load_of : callable
        Returns a service's load.
    send : callable
        Sends a registry message to a packed address.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        load_of: Callable[[str], GroupLoad],
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
    ):
        self._load_of = load_of
        self._send = send
        self._now_s = now_s
        self._sent_s: dict[tuple[str, bytes], float] = {}
        #: Services and targets whose report is deferred.
        self._due: set[tuple[str, bytes]] = set()

    def report(self, service: str, target: bytes, min_interval_s: float) -> None:
        """Send a load report to the sender of an opening, or defer it.

        Parameters
        ----------
        service : str
            Service of the opening.
        target : bytes
            Packed address of the sender.
        min_interval_s : float
            Minimum time between two reports.
        """
        now_s = self._now_s()
        if now_s - self._sent_s.get((service, target), -inf) < min_interval_s:
            self._due.add((service, target))
            return
        self._due.discard((service, target))
        self._sent_s[service, target] = now_s
        load = self._load_of(service)
        wait_s = expected_wait_s(load, load.waiting_count)
        message = DispatcherLoad(
            service=service,
            free=load.free_count,
            waiting=load.waiting_count,
            wait_ms=round(1000 * min(wait_s, _MAX_REPORTED_WAIT_S)),
        )
        self._send(RegistryMessage(load=message), target)

    def tick(self) -> None:
        """Send the deferred reports; to be called about 20 times a second."""
        for service, target in list(self._due):
            self.report(service, target, LIVENESS_INTERVAL_S)

    def sweep(self) -> None:
        """Delete the times of old reports."""
        oldest_s = self._now_s() - LIVENESS_INTERVAL_S
        self._sent_s = {
            key: sent_s for key, sent_s in self._sent_s.items() if sent_s >= oldest_s
        }
