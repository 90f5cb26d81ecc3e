"""Publishes which failure domains are evacuated, and stores what was published.

The log of the control instances holds the evacuations. Each control instance publishes
the state of its copy of the log. An entry instance applies the highest version that it
receives, so the order of the messages does not matter.
"""

import asyncio
from collections.abc import Callable, Iterable

from agatethread.registry._index_waiters import IndexWaiters
from agatethread.registry._subscribers import Subscriber
from agatethread.wire.registry_pb2 import Evacuations, RegistryMessage

#: Time after which an unacknowledged change is sent again: longer than a round trip
#: between failure domains, and short enough for several retries before a call of
#: `wait_until_acknowledged` times out.
_RESEND_INTERVAL_S = 0.15

#: Lists reachable instances by packed address.
ListSubscribers = Callable[[], Iterable[tuple[bytes, Subscriber]]]


def _do_nothing() -> None:
    """Do nothing; the default of `EvacuationPublisher.on_acknowledged`."""


class EvacuationPublisher:
    """Sends entry instances the newest evacuations until they acknowledge them.

    Entry instances may follow control instances of their own failure domain only. Other
    control instances report the version that all entry instances following them have.

    Parameters
    ----------
    subscribers : callable
        Lists the reachable entry and control instances, with their addresses.
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
        self._waiters = IndexWaiters()
        self.newest = Evacuations()
        #: Version that all reachable entry instances have acknowledged; sent in polls.
        self.acknowledged_version = 0
        #: Called when that version increases, to notify control instances at once.
        self.on_acknowledged: Callable[[], None] = _do_nothing

    def publish_newer(self, evacuations: Evacuations) -> bool:
        """Publish the evacuations of the log, unless they are published already.

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
        self.send_unacknowledged()
        return True

    def send_unacknowledged(self) -> None:
        """Send the evacuations to entry instances that have not acknowledged them.

        To be called ten times a second.
        """
        if not self.newest.version:
            return
        now_s = self._now_s()
        message = RegistryMessage(evacuations=self.newest)
        entry_versions, control_versions = [], []
        for address, subscriber in self._subscribers():
            if subscriber.is_control:
                # Older releases (without `takes_numbers`) don't report this version.
                if subscriber.takes_numbers:
                    control_versions.append(subscriber.evacuations_version)
                continue
            entry_versions.append(subscriber.evacuations_version)
            if subscriber.evacuations_version >= self.newest.version:
                continue
            is_new = subscriber.evacuations_sent_version < self.newest.version
            if is_new or now_s - subscriber.evacuations_sent_s >= _RESEND_INTERVAL_S:
                subscriber.evacuations_sent_version = self.newest.version
                subscriber.evacuations_sent_s = now_s
                self._send(message, address)
        acknowledged_by_entries = min(entry_versions, default=self.newest.version)
        has_increased = acknowledged_by_entries > self.acknowledged_version
        self.acknowledged_version = acknowledged_by_entries
        if has_increased:
            self.on_acknowledged()
        self._waiters.complete_through(
            min([acknowledged_by_entries, *control_versions])
        )

    async def wait_until_acknowledged(self, version: int, timeout_s: float) -> bool:
        """Wait until all reachable instances have acknowledged a version.

        A control instance acknowledges it once all entry instances that follow it have.

        Parameters
        ----------
        version : int
            The version.
        timeout_s : float
            Longest time to wait; 0 returns at once.

        Returns
        -------
        bool
            Whether all have acknowledged it.
        """
        acknowledged = self._waiters.add(version)
        self.send_unacknowledged()
        try:
            await asyncio.wait_for(acknowledged, timeout_s)
        except TimeoutError:
            return False
        return True


class EvacuationReceiver:
    """Applies received evacuations if they are newer, and stores their version.

    Parameters
    ----------
    on_change : callable, optional
        Called with the names of the evacuated failure domains.
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None] = lambda _: None):
        self._on_change = on_change
        self.version = 0

    @property
    def acknowledged_version(self) -> int:
        """Version that this process acknowledges in its polls."""
        return self.version

    def apply_newer(self, evacuations: Evacuations) -> None:
        """Apply the evacuations of a control instance if they are newer.

        Parameters
        ----------
        evacuations : Evacuations
            All of them.
        """
        if evacuations.version <= self.version:
            return
        self.version = evacuations.version
        self._on_change(frozenset(evacuations.failure_domains))
