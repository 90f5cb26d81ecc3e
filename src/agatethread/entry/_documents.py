"""Receive service documents, drains and evacuations from control instances."""

import asyncio
import random
from collections.abc import Callable

import grpc
from mode import Service

from agatethread.exceptions import DocumentError
from agatethread.observability import Counters, make_logger
from agatethread.rpc import open_channel
from agatethread.settings import ServiceDocument, Settings, parse_document
from agatethread.wire.control_pb2 import DocumentRecord, WatchRequest, WatchUpdate
from agatethread.wire.control_pb2_grpc import ControlStub

_RECONNECT_DELAY_S = 0.2
#: Two control instances, so that one that hangs does not delay updates
#: (several parents, as in FaReCast, Kim and others, Middleware 2010).
_STREAM_COUNT = 2
#: Several heartbeat intervals of a control instance (1 s).
_UPDATE_TIMEOUT_S = 3.0

log = make_logger("documents")


class DocumentStore:
    """Stores the newest valid document of each service, drains and evacuations."""

    def __init__(self) -> None:
        self.index = 0
        self.documents: dict[str, ServiceDocument] = {}
        # Ids of backend servers and names of entry instances.
        self.drained: frozenset[str] = frozenset()
        # Failure domains.
        self.evacuated: frozenset[str] = frozenset()
        self._document_indexes: dict[str, int] = {}

    def apply_update(self, update: WatchUpdate) -> bool:
        """Apply an update of a control instance, except for outdated parts.

        Each document is compared by its own index, since the update that raises the
        store's index need not contain all documents.

        Parameters
        ----------
        update : WatchUpdate
            Documents, drains and evacuations at a log index.

        Returns
        -------
        bool
            Whether anything changed.
        """
        changes = [self._apply_document(record) for record in update.documents]
        if update.index <= self.index:
            return any(changes)

        self.drained = frozenset(update.drained)
        self.evacuated = frozenset(update.evacuated)
        self.index = update.index
        return True

    def is_drained_or_evacuated(self, endpoint_id: str, failure_domain: str) -> bool:
        """Return whether a backend server is excluded from new work.

        Parameters
        ----------
        endpoint_id : str
            Id of the backend server.
        failure_domain : str
            Failure domain of the backend server.

        Returns
        -------
        bool
            Whether it is drained or its failure domain is evacuated.
        """
        return endpoint_id in self.drained or failure_domain in self.evacuated

    def _apply_document(self, record: DocumentRecord) -> bool:
        if record.index <= self._document_indexes.get(record.service, 0):
            return False
        try:
            document = parse_document(record.service, record.compact.decode())
        except (DocumentError, UnicodeDecodeError) as error:
            # Control validates documents, so a failure means that the versions of the
            # processes differ; the previous document stays in use.
            log.error("service document rejected", service=record.service, error=error)
            return False
        self.documents[record.service] = document
        self._document_indexes[record.service] = record.index
        return True


class DocumentWatcher(Service):
    """Receives updates from two control instances and acknowledges them.

    Parameters
    ----------
    settings : Settings
        Settings with the own name and the control instances.
    document_store : DocumentStore
        Stores the updates.
    on_update : callable
        Called after each change of the stored state.
    counters : Counters
        Counts updates with a change, and failed connections.
    """

    def __init__(
        self,
        settings: Settings,
        document_store: DocumentStore,
        on_update: Callable[[], None],
        counters: Counters,
    ):
        super().__init__()
        self._settings = settings
        self._document_store = document_store
        self._on_update = on_update
        self._counters = counters
        self._connected_targets: set[str] = set()

    async def on_start(self) -> None:
        """Start the tasks that receive updates."""
        for _ in range(_STREAM_COUNT):
            self.add_future(self._watch())

    async def _watch(self) -> None:
        while not self.should_stop:
            target = self._choose_target()
            if target is not None:
                self._connected_targets.add(target)
                await self._watch_target(target)
                self._connected_targets.discard(target)
            await self.sleep(_RECONNECT_DELAY_S)

    def _choose_target(self) -> str | None:
        candidates = [
            target
            for target in self._settings.entry.control
            if target not in self._connected_targets
        ]
        return random.choice(candidates) if candidates else None

    async def _watch_target(self, target: str) -> None:
        try:
            async with open_channel(self._settings, target) as channel:
                await self._receive_updates(ControlStub(channel).Watch())
        except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError) as error:
            self._counters["control_lost"] += 1
            log.debug(
                "connection to control instance lost", target=target, error=repr(error)
            )

    async def _receive_updates(self, stream: grpc.aio.StreamStreamCall) -> None:
        await stream.write(self._make_request())
        acknowledged_index = self._document_store.index
        while not self.should_stop:
            update = await asyncio.wait_for(stream.read(), _UPDATE_TIMEOUT_S)
            if not isinstance(update, WatchUpdate):
                return
            if self._document_store.apply_update(update):
                self._counters["control_updates"] += 1
                self._on_update()
            if self._document_store.index != acknowledged_index:
                acknowledged_index = self._document_store.index
                await stream.write(self._make_request())

    def _make_request(self) -> WatchRequest:
        return WatchRequest(
            instance=self._settings.name,
            failure_domain=self._settings.failure_domain,
            applied_index=self._document_store.index,
            admin=self._settings.admin,
        )
