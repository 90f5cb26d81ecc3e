"""Event counters as plain integers, and their export through OpenTelemetry."""

from collections import Counter
from collections.abc import Callable, Iterable

from agatethread.settings import Settings, parse_address


class Counters(Counter):
    """Event counts by name; a missing name counts zero.

    Plain integers, because the locks and attribute handling of an OpenTelemetry
    instrument are too slow for the data path.
    """


def start_metrics(
    settings: Settings, counters: Counters, gauges: dict[str, Callable[[], float]]
) -> None:
    """Serve the process's metrics as Prometheus text, if an endpoint is configured.

    Parameters
    ----------
    settings : Settings
        Holds the endpoint's address; if it is empty, nothing is served.
    counters : Counters
        Exported as ``agatethread_events`` with the event's name as a label.
    gauges : dict of str to callable
        Functions that return the current value of each gauge.
    """
    if not settings.metrics:
        return

    # Imported only here, because the import is slow.
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.metrics import CallbackOptions, Observation
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource
    from prometheus_client import start_http_server

    def observe_counters(_: CallbackOptions) -> Iterable[Observation]:
        for name, value in list(counters.items()):
            yield Observation(value, {"event": name})

    def observe_gauges(_: CallbackOptions) -> Iterable[Observation]:
        for name, read_value in gauges.items():
            yield Observation(read_value(), {"gauge": name})

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
