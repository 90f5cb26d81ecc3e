"""Send fragments in paced bursts and store them for retransmission."""

import asyncio
from collections import deque
from collections.abc import Callable, Hashable, Iterable

_BURST_DATAGRAM_COUNT = 32
_BURST_INTERVAL_S = 0.002

Send = Callable[[bytes], None]


class FragmentSender:
    """Sends messages and stores their fragments until they are deleted."""

    def __init__(self) -> None:
        self._stored: dict[Hashable, tuple[list[bytes], Send]] = {}
        self._queue: deque[tuple[bytes, Send]] = deque()
        self._is_sending = False

    def __len__(self) -> int:
        return len(self._stored)

    def send_message(self, key: Hashable, datagrams: list[bytes], send: Send) -> None:
        """Send a message, and store its fragments if there are several.

        Parameters
        ----------
        key : hashable
            Key of the message.
        datagrams : list of bytes
            Datagrams of the message, from `split_message`.
        send : callable
            Sends one datagram.
        """
        if len(datagrams) == 1:
            send(datagrams[0])
            return
        self._stored[key] = (datagrams, send)
        self._enqueue(datagrams, send)

    def resend(self, key: Hashable, indices: Iterable[int]) -> None:
        """Send fragments again.

        Parameters
        ----------
        key : hashable
            Key of the message; an unknown one is ignored.
        indices : iterable of int
            Indices of the fragments.
        """
        stored = self._stored.get(key)
        if stored is None:
            return
        datagrams, send = stored
        requested = [datagrams[index] for index in indices if index < len(datagrams)]
        self._enqueue(requested, send)

    def delete(self, key: Hashable) -> None:
        """Delete the stored fragments of a message.

        Parameters
        ----------
        key : hashable
            Key of the message.
        """
        self._stored.pop(key, None)

    def send_paced(self, datagrams: list[bytes], send: Send) -> None:
        """Send datagrams in bursts, without storing them.

        Parameters
        ----------
        datagrams : list of bytes
            Datagrams to send.
        send : callable
            Sends one datagram.
        """
        self._enqueue(datagrams, send)

    def _enqueue(self, datagrams: list[bytes], send: Send) -> None:
        self._queue.extend((datagram, send) for datagram in datagrams)
        if not self._is_sending:
            self._send_burst()

    def _send_burst(self) -> None:
        for _ in range(min(_BURST_DATAGRAM_COUNT, len(self._queue))):
            datagram, send = self._queue.popleft()
            send(datagram)
        self._is_sending = bool(self._queue)
        if self._is_sending:
            loop = asyncio.get_running_loop()
            loop.call_later(_BURST_INTERVAL_S, self._send_burst)
