"""Where other control instances reach this one's log, and how it reaches theirs.

Apart from the rest since it loads gRPC: after a loss of all, what the disk holds is
served before that. The two steps were 0.07 s apart on a control instance of the users'
bench.
"""

from collections.abc import Callable

import grpc

from agatethread.control._peers import connect_peer
from agatethread.control._raft import RaftNode
from agatethread.control._replication import ReplicationServicer
from agatethread.control._roles import PeerCalls
from agatethread.rpc import Credentials, add_port
from agatethread.wire import control_pb2_grpc
from agatethread.wire.control_pb2 import ControlMember

#: Time for a call between control instances: some heartbeats' worth, and enough for a
#: snapshot over a slow disk.
_CALL_TIMEOUT_S = 0.6
_STOP_GRACE_S = 0.2


class LogPort:
    """Serves and makes the calls of the log.

    Parameters
    ----------
    credentials : Credentials
        Settings with the key files.
    """

    def __init__(self, credentials: Credentials):
        self._credentials = credentials
        self._server: grpc.aio.Server | None = None

    async def serve(
        self, node: RaftNode, on_join: Callable[[ControlMember], bool], address: str
    ) -> None:
        """Listen.

        Parameters
        ----------
        node : RaftNode
            The member that answers.
        on_join : callable
            Called with each instance that wants to take part.
        address : str
            ``IP:port``.
        """
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        servicer = ReplicationServicer(node, on_join)
        control_pb2_grpc.add_ReplicationServicer_to_server(servicer, self._server)
        add_port(self._server, self._credentials, address)
        await self._server.start()

    def connect(self, target: str) -> PeerCalls:
        """Make the calls to another control instance.

        Parameters
        ----------
        target : str
            ``IP:port``.

        Returns
        -------
        PeerCalls
            The calls.
        """
        return connect_peer(self._credentials, target, _CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_S)
