"""One socket of a caller, with its streams and requests."""

import asyncio
import contextlib
import secrets
from collections import defaultdict
from collections.abc import Coroutine

from agatethread.client._stream import Stream
from agatethread.client._waiting import Waiting, failure, pause_s
from agatethread.exceptions import (
    DatagramError,
    OperationUnknownError,
    PayloadTooLargeError,
    TransferLimitError,
    UnavailableError,
)
from agatethread.settings import parse_address
from agatethread.transfer import MAX_MESSAGE_BYTES, Assembler, Outbox, split
from agatethread.wire import (
    MAX_PAYLOAD_BYTES,
    Envelope,
    Kind,
    Reason,
    decode_envelope,
)

_NONCE_BYTES = 16
_RESEND_S = 0.2
#: Resend interval once an instance has said that it works on the request.
_ACCEPTED_RESEND_S = 0.5
_HELLO_TIMEOUT_S = 3.0
#: A wait shorter than this ends at once, so the deadline counts as passed.
_LEAST_WAIT_S = 0.001
_MISSING_POLL_S = 0.05
#: Memory for answers in fragments.
_ANSWERS_LIMIT_BYTES = 64 << 20
_VERDICTS = frozenset((Kind.ANSWER, Kind.REFUSED, Kind.UNKNOWN))


class Client(asyncio.DatagramProtocol):
    """Streams and requests to the services behind some addresses.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:port`` of each service.
    partner : str, default=""
        Whose requests these are; partners share a service equally.
    """

    def __init__(self, addresses: dict[str, str], partner: str = ""):
        self._addresses = {
            service: parse_address(address) for service, address in addresses.items()
        }
        self._partner = partner
        self._transport: asyncio.DatagramTransport | None = None
        self._streams: dict[int, Stream] = {}
        self._requests: dict[bytes, Waiting] = {}
        self._tokens: dict[str, bytes] = {}
        self._welcomes: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self._tasks: set[asyncio.Task] = set()
        self._asking: asyncio.Task | None = None
        self._outbox = Outbox()
        loop = asyncio.get_running_loop()
        self._assembler = Assembler(
            loop.time, _ANSWERS_LIMIT_BYTES, _ANSWERS_LIMIT_BYTES
        )

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport.

        Parameters
        ----------
        transport : asyncio.DatagramTransport
            The socket's transport.
        """
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore a datagram that could not be delivered: all are sent again.

        Parameters
        ----------
        exc : OSError
            What the kernel said.
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
        """Hand a datagram to its stream or request.

        Parameters
        ----------
        data : bytes
            The datagram.
        addr : tuple of (str, int)
            Its source.
        """
        try:
            envelope = decode_envelope(data)
        except DatagramError:
            return

        if envelope.operation_id:
            self._on_operation(envelope)
        elif envelope.kind == Kind.WELCOME:
            self._tokens[envelope.service] = envelope.token
            self._welcomes[envelope.service].set()
        elif envelope.flow_id in self._streams:
            self._streams[envelope.flow_id].on_envelope(envelope)
        elif envelope.kind == Kind.OPENED and envelope.service in self._addresses:
            self._close_orphan(envelope)

    def _close_orphan(self, envelope: Envelope) -> None:
        close = Envelope(
            kind=Kind.CLOSE,
            service=envelope.service,
            flow_id=envelope.flow_id,
            cookie=envelope.cookie,
        )
        self._send(close)

    def _on_operation(self, envelope: Envelope) -> None:
        waiting = self._requests.get(envelope.operation_id)
        if waiting is None:
            return
        if envelope.kind == Kind.ACCEPTED:
            waiting.accepted.set()
            waiting.on_sign_of_life()
        elif envelope.kind == Kind.UNREACHABLE:
            waiting.on_unreachable(envelope.token)
        elif envelope.kind == Kind.MISSING:
            waiting.on_sign_of_life()
            self._outbox.resend(envelope.operation_id, envelope.missing)
        elif envelope.kind in _VERDICTS and not waiting.verdict.done():
            self._on_verdict(envelope, waiting)

    def _on_verdict(self, envelope: Envelope, waiting: Waiting) -> None:
        try:
            whole = self._assembler.add(envelope.operation_id, b"", envelope)
        except (DatagramError, TransferLimitError):
            return
        if whole is not None:
            waiting.verdict.set_result(whole)
            waiting.news.set()

    async def _ask_for_missing(self) -> None:
        while True:
            await asyncio.sleep(_MISSING_POLL_S)
            for partial, indices in self._assembler.take_quiet():
                operation_id = partial.first.operation_id
                waiting = self._requests.get(operation_id)
                if waiting is None:
                    self._assembler.drop(operation_id)
                    continue
                missing = Envelope(
                    kind=Kind.MISSING,
                    service=waiting.service,
                    operation_id=operation_id,
                    missing=indices,
                )
                self._send(missing)

    async def open_stream(
        self, service: str, payload: bytes = b"", timeout_s: float = 10.0
    ) -> Stream:
        """Open a flow that stays until one side closes it.

        Parameters
        ----------
        service : str
            The service.
        payload : bytes, default=b""
            Passed to the backend server.
        timeout_s : float, default=10.0
            Longest time to try.

        Returns
        -------
        Stream
            The open flow.

        Raises
        ------
        OperationRefusedError
            If there is no place for it now.
        FlowBrokenError
            If nobody answered in time.
        """
        stream = Stream(service, secrets.randbits(63) | 1, self._send)
        self._streams[stream.flow_id] = stream
        try:
            await stream.open(payload, timeout_s)
        except BaseException:
            del self._streams[stream.flow_id]
            raise
        self._start(self._keep_stream(stream))
        return stream

    async def _keep_stream(self, stream: Stream) -> None:
        await stream.keep_alive()
        self._streams.pop(stream.flow_id, None)

    def _start(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
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
        """Have a request run, and return its whole answer.

        A request that was refused because the instance that would decide it has
        changed did not run, and is sent anew at once within the timeout; so is an
        idempotent one whose outcome is unknown.

        Parameters
        ----------
        service : str
            The service.
        payload : bytes
            The request.
        idempotent : bool
            Whether it may run more than once.
        timeout_s : float, default=10.0
            Time until the deadline.

        Returns
        -------
        bytes
            The answer.

        Raises
        ------
        OperationRefusedError
            If it did not run; says when to come back.
        OperationUnknownError
            If nobody knows whether it ran.
        PayloadTooLargeError
            If it is larger than any message may be.
        UnavailableError
            If no instance could be reached; it was not sent.
        """
        if len(payload) > MAX_MESSAGE_BYTES:
            raise PayloadTooLargeError(f"{len(payload)} bytes of {MAX_MESSAGE_BYTES}")
        if self._asking is None:
            self._asking = self._start(self._ask_for_missing())

        deadline_s = asyncio.get_running_loop().time() + timeout_s
        may_have_run = False
        while True:
            token = await self._token(service, may_have_run)
            request = Envelope(
                kind=Kind.REQUEST,
                service=service,
                operation_id=token + secrets.token_bytes(_NONCE_BYTES),
                idempotent=idempotent,
                payload=payload,
                partner=self._partner,
            )
            verdict = await self._run(request, deadline_s)
            if verdict.token:
                self._tokens[service] = verdict.token
            if verdict.kind == Kind.ANSWER:
                return verdict.payload
            may_have_run = may_have_run or verdict.kind == Kind.UNKNOWN
            if may_have_run and not idempotent:
                raise OperationUnknownError(Reason.Name(verdict.reason))
            wait_s = pause_s(verdict)
            if (
                wait_s is None
                or asyncio.get_running_loop().time() + wait_s >= deadline_s
            ):
                raise failure(verdict, may_have_run)
            await asyncio.sleep(wait_s)

    async def _run(self, request: Envelope, deadline_s: float) -> Envelope:
        waiting = Waiting(request)
        self._requests[request.operation_id] = waiting
        try:
            return await self._resend_until_verdict(request, waiting, deadline_s)
        except asyncio.CancelledError:
            self._cancel(request)
            raise
        finally:
            del self._requests[request.operation_id]
            self._outbox.done(request.operation_id)

    async def _resend_until_verdict(
        self, request: Envelope, waiting: Waiting, deadline_s: float
    ) -> Envelope:
        loop = asyncio.get_running_loop()
        is_first = True
        while (remaining_s := deadline_s - loop.time()) > _LEAST_WAIT_S:
            request.deadline_ms = max(1, round(remaining_s * 1000))
            self._send_request(request, is_first)
            is_first = False
            accepted = waiting.accepted.is_set()
            interval_s = _ACCEPTED_RESEND_S if accepted else _RESEND_S
            waiting.news.clear()
            with contextlib.suppress(TimeoutError):
                wait_s = min(interval_s, remaining_s)
                await asyncio.wait_for(waiting.news.wait(), wait_s)
            if waiting.verdict.done():
                return waiting.verdict.result()
        self._tokens.pop(request.service, None)
        return Envelope(kind=Kind.UNKNOWN, reason=Reason.DEADLINE)

    def _send_request(self, request: Envelope, is_first: bool) -> None:
        target = self._addresses[request.service]
        if is_first:
            self._outbox.start(
                request.operation_id,
                split(request),
                lambda data: self._transport.sendto(data, target),
            )
        elif len(request.payload) > MAX_PAYLOAD_BYTES:
            # Enough for an instance to say what it has, or what it lacks.
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

    async def _token(self, service: str, may_have_run: bool) -> bytes:
        welcomed = self._welcomes[service]
        for _ in range(round(_HELLO_TIMEOUT_S / _RESEND_S)):
            token = self._tokens.get(service)
            if token:
                return token
            welcomed.clear()
            self._send(Envelope(kind=Kind.HELLO, service=service))
            try:
                await asyncio.wait_for(welcomed.wait(), _RESEND_S)
            except TimeoutError:
                continue
        if may_have_run:
            raise OperationUnknownError("no instance answers any more")
        raise UnavailableError(f"no instance answers for {service}")


async def connect(addresses: dict[str, str], partner: str = "") -> Client:
    """Make a client with a socket of its own.

    Parameters
    ----------
    addresses : dict of str to str
        ``IP:port`` of each service.
    partner : str, default=""
        Whose requests these are.

    Returns
    -------
    Client
        Ready to use.
    """
    loop = asyncio.get_running_loop()
    _, client = await loop.create_datagram_endpoint(
        lambda: Client(addresses, partner), local_addr=("0.0.0.0", 0)
    )
    return client
