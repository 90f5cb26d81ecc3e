"""The control instance for service documents; `_routing_control` has the other kind.

It is a member of the log and serves watch streams and the operators' calls.
"""

from collections.abc import AsyncIterator
from typing import Any

import grpc
from mode import Service

from agatethread.control._peers import connect_peer
from agatethread.control._raft import RaftNode
from agatethread.control._replicated_state import check_command
from agatethread.control._replication import ReplicationServicer
from agatethread.control._storage import LogStorage
from agatethread.control._watch_server import WatchServer
from agatethread.exceptions import DiskFullError, NotLeaderError
from agatethread.observability import Counters
from agatethread.settings import Settings
from agatethread.timing import TimerService
from agatethread.wire import control_pb2_grpc
from agatethread.wire.control_pb2 import (
    ApplyRequest,
    Command,
    DocumentRecord,
    GetRequest,
    Outcome,
    StatusReply,
    StatusRequest,
    WatchRequest,
    WatchUpdate,
)

_MAX_DUMP_ROWS = 500


class _ControlServicer(control_pb2_grpc.ControlServicer):
    def __init__(self, instance: "ControlInstance"):
        self._instance = instance

    async def Apply(  # noqa: N802
        self, request: ApplyRequest, context: grpc.aio.ServicerContext
    ) -> Outcome:
        try:
            return await self._instance.apply(request.command)
        except NotLeaderError as error:
            target = self._instance.get_member_address(error.leader)
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, target)
        except DiskFullError as error:
            return Outcome(accepted=False, error=f"disk: {error}")

    async def Get(  # noqa: N802
        self, request: GetRequest, context: grpc.aio.ServicerContext
    ) -> DocumentRecord:
        record = self._instance.node.documents.documents.get(request.service)
        if record is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, request.service)
        return record

    async def Status(  # noqa: N802
        self, request: StatusRequest, context: grpc.aio.ServicerContext
    ) -> StatusReply:
        return self._instance.status()

    async def Watch(  # noqa: N802
        self,
        request_iterator: AsyncIterator[WatchRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[WatchUpdate]:
        async for update in self._instance.watch_server.serve(
            request_iterator, context
        ):
            yield update


class ControlInstance(Service):
    """Stores the service documents, replicated among the control instances.

    Parameters
    ----------
    settings : Settings
        Settings with the section of the control role.
    counters : Counters
        The process's counters.
    """

    def __init__(self, settings: Settings, counters: Counters):
        super().__init__()
        self.settings = settings
        self._counters = counters
        control = settings.control
        peers = {
            name: connect_peer(settings, target, control.election_timeout_s)
            for name, target in control.members.items()
            if name != settings.name
        }
        storage = LogStorage(control.data_dir)
        self.node = self.add_dependency(
            RaftNode(settings.name, control, storage, peers, TimerService.now_s)
        )
        self._storage = storage
        self.watch_server = WatchServer(self.node.documents)
        self.node.subscribe(self.watch_server.wake)

    def register(self, server: grpc.aio.Server) -> None:
        """Add this role's services to the process's server.

        Parameters
        ----------
        server : grpc.aio.Server
            The server.
        """
        replication, control = ReplicationServicer(self.node), _ControlServicer(self)
        control_pb2_grpc.add_ReplicationServicer_to_server(replication, server)
        control_pb2_grpc.add_ControlServicer_to_server(control, server)

    async def apply(self, data: bytes) -> Outcome:
        """Check a change and replicate it.

        Parameters
        ----------
        data : bytes
            A serialized `Command`.

        Returns
        -------
        Outcome
            Whether it was accepted; the error if not.

        Raises
        ------
        NotLeaderError, DiskFullError
            As raised by `RaftNode.propose`.
        """
        command = Command.FromString(data)
        error = check_command(command)
        if error:
            return Outcome(accepted=False, error=error)
        outcome = await self.node.propose(command.SerializeToString())
        self._counters["change_accepted" if outcome.accepted else "change_refused"] += 1
        return outcome

    def get_member_address(self, member: str) -> str:
        """Return the address of a control instance.

        Parameters
        ----------
        member : str
            Name of the control instance, as in `control.members`.

        Returns
        -------
        str
            ``IP:port``, or an empty string if the name is not known.
        """
        return self.settings.control.members.get(member, "")

    def status(self) -> StatusReply:
        """Return the status of this instance.

        Returns
        -------
        StatusReply
            State of the log, watchers and services.
        """
        node = self.node
        return StatusReply(
            instance=node.name,
            role=node.role.value,
            term=node.term,
            leader=node.leader,
            commit_index=node.commit_index,
            last_change_index=node.documents.change_index,
            watchers=self.watch_server.statuses(),
            drained=sorted(node.documents.drained),
            evacuated=node.documents.evacuations.failure_domains,
            services=sorted(node.documents.documents),
            log_bytes=self._storage.size_bytes,
        )

    def dump(self) -> dict[str, Any]:
        """Return the instance's state, with bounded lists.

        Returns
        -------
        dict
            Values that JSON can hold.
        """
        node = self.node
        documents = list(node.documents.documents.values())
        return {
            "role": node.role.value,
            "term": node.term,
            "leader": node.leader,
            "commit_index": node.commit_index,
            "last_index": node.last_index,
            "log_bytes": self._storage.size_bytes,
            "documents_total": len(documents),
            "documents": {
                record.service: record.version for record in documents[:_MAX_DUMP_ROWS]
            },
            "drained": sorted(node.documents.drained)[:_MAX_DUMP_ROWS],
            "evacuated": list(node.documents.evacuations.failure_domains),
            "watchers": [
                {
                    "instance": watcher.instance,
                    "applied_index": watcher.applied_index,
                    "connected": watcher.connected,
                }
                for watcher in self.watch_server.statuses()[:_MAX_DUMP_ROWS]
            ],
        }
