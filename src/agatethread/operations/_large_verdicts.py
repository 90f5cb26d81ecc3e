"""Bounded short-term store of verdicts that need several datagrams."""

from collections import deque

from agatethread.operations._records import (
    InstanceCallbacks,
    Operation,
    make_unknown_verdict,
)
from agatethread.wire import MAX_DATAGRAM_BYTES, Reason

#: How long a large verdict is kept for copies of its operation.
_RETENTION_S = 10.0


class LargeVerdicts:
    """Operations with a verdict that needs several datagrams.

    Parameters
    ----------
    ports : InstanceCallbacks
        Access to the rest of the instance.
    limit_bytes : int
        Maximum total size of the verdicts.
    """

    def __init__(self, ports: InstanceCallbacks, limit_bytes: int):
        self._ports = ports
        self._limit_bytes = limit_bytes
        self._stored: deque[tuple[float, Operation]] = deque()
        self._size_bytes = 0

    def store(self, operation: Operation) -> None:
        """Store the verdict of an operation if it is large.

        Parameters
        ----------
        operation : Operation
            An operation with a verdict.
        """
        size_bytes = len(operation.verdict)
        if size_bytes <= MAX_DATAGRAM_BYTES:
            return
        self._stored.append((self._ports.now_s(), operation))
        self._size_bytes += size_bytes
        self.expire()

    def expire(self) -> None:
        """Replace verdicts that are too old or exceed the size limit by "unknown"."""
        oldest_s = self._ports.now_s() - _RETENTION_S
        while self._stored:
            stored_s, operation = self._stored[0]
            if stored_s > oldest_s and self._size_bytes <= self._limit_bytes:
                return
            self._stored.popleft()
            self._size_bytes -= len(operation.verdict)
            fresh_token = self._ports.fresh_token(operation.service)
            operation.verdict = make_unknown_verdict(
                operation.operation_id, Reason.TOO_LARGE, fresh_token
            )
