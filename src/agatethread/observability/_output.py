"""Log lines to a descriptor: bounded in number and in memory, and never waited for."""

import os
import stat
import time
from collections import deque
from collections.abc import Callable, Hashable

#: Lines of one kind written in a second. A busy entry instance places some tens of
#: flows a second. A line takes 13 us of processor time (benchmarks.log_cost), so this
#: rate costs 0.13 % of a core a kind.
LINES_PER_S = 100
#: Lines that may come at once before the rate holds.
BURST_LINES = 200
#: Memory for lines that the reader has not taken yet.
BUFFER_BYTES = 256 << 10
#: Most that one system call writes: what a pipe holds.
_WRITE_BYTES = 64 << 10


class LineBudget:
    """Counts lines by kind; beyond a rate they are left out and counted.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    rate_per_s, burst : float
        Lines a second, and at once.
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
        self._left: dict[Hashable, tuple[float, float]] = {}
        self._left_out: dict[Hashable, int] = {}

    def take(self, kind: Hashable) -> int | None:
        """Ask whether a line may be written.

        Parameters
        ----------
        kind : hashable
            The line's kind.

        Returns
        -------
        int or None
            How many lines of the kind were left out before it; None if this one must
            be left out, too.
        """
        now_s = self._now_s()
        left, then_s = self._left.get(kind, (self._burst, now_s))
        left = min(self._burst, left + (now_s - then_s) * self._rate_per_s)
        if left < 1:
            self._left[kind] = (left, now_s)
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return None
        self._left[kind] = (left - 1, now_s)
        return self._left_out.pop(kind, 0)


class LineWriter:
    """Writes lines without waiting for whoever reads them.

    Parameters
    ----------
    descriptor : int
        Where to write.
    limit_bytes : int, optional
        Memory for lines that could not be written yet; beyond it lines are lost.
    batch_bytes : int, optional
        Lines wait for `flush`, or until there are so many bytes of them; 0 writes each
        line at once.
    """

    def __init__(
        self, descriptor: int, limit_bytes: int = BUFFER_BYTES, batch_bytes: int = 0
    ):
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._batch_bytes = batch_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.lost_count = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            # A pipe whose reader stalls would otherwise stop this process.
            os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it for later.

        Parameters
        ----------
        line : str
            Without its end.
        """
        data = line.encode() + b"\n"
        if self._waiting_bytes + len(data) > self._limit_bytes:
            self.lost_count += 1
            self.flush()
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        if self._waiting_bytes >= self._batch_bytes:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            data = self._join_waiting()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self.lost_count += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            self._waiting.popleft()
            if written < len(data):
                self._waiting.appendleft(data[written:])
                return

    def _join_waiting(self) -> bytes:
        """Make one piece of what waits, as much as one call takes."""
        size, count = 0, 0
        for data in self._waiting:
            if count and size + len(data) > _WRITE_BYTES:
                break
            size += len(data)
            count += 1
        if count > 1:
            joined = b"".join(self._waiting.popleft() for _ in range(count))
            self._waiting.appendleft(joined)
        return self._waiting[0]
