"""Formats counters, gauges and histograms as Prometheus text on request.

Does not use OpenTelemetry, which has no observable histogram and is slow to import.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from agatethread.observability._histogram import Histogram
from agatethread.observability._metrics import Counters


@dataclass(frozen=True)
class Metrics:
    """The metrics of a process."""

    counters: Counters
    gauges: Mapping[str, Callable[[], float]] = field(default_factory=dict)
    histograms: Mapping[str, Histogram] = field(default_factory=dict)


def format_metrics(measures: Metrics) -> bytes:
    """Return metrics as Prometheus text.

    Parameters
    ----------
    measures : Metrics
        The metrics to format.

    Returns
    -------
    bytes
        The text, in UTF-8.
    """
    # Imported on first use, to keep the start of the process short.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(measures))
    return generate_latest(registry)


class _Collector:
    def __init__(self, measures: Metrics):
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
        for name, read_value in self._measures.gauges.items():
            state.add_metric([name], read_value())
        yield state
        for name, histogram in self._measures.histograms.items():
            family = HistogramMetricFamily(f"agatethread_{name}", "Seconds.")
            family.add_metric(
                [], _cumulative_buckets(histogram), sum_value=histogram.total
            )
            yield family


def _cumulative_buckets(histogram: Histogram) -> list[tuple[str, float]]:
    buckets, cumulative_count = [], 0
    bounds = [str(bound) for bound in histogram.bounds] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative_count += count
        buckets.append((bound, cumulative_count))
    return buckets
