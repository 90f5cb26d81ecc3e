"""Counters, gauges and latencies as Prometheus text, made when it is asked for.

Without OpenTelemetry, which the other roles use: its interface has no histogram that is
read when collected, and loading it would add 0.1 s to each start.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from agatethread.observability._histogram import Histogram
from agatethread.observability._metrics import Counters


@dataclass(frozen=True)
class Measures:
    """What a process measures of itself."""

    counters: Counters
    gauges: Mapping[str, Callable[[], float]] = field(default_factory=dict)
    histograms: Mapping[str, Histogram] = field(default_factory=dict)


def expose(measures: Measures) -> bytes:
    """Write measures as Prometheus text.

    Parameters
    ----------
    measures : Measures
        What to write.

    Returns
    -------
    bytes
        The text.
    """
    # Loaded only here, when somebody asks: most processes are never asked.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(measures))
    return generate_latest(registry)


class _Collector:
    def __init__(self, measures: Measures):
        self._measures = measures

    def collect(self) -> Iterator[object]:
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "agatethread_events", "Events by name.", labels=["event"]
        )
        for name, count in sorted(self._measures.counters.items()):
            events.add_metric([name], count)
        yield events
        state = GaugeMetricFamily(
            "agatethread_state", "Present state by name.", labels=["gauge"]
        )
        for name, read in self._measures.gauges.items():
            state.add_metric([name], read())
        yield state
        for name, histogram in self._measures.histograms.items():
            family = HistogramMetricFamily(f"agatethread_{name}", "Seconds.")
            family.add_metric([], _buckets(histogram), sum_value=histogram.total)
            yield family


def _buckets(histogram: Histogram) -> list[tuple[str, float]]:
    found, below = [], 0
    bounds = [str(bound) for bound in histogram.bounds] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        below += count
        found.append((bound, below))
    return found
