"""Announced backend servers, routes and the selection of a backend server."""

from agatethread.routing._choice import choose_for_request, choose_for_stream
from agatethread.routing._endpoints import AnnouncementResult, Endpoint, EndpointTable
from agatethread.routing._flows import FlowTable
from agatethread.routing._open_flows import OpenFlowOutcome, decide_open_flow
from agatethread.routing._table import (
    LOWEST_URGENCY,
    NO_ROUTES,
    URGENCY_NOT_SET,
    ColdLimit,
    Route,
    RouteRule,
    RouteTable,
    RoutingDocument,
    Target,
    add_earlier_services,
    check_document,
    decode_table,
    encode_table,
)

__all__ = [
    "LOWEST_URGENCY",
    "NO_ROUTES",
    "URGENCY_NOT_SET",
    "AnnouncementResult",
    "ColdLimit",
    "Endpoint",
    "EndpointTable",
    "FlowTable",
    "OpenFlowOutcome",
    "Route",
    "RouteRule",
    "RouteTable",
    "RoutingDocument",
    "Target",
    "add_earlier_services",
    "check_document",
    "choose_for_request",
    "choose_for_stream",
    "decide_open_flow",
    "decode_table",
    "encode_table",
]
