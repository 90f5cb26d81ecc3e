"""One attempt of an operation at a backend server."""

import asyncio
import enum
from collections.abc import Iterable
from dataclasses import dataclass

from agatethread.observability import Counters
from agatethread.operations._records import InstanceCallbacks, Operation
from agatethread.routing import Endpoint
from agatethread.transfer import FragmentSender
from agatethread.wire import (
    Envelope,
    Kind,
    OperationLabel,
    Sealer,
    seal_operation_label,
)

#: An idempotent attempt times out after this fraction of the time to the deadline, so
#: that it can be retried at another backend server.
_IDEMPOTENT_TIMEOUT_DIVISOR = 8
_MIN_IDEMPOTENT_TIMEOUT_S = 0.5


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    ANSWERED = enum.auto()
    #: The backend server refused the request without running it.
    SHED = enum.auto()
    #: The backend server ended or left.
    LOST = enum.auto()
    #: No reply within the attempt's timeout.
    TIMED_OUT = enum.auto()
    CANCELLED = enum.auto()


@dataclass(frozen=True)
class AttemptOutcome:
    """How an attempt ended, with the backend server's reply if there was one."""

    end: AttemptEnd
    reply: Envelope | None = None
    #: Timeout of the attempt if it timed out, else 0.
    timeout_s: float = 0.0


def set_outcome(operation: Operation, outcome: AttemptOutcome) -> None:
    """Set the outcome of the current attempt, unless it has ended.

    Parameters
    ----------
    operation : Operation
        The operation.
    outcome : AttemptOutcome
        The outcome.
    """
    if operation.outcome is not None and not operation.outcome.done():
        operation.outcome.set_result(outcome)


class Attempts:
    """Sends operations to backend servers and waits for their outcomes.

    Parameters
    ----------
    callbacks : InstanceCallbacks
        Access to the rest of the instance.
    sealer : Sealer
        Seals return labels: the addresses and attempt number that a reply carries back.
    counters : Counters
        Counts dispatches.
    """

    def __init__(
        self, callbacks: InstanceCallbacks, sealer: Sealer, counters: Counters
    ):
        self._callbacks = callbacks
        self._sealer = sealer
        self._counters = counters
        self._outbox = FragmentSender()

    async def run(self, operation: Operation, endpoint: Endpoint) -> AttemptOutcome:
        """Dispatch an operation and return the outcome of the attempt.

        Parameters
        ----------
        operation : Operation
            The operation.
        endpoint : Endpoint
            Backend server with a slot reserved for the operation.

        Returns
        -------
        AttemptOutcome
            The outcome.
        """
        operation.endpoint = endpoint
        operation.outcome = asyncio.get_running_loop().create_future()
        may_have_run_before = operation.may_have_run
        operation.may_have_run = True
        self._dispatch(operation, endpoint)
        self._counters["dispatched"] += 1
        wait_s = operation.deadline_at_s - self._callbacks.now_s()
        if operation.idempotent:
            wait_s = min(
                wait_s,
                max(_MIN_IDEMPOTENT_TIMEOUT_S, wait_s / _IDEMPOTENT_TIMEOUT_DIVISOR),
            )
        try:
            outcome = await asyncio.wait_for(operation.outcome, wait_s)
            if outcome.end is AttemptEnd.SHED:
                operation.may_have_run = may_have_run_before
            return outcome
        except TimeoutError:
            self.cancel(operation)
            return AttemptOutcome(AttemptEnd.TIMED_OUT, timeout_s=wait_s)

    def _dispatch(self, operation: Operation, endpoint: Endpoint) -> None:
        label = OperationLabel(
            operation.caller,
            operation.token.owner,
            operation.token.standby,
            operation.nonce,
            operation.attempt,
        )
        remaining_s = operation.deadline_at_s - self._callbacks.now_s()
        # Appended fields override those of the caller's datagram: protocol buffers
        # decoders use the last value of a field.
        suffix = Envelope(
            return_label=seal_operation_label(self._sealer, label),
            incarnation=endpoint.incarnation,
            attempt=operation.attempt,
            deadline_ms=max(1, round(remaining_s * 1000)),
        ).SerializeToString()
        self._outbox.send_message(
            (operation.operation_id, operation.attempt),
            [datagram + suffix for datagram in operation.datagrams],
            lambda data: self._callbacks.send_backend(endpoint.address, data),
        )

    def cancel(self, operation: Operation) -> None:
        """Send the backend server a cancellation of an operation.

        Parameters
        ----------
        operation : Operation
            The operation.
        """
        endpoint = operation.endpoint
        if endpoint is None:
            return
        cancel = Envelope(
            kind=Kind.CANCEL,
            service=operation.service,
            operation_id=operation.operation_id,
            incarnation=endpoint.incarnation,
            attempt=operation.attempt,
        )
        self._callbacks.send_backend(endpoint.address, cancel.SerializeToString())

    def resend(self, operation_id: bytes, attempt: int, indices: Iterable[int]) -> None:
        """Send fragments of a large request again.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        attempt : int
            Number of the attempt.
        indices : iterable of int
            Indices of the fragments.
        """
        self._outbox.resend((operation_id, attempt), indices)

    def discard_fragments(self, operation: Operation) -> None:
        """Delete the fragments of the current attempt.

        Parameters
        ----------
        operation : Operation
            The operation.
        """
        self._outbox.delete((operation.operation_id, operation.attempt))
