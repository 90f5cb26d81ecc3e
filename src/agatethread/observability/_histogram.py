"""Histogram of latencies with fixed buckets, kept as plain integers."""

from bisect import bisect_left

#: Fine around the latency targets of 0.1 to 5 s and the first retransmission at 0.2 s.
LATENCY_BOUNDS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0)


class Histogram:
    """Counts values by bucket and sums them.

    Parameters
    ----------
    bounds : tuple of float, optional
        Upper bounds, ascending; larger values go into an overflow bucket.
    """

    def __init__(self, bounds: tuple[float, ...] = LATENCY_BOUNDS_S):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def record(self, value: float) -> None:
        """Count a value.

        Parameters
        ----------
        value : float
            The value.
        """
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value
