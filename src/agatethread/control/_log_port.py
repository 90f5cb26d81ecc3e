"""gRPC server and clients for Raft calls between control instances.

A module of its own because it loads gRPC: after a restart of all control instances,
the routing table on disk is served before this module is loaded.
"""

from collections.abc import Callable

import grpc

from agatethread.control._peers import connect_peer
from agatethread.control._raft import RaftNode
from agatethread.control._replication import ReplicationServicer
from agatethread.control._roles import PeerCalls
from agatethread.rpc import Credentials, add_port
from agatethread.wire import control_pb2_grpc
from agatethread.wire.control_pb2 import ControlMember, LeaveReply

#: Timeout of each call, also of one that installs a snapshot on a slow disk.
_CALL_TIMEOUT_S = 0.6
_STOP_GRACE_S = 0.2


class LogPort:
    """Serves Raft calls and join requests, and connects to other control instances.

    Parameters
    ----------
    credentials : Credentials
        Settings with the key files.
    """

    def __init__(self, credentials: Credentials):
        self._credentials = credentials
        self._server: grpc.aio.Server | None = None

    async def serve(
        self,
        node: RaftNode,
        on_join: Callable[[ControlMember], bool],
        on_leave: Callable[[str], LeaveReply],
        address: str,
    ) -> None:
        """Start the server.

        Parameters
        ----------
        node : RaftNode
            The member that handles the calls.
        on_join : callable
            Called with each instance that asks to join; returns whether it is accepted.
        on_leave : callable
            Called with the name of each member that is about to stop; returns a reply.
        address : str
            ``IP:port`` to listen at.
        """
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        servicer = ReplicationServicer(node, on_join, on_leave)
        control_pb2_grpc.add_ReplicationServicer_to_server(servicer, self._server)
        add_port(self._server, self._credentials, address)
        await self._server.start()

    def connect(self, target: str) -> PeerCalls:
        """Return the client functions for another control instance.

        Parameters
        ----------
        target : str
            ``IP:port`` of its Raft service.

        Returns
        -------
        PeerCalls
            The client functions.
        """
        return connect_peer(self._credentials, target, _CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Stop the server."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_S)
