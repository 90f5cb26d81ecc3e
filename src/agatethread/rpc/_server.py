"""gRPC server of a process: inspection and the services of its roles."""

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

_STOP_GRACE_PERIOD_S = 1.0

log = make_logger("rpc")


class _Inspection(control_pb2_grpc.InspectionServicer):
    def __init__(self, dump: Callable[[], dict[str, Any]]):
        self._dump = dump

    async def Dump(  # noqa: N802
        self, request: DumpRequest, context: grpc.aio.ServicerContext
    ) -> DumpReply:
        return DumpReply(json=json.dumps(self._dump()).encode())


class AdminServer(Service):
    """gRPC server on the process's admin address.

    Parameters
    ----------
    settings : Settings
        Settings with the admin address and the TLS keys.
    dump : callable
        Returns the state of the process.
    """

    def __init__(self, settings: Settings, dump: Callable[[], dict[str, Any]]):
        super().__init__()
        self._settings = settings
        self._dump = dump
        self._registrations: list[Callable[[grpc.aio.Server], None]] = []
        self._server: grpc.aio.Server | None = None

    def register(self, registration: Callable[[grpc.aio.Server], None]) -> None:
        """Add the services of a role; call it before the start.

        Parameters
        ----------
        registration : callable
            Adds the servicers to the server.
        """
        self._registrations.append(registration)

    async def on_start(self) -> None:
        """Start the server and listen."""
        if self._settings.tls is None:
            log.warning("gRPC runs without TLS because plain_text is true")
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        inspection = _Inspection(self._dump)
        control_pb2_grpc.add_InspectionServicer_to_server(inspection, self._server)
        for registration in self._registrations:
            registration(self._server)
        add_port(self._server, self._settings, self._settings.admin)
        await self._server.start()

    async def on_stop(self) -> None:
        """Stop the server after a grace period for calls in progress."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_PERIOD_S)
