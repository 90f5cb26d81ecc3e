"""Which failure domains are evacuated: published by control, kept by entry instances.

The log of the control instances holds them. Each control instance publishes what its
copy of the log says; the highest version that an entry instance hears is in force
there, so it does not matter in which order control instances are heard.
"""

import asyncio
from collections.abc import Callable, Iterable

from agatethread.registry._subscribers import Subscriber
from agatethread.registry._waiting import IndexWaiters
from agatethread.wire.registry_pb2 import Evacuations, RegistryMessage

#: Time after which a change that was not acknowledged is sent again: many round trips
#: between failure domains, and short beside the seconds in which it must be in force.
_RESEND_S = 0.15

#: Lists instances in sight by packed address.
ListSubscribers = Callable[[], Iterable[tuple[bytes, Subscriber]]]


def _tell_nobody() -> None:
    """Tell no other control instance."""


class EvacuationPublisher:
    """Sends entry instances the newest evacuations until they have acknowledged them.

    Entry instances may follow control instances of their own failure domain only; for
    these, other control instances say up to which version all theirs have them.

    Parameters
    ----------
    subscribers : callable
        Lists the entry and control instances in sight, with their addresses.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        subscribers: ListSubscribers,
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
    ):
        self._subscribers = subscribers
        self._send = send
        self._now_s = now_s
        self._waiting = IndexWaiters()
        self.newest = Evacuations()
        #: What all entry instances in sight have.
        self.known_version = 0
        #: Called when that has grown, so that others can be told at once.
        self.on_known: Callable[[], None] = _tell_nobody

    def offer(self, evacuations: Evacuations) -> bool:
        """Publish what the log holds, unless that is known already.

        Parameters
        ----------
        evacuations : Evacuations
            All of them.

        Returns
        -------
        bool
            Whether they are new.
        """
        if evacuations.version <= self.newest.version:
            return False
        self.newest = Evacuations()
        self.newest.CopyFrom(evacuations)
        self.publish()
        return True

    def publish(self) -> None:
        """Send them to those that lack them; to be called ten times a second."""
        if not self.newest.version:
            return
        now_s = self._now_s()
        message = RegistryMessage(evacuations=self.newest)
        known, elsewhere = [], []
        for address, subscriber in self._subscribers():
            if subscriber.is_control:
                # One of a version that reads no numbers does not say it either.
                if subscriber.takes_numbers:
                    elsewhere.append(subscriber.evacuations_version)
                continue
            known.append(subscriber.evacuations_version)
            if subscriber.evacuations_version >= self.newest.version:
                continue
            is_new = subscriber.evacuations_sent_version < self.newest.version
            if is_new or now_s - subscriber.evacuations_sent_s >= _RESEND_S:
                subscriber.evacuations_sent_version = self.newest.version
                subscriber.evacuations_sent_s = now_s
                self._send(message, address)
        known_version = min(known, default=self.newest.version)
        has_grown = known_version > self.known_version
        self.known_version = known_version
        if has_grown:
            self.on_known()
        self._waiting.settle(min([known_version, *elsewhere]))

    async def wait_until_known(self, version: int, limit_s: float) -> bool:
        """Wait until every entry instance in sight has a version.

        Parameters
        ----------
        version : int
            The version.
        limit_s : float
            Longest time to wait; 0: not at all.

        Returns
        -------
        bool
            Whether all have it.
        """
        waiting = self._waiting.add(version)
        self.publish()
        try:
            await asyncio.wait_for(waiting, limit_s)
        except TimeoutError:
            return False
        return True


class KnownEvacuations:
    """The newest evacuations that a process was told of.

    Parameters
    ----------
    on_change : callable, optional
        Called with the names of the evacuated failure domains.
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None] = lambda _: None):
        self._on_change = on_change
        self.version = 0

    @property
    def known_version(self) -> int:
        """What this process says that it has."""
        return self.version

    def take(self, evacuations: Evacuations) -> None:
        """Take what a control instance publishes, unless something newer is known.

        Parameters
        ----------
        evacuations : Evacuations
            All of them.
        """
        if evacuations.version <= self.version:
            return
        self.version = evacuations.version
        self._on_change(frozenset(evacuations.failure_domains))
