"""Reacts to changes of the member table: new instances, and services taken over."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agatethread.entry._announcements import AnnouncementHandler
from agatethread.membership import Member
from agatethread.routing import EndpointTable
from agatethread.wire import MemberRef, MemberState

#: Time after which the state is sent to a new instance again.
_STATE_RESEND_DELAY_S = 3.0


class MemberUpdates:
    """Sends new instances what they lack, and inherits the load of taken-over services.

    Parameters
    ----------
    announcements : AnnouncementHandler
        Sends the known announcements.
    endpoints : EndpointTable
        Backend servers.
    is_dispatcher : callable
        Returns whether this instance is the dispatcher of a service.
    spawn : callable
        Starts a coroutine as a task.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        announcements: AnnouncementHandler,
        endpoints: EndpointTable,
        is_dispatcher: Callable[[str], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        now_s: Callable[[], float],
    ):
        self._announcements = announcements
        self._endpoints = endpoints
        self._is_dispatcher = is_dispatcher
        self._spawn = spawn
        self._now_s = now_s
        self._initialized: set[MemberRef] = set()
        self._dispatched_services: set[str] = set()

    def on_changed(self, member: Member) -> None:
        """Handle a change of the member table.

        Parameters
        ----------
        member : Member
            The member that changed.
        """
        if member.state == MemberState.ALIVE and member.ref not in self._initialized:
            self._initialized.add(member.ref)
            self._spawn(self._initialize(member))
        elif member.state == MemberState.DEAD:
            self._initialized.discard(member.ref)
        for service in self._endpoints.services():
            self._update_dispatched(service)

    async def _initialize(self, member: Member) -> None:
        # Sent again after a delay: an instance that did not know the new one yet may
        # have forwarded a change to the others only.
        self._announcements.send_announcements_to(member)
        await asyncio.sleep(_STATE_RESEND_DELAY_S)
        self._announcements.send_announcements_to(member)

    def _update_dispatched(self, service: str) -> None:
        if not self._is_dispatcher(service):
            self._dispatched_services.discard(service)
        elif service not in self._dispatched_services:
            self._dispatched_services.add(service)
            for endpoint in self._endpoints.of_service(service):
                endpoint.inherit_reported_load(self._now_s())
