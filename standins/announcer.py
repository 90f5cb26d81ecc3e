"""Announces a stand-in backend server to entry instances."""

import random
import time
from collections.abc import Callable
from typing import Any

from agatethread.settings import parse_address
from agatethread.wire import Announcement, Envelope, Kind, sign

Address = tuple[str, int]


class Announcer:
    """Sends announcements, and knows the entry instances nearby.

    Parameters
    ----------
    settings : dict
        Settings of the backend server.
    incarnation : int
        Its incarnation.
    counts : callable
        Returns its open streams and running requests.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        incarnation: int,
        counts: Callable[[], tuple[int, int]],
        send: Callable[[bytes, Address], None],
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._counts = counts
        self._send = send
        self._random = random.Random(settings["seed"])
        self.instances = [parse_address(text) for text in settings["instances"]]
        self._fallbacks: list[Address] = []
        self._last_ack_s = time.monotonic()
        self._sequence = 0
        #: Fields to announce wrongly.
        self.overrides: dict[str, int] = {}

    def announce(self, draining: bool, leaving: bool = False) -> None:
        """Send an announcement to one or two entry instances."""
        self._sequence += 1
        settings = self._settings
        open_streams, in_flight = self._counts()
        announcement = Announcement(
            endpoint_id=settings["name"],
            incarnation=self._incarnation,
            service=settings["service"],
            failure_domain=settings["failure_domain"],
            slots=settings["slots"],
            connection_limit=settings["connection_limit"],
            lease_ms=3 * settings["announce_interval_ms"],
            draining=draining,
            leaving=leaving,
            open_streams=open_streams,
            in_flight=in_flight,
            sequence=self._sequence,
        )
        for field, value in self.overrides.items():
            setattr(announcement, field, value)
        if settings["announce_key"]:
            body = announcement.SerializeToString(deterministic=True)
            announcement.mac = sign(bytes.fromhex(settings["announce_key"]), body)
        envelope = Envelope(kind=Kind.ANNOUNCE, announcement=announcement)
        for target in self._targets():
            self._send(envelope.SerializeToString(), target)

    def on_ack(self, envelope: Envelope) -> None:
        """Handle an acknowledgement, which lists entry instances."""
        if envelope.incarnation != self._incarnation:
            return
        own_domain = [parse_address(text) for text in envelope.instances]
        other_domains = [parse_address(text) for text in envelope.fallback_instances]
        self.instances = own_domain or other_domains
        self._fallbacks = other_domains
        self._last_ack_s = time.monotonic()

    def _targets(self) -> list[Address]:
        count = min(2, len(self.instances))
        targets = self._random.sample(self.instances, count)
        interval_s = self._settings["announce_interval_ms"] / 1000
        if time.monotonic() - self._last_ack_s > 1.5 * interval_s:
            targets += self._fallbacks
        return targets
