"""The process's one gRPC server: inspection always, other services by role."""

import json
from collections.abc import Callable
from typing import Any

import grpc
from mode import Service

from agatethread.observability import make_logger
from agatethread.rpc._channels import add_port
from agatethread.settings import Settings
from agatethread.wire import control_pb2_grpc
from agatethread.wire.control_pb2 import DumpReply, DumpRequest

_STOP_GRACE_S = 1.0

log = make_logger("rpc")


class _Inspection(control_pb2_grpc.InspectionServicer):
    def __init__(self, dump: Callable[[], dict[str, Any]]):
        self._dump = dump

    async def Dump(  # noqa: N802
        self, request: DumpRequest, context: grpc.aio.ServicerContext
    ) -> DumpReply:
        return DumpReply(json=json.dumps(self._dump()).encode())


class AdminServer(Service):
    """Serves gRPC on the process's admin address.

    Parameters
    ----------
    settings : Settings
        Address and keys.
    dump : callable
        Returns the process's state.
    """

    def __init__(self, settings: Settings, dump: Callable[[], dict[str, Any]]):
        super().__init__()
        self._settings = settings
        self._dump = dump
        self._registrations: list[Callable[[grpc.aio.Server], None]] = []
        self._server: grpc.aio.Server | None = None

    def register(self, registration: Callable[[grpc.aio.Server], None]) -> None:
        """Add a role's services before the start.

        Parameters
        ----------
        registration : callable
            Adds servicers to the server.
        """
        self._registrations.append(registration)

    async def on_start(self) -> None:
        """Listen."""
        if self._settings.tls is None:
            log.warning("gRPC runs in plain text by plain_text: true")
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        inspection = _Inspection(self._dump)
        control_pb2_grpc.add_InspectionServicer_to_server(inspection, self._server)
        for registration in self._registrations:
            registration(self._server)
        add_port(self._server, self._settings, self._settings.admin)
        await self._server.start()

    async def on_stop(self) -> None:
        """Stop listening; calls in progress get a moment to end."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_S)
