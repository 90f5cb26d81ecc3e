"""Metrics of an entry instance for labelled packets."""

from collections.abc import Callable, Mapping

from agatethread.datapath._backends import BackendView
from agatethread.datapath._forwarder import LabelForwarder
from agatethread.observability import Counters, Metrics
from agatethread.registry import Subscription


def make_measures(
    counters: Counters,
    forwarder: LabelForwarder,
    view: BackendView,
    subscription: Subscription,
    waiting_bytes: Callable[[], float],
    gauges: Mapping[str, Callable[[], float]],
) -> Metrics:
    """Return the metrics of an entry instance.

    Parameters
    ----------
    counters : Counters
        The process's counters.
    forwarder : LabelForwarder
        Forwards the packets.
    view : BackendView
        Known runs.
    subscription : Subscription
        Followed control instances.
    waiting_bytes : callable
        Returns the bytes that wait for the link.
    gauges : mapping of str to callable
        Further gauges by name.

    Returns
    -------
    Metrics
        Counters, gauges and histograms; their values are read at each export.
    """
    loads, shared = forwarder.loads, forwarder.shared_placing
    return Metrics(
        counters,
        {
            "flows": lambda: float(len(loads)),
            "waiting_bytes": waiting_bytes,
            "backends": lambda: float(len(view)),
            "routes_version": lambda: float(forwarder.table.version),
            "controls_in_sight": lambda: float(len(subscription.reachable_links())),
        }
        | dict(gauges)
        | (shared.gauges() if shared else {}),
        {"opening_s": loads.opening_s, "answer_s": loads.answer_s}
        | (shared.histograms() if shared else {}),
    )
