"""Callers' packets that a starting instance can't decide about yet.

The load that this answers: a loss of all power. Each instance gets callers' packets
before a control instance has told it of routes and backend servers. Dropped, they come
again after up to 0.8 s, or not at all: a request on an open flow is sent for the last
time 1.4 s after the first, and callers wait longer than that.

They are handed out a few at a time. All are late already; at once they would fill the
backend servers' queues, and requests that begin at that moment would be late, too.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from agatethread.datapath._packets import FlowKey, Packet

#: Longer than this a packet is not held: its caller has sent it again, or has given up.
_LONGEST_HELD_S = 1.0
#: Time from its start in which an instance holds packets; what it does not know then
#: is not about to be told.
LEARNING_S = 4.0
#: Share of what can be decided about that is handed out at a time, and the pause until
#: the next: half within 0.13 s, nine tenths within 0.45 s.
_RELEASE_RATIO = 0.1
RELEASE_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class _Held:
    packet: Packet
    since_s: float


class HeldPackets:
    """The newest copy of each packet that waits, oldest first.

    Parameters
    ----------
    limit_count : int
        Most packets; beyond it the oldest are given up.
    """

    def __init__(self, limit_count: int):
        self._limit_count = limit_count
        self._held: dict[tuple[FlowKey, bool, int], _Held] = {}

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, packet: Packet, now_s: float) -> list[Packet]:
        """Hold a packet in place of an earlier copy of it.

        Parameters
        ----------
        packet : Packet
            The packet.
        now_s : float
            Present time.

        Returns
        -------
        list of Packet
            Those that are given up for it.
        """
        place = (packet.key, packet.opens, packet.sequence)
        # Not both: a second opening would count as a sign that the first was in vain.
        self._held.pop(place, None)
        given_up = []
        if len(self._held) >= self._limit_count:
            oldest = next(iter(self._held))
            given_up.append(self._held.pop(oldest).packet)
        self._held[place] = _Held(packet, now_s)
        return given_up

    def drop_copy(self, packet: Packet) -> None:
        """Give up the copy of a packet that has come again and needs no holding.

        Parameters
        ----------
        packet : Packet
            The packet.
        """
        self._held.pop((packet.key, packet.opens, packet.sequence), None)

    def release(
        self, is_decidable: Callable[[Packet], bool], now_s: float
    ) -> tuple[list[Packet], list[Packet]]:
        """Hand out some of the packets that can be decided about, the oldest first.

        Parameters
        ----------
        is_decidable : callable
            Tells it of a packet.
        now_s : float
            Present time.

        Returns
        -------
        tuple of (list of Packet, list of Packet)
            Those, and those that were held for too long.
        """
        late = [
            place
            for place, held in self._held.items()
            if now_s - held.since_s > _LONGEST_HELD_S
        ]
        given_up = [self._held.pop(place).packet for place in late]
        decidable = [
            place for place, held in self._held.items() if is_decidable(held.packet)
        ]
        some = decidable[: ceil(_RELEASE_RATIO * len(decidable))]
        return [self._held.pop(place).packet for place in some], given_up
