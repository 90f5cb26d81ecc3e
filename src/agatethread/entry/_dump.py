"""The state of an entry instance as data for JSON."""

from typing import Any

from agatethread.routing import Endpoint
from agatethread.settings import format_address
from agatethread.wire import MemberState, unpack_address

#: Rows of each list; the total is always given beside it.
_MOST_ROWS = 500


def _endpoint_row(endpoint: Endpoint, now_s: float) -> dict[str, Any]:
    announcement = endpoint.announcement
    return {
        "endpoint": announcement.endpoint_id,
        "address": format_address(unpack_address(endpoint.address)),
        "service": endpoint.service,
        "failure_domain": announcement.failure_domain,
        "incarnation": endpoint.incarnation,
        "gone": endpoint.gone,
        "drained": endpoint.drained,
        "draining": announcement.draining,
        "lease_s": round(endpoint.lease_until_s - now_s, 3),
        "streams": endpoint.streams,
        "inherited_streams": endpoint.inherited_streams,
        "reported_streams": announcement.open_streams,
        "in_flight": endpoint.in_flight,
        "reported_in_flight": announcement.in_flight,
        "failures": endpoint.failures,
        "penalty_s": max(0.0, round(endpoint.penalty_until_s - now_s, 3)),
    }


def dump_entry(instance: Any) -> dict[str, Any]:
    """Collect an entry instance's state.

    Parameters
    ----------
    instance : EntryInstance
        The instance.

    Returns
    -------
    dict
        Ready for JSON; lists are cut at 500 rows.
    """
    now_s = instance.timers.now_s()
    members = instance.members.members.values()
    endpoints = instance.endpoints.by_address.values()
    return {
        "members_total": len(members),
        "members": [
            {
                "name": member.name,
                "failure_domain": member.failure_domain,
                "address": format_address(unpack_address(member.address)),
                "incarnation": member.incarnation,
                "state": MemberState.Name(member.state),
                "joining": member.joining,
            }
            for member in list(members)[:_MOST_ROWS]
        ],
        "endpoints_total": len(endpoints),
        "endpoints": [
            _endpoint_row(endpoint, now_s) for endpoint in list(endpoints)[:_MOST_ROWS]
        ],
        "dispatches_for": [
            service
            for service in instance.endpoints.services()[:_MOST_ROWS]
            if instance.is_dispatcher(service)
        ],
        "flows_counted": len(instance.flows),
        "operations_kept": len(instance.requests.owner),
        "operations_running": instance.requests.running_count,
        "claims_kept": len(instance.requests.claims),
        "requests_waiting": instance.requests.waiting_counts,
        "documents_index": instance.book.index,
        "documents": {
            name: document.version
            for name, document in list(instance.book.documents.items())[:_MOST_ROWS]
        },
        "drained": sorted(instance.book.drained)[:_MOST_ROWS],
    }
