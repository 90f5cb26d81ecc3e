"""The operators' calls, each to whichever control instance can answer it."""

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

_RETRY_S = 0.1
_POLL_S = 0.05
_CALL_TIMEOUT_S = 2.0
#: Every instance is asked at once, so one that hangs must not hold up the rest.
_STATUS_TIMEOUT_S = 0.7

_Reply = TypeVar("_Reply")


@dataclass(frozen=True)
class ControlTarget:
    """Where the control instances are and how to reach them."""

    addresses: tuple[str, ...]
    timeout_s: float
    tls: TlsSettings | None = None


async def _call(
    target: ControlTarget, address: str, call: Callable[[Any], Awaitable[_Reply]]
) -> _Reply:
    async with open_channel(target, address) as channel:
        return await call(channel)


async def _first_answer(
    target: ControlTarget, call: Callable[[Any], Awaitable[_Reply]]
) -> _Reply:
    """Call one control instance after the other, following the leader, in time."""
    deadline_s = time.monotonic() + target.timeout_s
    candidates = list(target.addresses)
    why = "no address"
    while time.monotonic() < deadline_s:
        if not candidates:
            await asyncio.sleep(_RETRY_S)
            candidates = list(target.addresses)
        address = candidates.pop(0)
        try:
            return await _call(target, address, call)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.NOT_FOUND:
                raise ChangeRefusedError(
                    f"no such service: {error.details()}"
                ) from None
            why = f"{address}: {error.code().name} {error.details()}"
            is_pointer = error.code() == grpc.StatusCode.FAILED_PRECONDITION
            if is_pointer and error.details() and error.details() not in candidates[:1]:
                candidates.insert(0, error.details())
                await asyncio.sleep(_POLL_S)
    raise UnavailableError(f"no answer in {target.timeout_s} s; last: {why}")


async def apply_command(target: ControlTarget, command: Command) -> Outcome:
    """Have a change accepted; it is sent again under its id until there is an answer.

    Parameters
    ----------
    target : ControlTarget
        The control instances.
    command : Command
        The change, with its id.

    Returns
    -------
    Outcome
        An accepted one.

    Raises
    ------
    VersionConflictError
        If another change holds the version.
    ChangeRefusedError
        If it is refused for another reason.
    UnavailableError
        If nobody answered in time; the change may have been accepted all the same.
    """
    request = ApplyRequest(command=command.SerializeToString(deterministic=True))

    async def call(channel: grpc.aio.Channel) -> Outcome:
        return await ControlStub(channel).Apply(request, timeout=_CALL_TIMEOUT_S)

    outcome = await _first_answer(target, call)
    if outcome.accepted:
        return outcome
    if outcome.winner_change_id or outcome.current_version:
        raise VersionConflictError(
            f"{outcome.error}; version {outcome.current_version} is held by change "
            f"{outcome.winner_change_id}"
        )
    raise ChangeRefusedError(outcome.error)


async def get_document(target: ControlTarget, service: str) -> DocumentRecord:
    """Read a service document as kept.

    Parameters
    ----------
    target : ControlTarget
        The control instances.
    service : str
        The service.

    Returns
    -------
    DocumentRecord
        The document.

    Raises
    ------
    ChangeRefusedError
        If there is none.
    UnavailableError
        If nobody answered in time.
    """

    async def call(channel: grpc.aio.Channel) -> DocumentRecord:
        request = GetRequest(service=service)
        return await ControlStub(channel).Get(request, timeout=_CALL_TIMEOUT_S)

    return await _first_answer(target, call)


async def all_statuses(target: ControlTarget) -> list[StatusReply]:
    """Ask every control instance for its status.

    Parameters
    ----------
    target : ControlTarget
        The control instances.

    Returns
    -------
    list of StatusReply
        From those that answered.

    Raises
    ------
    UnavailableError
        If none did.
    """

    async def call(channel: grpc.aio.Channel) -> StatusReply:
        return await ControlStub(channel).Status(
            StatusRequest(), timeout=_STATUS_TIMEOUT_S
        )

    asked = [_call(target, address, call) for address in target.addresses]
    replies = await asyncio.gather(*asked, return_exceptions=True)
    statuses = [reply for reply in replies if isinstance(reply, StatusReply)]
    if not statuses:
        raise UnavailableError("no control instance answered")
    return statuses


async def wait_in_force(
    target: ControlTarget, index: int, limit_s: float
) -> tuple[float, list[dict[str, Any]]]:
    """Wait until every connected entry instance has applied a change.

    Parameters
    ----------
    target : ControlTarget
        The control instances.
    index : int
        Log index of the change.
    limit_s : float
        Longest time to wait.

    Returns
    -------
    tuple of (float, list of dict)
        Seconds waited, and the instances that lag with the reason.

    Raises
    ------
    UnavailableError
        If no control instance answered the last time that they were asked.
    """
    started_s = time.monotonic()
    while True:
        statuses, error = await _try_all_statuses(target)
        laggards = _laggards(statuses, index)
        elapsed_s = time.monotonic() - started_s
        if elapsed_s >= limit_s and error is not None:
            raise error
        if (not laggards and error is None) or elapsed_s >= limit_s:
            return elapsed_s, laggards
        await asyncio.sleep(_POLL_S)


async def _try_all_statuses(
    target: ControlTarget,
) -> tuple[list[StatusReply], UnavailableError | None]:
    # The change was accepted; that nobody answers for a moment does not undo it.
    try:
        return await all_statuses(target), None
    except UnavailableError as error:
        return [], error


def _laggards(statuses: list[StatusReply], index: int) -> list[dict[str, Any]]:
    best: dict[str, Any] = {}
    for status in statuses:
        for watcher in status.watchers:
            known = best.get(watcher.instance)
            if known is None or watcher.applied_index >= known.applied_index:
                best[watcher.instance] = watcher
    rows = []
    for name in sorted(best):
        watcher = best[name]
        if watcher.applied_index >= index:
            continue
        why = "behind" if watcher.connected else "not connected"
        rows.append(
            {"instance": name, "applied_index": watcher.applied_index, "why": why}
        )
    return rows


async def dump_instance(target: ControlTarget, instance: str) -> dict[str, Any]:
    """Read an instance's whole state.

    Parameters
    ----------
    target : ControlTarget
        The control instances, to look a name up.
    instance : str
        Name or gRPC address.

    Returns
    -------
    dict
        Its dump.

    Raises
    ------
    UnavailableError
        If it is not known or did not answer.
    """
    address = instance if ":" in instance else await _find_admin(target, instance)

    async def call(channel: grpc.aio.Channel) -> Any:
        return await InspectionStub(channel).Dump(
            DumpRequest(), timeout=_CALL_TIMEOUT_S
        )

    try:
        reply = await _call(target, address, call)
    except grpc.aio.AioRpcError as error:
        raise UnavailableError(f"{address}: {error.code().name}") from None
    return json.loads(reply.json)


async def _find_admin(target: ControlTarget, instance: str) -> str:
    for status in await all_statuses(target):
        for watcher in status.watchers:
            if watcher.instance == instance and watcher.admin:
                return watcher.admin
    raise UnavailableError(f"no instance named {instance} is known")
