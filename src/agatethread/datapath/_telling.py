"""Tells other instances how busy this dispatcher is, which also shows that it lives."""

from collections.abc import Callable
from math import inf

from agatethread.balancing import GroupLoad, expected_wait_s
from agatethread.wire.registry_pb2 import DispatcherLoad, RegistryMessage

#: Pause between two times that one that relays openings is told: it must know that an
#: opening is not lost before its caller sends a copy, after 0.2 s.
SIGN_PAUSE_S = 0.1
#: Pause between two times that a dispatcher of another failure domain is told, which
#: hands openings over by it.
LOAD_PAUSE_S = 0.02
#: Longest wait that is told; longer than any caller's patience.
_LONGEST_TOLD_S = 3_600.0


class LoadTeller:
    """Who was told when, and who is owed word.

    Parameters
    ----------
    load_of : callable
        Tells a service's load.
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
        self._told_s: dict[tuple[str, bytes], float] = {}
        #: Those whose openings came since they were told.
        self._owed: set[tuple[str, bytes]] = set()

    def tell(self, service: str, target: bytes, pause_s: float) -> None:
        """Tell one whose opening has come; later, if it was told just now.

        Parameters
        ----------
        service : str
            Of the opening.
        target : bytes
            Packed address of whoever sent it.
        pause_s : float
            Least time between two words.
        """
        now_s = self._now_s()
        if now_s - self._told_s.get((service, target), -inf) < pause_s:
            self._owed.add((service, target))
            return
        self._owed.discard((service, target))
        self._told_s[service, target] = now_s
        load = self._load_of(service)
        wait_s = expected_wait_s(load, load.waiting_count)
        told = DispatcherLoad(
            service=service,
            free=load.free_count,
            waiting=load.waiting_count,
            wait_ms=round(1000 * min(wait_s, _LONGEST_TOLD_S)),
        )
        self._send(RegistryMessage(load=told), target)

    def tick(self) -> None:
        """Tell those that are owed word; to be called some 20 times a second."""
        for service, target in list(self._owed):
            self.tell(service, target, SIGN_PAUSE_S)

    def sweep(self) -> None:
        """Forget who was told long ago."""
        oldest_s = self._now_s() - SIGN_PAUSE_S
        self._told_s = {
            key: told_s for key, told_s in self._told_s.items() if told_s >= oldest_s
        }
