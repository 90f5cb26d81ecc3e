"""A flow as its caller holds it."""

import asyncio
from collections.abc import Callable

from agatethread.exceptions import (
    FlowBrokenError,
    OperationRefusedError,
    PayloadTooLargeError,
)
from agatethread.wire import MAX_PAYLOAD_BYTES, Envelope, Kind, Reason

_OPEN_RESEND_S = 0.25
_KEEPALIVE_S = 2.0
#: Silence after which a flow counts as broken.
_SILENCE_S = 15.0

Send = Callable[[Envelope], None]


class Stream:
    """An open flow; iterate over it for what the backend server pushes.

    Parameters
    ----------
    service : str
        The service.
    flow_id : int
        Random 64 bits.
    send : callable
        Sends an envelope to the service's address.
    """

    def __init__(self, service: str, flow_id: int, send: Send):
        self.service = service
        self.flow_id = flow_id
        self._send_envelope = send
        self._cookie = b""
        self._opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pushes: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._early: dict[int, bytes] = {}
        self._received = 0
        self._heard_s = 0.0
        self._broken = ""
        self.is_closed = False

    async def open(self, payload: bytes, timeout_s: float) -> None:
        """Open the flow.

        Parameters
        ----------
        payload : bytes
            Passed to the backend server.
        timeout_s : float
            Longest time to try.

        Raises
        ------
        OperationRefusedError
            If there is no place for it now.
        FlowBrokenError
            If nobody answered in time.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline_s:
            self._send(Kind.OPEN, payload=payload)
            done, _ = await asyncio.wait([self._opened], timeout=_OPEN_RESEND_S)
            if done:
                self._opened.result()
                return
        raise FlowBrokenError("nobody answered")

    async def keep_alive(self) -> None:
        """Send keepalives until the flow ends."""
        while not self.is_closed:
            await asyncio.sleep(_KEEPALIVE_S)
            if self.is_closed or not self._cookie:
                continue
            if asyncio.get_running_loop().time() - self._heard_s > _SILENCE_S:
                self._break("no answer")
                return
            self._send(Kind.KEEPALIVE, sequence=self._received)

    def _send(self, kind: int, **fields: object) -> None:
        envelope = Envelope(
            kind=kind,
            service=self.service,
            flow_id=self.flow_id,
            cookie=self._cookie,
            **fields,
        )
        self._send_envelope(envelope)

    def send(self, payload: bytes) -> None:
        """Send a datagram to the backend server; it may be lost on the way.

        Parameters
        ----------
        payload : bytes
            What to send.

        Raises
        ------
        PayloadTooLargeError
            If it does not fit in a datagram.
        FlowBrokenError
            If the flow has ended.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise PayloadTooLargeError(f"{len(payload)} bytes")
        if self._broken:
            raise FlowBrokenError(self._broken)
        self._send(Kind.DATA, payload=payload)

    def close(self) -> None:
        """End the flow."""
        if not self.is_closed:
            self._send(Kind.CLOSE)
        self._finish()

    def _finish(self) -> None:
        self.is_closed = True
        self._pushes.put_nowait(None)

    def _break(self, why: str) -> None:
        self._broken = why
        self._finish()

    def on_envelope(self, envelope: Envelope) -> None:
        """Take a datagram of this flow.

        Parameters
        ----------
        envelope : Envelope
            The datagram.
        """
        self._heard_s = asyncio.get_running_loop().time()
        kind = envelope.kind
        if kind == Kind.OPENED:
            self._on_opened(envelope)
        elif kind == Kind.PUSH:
            self._on_push(envelope)
        elif kind == Kind.REFUSED and not self._opened.done():
            retry_after_s = envelope.retry_after_ms / 1000
            reason = Reason.Name(envelope.reason)
            self._opened.set_exception(OperationRefusedError(reason, retry_after_s))
        elif kind == Kind.RESET and not self.is_closed:
            self._on_reset(envelope)
        elif kind == Kind.CLOSED and envelope.cookie in (b"", self._cookie):
            self._finish()

    def _on_reset(self, envelope: Envelope) -> None:
        if envelope.cookie in (b"", self._cookie):
            self._break(Reason.Name(envelope.reason))

    def _on_opened(self, envelope: Envelope) -> None:
        if self.is_closed or (self._cookie and envelope.cookie != self._cookie):
            # A second placement of a resent opening; the first one counts.
            close = Envelope(
                kind=Kind.CLOSE,
                service=self.service,
                flow_id=self.flow_id,
                cookie=envelope.cookie,
            )
            self._send_envelope(close)
            return
        self._cookie = envelope.cookie
        if not self._opened.done():
            self._opened.set_result(None)

    def _on_push(self, envelope: Envelope) -> None:
        if envelope.sequence > self._received:
            self._early[envelope.sequence] = envelope.payload
        while self._received + 1 in self._early:
            self._received += 1
            self._pushes.put_nowait(self._early.pop(self._received))
        self._send(Kind.KEEPALIVE, sequence=self._received)

    def __aiter__(self) -> "Stream":
        return self

    async def __anext__(self) -> bytes:
        push = await self._pushes.get()
        if push is not None:
            return push
        if self._broken:
            raise FlowBrokenError(self._broken)
        raise StopAsyncIteration
