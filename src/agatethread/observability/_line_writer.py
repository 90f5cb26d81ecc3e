"""Write log lines to a file descriptor, with bounds on rate and memory."""

import os
import stat
import time
from collections import deque
from collections.abc import Callable, Hashable

#: Rate limit for lines of one kind. Handles a busy entry instance, which places some
#: tens of flows a second, and bounds the processor time spent on logging.
LINES_PER_S = 100
#: Lines of one kind that may exceed the rate in a burst.
BURST_LINES = 200
#: Memory for lines that the reader has not read yet.
BUFFER_BYTES = 256 << 10
#: Limit of one write call; the default capacity of a pipe.
_MAX_WRITE_BYTES = 64 << 10


class LineRateLimiter:
    """Token bucket for each kind of line; counts the lines that exceed the rate.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    rate_per_s, burst : float
        Lines per second, and size of the bucket.
    """

    def __init__(
        self,
        now_s: Callable[[], float] = time.monotonic,
        rate_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ):
        self._now_s = now_s
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens: dict[Hashable, tuple[float, float]] = {}
        self._left_out: dict[Hashable, int] = {}

    def admit(self, kind: Hashable) -> int | None:
        """Check whether a line may be written.

        Parameters
        ----------
        kind : hashable
            The line's kind.

        Returns
        -------
        int or None
            Number of lines of the kind that were left out since the last one written;
            None if this line must be left out, too.
        """
        now_s = self._now_s()
        tokens, updated_s = self._tokens.get(kind, (self._burst, now_s))
        tokens = min(self._burst, tokens + (now_s - updated_s) * self._rate_per_s)
        if tokens < 1:
            self._tokens[kind] = (tokens, now_s)
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return None
        self._tokens[kind] = (tokens - 1, now_s)
        return self._left_out.pop(kind, 0)


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    limit_bytes : int, optional
        Memory for lines that are not written yet; beyond it, lines are lost.
    batch_bytes : int, optional
        Lines are buffered until `flush` or until this size; 0 writes each line
        immediately.
    """

    def __init__(
        self, descriptor: int, limit_bytes: int = BUFFER_BYTES, batch_bytes: int = 0
    ):
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._batch_bytes = batch_bytes
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.lost_count = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            # Writing to a full pipe would otherwise block the process.
            os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write or buffer a line; count it as lost if the buffer is full.

        Parameters
        ----------
        line : str
            The line, without a line break.
        """
        data = line.encode() + b"\n"
        if self._buffered_bytes + len(data) > self._limit_bytes:
            self.lost_count += 1
            self.flush()
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= self._batch_bytes:
            self.flush()

    def flush(self) -> None:
        """Write as many of the buffered lines as the descriptor accepts."""
        while self._buffered:
            data = self._join_buffered()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the lines can't be delivered.
                self.lost_count += len(self._buffered)
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            self._buffered.popleft()
            if written < len(data):
                self._buffered.appendleft(data[written:])
                return

    def _join_buffered(self) -> bytes:
        """Join the first buffered lines, up to the size of one write call."""
        size, count = 0, 0
        for data in self._buffered:
            if count and size + len(data) > _MAX_WRITE_BYTES:
                break
            size += len(data)
            count += 1
        if count > 1:
            joined = b"".join(self._buffered.popleft() for _ in range(count))
            self._buffered.appendleft(joined)
        return self._buffered[0]
