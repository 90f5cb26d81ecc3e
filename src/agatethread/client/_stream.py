"""Stream: the caller's end of an open flow."""

import asyncio
from collections.abc import Callable

from agatethread.exceptions import (
    FlowBrokenError,
    OperationRefusedError,
    PayloadTooLargeError,
)
from agatethread.wire import MAX_PAYLOAD_BYTES, Envelope, Kind, Reason

_OPEN_RESEND_INTERVAL_S = 0.25
_KEEPALIVE_INTERVAL_S = 2.0
#: A flow without a datagram for this long counts as broken.
_FLOW_TIMEOUT_S = 15.0

Send = Callable[[Envelope], None]


class Stream:
    """A flow of this client; iterate over it to receive the backend server's pushes.

    Parameters
    ----------
    service : str
        Service name.
    flow_id : int
        Random nonzero id of up to 64 bits.
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
        self._out_of_order: dict[int, bytes] = {}
        self._last_sequence = 0
        self._last_datagram_s = 0.0
        self._failure_reason = ""
        self.is_closed = False

    async def open(self, payload: bytes, timeout_s: float) -> None:
        """Open the flow.

        Parameters
        ----------
        payload : bytes
            Passed to the backend server.
        timeout_s : float
            Time limit for the attempts.

        Raises
        ------
        OperationRefusedError
            If no backend server has capacity for it now.
        FlowBrokenError
            If there was no answer within the timeout.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline_s:
            self._send_kind(Kind.OPEN, payload=payload)
            done, _ = await asyncio.wait(
                [self._opened], timeout=_OPEN_RESEND_INTERVAL_S
            )
            if done:
                self._opened.result()
                return
        raise FlowBrokenError("no answer within the timeout")

    async def keep_alive(self) -> None:
        """Send keepalives until the flow ends."""
        while not self.is_closed:
            await asyncio.sleep(_KEEPALIVE_INTERVAL_S)
            if self.is_closed or not self._cookie:
                continue
            if (
                asyncio.get_running_loop().time() - self._last_datagram_s
                > _FLOW_TIMEOUT_S
            ):
                self._fail("no datagram within the flow timeout")
                return
            self._send_kind(Kind.KEEPALIVE, sequence=self._last_sequence)

    def _send_kind(self, kind: int, **fields: object) -> None:
        envelope = Envelope(
            kind=kind,
            service=self.service,
            flow_id=self.flow_id,
            cookie=self._cookie,
            **fields,
        )
        self._send_envelope(envelope)

    def send(self, payload: bytes) -> None:
        """Send a datagram to the backend server, without a guarantee of delivery.

        Parameters
        ----------
        payload : bytes
            Payload of the datagram.

        Raises
        ------
        PayloadTooLargeError
            If it does not fit in a datagram.
        FlowBrokenError
            If the flow has failed.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise PayloadTooLargeError(f"payload of {len(payload)} bytes does not fit")
        if self._failure_reason:
            raise FlowBrokenError(self._failure_reason)
        self._send_kind(Kind.DATA, payload=payload)

    def close(self) -> None:
        """Close the flow."""
        if not self.is_closed:
            self._send_kind(Kind.CLOSE)
        self._finish()

    def _finish(self) -> None:
        self.is_closed = True
        self._pushes.put_nowait(None)
        if not self._opened.done():
            reason = self._failure_reason or "the stream was closed"
            self._opened.set_exception(FlowBrokenError(reason))
            # Nobody waits if the stream was closed before `open`.
            self._opened.exception()

    def _fail(self, reason: str) -> None:
        self._failure_reason = reason
        self._finish()

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a datagram of this flow.

        Parameters
        ----------
        envelope : Envelope
            The datagram.
        """
        self._last_datagram_s = asyncio.get_running_loop().time()
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
            self._fail(Reason.Name(envelope.reason))

    def _on_opened(self, envelope: Envelope) -> None:
        if self.is_closed or (self._cookie and envelope.cookie != self._cookie):
            # The stream was closed, or a resent opening was placed twice; the first
            # placement stays.
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
        if envelope.sequence > self._last_sequence:
            self._out_of_order[envelope.sequence] = envelope.payload
        while self._last_sequence + 1 in self._out_of_order:
            self._last_sequence += 1
            self._pushes.put_nowait(self._out_of_order.pop(self._last_sequence))
        # Acknowledges the pushes up to this sequence.
        self._send_kind(Kind.KEEPALIVE, sequence=self._last_sequence)

    def __aiter__(self) -> "Stream":
        return self

    async def __anext__(self) -> bytes:
        if not self.is_closed or not self._pushes.empty():
            push = await self._pushes.get()
            if push is not None:
                return push
        if self._failure_reason:
            raise FlowBrokenError(self._failure_reason)
        raise StopAsyncIteration
