"""Streams that send documents to entry instances and receive acknowledgements."""

import asyncio
from collections.abc import AsyncIterator

import grpc

from agatethread.control._replicated_state import ReplicatedState
from agatethread.wire.control_pb2 import (
    DocumentRecord,
    WatcherStatus,
    WatchRequest,
    WatchUpdate,
)

#: Longest interval between updates; a watcher without one for longer than its timeout
#: counts the connection as lost.
_HEARTBEAT_S = 1.0


class WatchServer:
    """Serves the watch streams of entry instances.

    Parameters
    ----------
    state : ReplicatedState
        The state to send.
    """

    def __init__(self, state: ReplicatedState):
        self._state = state
        self._watchers: dict[str, WatcherStatus] = {}
        self._wake_events: set[asyncio.Event] = set()

    def wake(self) -> None:
        """Make the streams send changes, after entries were applied."""
        for event in self._wake_events:
            event.set()

    def statuses(self) -> list[WatcherStatus]:
        """Return the status of all watchers, also of disconnected ones.

        Returns
        -------
        list of WatcherStatus
            Sorted by instance name.
        """
        return [self._watchers[name] for name in sorted(self._watchers)]

    async def serve(
        self, requests: AsyncIterator[WatchRequest], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[WatchUpdate]:
        """Serve one stream.

        Parameters
        ----------
        requests : async iterator of WatchRequest
            The watcher's first request, then its acknowledgements, which have the same
            message type.
        context : grpc.aio.ServicerContext
            The call.

        Yields
        ------
        WatchUpdate
            First all documents, then changed ones; always all drains and evacuations.
            Without changes, one is sent every `_HEARTBEAT_S`.
        """
        first = await anext(aiter(requests), None)
        if first is None:
            return

        status = self._register_watcher(first)
        reader = asyncio.ensure_future(self._read_acknowledgements(requests, status))
        wake = asyncio.Event()
        self._wake_events.add(wake)
        try:
            async for update in self._updates(wake, reader):
                yield update
        finally:
            self._wake_events.discard(wake)
            reader.cancel()
            if self._watchers.get(first.instance) is status:
                status.connected = False

    async def _updates(
        self, wake: asyncio.Event, reader: asyncio.Future
    ) -> AsyncIterator[WatchUpdate]:
        sent_index = -1
        while not reader.done():
            wake.clear()
            update = self._update_since(sent_index)
            # Read before the yield, during which further changes may be committed.
            sent_index = update.index
            yield update
            try:
                await asyncio.wait_for(wake.wait(), _HEARTBEAT_S)
            except TimeoutError:
                continue

    def _update_since(self, sent_index: int) -> WatchUpdate:
        records = self._state.documents.values()
        return WatchUpdate(
            index=self._state.change_index,
            complete=sent_index < 0,
            documents=[_strip_record(r) for r in records if r.index > sent_index],
            drained=sorted(self._state.drained),
            evacuated=self._state.evacuations.failure_domains,
        )

    def _register_watcher(self, request: WatchRequest) -> WatcherStatus:
        status = WatcherStatus(
            instance=request.instance,
            failure_domain=request.failure_domain,
            applied_index=request.applied_index,
            connected=True,
            admin=request.admin,
        )
        self._watchers[request.instance] = status
        return status

    async def _read_acknowledgements(
        self, requests: AsyncIterator[WatchRequest], status: WatcherStatus
    ) -> None:
        async for request in requests:
            status.applied_index = request.applied_index


def _strip_record(record: DocumentRecord) -> DocumentRecord:
    """Return a record without the fields that only operators read."""
    return DocumentRecord(
        service=record.service,
        version=record.version,
        index=record.index,
        compact=record.compact,
    )
