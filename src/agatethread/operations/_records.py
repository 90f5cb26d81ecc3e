"""Records of operations, and the verdicts that they may end with."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from agatethread.exceptions import AgatethreadError
from agatethread.routing import Endpoint
from agatethread.transfer import split_message
from agatethread.wire import (
    Envelope,
    Kind,
    MemberRef,
    Peer,
    Reason,
    Token,
    split_operation_id,
)

_Record = TypeVar("_Record")


class RefusedError(AgatethreadError):
    """An operation is refused: no further attempt is made.

    Parameters
    ----------
    reason : int
        A `Reason`.
    retry_after_s : float
        Time after which the caller should retry.
    """

    def __init__(self, reason: int, retry_after_s: float):
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(f"{Reason.Name(reason)}, retry after {retry_after_s:.3f} s")


@dataclass(frozen=True)
class InstanceCallbacks:
    """Callables by which operations use the rest of the instance.

    Attributes
    ----------
    now_s : callable
        Monotonic clock.
    own_member : callable
        Returns the reference to this incarnation of this instance.
    is_alive : callable
        Returns False if an incarnation of an instance is known to have ended.
    send_peer : callable
        Sends a message to an instance's packed inner address.
    send_backend : callable
        Sends a datagram to a backend server's packed address.
    send_caller : callable
        Sends a message to a caller's packed address, in several datagrams if needed.
    fresh_token : callable
        Returns a sealed token for a service. It names the owner and the standby of the
        caller's next operation, by the current ranking of instances.
    """

    now_s: Callable[[], float]
    own_member: Callable[[], MemberRef]
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
    #: Whether an attempt was sent that was not shed.
    may_have_run: bool = False
    waiter: asyncio.Future | None = field(default=None)


class RetainedTable(Generic[_Record]):
    """Records by operation id, deleted some time after they are finished.

    Parameters
    ----------
    limit_count : int
        Maximum number of records.
    retention_s : float
        Time for which a finished record is kept for late copies.
    """

    def __init__(self, limit_count: int, retention_s: float):
        self._limit_count = limit_count
        self._retention_s = retention_s
        self._records: dict[bytes, _Record] = {}
        self._expirations: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Whether no further record can be added."""
        return len(self._records) >= self._limit_count

    def get(self, operation_id: bytes) -> _Record | None:
        """Return the record of an operation.

        Parameters
        ----------
        operation_id : bytes
            The operation.

        Returns
        -------
        object or None
            Its record; None if there is none.
        """
        return self._records.get(operation_id)

    def add(self, operation_id: bytes, record: _Record) -> None:
        """Add a record, which is kept until it is finished and its retention passes.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        record : object
            Its record.
        """
        self._records[operation_id] = record

    def finish(self, operation_id: bytes, now_s: float) -> None:
        """Start a record's retention time.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        now_s : float
            Current time.
        """
        self._expirations.append((now_s + self._retention_s, operation_id))

    def expire(self, now_s: float) -> None:
        """Delete finished records whose retention time has passed.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        while self._expirations and self._expirations[0][0] <= now_s:
            _, operation_id = self._expirations.popleft()
            self._records.pop(operation_id, None)


def make_refused_verdict(
    operation_id: bytes, reason: int, retry_after_s: float, token: bytes
) -> bytes:
    """Return the verdict that an operation did not run.

    Parameters
    ----------
    operation_id : bytes
        The operation.
    reason : int
        A `Reason`.
    retry_after_s : float
        Time after which the caller should retry.
    token : bytes
        Token for the retry.

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


def make_unknown_verdict(operation_id: bytes, reason: int, token: bytes) -> bytes:
    """Return the verdict that it is unknown whether an operation ran.

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
    """Return the record of an operation from its request.

    Parameters
    ----------
    envelope : Envelope
        The request.
    token : Token
        Names the operation's owner and standby.
    caller : bytes
        Packed address of the caller.
    deadline_at_s : float
        Time at which the caller gives up.

    Returns
    -------
    Operation
        The operation, not yet started.
    """
    return Operation(
        operation_id=envelope.operation_id,
        service=envelope.service,
        partner=envelope.partner,
        caller=caller,
        datagrams=split_message(envelope),
        idempotent=envelope.idempotent,
        deadline_at_s=deadline_at_s,
        token=token,
        nonce=split_operation_id(envelope.operation_id)[1],
    )
