"""Checks that open flows stay up, from what callers and backend servers see.

A flow is open from the moment when its backend server has the end of the handshake,
until either end closes it or the server's process is gone, whatever the server reports.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Protocol

from soak.promise_monitor import PromiseMonitor

#: Packets that reach other backend servers, and time without one that reaches the
#: flow's own, from which the flow counts as moved.
_MIN_STRAYS = 3
_REORDER_WINDOW_S = 2.0

FlowKey = tuple[tuple[int, int], tuple[int, int]]


class Server(Protocol):
    """What is needed of a backend server."""

    name: str
    host: str
    run_id: str


@dataclass
class _OpenFlow:
    server: Server
    last_packet_s: float
    #: Times of packets that have reached other servers since.
    strays_s: list[float] = field(default_factory=list)


class OpenFlows:
    """The open flows of all backend servers.

    Parameters
    ----------
    promises : PromiseMonitor
        Records breaches.
    """

    def __init__(self, promises: PromiseMonitor):
        self._promises = promises
        self._flows: dict[FlowKey, _OpenFlow] = {}

    def record_own_packet(self, key: FlowKey, server: Server) -> None:
        """Record a packet after the opening at the server that holds the flow."""
        self._flows[key] = _OpenFlow(server, self._promises.now_s())

    def record_close(self, key: FlowKey, server: Server) -> None:
        """Record that a server has closed a flow."""
        flow = self._flows.get(key)
        if flow is not None and flow.server is server:
            del self._flows[key]

    def record_exit(self, server: Server) -> None:
        """Record that the process of a server is gone, and its flows with it."""
        self._flows = {
            key: flow for key, flow in self._flows.items() if flow.server is not server
        }

    def check_arrival(self, key: FlowKey, server: Server, sender: str) -> None:
        """Record a breach if the packets of a flow reach other servers than its own.

        Parameters
        ----------
        key : tuple
            Source and target of the packet.
        server : Server
            Server that the packet has reached.
        sender : str
            Name of the instance that sent it.
        """
        flow = self._flows.get(key)
        if flow is None or flow.server is server:
            return
        now_s = self._promises.now_s()
        flow.strays_s.append(now_s)
        is_moved = now_s - flow.last_packet_s >= _REORDER_WINDOW_S
        if not is_moved or len(flow.strays_s) < _MIN_STRAYS:
            return
        if self._promises.are_undisturbed((flow.server.name, sender)):
            detail = f"{key} of {flow.server.run_id} at {server.run_id} by {sender}"
            self._promises.record_breach("an open flow stays at its run", detail)
            flow.strays_s.clear()

    def check_reset(self, key: FlowKey, sender: str, parties: Collection[str]) -> None:
        """Record a breach if a reset ends a flow whose server lives.

        Counts unless the server, the instance that took the last packet or the sender
        was disturbed. The server itself has no reason for a reset while all is calm.

        Parameters
        ----------
        key : tuple
            Source and target of the flow's packets.
        sender : str
            Address that sent the reset.
        parties : collection of str
            Names of the sender and of the instance that took the last packet.
        """
        flow = self._flows.get(key)
        if flow is None:
            return
        if sender == flow.server.host and not self._promises.is_calm():
            return
        if self._promises.are_undisturbed((flow.server.name, *parties)):
            detail = (
                f"{key} at {flow.server.run_id}, last packet and reset by {parties}"
            )
            self._promises.record_breach("an open flow to a live run stays up", detail)
