"""Control role: a replicated log of service documents, handed to entry instances."""

from agatethread.control._instance import ControlInstance
from agatethread.control._raft import RaftNode
from agatethread.control._roles import PeerCalls, Role
from agatethread.control._routing_control import RoutingControl
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.control._state import DocumentState
from agatethread.control._storage import LogStorage

__all__ = [
    "ControlInstance",
    "DocumentState",
    "LogStorage",
    "PeerCalls",
    "RaftNode",
    "Role",
    "RoutingControl",
    "RoutingControlSettings",
]
