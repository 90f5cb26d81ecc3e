"""Verdicts of several datagrams, kept a short while and within a bound."""

from collections import deque

from agatethread.operations._records import Operation, Ports, unknown
from agatethread.wire import MAX_DATAGRAM_BYTES, Reason

#: How long one is kept for copies.
_KEPT_S = 10.0


class LargeVerdicts:
    """Operations whose verdict needs several datagrams.

    Parameters
    ----------
    ports : Ports
        The rest of the instance.
    limit_bytes : int
        Memory for all of them.
    """

    def __init__(self, ports: Ports, limit_bytes: int):
        self._ports = ports
        self._limit_bytes = limit_bytes
        self._kept: deque[tuple[float, Operation]] = deque()
        self._size_bytes = 0

    def keep(self, operation: Operation) -> None:
        """Keep a verdict, if it is large.

        Parameters
        ----------
        operation : Operation
            With its verdict.
        """
        size_bytes = len(operation.verdict)
        if size_bytes <= MAX_DATAGRAM_BYTES:
            return
        self._kept.append((self._ports.now_s(), operation))
        self._size_bytes += size_bytes
        self.drop()

    def drop(self) -> None:
        """Replace what was kept long enough, or is over the bound, by "unknown"."""
        oldest_s = self._ports.now_s() - _KEPT_S
        while self._kept:
            kept_s, operation = self._kept[0]
            if kept_s > oldest_s and self._size_bytes <= self._limit_bytes:
                return
            self._kept.popleft()
            self._size_bytes -= len(operation.verdict)
            fresh = self._ports.fresh_token(operation.service)
            operation.verdict = unknown(operation.operation_id, Reason.TOO_LARGE, fresh)
