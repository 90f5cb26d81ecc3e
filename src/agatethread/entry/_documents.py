"""Documents, drains and evacuations as this instance has them; they never go back."""

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

_RECONNECT_S = 0.2
#: Two streams to different control instances, so that one that hangs delays nothing
#: (several parents, as in FaReCast, Kim and others, Middleware 2010).
_PARENT_COUNT = 2
#: Control sends something at least each second; silence means that it is cut off.
_SILENCE_S = 3.0

log = make_logger("documents")


class DocumentBook:
    """The newest document of each service."""

    def __init__(self) -> None:
        self.index = 0
        self.documents: dict[str, ServiceDocument] = {}
        self.drained: frozenset[str] = frozenset()
        self.evacuated: frozenset[str] = frozenset()
        self._indexes: dict[str, int] = {}

    def take(self, update: WatchUpdate) -> bool:
        """Take what a control instance sent, unless something newer is known.

        Each document is judged by its own index, whatever index the update has: should
        one stream leave out a document, the other one or the next greeting brings it.

        Parameters
        ----------
        update : WatchUpdate
            Documents and drains as of a log index.

        Returns
        -------
        bool
            Whether anything changed.
        """
        taken = [self._take_document(record) for record in update.documents]
        if update.index <= self.index:
            return any(taken)

        self.drained = frozenset(update.drained)
        self.evacuated = frozenset(update.evacuated)
        self.index = update.index
        return True

    def takes_no_work(self, endpoint_id: str, failure_domain: str) -> bool:
        """Tell whether operators want a backend server to get no new work.

        Parameters
        ----------
        endpoint_id : str
            Its id.
        failure_domain : str
            Where it runs.

        Returns
        -------
        bool
            Whether it is drained or its failure domain is evacuated.
        """
        return endpoint_id in self.drained or failure_domain in self.evacuated

    def _take_document(self, record: DocumentRecord) -> bool:
        if record.index <= self._indexes.get(record.service, 0):
            return False
        try:
            document = parse_document(record.service, record.compact.decode())
        except (DocumentError, UnicodeDecodeError) as error:
            # Control checks documents before it accepts them, so this is a fault of
            # versions that differ; the last good document stays.
            log.error("document not taken", service=record.service, error=error)
            return False
        self.documents[record.service] = document
        self._indexes[record.service] = record.index
        return True


class DocumentWatcher(Service):
    """Keeps streams open to two control instances and acknowledges what they bring.

    Parameters
    ----------
    settings : Settings
        Names this instance and the control instances.
    book : DocumentBook
        Where updates go.
    on_update : callable
        Called after each change.
    counters : Counters
        Counts updates and reconnections.
    """

    def __init__(
        self,
        settings: Settings,
        book: DocumentBook,
        on_update: Callable[[], None],
        counters: Counters,
    ):
        super().__init__()
        self._settings = settings
        self._book = book
        self._on_update = on_update
        self._counters = counters
        self._in_use: set[str] = set()

    async def on_start(self) -> None:
        """Open the streams."""
        for _ in range(_PARENT_COUNT):
            self.add_future(self._watch())

    async def _watch(self) -> None:
        while not self.should_stop:
            target = self._pick_target()
            if target is not None:
                self._in_use.add(target)
                await self._watch_one(target)
                self._in_use.discard(target)
            await self.sleep(_RECONNECT_S)

    def _pick_target(self) -> str | None:
        free = [
            target
            for target in self._settings.entry.control
            if target not in self._in_use
        ]
        return random.choice(free) if free else None

    async def _watch_one(self, target: str) -> None:
        try:
            async with open_channel(self._settings, target) as channel:
                await self._follow(ControlStub(channel).Watch())
        except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError) as error:
            self._counters["control_lost"] += 1
            log.debug("control instance lost", target=target, error=repr(error))

    async def _follow(self, stream: grpc.aio.StreamStreamCall) -> None:
        await stream.write(self._request())
        acknowledged = self._book.index
        while not self.should_stop:
            update = await asyncio.wait_for(stream.read(), _SILENCE_S)
            if not isinstance(update, WatchUpdate):
                return
            if self._book.take(update):
                self._counters["control_updates"] += 1
                self._on_update()
            if self._book.index != acknowledged:
                acknowledged = self._book.index
                await stream.write(self._request())

    def _request(self) -> WatchRequest:
        return WatchRequest(
            instance=self._settings.name,
            failure_domain=self._settings.failure_domain,
            applied_index=self._book.index,
            admin=self._settings.admin,
        )
