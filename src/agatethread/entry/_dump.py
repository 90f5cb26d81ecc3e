"""Export the state of an entry instance as JSON data."""

from typing import Any

from agatethread.routing import Endpoint
from agatethread.settings import format_address
from agatethread.wire import MemberState, unpack_address

#: Limit of rows in each list; the totals are complete.
_ROW_LIMIT_COUNT = 500


def _endpoint_row(endpoint: Endpoint, now_s: float) -> dict[str, Any]:
    announcement = endpoint.announcement
    return {
        "endpoint": announcement.endpoint_id,
        "address": format_address(unpack_address(endpoint.address)),
        "service": endpoint.service,
        "failure_domain": announcement.failure_domain,
        "incarnation": endpoint.incarnation,
        "gone": endpoint.gone,
        "has_exited": endpoint.has_exited,
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


# The type is left open, as the module of EntryInstance imports this one.
def dump_entry(instance: Any) -> dict[str, Any]:
    """Return the state of an entry instance.

    Parameters
    ----------
    instance : EntryInstance
        Entry instance.

    Returns
    -------
    dict
        JSON data; each list has at most 500 rows.
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
            for member in list(members)[:_ROW_LIMIT_COUNT]
        ],
        "endpoints_total": len(endpoints),
        "endpoints": [
            _endpoint_row(endpoint, now_s)
            for endpoint in list(endpoints)[:_ROW_LIMIT_COUNT]
        ],
        "dispatches_for": [
            service
            for service in instance.endpoints.services()[:_ROW_LIMIT_COUNT]
            if instance.is_dispatcher(service)
        ],
        "flows_counted": len(instance.flows),
        "operations_kept": len(instance.requests.owner),
        "operations_running": instance.requests.running_count,
        "claims_kept": len(instance.requests.standby_claims),
        "requests_waiting": instance.requests.waiting_counts,
        "documents_index": instance.document_store.index,
        "documents": {
            name: document.version
            for name, document in list(instance.document_store.documents.items())[
                :_ROW_LIMIT_COUNT
            ]
        },
        "drained": sorted(instance.document_store.drained)[:_ROW_LIMIT_COUNT],
    }
