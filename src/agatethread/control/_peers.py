"""gRPC clients of other control instances."""

from functools import cache

import grpc

from agatethread.control._roles import PeerCalls
from agatethread.exceptions import UnavailableError
from agatethread.rpc import Credentials, open_channel
from agatethread.wire.control_pb2_grpc import ReplicationStub


def connect_peer(credentials: Credentials, target: str, timeout_s: float) -> PeerCalls:
    """Return the client functions for one control instance.

    Parameters
    ----------
    credentials : Credentials
        Settings with the key files.
    target : str
        ``IP:port``.
    timeout_s : float
        Timeout of each call.

    Returns
    -------
    PeerCalls
        The client functions; the first call opens the channel.
    """

    @cache
    def get_stub() -> ReplicationStub:
        return ReplicationStub(open_channel(credentials, target))

    def make_call(name: str):
        async def call(request):
            try:
                return await getattr(get_stub(), name)(request, timeout=timeout_s)
            except grpc.RpcError as error:
                raise UnavailableError(f"{target}: {error.code()}") from None

        return call

    return PeerCalls(
        make_call("Vote"),
        make_call("Append"),
        make_call("InstallSnapshot"),
        make_call("Join"),
        make_call("Leave"),
    )
