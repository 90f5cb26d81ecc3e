"""Counters kept as plain integers and read by OpenTelemetry when collected."""

from collections import Counter
from collections.abc import Callable, Iterable

from agatethread.settings import Settings, parse_address


class Counters(Counter):
    """Event counts by name; a missing name counts zero.

    A plain integer is counted on the data path, where an instrument's lock and
    attribute handling would cost more than the forwarding itself.
    """


def start_metrics(
    settings: Settings, counters: Counters, gauges: dict[str, Callable[[], float]]
) -> None:
    """Serve the process's metrics as Prometheus text, if the settings say so.

    Parameters
    ----------
    settings : Settings
        Names the endpoint; an empty one serves nothing.
    counters : Counters
        Exported as ``agatethread_events`` with the event's name as a label.
    gauges : dict of str to callable
        Functions that return the current value of each gauge.
    """
    if not settings.metrics:
        return

    # Loaded only here: a process that serves no metrics starts 0.1 s earlier.
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.metrics import CallbackOptions, Observation
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource
    from prometheus_client import start_http_server

    def observe_counters(_: CallbackOptions) -> Iterable[Observation]:
        for name, value in list(counters.items()):
            yield Observation(value, {"event": name})

    def observe_gauges(_: CallbackOptions) -> Iterable[Observation]:
        for name, read in gauges.items():
            yield Observation(read(), {"gauge": name})

    attributes = {
        "service.name": "agatethread",
        "service.instance.id": settings.name,
        "failure_domain": settings.failure_domain,
    }
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()], resource=Resource(attributes)
    )
    meter = provider.get_meter("agatethread")
    meter.create_observable_counter("agatethread_events", [observe_counters])
    meter.create_observable_gauge("agatethread_state", [observe_gauges])
    host, port = parse_address(settings.metrics)
    start_http_server(port, addr=host)
