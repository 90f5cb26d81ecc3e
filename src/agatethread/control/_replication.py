"""The log's calls as other control instances make them."""

from collections.abc import Callable

import grpc

from agatethread.control._raft import RaftNode
from agatethread.exceptions import DiskFullError
from agatethread.observability import Event, make_logger
from agatethread.wire import control_pb2_grpc
from agatethread.wire.control_pb2 import (
    AppendReply,
    AppendRequest,
    ControlMember,
    JoinReply,
    JoinRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

log = make_logger("replication")


class ReplicationServicer(control_pb2_grpc.ReplicationServicer):
    """Hands calls to the member that they are meant for.

    Parameters
    ----------
    node : RaftNode
        The member.
    on_join : callable, optional
        Called with each instance that wants to take part; returns whether this member
        leads.
    """

    def __init__(
        self, node: RaftNode, on_join: Callable[[ControlMember], bool] | None = None
    ):
        self._node = node
        self._on_join = on_join

    async def _answer(self, handler, request, context: grpc.aio.ServicerContext):
        if request.receiver and request.receiver != self._node.name:
            # The member that is meant was here before its disk was lost.
            await context.abort(grpc.StatusCode.NOT_FOUND, self._node.name)
        try:
            return handler(request)
        except DiskFullError as error:
            log.error(Event.LOG_CALL_NOT_ANSWERED, error=str(error))
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))

    async def Vote(  # noqa: N802
        self, request: VoteRequest, context: grpc.aio.ServicerContext
    ) -> VoteReply:
        """Answer a candidate."""
        return await self._answer(self._node.on_vote, request, context)

    async def Append(  # noqa: N802
        self, request: AppendRequest, context: grpc.aio.ServicerContext
    ) -> AppendReply:
        """Take a leader's entries."""
        return await self._answer(self._node.on_append, request, context)

    async def InstallSnapshot(  # noqa: N802
        self, request: SnapshotRequest, context: grpc.aio.ServicerContext
    ) -> AppendReply:
        """Take a leader's snapshot."""
        return await self._answer(self._node.on_snapshot, request, context)

    async def Join(  # noqa: N802
        self, request: JoinRequest, context: grpc.aio.ServicerContext
    ) -> JoinReply:
        """Note that an instance wants to take part."""
        accepted = self._on_join is not None and self._on_join(request.member)
        return JoinReply(accepted=accepted)
