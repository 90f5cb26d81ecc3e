"""gRPC calls of the operators' command to control instances."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import grpc

from agatethread.exceptions import (
    ChangeRefusedError,
    UnavailableError,
    VersionConflictError,
)
from agatethread.rpc import open_channel
from agatethread.settings import TlsSettings
from agatethread.wire.control_pb2 import (
    ApplyRequest,
    Command,
    DocumentRecord,
    DumpRequest,
    GetRequest,
    Outcome,
    StatusReply,
    StatusRequest,
)
from agatethread.wire.control_pb2_grpc import ControlStub, InspectionStub

_RETRY_DELAY_S = 0.1
_POLL_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 2.0
#: Short, because the reply of the slowest instance is awaited.
_STATUS_TIMEOUT_S = 0.7

_Reply = TypeVar("_Reply")


@dataclass(frozen=True)
class ControlTarget:
    """Addresses of the control instances and how to connect to them."""

    addresses: tuple[str, ...]
    timeout_s: float
    tls: TlsSettings | None = None


async def _call(
    target: ControlTarget, address: str, call: Callable[[Any], Awaitable[_Reply]]
) -> _Reply:
    async with open_channel(target, address) as channel:
        return await call(channel)


async def _call_until_answered(
    target: ControlTarget, call: Callable[[Any], Awaitable[_Reply]]
) -> _Reply:
    """Try the control instances in turn, following redirects to the leader."""
    deadline_s = time.monotonic() + target.timeout_s
    candidates = list(target.addresses)
    last_error = "no address"
    while time.monotonic() < deadline_s:
        if not candidates:
            await asyncio.sleep(_RETRY_DELAY_S)
            candidates = list(target.addresses)
        address = candidates.pop(0)
        try:
            return await _call(target, address, call)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.NOT_FOUND:
                raise ChangeRefusedError(
                    f"no such service: {error.details()}"
                ) from None
            last_error = f"{address}: {error.code().name} {error.details()}"
            is_redirect = error.code() == grpc.StatusCode.FAILED_PRECONDITION
            if (
                is_redirect
                and error.details()
                and error.details() not in candidates[:1]
            ):
                candidates.insert(0, error.details())
                await asyncio.sleep(_POLL_INTERVAL_S)
    raise UnavailableError(f"no answer in {target.timeout_s} s; last: {last_error}")


async def apply_command(target: ControlTarget, command: Command) -> Outcome:
    """Send a change, and retry it under the same id until it is answered.

    Parameters
    ----------
    target : ControlTarget
        The control instances.
    command : Command
        The change, with its id.

    Returns
    -------
    Outcome
        Outcome of the accepted change.

    Raises
    ------
    VersionConflictError
        If another change already has the version.
    ChangeRefusedError
        If the change is refused for another reason.
    UnavailableError
        If no control instance answered in time; the change may have been accepted.
    """
    request = ApplyRequest(command=command.SerializeToString(deterministic=True))

    async def call(channel: grpc.aio.Channel) -> Outcome:
        return await ControlStub(channel).Apply(request, timeout=_CALL_TIMEOUT_S)

    outcome = await _call_until_answered(target, call)
    if outcome.accepted:
        return outcome
    if outcome.winner_change_id or outcome.current_version:
        raise VersionConflictError(
            f"{outcome.error}; version {outcome.current_version} is held by change "
            f"{outcome.winner_change_id}"
        )
    raise ChangeRefusedError(outcome.error)


async def get_document(target: ControlTarget, service: str) -> DocumentRecord:
    """Return the stored document of a service.

    Parameters
    ----------
    target : ControlTarget
        The control instances.
    service : str
        Name of the service.

    Returns
    -------
    DocumentRecord
        The document.

    Raises
    ------
    ChangeRefusedError
        If there is no such service.
    UnavailableError
        If no control instance answered in time.
    """

    async def call(channel: grpc.aio.Channel) -> DocumentRecord:
        request = GetRequest(service=service)
        return await ControlStub(channel).Get(request, timeout=_CALL_TIMEOUT_S)

    return await _call_until_answered(target, call)


async def query_statuses(target: ControlTarget) -> list[StatusReply]:
    """Query the status of every control instance.

    Parameters
    ----------
    target : ControlTarget
        The control instances.

    Returns
    -------
    list of StatusReply
        Replies of the instances that answered.

    Raises
    ------
    UnavailableError
        If no control instance answered.
    """

    async def call(channel: grpc.aio.Channel) -> StatusReply:
        return await ControlStub(channel).Status(
            StatusRequest(), timeout=_STATUS_TIMEOUT_S
        )

    calls = [_call(target, address, call) for address in target.addresses]
    replies = await asyncio.gather(*calls, return_exceptions=True)
    statuses = [reply for reply in replies if isinstance(reply, StatusReply)]
    if not statuses:
        raise UnavailableError("no control instance answered")
    return statuses


async def wait_in_force(
    target: ControlTarget, index: int, timeout_s: float
) -> tuple[float, list[dict[str, Any]]]:
    """Wait until every connected entry instance has applied a change.

    Parameters
    ----------
    target : ControlTarget
        The control instances.
    index : int
        Log index of the change.
    timeout_s : float
        Maximum time to wait.

    Returns
    -------
    tuple of (float, list of dict)
        Seconds waited, and the instances that have not applied the change, each with
        the reason.

    Raises
    ------
    UnavailableError
        If no control instance answered the last query before the timeout.
    """
    started_s = time.monotonic()
    while True:
        statuses, error = await _try_all_statuses(target)
        laggards = _laggards(statuses, index)
        elapsed_s = time.monotonic() - started_s
        if elapsed_s >= timeout_s and error is not None:
            raise error
        if (not laggards and error is None) or elapsed_s >= timeout_s:
            return elapsed_s, laggards
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _try_all_statuses(
    target: ControlTarget,
) -> tuple[list[StatusReply], UnavailableError | None]:
    # Errors are retried: the change was accepted, so a brief outage does not matter.
    try:
        return await query_statuses(target), None
    except UnavailableError as error:
        return [], error


def _laggards(statuses: list[StatusReply], index: int) -> list[dict[str, Any]]:
    newest: dict[str, Any] = {}
    for status in statuses:
        for watcher in status.watchers:
            previous = newest.get(watcher.instance)
            if previous is None or watcher.applied_index >= previous.applied_index:
                newest[watcher.instance] = watcher
    rows = []
    for name in sorted(newest):
        watcher = newest[name]
        if watcher.applied_index >= index:
            continue
        reason = "behind" if watcher.connected else "not connected"
        rows.append(
            {"instance": name, "applied_index": watcher.applied_index, "why": reason}
        )
    return rows


async def dump_instance(target: ControlTarget, instance: str) -> dict[str, Any]:
    """Return the state dump of an instance.

    Parameters
    ----------
    target : ControlTarget
        The control instances, which resolve a name to its address.
    instance : str
        Name or gRPC address.

    Returns
    -------
    dict
        The dump.

    Raises
    ------
    UnavailableError
        If the instance is unknown or did not answer.
    """
    address = (
        instance if ":" in instance else await _query_admin_address(target, instance)
    )

    async def call(channel: grpc.aio.Channel) -> Any:
        return await InspectionStub(channel).Dump(
            DumpRequest(), timeout=_CALL_TIMEOUT_S
        )

    try:
        reply = await _call(target, address, call)
    except grpc.aio.AioRpcError as error:
        raise UnavailableError(f"{address}: {error.code().name}") from None
    return json.loads(reply.json)


async def _query_admin_address(target: ControlTarget, instance: str) -> str:
    for status in await query_statuses(target):
        for watcher in status.watchers:
            if watcher.instance == instance and watcher.admin:
                return watcher.admin
    raise UnavailableError(f"no instance named {instance} is known")
