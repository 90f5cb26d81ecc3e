"""Owner's side of an operation: a task handles it from admission to its verdict."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from agatethread.observability import Counters
from agatethread.operations._attempts import (
    AttemptEnd,
    AttemptOutcome,
    Attempts,
    set_outcome,
)
from agatethread.operations._claim_requests import IMMEDIATE_RETRY_S, ClaimRequester
from agatethread.operations._large_verdicts import LargeVerdicts
from agatethread.operations._queue import ServiceQueue
from agatethread.operations._records import (
    InstanceCallbacks,
    Operation,
    RefusedError,
    RetainedTable,
    make_operation,
    make_refused_verdict,
    make_unknown_verdict,
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

_REFUSED_RETRY_AFTER_S = 1.0  # of operations refused without an attempt


class OperationOwner:
    """Operations that this incarnation of this instance owns.

    Parameters
    ----------
    callbacks : InstanceCallbacks
        Access to the rest of the instance.
    sealer : Sealer
        Seals the return labels of attempts.
    queue_of : callable
        Returns a service's queue; None for a service without a configuration document.
    is_dispatcher : callable
        Returns whether this instance dispatches for a service at present.
    start_task : callable
        Runs a coroutine as a task of the instance.
    counters : Counters
        Counts verdicts.
    limit_count, retention_s
        Maximum number of operations; time for which a finished one is kept for copies.
    claim_timeout_s, large_limit_bytes
        Time for a claim to be granted; total size of the large verdicts that are kept.
    """

    def __init__(
        self,
        callbacks: InstanceCallbacks,
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
        self._callbacks = callbacks
        self._queue_of = queue_of
        self._is_dispatcher = is_dispatcher
        self._start_task = start_task
        self._counters = counters
        self.claim_requester = ClaimRequester(callbacks, claim_timeout_s, counters)
        self._table: RetainedTable[Operation] = RetainedTable(limit_count, retention_s)
        self._running: set[Operation] = set()
        self._attempts = Attempts(callbacks, sealer, counters)
        self._large_verdicts = LargeVerdicts(callbacks, large_limit_bytes)

    def __len__(self) -> int:
        return len(self._table)

    @property
    def running_count(self) -> int:
        """Operations without a verdict yet."""
        return len(self._running)

    def on_request(
        self, envelope: Envelope, token: Token, caller: bytes, deadline_s: float
    ) -> None:
        """Handle a request or a copy of one.

        Parameters
        ----------
        envelope : Envelope
            The caller's request.
        token : Token
            Its token; its owner is this incarnation.
        caller : bytes
            Packed address of the caller.
        deadline_s : float
            Time until the deadline.
        """
        operation = self._table.get(envelope.operation_id)
        if operation is not None:
            self._on_copy(operation, caller)
            return
        if self._table.is_full:
            self._send_table_full(envelope, caller)
            return

        operation = self._make_operation(envelope, token, caller, deadline_s)
        self._table.add(operation.operation_id, operation)
        self._running.add(operation)
        self._start_task(self._run(operation))

    def _send_table_full(self, envelope: Envelope, caller: bytes) -> None:
        # Without a record of a refusal a later copy could run: "unknown" instead.
        self._counters["operation_table_full"] += 1
        fresh_token = self._callbacks.fresh_token(envelope.service)
        verdict = make_unknown_verdict(
            envelope.operation_id, Reason.TABLE_FULL, fresh_token
        )
        self._callbacks.send_caller(caller, verdict)

    def has_operation(self, operation_id: bytes) -> bool:
        """Return whether the table has a record of an operation.

        Parameters
        ----------
        operation_id : bytes
            The operation.

        Returns
        -------
        bool
            False also after its retention time.
        """
        return self._table.get(operation_id) is not None

    def refuse(
        self, envelope: Envelope, token: Token, caller: bytes, reason: int
    ) -> None:
        """Refuse an operation without an attempt, and record the refusal.

        Parameters
        ----------
        envelope : Envelope
            The caller's request.
        token : Token
            Its token; its owner is this incarnation.
        caller : bytes
            Packed address of the caller.
        reason : int
            A `Reason`.
        """
        if self._table.is_full:
            self._send_table_full(envelope, caller)
            return
        operation = self._make_operation(envelope, token, caller, 0.0)
        self._table.add(operation.operation_id, operation)
        refusal = RefusedError(reason, _REFUSED_RETRY_AFTER_S)
        self._finish(operation, self._verdict_of_refusal(operation, refusal))

    def _make_operation(
        self, envelope: Envelope, token: Token, caller: bytes, deadline_s: float
    ) -> Operation:
        deadline_at_s = self._callbacks.now_s() + deadline_s
        return make_operation(envelope, token, caller, deadline_at_s)

    def _on_copy(self, operation: Operation, caller: bytes) -> None:
        self._counters["operation_copies"] += 1
        operation.caller = caller
        if operation.verdict is not None:
            self._callbacks.send_caller(caller, operation.verdict)
            return
        self._send_accepted(operation)

    def _send_accepted(self, operation: Operation) -> None:
        accepted = Envelope(kind=Kind.ACCEPTED, operation_id=operation.operation_id)
        self._callbacks.send_caller(operation.caller, accepted.SerializeToString())

    async def _run(self, operation: Operation) -> None:
        try:
            verdict = await self._serve(operation)
        except RefusedError as error:
            self._counters["refused_" + Reason.Name(error.reason).lower()] += 1
            verdict = self._verdict_of_refusal(operation, error)
        self._finish(operation, verdict)

    def _verdict_of_refusal(self, operation: Operation, error: RefusedError) -> bytes:
        token = self._callbacks.fresh_token(operation.service)
        if operation.may_have_run:
            return make_unknown_verdict(operation.operation_id, error.reason, token)
        return make_refused_verdict(
            operation.operation_id, error.reason, error.retry_after_s, token
        )

    def _finish(self, operation: Operation, verdict: bytes) -> None:
        operation.verdict = verdict
        operation.datagrams = []
        operation.endpoint = None
        self._running.discard(operation)
        self._table.finish(operation.operation_id, self._callbacks.now_s())
        self._callbacks.send_caller(operation.caller, verdict)
        self._large_verdicts.track(operation)
        if not operation.idempotent and operation.token.standby != NO_MEMBER:
            self._send_verdict_note(operation)

    def _send_verdict_note(self, operation: Operation) -> None:
        verdict = operation.verdict
        if len(verdict) > MAX_DATAGRAM_BYTES:
            # The standby stores no large answers; it answers copies with "unknown" if
            # the owner fails.
            fresh_token = self._callbacks.fresh_token(operation.service)
            verdict = make_unknown_verdict(
                operation.operation_id, Reason.HOME_LOST, fresh_token
            )
        note = VerdictNote(operation_id=operation.operation_id, datagram=verdict)
        standby = operation.token.standby.address
        self._callbacks.send_peer(standby, Peer(verdict_note=note))

    def resend_verdict(self, operation_id: bytes, indices: Iterable[int]) -> None:
        """Send fragments of a large verdict again.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        indices : iterable of int
            Indices of the fragments.
        """
        operation = self._table.get(operation_id)
        if operation is None or operation.verdict is None:
            return
        datagrams = split_datagram(operation.verdict)
        requested = [datagrams[index] for index in indices if index < len(datagrams)]
        for datagram in requested:
            self._callbacks.send_caller(operation.caller, datagram)

    def resend_request(
        self, operation_id: bytes, attempt: int, indices: Iterable[int]
    ) -> None:
        """Send fragments of a large request to its backend server again.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        attempt : int
            Number of the attempt.
        indices : iterable of int
            Indices of the fragments.
        """
        self._attempts.resend(operation_id, attempt, indices)

    async def _serve(self, operation: Operation) -> bytes:
        if not self._is_dispatcher(operation.service):
            raise RefusedError(Reason.MOVED, IMMEDIATE_RETRY_S)
        queue = self._queue_of(operation.service)
        if queue is None:
            raise RefusedError(Reason.NO_DOCUMENT, 1.0)

        self._send_accepted(operation)
        queue.add_retry_tokens()
        avoid = None
        while True:
            endpoint = await queue.acquire(
                operation.partner, operation.deadline_at_s, avoid
            )
            outcome = await self._run_attempt(operation, queue, endpoint)
            verdict = self._process_outcome(operation, queue, endpoint, outcome)
            if verdict is not None:
                return verdict
            avoid = endpoint

    async def _run_attempt(
        self, operation: Operation, queue: ServiceQueue, endpoint: Endpoint
    ) -> AttemptOutcome:
        started_s = self._callbacks.now_s()
        service_time_s = None
        try:
            operation.attempt += 1
            self._check_may_start(operation)
            if not operation.idempotent and operation.token.standby != NO_MEMBER:
                await self.claim_requester.request_claim(operation, endpoint)
                self._check_may_start(operation)
            outcome = await self._attempts.run(operation, endpoint)
            if outcome.end is AttemptEnd.ANSWERED:
                service_time_s = self._callbacks.now_s() - started_s
            return outcome
        finally:
            self._attempts.discard_fragments(operation)
            queue.release(endpoint, service_time_s)

    def _check_may_start(self, operation: Operation) -> None:
        # Checked again after each wait: the process may have been suspended.
        if operation.cancelled:
            raise RefusedError(Reason.CANCELLED, IMMEDIATE_RETRY_S)
        if self._callbacks.now_s() >= operation.deadline_at_s:
            raise RefusedError(Reason.DEADLINE, IMMEDIATE_RETRY_S)

    def on_reply(
        self, operation_id: bytes, label: OperationLabel, envelope: Envelope
    ) -> None:
        """Handle a backend server's reply; replies to earlier attempts are dropped.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        label : OperationLabel
            The reply's label.
        envelope : Envelope
            The reply.
        """
        operation = self._table.get(operation_id)
        if operation is None or operation.attempt != label.attempt:
            self._counters["reply_late"] += 1
            return
        ends = {Kind.ANSWER: AttemptEnd.ANSWERED, Kind.SHED: AttemptEnd.SHED}
        set_outcome(operation, AttemptOutcome(ends[envelope.kind], envelope))

    def on_cancel(self, operation_id: bytes) -> None:
        """Cancel an operation for its caller; its task then sends the verdict."""
        operation = self._table.get(operation_id)
        if operation is None or operation.verdict is not None:
            return
        operation.cancelled = True
        self._attempts.cancel(operation)
        set_outcome(operation, AttemptOutcome(AttemptEnd.CANCELLED))

    def on_endpoint_gone(self, endpoint: Endpoint) -> None:
        """End the attempts in flight at a failed backend server."""
        for operation in self._running:
            if operation.endpoint is endpoint:
                set_outcome(operation, AttemptOutcome(AttemptEnd.LOST))

    def _process_outcome(
        self,
        operation: Operation,
        queue: ServiceQueue,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
    ) -> bytes | None:
        operation.endpoint = None
        operation.outcome = None
        now_s = self._callbacks.now_s()
        if outcome.end is AttemptEnd.ANSWERED:
            endpoint.record_success()
            self._counters["answered"] += 1
            return Envelope(
                kind=Kind.ANSWER,
                operation_id=operation.operation_id,
                payload=outcome.reply.payload,
                token=self._callbacks.fresh_token(operation.service),
            ).SerializeToString()

        if outcome.end is AttemptEnd.SHED:
            retry_after_s = outcome.reply.retry_after_ms / 1000
            endpoint.record_failure(now_s, retry_after_s)
            self._counters["shed"] += 1
            if queue.take_retry_token():
                return None
            raise RefusedError(Reason.OVERLOADED, max(retry_after_s, 0.05))

        timed_out = outcome.end is AttemptEnd.TIMED_OUT
        was_ample = timed_out and queue.was_timeout_ample(outcome.timeout_s)
        if outcome.end is AttemptEnd.LOST or was_ample:
            endpoint.record_failure(now_s)
        in_time = now_s < operation.deadline_at_s and not operation.cancelled
        if operation.idempotent and in_time and queue.take_retry_token():
            self._counters["retried"] += 1
            return None
        return self._make_unknown(operation, outcome.end)

    def _make_unknown(self, operation: Operation, end: AttemptEnd) -> bytes:
        self._counters["unknown"] += 1
        reasons = {
            AttemptEnd.LOST: Reason.BACKEND_LOST,
            AttemptEnd.TIMED_OUT: Reason.DEADLINE,
            AttemptEnd.CANCELLED: Reason.CANCELLED,
        }
        fresh_token = self._callbacks.fresh_token(operation.service)
        return make_unknown_verdict(operation.operation_id, reasons[end], fresh_token)

    def expire(self) -> None:
        """Replace large verdicts and delete operations past their retention times."""
        self._large_verdicts.expire()
        self._table.expire(self._callbacks.now_s())
