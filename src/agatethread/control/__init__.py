"""Control role: a replicated log of service documents or of a routing table.

`ControlInstance` is for service documents, `RoutingControlInstance` for a routing
table; both send what is committed to the entry instances.
"""

from typing import TYPE_CHECKING, Any

from agatethread.control._raft import RaftNode
from agatethread.control._replicated_state import ReplicatedState
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._routing_control import RoutingControlInstance
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.control._storage import LogStorage

if TYPE_CHECKING:
    from agatethread.control._instance import ControlInstance

__all__ = [
    "ControlInstance",
    "LogStorage",
    "PeerCalls",
    "RaftNode",
    "ReplicatedState",
    "Role",
    "RoutingControlInstance",
    "RoutingControlSettings",
]


def __getattr__(name: str) -> Any:
    # Lazy: the import loads gRPC, which delays the start of a control process.
    if name == "ControlInstance":
        from agatethread.control._instance import ControlInstance

        return ControlInstance
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
