"""What is remembered of an operation, and the verdicts it may end with."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from agatethread.exceptions import AgatethreadError
from agatethread.routing import Endpoint
from agatethread.transfer import split
from agatethread.wire import (
    Envelope,
    Kind,
    MemberRef,
    Peer,
    Reason,
    Token,
    operation_id_parts,
)

_Record = TypeVar("_Record")


class RefusedError(AgatethreadError):
    """An operation is refused and has not run.

    Parameters
    ----------
    reason : int
        A `Reason`.
    retry_after_s : float
        When the caller should come back.
    """

    def __init__(self, reason: int, retry_after_s: float):
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(f"{Reason.Name(reason)}, retry after {retry_after_s:.3f} s")


@dataclass(frozen=True)
class Ports:
    """How operations reach the rest of the instance.

    Attributes
    ----------
    now_s : callable
        Monotonic clock.
    me : callable
        Reference to this run of this instance.
    is_alive : callable
        Whether a run of another instance is not known to have ended.
    send_peer : callable
        Sends a message to an instance's packed inner address.
    send_backend : callable
        Sends a datagram to a backend server's packed address.
    send_caller : callable
        Sends a datagram to a caller's packed address.
    fresh_token : callable
        Seals a token for a service under the present ranking.
    """

    now_s: Callable[[], float]
    me: Callable[[], MemberRef]
    is_alive: Callable[[MemberRef], bool]
    send_peer: Callable[[bytes, Peer], None]
    send_backend: Callable[[bytes, bytes], None]
    send_caller: Callable[[bytes, bytes], None]
    fresh_token: Callable[[str], bytes]


@dataclass(eq=False, slots=True)
class Operation:
    """An operation that this instance owns."""

    operation_id: bytes
    service: str
    partner: str
    caller: bytes
    datagrams: list[bytes]
    idempotent: bool
    deadline_at_s: float
    token: Token
    nonce: bytes
    attempt: int = 0
    endpoint: Endpoint | None = None
    outcome: asyncio.Future | None = None
    verdict: bytes | None = None
    cancelled: bool = False
    #: Whether an attempt was sent that did not come back as shed.
    may_have_run: bool = False
    waiter: asyncio.Future | None = field(default=None)


class RetainedTable(Generic[_Record]):
    """Records by operation id, dropped some time after they are finished.

    Parameters
    ----------
    limit_count : int
        Most records kept.
    retention_s : float
        How long a finished record stays for late copies.
    """

    def __init__(self, limit_count: int, retention_s: float):
        self._limit_count = limit_count
        self._retention_s = retention_s
        self._records: dict[bytes, _Record] = {}
        self._finished: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Whether no further record can be kept."""
        return len(self._records) >= self._limit_count

    def find(self, operation_id: bytes) -> _Record | None:
        """Find a record.

        Parameters
        ----------
        operation_id : bytes
            The operation.

        Returns
        -------
        object or None
            Its record.
        """
        return self._records.get(operation_id)

    def add(self, operation_id: bytes, record: _Record) -> None:
        """Keep a record until it is finished and its retention is over.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        record : object
            Its record.
        """
        self._records[operation_id] = record

    def finish(self, operation_id: bytes, now_s: float) -> None:
        """Start a record's retention.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        now_s : float
            Present time.
        """
        self._finished.append((now_s + self._retention_s, operation_id))

    def expire(self, now_s: float) -> None:
        """Drop what was finished long ago.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        while self._finished and self._finished[0][0] <= now_s:
            _, operation_id = self._finished.popleft()
            self._records.pop(operation_id, None)


def refused(
    operation_id: bytes, reason: int, retry_after_s: float, token: bytes
) -> bytes:
    """Make the verdict that an operation did not run.

    Parameters
    ----------
    operation_id : bytes
        The operation.
    reason : int
        A `Reason`.
    retry_after_s : float
        When to come back.
    token : bytes
        Token for the next try.

    Returns
    -------
    bytes
        A datagram.
    """
    return Envelope(
        kind=Kind.REFUSED,
        operation_id=operation_id,
        reason=reason,
        retry_after_ms=max(1, round(retry_after_s * 1000)),
        token=token,
    ).SerializeToString()


def unknown(operation_id: bytes, reason: int, token: bytes) -> bytes:
    """Make the verdict that nobody knows whether an operation ran.

    Parameters
    ----------
    operation_id : bytes
        The operation.
    reason : int
        A `Reason`.
    token : bytes
        Token for the next operation.

    Returns
    -------
    bytes
        A datagram.
    """
    return Envelope(
        kind=Kind.UNKNOWN, operation_id=operation_id, reason=reason, token=token
    ).SerializeToString()


def make_operation(
    envelope: Envelope, token: Token, caller: bytes, deadline_at_s: float
) -> Operation:
    """Make the record of an operation from its request.

    Parameters
    ----------
    envelope : Envelope
        The request.
    token : Token
        Names the instances that may decide it.
    caller : bytes
        Packed address of the caller.
    deadline_at_s : float
        When the caller gives up.

    Returns
    -------
    Operation
        Not yet started.
    """
    return Operation(
        operation_id=envelope.operation_id,
        service=envelope.service,
        partner=envelope.partner,
        caller=caller,
        datagrams=split(envelope),
        idempotent=envelope.idempotent,
        deadline_at_s=deadline_at_s,
        token=token,
        nonce=operation_id_parts(envelope.operation_id)[1],
    )
