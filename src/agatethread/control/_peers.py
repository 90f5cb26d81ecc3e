"""Calls to the other control instances over gRPC."""

from functools import cache

import grpc

from agatethread.control._roles import PeerCalls
from agatethread.exceptions import UnavailableError
from agatethread.rpc import Credentials, open_channel
from agatethread.wire.control_pb2_grpc import ReplicationStub


def connect_peer(credentials: Credentials, target: str, timeout_s: float) -> PeerCalls:
    """Make the calls to one control instance.

    Parameters
    ----------
    credentials : Credentials
        Settings with the key files.
    target : str
        ``IP:port``.
    timeout_s : float
        Time for each call.

    Returns
    -------
    PeerCalls
        The calls; the channel is opened at the first one.
    """

    @cache
    def stub() -> ReplicationStub:
        return ReplicationStub(open_channel(credentials, target))

    def bounded(name: str):
        async def call(request):
            try:
                return await getattr(stub(), name)(request, timeout=timeout_s)
            except grpc.RpcError as error:
                raise UnavailableError(f"{target}: {error.code()}") from None

        return call

    return PeerCalls(
        bounded("Vote"),
        bounded("Append"),
        bounded("InstallSnapshot"),
        bounded("Join"),
    )
