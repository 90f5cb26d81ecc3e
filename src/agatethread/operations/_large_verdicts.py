"""Limits the memory of verdicts that need several datagrams."""

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
    """Limits the age and total size of verdicts that need several datagrams.

    The verdicts stay in their operations; older ones are replaced.

    Parameters
    ----------
    callbacks : InstanceCallbacks
        Access to the rest of the instance.
    limit_bytes : int
        Maximum total size of the verdicts.
    """

    def __init__(self, callbacks: InstanceCallbacks, limit_bytes: int):
        self._callbacks = callbacks
        self._limit_bytes = limit_bytes
        self._tracked: deque[tuple[float, Operation]] = deque()
        self._size_bytes = 0

    def track(self, operation: Operation) -> None:
        """Count the verdict of an operation towards the limits if it is large.

        Parameters
        ----------
        operation : Operation
            An operation with a verdict.
        """
        size_bytes = len(operation.verdict)
        if size_bytes <= MAX_DATAGRAM_BYTES:
            return
        self._tracked.append((self._callbacks.now_s(), operation))
        self._size_bytes += size_bytes
        self.expire()

    def expire(self) -> None:
        """Replace verdicts that are too old or exceed the size limit by "unknown"."""
        oldest_s = self._callbacks.now_s() - _RETENTION_S
        while self._tracked:
            tracked_s, operation = self._tracked[0]
            if tracked_s > oldest_s and self._size_bytes <= self._limit_bytes:
                return
            self._tracked.popleft()
            self._size_bytes -= len(operation.verdict)
            fresh_token = self._callbacks.fresh_token(operation.service)
            operation.verdict = make_unknown_verdict(
                operation.operation_id, Reason.TOO_LARGE, fresh_token
            )
