"""Fragments that were sent and may be asked for again, paced in bursts."""

import asyncio
from collections import deque
from collections.abc import Callable, Hashable, Iterable

_BURST_COUNT = 32
_BURST_INTERVAL_S = 0.002

Send = Callable[[bytes], None]


class Outbox:
    """Messages whose fragments are kept until they are done with."""

    def __init__(self) -> None:
        self._kept: dict[Hashable, tuple[list[bytes], Send]] = {}
        self._queue: deque[tuple[bytes, Send]] = deque()
        self._draining = False

    def __len__(self) -> int:
        return len(self._kept)

    def start(self, key: Hashable, datagrams: list[bytes], send: Send) -> None:
        """Send a message, and keep its fragments if it has several.

        Parameters
        ----------
        key : hashable
            Names the message.
        datagrams : list of bytes
            What `split` returned.
        send : callable
            Sends one datagram.
        """
        if len(datagrams) == 1:
            send(datagrams[0])
            return
        self._kept[key] = (datagrams, send)
        self._enqueue(datagrams, send)

    def resend(self, key: Hashable, indices: Iterable[int]) -> None:
        """Send fragments again.

        Parameters
        ----------
        key : hashable
            Names the message; one not kept any more is ignored.
        indices : iterable of int
            Which ones.
        """
        kept = self._kept.get(key)
        if kept is None:
            return
        datagrams, send = kept
        wanted = [datagrams[index] for index in indices if index < len(datagrams)]
        self._enqueue(wanted, send)

    def done(self, key: Hashable) -> None:
        """Drop a message's fragments.

        Parameters
        ----------
        key : hashable
            Names the message.
        """
        self._kept.pop(key, None)

    def send_paced(self, datagrams: list[bytes], send: Send) -> None:
        """Send datagrams in bursts, without keeping them.

        Parameters
        ----------
        datagrams : list of bytes
            What to send.
        send : callable
            Sends one.
        """
        self._enqueue(datagrams, send)

    def _enqueue(self, datagrams: list[bytes], send: Send) -> None:
        self._queue.extend((datagram, send) for datagram in datagrams)
        if not self._draining:
            self._drain()

    def _drain(self) -> None:
        for _ in range(min(_BURST_COUNT, len(self._queue))):
            datagram, send = self._queue.popleft()
            send(datagram)
        self._draining = bool(self._queue)
        if self._draining:
            loop = asyncio.get_running_loop()
            loop.call_later(_BURST_INTERVAL_S, self._drain)
