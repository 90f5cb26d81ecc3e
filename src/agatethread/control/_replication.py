"""gRPC service for Raft calls and join requests from other control instances."""

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
    LeaveReply,
    LeaveRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

log = make_logger("replication")


class ReplicationServicer(control_pb2_grpc.ReplicationServicer):
    """Forwards calls to this member of the log.

    Parameters
    ----------
    node : RaftNode
        This member.
    on_join : callable, optional
        Called with each instance that asks to join; returns whether it is accepted.
    on_leave : callable, optional
        Called with the name of each member that is about to stop; returns the reply.
    """

    def __init__(
        self,
        node: RaftNode,
        on_join: Callable[[ControlMember], bool] | None = None,
        on_leave: Callable[[str], LeaveReply] | None = None,
    ):
        self._node = node
        self._on_join = on_join
        self._on_leave = on_leave

    async def _handle(self, handler, request, context: grpc.aio.ServicerContext):
        if request.receiver and request.receiver != self._node.name:
            # The sender expects another member at this address, such as one whose disk
            # was lost.
            await context.abort(grpc.StatusCode.NOT_FOUND, self._node.name)
        try:
            return handler(request)
        except DiskFullError as error:
            log.error(Event.LOG_CALL_NOT_ANSWERED, error=str(error))
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))

    async def Vote(  # noqa: N802
        self, request: VoteRequest, context: grpc.aio.ServicerContext
    ) -> VoteReply:
        """Handle a candidate's request for a vote."""
        return await self._handle(self._node.on_vote, request, context)

    async def Append(  # noqa: N802
        self, request: AppendRequest, context: grpc.aio.ServicerContext
    ) -> AppendReply:
        """Store a leader's entries."""
        return await self._handle(self._node.on_append, request, context)

    async def InstallSnapshot(  # noqa: N802
        self, request: SnapshotRequest, context: grpc.aio.ServicerContext
    ) -> AppendReply:
        """Store a leader's snapshot."""
        return await self._handle(self._node.on_snapshot, request, context)

    async def Join(  # noqa: N802
        self, request: JoinRequest, context: grpc.aio.ServicerContext
    ) -> JoinReply:
        """Handle an instance's request to join."""
        accepted = self._on_join is not None and self._on_join(request.member)
        return JoinReply(accepted=accepted)

    async def Leave(  # noqa: N802
        self, request: LeaveRequest, context: grpc.aio.ServicerContext
    ) -> LeaveReply:
        """Handle the announcement of a member that is about to stop."""
        if self._on_leave is None:
            return LeaveReply()
        return self._on_leave(request.name)
