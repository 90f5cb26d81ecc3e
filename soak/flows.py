"""Simulates a caller's end of a flow."""

import asyncio
import itertools
from collections.abc import Callable

from soak.wire import ACK, FIN, RST, SYN, Segment

#: Retry delays and timeout of the platform's callers.
_RETRY_DELAYS_S = (0.2, 0.4, 0.8)
_TIMEOUT_S = 1.5

Target = tuple[int, int]


class Flow:
    """A flow of a caller.

    Parameters
    ----------
    source, target : tuple of (int, int)
        Address and port of the caller, and of the destination.
    transmit : callable
        Sends a packet, and returns the number of the instance that it went to.
    acknowledges_late : bool
        Whether an answer is acknowledged with the next request only.
    """

    def __init__(
        self,
        source: Target,
        target: Target,
        transmit: Callable[[Segment], int],
        acknowledges_late: bool = False,
    ):
        self.source = source
        self.target = target
        self._transmit = transmit
        self._acknowledges_late = acknowledges_late
        self.received: asyncio.Queue[Segment] = asyncio.Queue()
        #: Instance that took the last packet.
        self.instance = 0
        self._label = 0
        self._sequence = 1
        self._acknowledged = 0

    async def open(self) -> bool:
        """Open the flow and return whether it was accepted."""
        answer = await self._exchange(SYN, b"")
        if answer is None or answer.flags & RST:
            return False
        self._sequence += 1
        self.send(ACK, b"")
        return True

    async def request(self, payload: bytes) -> Segment | None:
        """Send a request and return its answer, a reset, or None after the timeout."""
        answer = await self._exchange(ACK, payload)
        if answer is not None and not answer.flags & RST:
            self._sequence += len(payload)
            self._acknowledged += len(answer.payload)
            if not self._acknowledges_late:
                self.send(ACK, b"")
        return answer

    def close(self) -> None:
        """Send the end of the flow."""
        self.send(FIN | ACK, b"")

    async def _exchange(self, flags: int, payload: bytes) -> Segment | None:
        """Send and retry until a matching reply arrives or the timeout expires."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _TIMEOUT_S
        delays_s = iter((*_RETRY_DELAYS_S, _TIMEOUT_S))
        for copy in itertools.count():
            self.send(flags, payload, copy)
            retry_at_s = min(deadline_s, loop.time() + next(delays_s))
            while (remaining_s := retry_at_s - loop.time()) > 0:
                try:
                    answer = await asyncio.wait_for(self.received.get(), remaining_s)
                except TimeoutError:
                    break
                if self._is_reply(answer, flags, payload):
                    self._label = answer.label
                    return answer
            if loop.time() >= deadline_s:
                return None
        return None

    @staticmethod
    def _is_reply(answer: Segment, flags: int, payload: bytes) -> bool:
        if answer.flags & RST:
            return True
        if flags & SYN:
            return bool(answer.flags & SYN)
        # Ignores late replies to earlier requests.
        return answer.payload.startswith(payload + b" ")

    def send(self, flags: int, payload: bytes, copy: int = 0) -> None:
        """Send a packet through the instance that the router selects."""
        acknowledged = copy if flags & SYN else self._acknowledged
        self.instance = self._transmit(
            Segment(
                0 if flags & SYN else self._label,
                self.source,
                self.target,
                flags,
                self._sequence,
                acknowledged,
                payload,
            )
        )
