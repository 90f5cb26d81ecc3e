"""One attempt of an operation at a backend server."""

import asyncio
import enum
from collections.abc import Iterable
from dataclasses import dataclass

from agatethread.observability import Counters
from agatethread.operations._records import Operation, Ports
from agatethread.routing import Endpoint
from agatethread.transfer import Outbox
from agatethread.wire import (
    Envelope,
    Kind,
    OperationLabel,
    Sealer,
    seal_operation_label,
)

#: An idempotent attempt that takes this many usual service times is tried elsewhere.
_PATIENCE_FACTOR = 8
_LEAST_PATIENCE_S = 0.5


class End(enum.Enum):
    """How an attempt ended."""

    ANSWERED = enum.auto()
    SHED = enum.auto()
    LOST = enum.auto()
    TIMED_OUT = enum.auto()
    CANCELLED = enum.auto()


@dataclass(frozen=True)
class Outcome:
    """The end of an attempt, with the backend server's reply if there was one."""

    end: End
    reply: Envelope | None = None
    waited_s: float = 0.0


def settle(operation: Operation, outcome: Outcome) -> None:
    """End the attempt that is under way, unless it has ended.

    Parameters
    ----------
    operation : Operation
        The operation.
    outcome : Outcome
        How it ended.
    """
    if operation.outcome is not None and not operation.outcome.done():
        operation.outcome.set_result(outcome)


class Attempts:
    """Sends operations to backend servers, and waits for what becomes of them.

    Parameters
    ----------
    ports : Ports
        The rest of the instance.
    sealer : Sealer
        Seals return labels.
    counters : Counters
        Counts dispatches.
    """

    def __init__(self, ports: Ports, sealer: Sealer, counters: Counters):
        self._ports = ports
        self._sealer = sealer
        self._counters = counters
        self._outbox = Outbox()

    async def run(self, operation: Operation, endpoint: Endpoint) -> Outcome:
        """Dispatch an operation and wait for the end of the attempt.

        Parameters
        ----------
        operation : Operation
            The operation.
        endpoint : Endpoint
            The backend server whose slot is held.

        Returns
        -------
        Outcome
            How it ended.
        """
        operation.endpoint = endpoint
        operation.outcome = asyncio.get_running_loop().create_future()
        had_run = operation.may_have_run
        operation.may_have_run = True
        self._dispatch(operation, endpoint)
        self._counters["dispatched"] += 1
        wait_s = operation.deadline_at_s - self._ports.now_s()
        if operation.idempotent:
            wait_s = min(wait_s, max(_LEAST_PATIENCE_S, wait_s / _PATIENCE_FACTOR))
        try:
            outcome = await asyncio.wait_for(operation.outcome, wait_s)
            if outcome.end is End.SHED:
                operation.may_have_run = had_run
            return outcome
        except TimeoutError:
            self.cancel(operation)
            return Outcome(End.TIMED_OUT, waited_s=wait_s)

    def _dispatch(self, operation: Operation, endpoint: Endpoint) -> None:
        label = OperationLabel(
            operation.caller,
            operation.token.owner,
            operation.token.standby,
            operation.nonce,
            operation.attempt,
        )
        remaining_s = operation.deadline_at_s - self._ports.now_s()
        # Appended fields replace those of the caller's datagram (protocol buffers
        # encoding: the last value of a field counts).
        suffix = Envelope(
            return_label=seal_operation_label(self._sealer, label),
            incarnation=endpoint.incarnation,
            attempt=operation.attempt,
            deadline_ms=max(1, round(remaining_s * 1000)),
        ).SerializeToString()
        self._outbox.start(
            (operation.operation_id, operation.attempt),
            [datagram + suffix for datagram in operation.datagrams],
            lambda data: self._ports.send_backend(endpoint.address, data),
        )

    def cancel(self, operation: Operation) -> None:
        """Tell the backend server that nobody waits for an operation any more.

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
        self._ports.send_backend(endpoint.address, cancel.SerializeToString())

    def resend(self, operation_id: bytes, attempt: int, indices: Iterable[int]) -> None:
        """Send fragments of a large request again.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        attempt : int
            Of which attempt.
        indices : iterable of int
            Which ones.
        """
        self._outbox.resend((operation_id, attempt), indices)

    def done(self, operation: Operation) -> None:
        """Forget the fragments of the present attempt.

        Parameters
        ----------
        operation : Operation
            The operation.
        """
        self._outbox.done((operation.operation_id, operation.attempt))
