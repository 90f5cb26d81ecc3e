"""Client socket of a caller: sends requests and opens streams to services."""

import asyncio
import contextlib
import secrets
from collections import defaultdict
from collections.abc import Coroutine

from agatethread.client._pending_request import (
    PendingRequest,
    get_retry_delay_s,
    make_error,
)
from agatethread.client._stream import Stream
from agatethread.exceptions import (
    DatagramError,
    OperationUnknownError,
    PayloadTooLargeError,
    TransferLimitError,
    UnavailableError,
)
from agatethread.settings import parse_address
from agatethread.transfer import (
    MAX_MESSAGE_BYTES,
    Assembler,
    FragmentSender,
    split_message,
)
from agatethread.wire import (
    MAX_PAYLOAD_BYTES,
    Envelope,
    Kind,
    Reason,
    decode_envelope,
)

_NONCE_BYTES = 16
_RESEND_INTERVAL_S = 0.2
#: Resend interval after an instance has accepted the request.
_ACCEPTED_RESEND_INTERVAL_S = 0.5
_HELLO_TIMEOUT_S = 3.0
#: A shorter time to the deadline counts as a timeout.
_MIN_WAIT_S = 0.001
_MISSING_POLL_INTERVAL_S = 0.05
#: Memory for fragmented answers, which all count for one source.
_ANSWERS_LIMIT_BYTES = 64 << 20
_VERDICT_KINDS = frozenset((Kind.ANSWER, Kind.REFUSED, Kind.UNKNOWN))


class Client(asyncio.DatagramProtocol):
    """Client that sends requests and opens streams through one UDP socket.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:port`` of each service.
    partner : str, default=""
        Name under which the requests are queued; partners take turns at a service.
    """

    def __init__(self, addresses: dict[str, str], partner: str = ""):
        self._addresses = {
            service: parse_address(address) for service, address in addresses.items()
        }
        self._partner = partner
        self._transport: asyncio.DatagramTransport | None = None
        self._streams: dict[int, Stream] = {}
        self._pending_requests: dict[bytes, PendingRequest] = {}
        self._tokens: dict[str, bytes] = {}
        self._welcome_events: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self._tasks: set[asyncio.Task] = set()
        self._missing_task: asyncio.Task | None = None
        self._outbox = FragmentSender()
        loop = asyncio.get_running_loop()
        self._assembler = Assembler(
            loop.time, _ANSWERS_LIMIT_BYTES, _ANSWERS_LIMIT_BYTES
        )

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport.

        Parameters
        ----------
        transport : asyncio.DatagramTransport
            The socket's transport.
        """
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore a send error: datagrams without a reply are sent again.

        Parameters
        ----------
        exc : OSError
            Error reported by the kernel.
        """

    def close(self) -> None:
        """Close every stream and the socket."""
        for stream in list(self._streams.values()):
            stream.close()
        for task in self._tasks:
            task.cancel()
        self._transport.close()

    def _send(self, envelope: Envelope) -> None:
        target = self._addresses[envelope.service]
        self._transport.sendto(envelope.SerializeToString(), target)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to its stream or request.

        Parameters
        ----------
        data : bytes
            The datagram.
        addr : tuple of (str, int)
            Source address.
        """
        try:
            envelope = decode_envelope(data)
        except DatagramError:
            return

        if envelope.operation_id:
            self._on_request_envelope(envelope)
        elif envelope.kind == Kind.WELCOME:
            self._tokens[envelope.service] = envelope.token
            self._welcome_events[envelope.service].set()
        elif envelope.flow_id in self._streams:
            self._streams[envelope.flow_id].on_envelope(envelope)
        elif envelope.kind == Kind.OPENED and envelope.service in self._addresses:
            self._close_unknown_flow(envelope)

    def _close_unknown_flow(self, envelope: Envelope) -> None:
        close = Envelope(
            kind=Kind.CLOSE,
            service=envelope.service,
            flow_id=envelope.flow_id,
            cookie=envelope.cookie,
        )
        self._send(close)

    def _on_request_envelope(self, envelope: Envelope) -> None:
        pending = self._pending_requests.get(envelope.operation_id)
        if pending is None:
            return
        if envelope.kind == Kind.ACCEPTED:
            pending.accepted.set()
            pending.on_owner_reply()
        elif envelope.kind == Kind.UNREACHABLE:
            pending.on_unreachable(envelope.token)
        elif envelope.kind == Kind.MISSING:
            pending.on_owner_reply()
            self._outbox.resend(envelope.operation_id, envelope.missing)
        elif envelope.kind in _VERDICT_KINDS and not pending.verdict.done():
            self._on_verdict(envelope, pending)

    def _on_verdict(self, envelope: Envelope, pending: PendingRequest) -> None:
        try:
            message = self._assembler.add(envelope.operation_id, b"", envelope)
        except (DatagramError, TransferLimitError):
            return
        if message is not None:
            pending.verdict.set_result(message)
            pending.changed.set()

    async def _request_missing(self) -> None:
        while True:
            await asyncio.sleep(_MISSING_POLL_INTERVAL_S)
            for partial, indices in self._assembler.collect_missing():
                operation_id = partial.first_fragment.operation_id
                pending = self._pending_requests.get(operation_id)
                if pending is None:
                    self._assembler.drop(operation_id)
                    continue
                missing = Envelope(
                    kind=Kind.MISSING,
                    service=pending.service,
                    operation_id=operation_id,
                    missing=indices,
                )
                self._send(missing)

    async def open_stream(
        self, service: str, payload: bytes = b"", timeout_s: float = 10.0
    ) -> Stream:
        """Open a flow that lasts until one side closes it.

        Parameters
        ----------
        service : str
            Service name.
        payload : bytes, default=b""
            Passed to the backend server.
        timeout_s : float, default=10.0
            Time limit for the attempts.

        Returns
        -------
        Stream
            The open flow.

        Raises
        ------
        OperationRefusedError
            If no backend server has capacity for it now.
        FlowBrokenError
            If there was no answer within the timeout.
        """
        stream = Stream(service, secrets.randbits(63) | 1, self._send)
        self._streams[stream.flow_id] = stream
        try:
            await stream.open(payload, timeout_s)
        except BaseException:
            del self._streams[stream.flow_id]
            raise
        self._start_task(self._keep_stream_alive(stream))
        return stream

    async def _keep_stream_alive(self, stream: Stream) -> None:
        await stream.keep_alive()
        self._streams.pop(stream.flow_id, None)

    def _start_task(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def request(
        self,
        service: str,
        payload: bytes,
        *,
        idempotent: bool,
        timeout_s: float = 10.0,
    ) -> bytes:
        """Send a request and return its complete answer.

        Within the timeout it is retried when it was refused with MOVED (its owner
        stopped dispatching, is leaving or could not claim it, so it did not run), or
        when it is idempotent and its outcome is unknown.

        Parameters
        ----------
        service : str
            Service name.
        payload : bytes
            Payload of the request.
        idempotent : bool
            Whether it may run more than once.
        timeout_s : float, default=10.0
            Time to the deadline.

        Returns
        -------
        bytes
            Payload of the answer.

        Raises
        ------
        OperationRefusedError
            If it did not run; holds the delay before a retry.
        OperationUnknownError
            If it is unknown whether it ran.
        PayloadTooLargeError
            If the payload exceeds the message size limit.
        UnavailableError
            If no instance answered; the request was not sent.
        """
        if len(payload) > MAX_MESSAGE_BYTES:
            raise PayloadTooLargeError(
                f"payload of {len(payload)} bytes exceeds {MAX_MESSAGE_BYTES} bytes"
            )
        if self._missing_task is None:
            self._missing_task = self._start_task(self._request_missing())

        deadline_s = asyncio.get_running_loop().time() + timeout_s
        may_have_run = False
        while True:
            token = await self._get_token(service, may_have_run)
            request = Envelope(
                kind=Kind.REQUEST,
                service=service,
                operation_id=token + secrets.token_bytes(_NONCE_BYTES),
                idempotent=idempotent,
                payload=payload,
                partner=self._partner,
            )
            verdict = await self._run_attempt(request, deadline_s)
            if verdict.token:
                self._tokens[service] = verdict.token
            if verdict.kind == Kind.ANSWER:
                return verdict.payload
            may_have_run = may_have_run or verdict.kind == Kind.UNKNOWN
            if may_have_run and not idempotent:
                raise OperationUnknownError(Reason.Name(verdict.reason))
            wait_s = get_retry_delay_s(verdict)
            if (
                wait_s is None
                or asyncio.get_running_loop().time() + wait_s >= deadline_s
            ):
                raise make_error(verdict, may_have_run)
            await asyncio.sleep(wait_s)

    async def _run_attempt(self, request: Envelope, deadline_s: float) -> Envelope:
        pending = PendingRequest(request)
        self._pending_requests[request.operation_id] = pending
        try:
            return await self._resend_until_verdict(request, pending, deadline_s)
        except asyncio.CancelledError:
            self._cancel(request)
            raise
        finally:
            del self._pending_requests[request.operation_id]
            self._outbox.delete(request.operation_id)

    async def _resend_until_verdict(
        self, request: Envelope, pending: PendingRequest, deadline_s: float
    ) -> Envelope:
        loop = asyncio.get_running_loop()
        is_first = True
        while (remaining_s := deadline_s - loop.time()) > _MIN_WAIT_S:
            request.deadline_ms = max(1, round(remaining_s * 1000))
            self._send_request(request, is_first)
            is_first = False
            accepted = pending.accepted.is_set()
            interval_s = _ACCEPTED_RESEND_INTERVAL_S if accepted else _RESEND_INTERVAL_S
            pending.changed.clear()
            with contextlib.suppress(TimeoutError):
                wait_s = min(interval_s, remaining_s)
                await asyncio.wait_for(pending.changed.wait(), wait_s)
            if pending.verdict.done():
                return pending.verdict.result()
        self._tokens.pop(request.service, None)
        return Envelope(kind=Kind.UNKNOWN, reason=Reason.DEADLINE)

    def _send_request(self, request: Envelope, is_first: bool) -> None:
        target = self._addresses[request.service]
        if is_first:
            self._outbox.send_message(
                request.operation_id,
                split_message(request),
                lambda data: self._transport.sendto(data, target),
            )
        elif len(request.payload) > MAX_PAYLOAD_BYTES:
            # One fragment is enough: the instance then requests missing fragments or
            # sends the verdict.
            self._outbox.resend(request.operation_id, [0])
        else:
            self._send(request)

    def _cancel(self, request: Envelope) -> None:
        cancel = Envelope(
            kind=Kind.CANCEL,
            service=request.service,
            operation_id=request.operation_id,
        )
        self._send(cancel)

    async def _get_token(self, service: str, may_have_run: bool) -> bytes:
        welcome_event = self._welcome_events[service]
        for _ in range(round(_HELLO_TIMEOUT_S / _RESEND_INTERVAL_S)):
            token = self._tokens.get(service)
            if token:
                return token
            welcome_event.clear()
            self._send(Envelope(kind=Kind.HELLO, service=service))
            try:
                await asyncio.wait_for(welcome_event.wait(), _RESEND_INTERVAL_S)
            except TimeoutError:
                continue
        if may_have_run:
            raise OperationUnknownError(
                "no instance answers; an earlier attempt may have run"
            )
        raise UnavailableError(f"no instance answers for {service}")


async def connect(addresses: dict[str, str], partner: str = "") -> Client:
    """Return a client with its own socket.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:port`` of each service.
    partner : str, default=""
        Name under which the requests are queued; see `Client`.

    Returns
    -------
    Client
        Connected client.
    """
    loop = asyncio.get_running_loop()
    _, client = await loop.create_datagram_endpoint(
        lambda: Client(addresses, partner), local_addr=("0.0.0.0", 0)
    )
    return client
