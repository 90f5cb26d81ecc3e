"""The owner's side of an operation: one task takes it from admission to its verdict."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from agatethread.observability import Counters
from agatethread.operations._asking import MOVED_RETRY_S, ClaimAsker
from agatethread.operations._attempts import Attempts, End, Outcome, settle
from agatethread.operations._large import LargeVerdicts
from agatethread.operations._queue import ServiceQueue
from agatethread.operations._records import (
    Operation,
    Ports,
    RefusedError,
    RetainedTable,
    make_operation,
    refused,
    unknown,
)
from agatethread.routing import Endpoint
from agatethread.transfer import split_datagram
from agatethread.wire import (
    MAX_DATAGRAM_BYTES,
    NO_MEMBER,
    Envelope,
    Kind,
    OperationLabel,
    Peer,
    Reason,
    Sealer,
    Token,
    VerdictNote,
)

_TOO_LARGE_RETRY_S = 1.0


class OperationOwner:
    """Operations that this run of this instance decides.

    Parameters
    ----------
    ports : Ports
        The rest of the instance.
    sealer : Sealer
        Seals return labels.
    queue_of : callable
        Returns a service's queue, or None without a document.
    is_dispatcher : callable
        Whether this instance now dispatches for a service.
    start_task : callable
        Runs a coroutine as a task of the instance.
    counters : Counters
        Counts verdicts.
    limit_count, retention_s, claim_timeout_s, large_limit_bytes
        As in the settings; the last bounds the large verdicts kept for copies.
    """

    def __init__(
        self,
        ports: Ports,
        sealer: Sealer,
        queue_of: Callable[[str], ServiceQueue | None],
        is_dispatcher: Callable[[str], bool],
        start_task: Callable[[Coroutine[Any, Any, None]], Any],
        counters: Counters,
        limit_count: int,
        retention_s: float,
        claim_timeout_s: float,
        large_limit_bytes: int,
    ):
        self._ports = ports
        self._queue_of = queue_of
        self._is_dispatcher = is_dispatcher
        self._start_task = start_task
        self._counters = counters
        self.claims = ClaimAsker(ports, claim_timeout_s, counters)
        self._table: RetainedTable[Operation] = RetainedTable(limit_count, retention_s)
        self._running: set[Operation] = set()
        self._attempts = Attempts(ports, sealer, counters)
        self._large = LargeVerdicts(ports, large_limit_bytes)

    def __len__(self) -> int:
        return len(self._table)

    @property
    def running_count(self) -> int:
        """Operations without a verdict yet."""
        return len(self._running)

    def on_request(
        self, envelope: Envelope, token: Token, caller: bytes, deadline_s: float
    ) -> None:
        """Take a request or a copy of one.

        Parameters
        ----------
        envelope : Envelope
            The caller's request.
        token : Token
            Its token; its owner is this run.
        caller : bytes
            Packed address of the caller.
        deadline_s : float
            Time until the deadline.
        """
        operation = self._table.find(envelope.operation_id)
        if operation is not None:
            self._on_copy(operation, caller)
            return
        if self._table.is_full:
            self._say_full(envelope, caller)
            return

        operation = self._make(envelope, token, caller, deadline_s)
        self._table.add(operation.operation_id, operation)
        self._running.add(operation)
        self._start_task(self._run(operation))

    def _say_full(self, envelope: Envelope, caller: bytes) -> None:
        # A refusal has to be remembered to stay true; without room for that the
        # outcome is not known.
        self._counters["operation_table_full"] += 1
        fresh = self._ports.fresh_token(envelope.service)
        verdict = unknown(envelope.operation_id, Reason.TABLE_FULL, fresh)
        self._ports.send_caller(caller, verdict)

    def knows(self, operation_id: bytes) -> bool:
        """Tell whether an operation was taken before.

        Parameters
        ----------
        operation_id : bytes
            The operation.

        Returns
        -------
        bool
            Whether there is a record of it.
        """
        return self._table.find(operation_id) is not None

    def refuse(
        self, envelope: Envelope, token: Token, caller: bytes, reason: int
    ) -> None:
        """Refuse an operation without trying, and remember that.

        Parameters
        ----------
        envelope : Envelope
            The caller's request.
        token : Token
            Its token; its owner is this run.
        caller : bytes
            Packed address of the caller.
        reason : int
            A `Reason`.
        """
        if self._table.is_full:
            self._say_full(envelope, caller)
            return
        operation = self._make(envelope, token, caller, 0.0)
        self._table.add(operation.operation_id, operation)
        refusal = RefusedError(reason, _TOO_LARGE_RETRY_S)
        self._finish(operation, self._refusal(operation, refusal))

    def _make(
        self, envelope: Envelope, token: Token, caller: bytes, deadline_s: float
    ) -> Operation:
        deadline_at_s = self._ports.now_s() + deadline_s
        return make_operation(envelope, token, caller, deadline_at_s)

    def _on_copy(self, operation: Operation, caller: bytes) -> None:
        self._counters["operation_copies"] += 1
        operation.caller = caller
        if operation.verdict is not None:
            self._ports.send_caller(caller, operation.verdict)
            return
        self._send_accepted(operation)

    def _send_accepted(self, operation: Operation) -> None:
        accepted = Envelope(kind=Kind.ACCEPTED, operation_id=operation.operation_id)
        self._ports.send_caller(operation.caller, accepted.SerializeToString())

    async def _run(self, operation: Operation) -> None:
        try:
            verdict = await self._serve(operation)
        except RefusedError as error:
            self._counters["refused_" + Reason.Name(error.reason).lower()] += 1
            verdict = self._refusal(operation, error)
        self._finish(operation, verdict)

    def _refusal(self, operation: Operation, error: RefusedError) -> bytes:
        fresh = self._ports.fresh_token(operation.service)
        if operation.may_have_run:
            return unknown(operation.operation_id, error.reason, fresh)
        return refused(operation.operation_id, error.reason, error.retry_after_s, fresh)

    def _finish(self, operation: Operation, verdict: bytes) -> None:
        operation.verdict = verdict
        operation.datagrams = []
        operation.endpoint = None
        self._running.discard(operation)
        self._table.finish(operation.operation_id, self._ports.now_s())
        self._ports.send_caller(operation.caller, verdict)
        self._large.keep(operation)
        if not operation.idempotent and operation.token.standby != NO_MEMBER:
            self._note_verdict(operation)

    def _note_verdict(self, operation: Operation) -> None:
        verdict = operation.verdict
        if len(verdict) > MAX_DATAGRAM_BYTES:
            # The standby keeps no large answers; a copy that comes after the owner's
            # death is told that the outcome is not known.
            fresh = self._ports.fresh_token(operation.service)
            verdict = unknown(operation.operation_id, Reason.HOME_LOST, fresh)
        note = VerdictNote(operation_id=operation.operation_id, datagram=verdict)
        standby = operation.token.standby.address
        self._ports.send_peer(standby, Peer(verdict_note=note))

    def resend_verdict(self, operation_id: bytes, indices: Iterable[int]) -> None:
        """Send fragments of a large verdict again.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        indices : iterable of int
            Which ones.
        """
        operation = self._table.find(operation_id)
        if operation is None or operation.verdict is None:
            return
        datagrams = split_datagram(operation.verdict)
        wanted = [datagrams[index] for index in indices if index < len(datagrams)]
        for datagram in wanted:
            self._ports.send_caller(operation.caller, datagram)

    def resend_request(
        self, operation_id: bytes, attempt: int, indices: Iterable[int]
    ) -> None:
        """Send fragments of a large request to its backend server again.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        attempt : int
            Of which attempt.
        indices : iterable of int
            Which ones.
        """
        self._attempts.resend(operation_id, attempt, indices)

    async def _serve(self, operation: Operation) -> bytes:
        if not self._is_dispatcher(operation.service):
            raise RefusedError(Reason.MOVED, MOVED_RETRY_S)
        queue = self._queue_of(operation.service)
        if queue is None:
            raise RefusedError(Reason.NO_DOCUMENT, 1.0)

        self._send_accepted(operation)
        queue.earn_retry()
        avoid = None
        while True:
            endpoint = await queue.acquire(
                operation.partner, operation.deadline_at_s, avoid
            )
            outcome = await self._hold_slot(operation, queue, endpoint)
            verdict = self._judge(operation, queue, endpoint, outcome)
            if verdict is not None:
                return verdict
            avoid = endpoint

    async def _hold_slot(
        self, operation: Operation, queue: ServiceQueue, endpoint: Endpoint
    ) -> Outcome:
        started_s = self._ports.now_s()
        service_time_s = None
        try:
            operation.attempt += 1
            self._check_startable(operation)
            if not operation.idempotent and operation.token.standby != NO_MEMBER:
                await self.claims.ask(operation, endpoint)
                self._check_startable(operation)
            outcome = await self._attempts.run(operation, endpoint)
            if outcome.end is End.ANSWERED:
                service_time_s = self._ports.now_s() - started_s
            return outcome
        finally:
            self._attempts.done(operation)
            queue.release(endpoint, service_time_s)

    def _check_startable(self, operation: Operation) -> None:
        # Read just before each step: the process may have been stopped for long.
        if operation.cancelled:
            raise RefusedError(Reason.CANCELLED, MOVED_RETRY_S)
        if self._ports.now_s() >= operation.deadline_at_s:
            raise RefusedError(Reason.DEADLINE, MOVED_RETRY_S)

    def on_reply(
        self, operation_id: bytes, label: OperationLabel, envelope: Envelope
    ) -> None:
        """Take a backend server's reply; late and crossed ones go nowhere.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        label : OperationLabel
            The reply's label.
        envelope : Envelope
            The reply.
        """
        operation = self._table.find(operation_id)
        if operation is None or operation.attempt != label.attempt:
            self._counters["reply_late"] += 1
            return
        ends = {Kind.ANSWER: End.ANSWERED, Kind.SHED: End.SHED}
        settle(operation, Outcome(ends[envelope.kind], envelope))

    def on_cancel(self, operation_id: bytes) -> None:
        """Cancel an operation for its caller.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        """
        operation = self._table.find(operation_id)
        if operation is None or operation.verdict is not None:
            return
        operation.cancelled = True
        self._attempts.cancel(operation)
        settle(operation, Outcome(End.CANCELLED))

    def on_endpoint_gone(self, endpoint: Endpoint) -> None:
        """Settle what was in flight at a backend server that died.

        Parameters
        ----------
        endpoint : Endpoint
            The backend server.
        """
        for operation in self._running:
            if operation.endpoint is endpoint:
                settle(operation, Outcome(End.LOST))

    def _judge(
        self,
        operation: Operation,
        queue: ServiceQueue,
        endpoint: Endpoint,
        outcome: Outcome,
    ) -> bytes | None:
        operation.endpoint = None
        operation.outcome = None
        now_s = self._ports.now_s()
        if outcome.end is End.ANSWERED:
            endpoint.succeed()
            self._counters["answered"] += 1
            return Envelope(
                kind=Kind.ANSWER,
                operation_id=operation.operation_id,
                payload=outcome.reply.payload,
                token=self._ports.fresh_token(operation.service),
            ).SerializeToString()

        if outcome.end is End.SHED:
            retry_after_s = outcome.reply.retry_after_ms / 1000
            endpoint.fail(now_s, retry_after_s)
            self._counters["shed"] += 1
            if queue.spend_retry():
                return None
            raise RefusedError(Reason.OVERLOADED, max(retry_after_s, 0.05))

        timed_out = outcome.end is End.TIMED_OUT
        was_patient = timed_out and queue.is_patient(outcome.waited_s)
        if outcome.end is End.LOST or was_patient:
            endpoint.fail(now_s)
        in_time = now_s < operation.deadline_at_s and not operation.cancelled
        if operation.idempotent and in_time and queue.spend_retry():
            self._counters["retried"] += 1
            return None
        return self._unknown(operation, outcome.end)

    def _unknown(self, operation: Operation, end: End) -> bytes:
        self._counters["unknown"] += 1
        reasons = {
            End.LOST: Reason.BACKEND_LOST,
            End.TIMED_OUT: Reason.DEADLINE,
            End.CANCELLED: Reason.CANCELLED,
        }
        fresh = self._ports.fresh_token(operation.service)
        return unknown(operation.operation_id, reasons[end], fresh)

    def expire(self) -> None:
        """Drop verdicts whose retention is over."""
        self._large.drop()
        self._table.expire(self._ports.now_s())
