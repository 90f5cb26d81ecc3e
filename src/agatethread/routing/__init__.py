"""Backend servers as announced, and the choice among them."""

from agatethread.routing._choice import choose_for_request, choose_for_stream
from agatethread.routing._endpoints import Endpoint, EndpointTable, Heard
from agatethread.routing._flows import FlowTable

__all__ = [
    "Endpoint",
    "EndpointTable",
    "FlowTable",
    "Heard",
    "choose_for_request",
    "choose_for_stream",
]
