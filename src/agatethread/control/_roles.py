"""Roles of a member of the log, and its client functions for other members."""

import enum
from collections.abc import Awaitable, Callable

from agatethread.wire.control_pb2 import (
    AppendReply,
    AppendRequest,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)


class Role(enum.Enum):
    """Role of a member in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class PeerCalls:
    """Client functions for one other control instance.

    Parameters
    ----------
    vote, append, install_snapshot : callable
        Send the request and return the reply; raise `UnavailableError` if there is
        none.
    join, leave : callable, optional
        As above, if the members may change.
    """

    def __init__(
        self,
        vote: Callable[[VoteRequest], Awaitable[VoteReply]],
        append: Callable[[AppendRequest], Awaitable[AppendReply]],
        install_snapshot: Callable[[SnapshotRequest], Awaitable[AppendReply]],
        join: Callable[[JoinRequest], Awaitable[JoinReply]] | None = None,
        leave: Callable[[LeaveRequest], Awaitable[LeaveReply]] | None = None,
    ):
        self.vote = vote
        self.append = append
        self.install_snapshot = install_snapshot
        self.join = join
        self.leave = leave
