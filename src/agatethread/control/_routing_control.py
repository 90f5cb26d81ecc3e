"""A control instance with a routing table and a registry of backend servers.

The table is replicated in the log and durable. Reports are soft state: every control
instance accepts them, with or without a quorum, and sends them to all reachable control
and entry instances.
"""

import asyncio
import zlib
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from mode import Service

from agatethread.control._hints import HintSaver
from agatethread.control._log_opening import load_log_port, open_log, report_opened
from agatethread.control._membership import (
    MembershipManager,
    make_membership_manager,
)
from agatethread.control._orders import OperatorRequests
from agatethread.control._raft import RaftNode
from agatethread.control._roles import Role
from agatethread.control._routing_metrics import (
    dump_member,
    dump_registry,
    make_measures,
)
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.control._storage import LogStorage
from agatethread.observability import Counters, Event, Metrics, make_logger
from agatethread.registry import (
    CompressedTable,
    DispatcherDirectory,
    EvacuationPublisher,
    Hints,
    QualityMonitor,
    RegistryPublisher,
    RegistryTransport,
    Report,
    RunTable,
    Subscription,
    load_hints,
)
from agatethread.settings import format_address, listen_address, parse_address
from agatethread.timing import TimerService
from agatethread.wire import pack_address, unpack_address
from agatethread.wire.registry_pb2 import BackendRun, RegistryMessage, RoutingTable

if TYPE_CHECKING:
    from agatethread.control._log_port import LogPort

_POLL_INTERVAL_S = 0.3
_FLUSH_INTERVAL_S = 0.1
_URGENT_INTERVAL_S = 0.05
_SWEEP_INTERVAL_S = 0.2
_SIGHTINGS_INTERVAL_S = 0.1
_DISPATCHERS_INTERVAL_S = 0.2
_QUALITY_INTERVAL_S = 0.1
_MEMBERS_INTERVAL_S = 0.25
_HINTS_INTERVAL_S = 0.5
#: Report intervals after which every live backend server has reported here.
_FULL_REPORT_INTERVALS = 1.5
#: Longest wait for the other control instances before an acknowledgement of a drain or
#: end; below the sender's timeout of one second.
_PROPAGATION_TIMEOUT_S = 0.4
#: Without a message from a leader for longer, a newer table may have been committed.
_STALE_AFTER_S = 1.0

log = make_logger("control")


class RoutingControlInstance(Service):
    """Maintains the routing table and the registry of backend servers.

    Parameters
    ----------
    settings : RoutingControlSettings
        Settings of the instance.
    counters : Counters
        The process's counters.
    """

    def __init__(self, settings: RoutingControlSettings, counters: Counters):
        super().__init__()
        self.settings = settings
        self.counters = counters
        self.timers = self.add_dependency(TimerService())
        self.node: RaftNode | None = None
        self._log_port: LogPort | None = None
        self._membership: MembershipManager | None = None
        self._hints: HintSaver | None = None
        self._opening: asyncio.Future | None = None
        self._published_version = 0
        self._started_s = self.timers.now_s()
        self._registry_port = parse_address(settings.registry)[1]
        self._target_port = parse_address(settings.target)[1]
        self._build_registry()
        self.orders = OperatorRequests(
            lambda: self.node,
            self._evacuations,
            settings.policies.evacuation_wait_s,
            self.timers.now_s,
            counters,
        )

    def _build_registry(self) -> None:
        settings, now_s = self.settings, self.timers.now_s
        self._transport = RegistryTransport(
            listen_address(settings.registry, settings.listen_host),
            self.counters,
            settings.failure_domain,
        )
        self.runs = RunTable(settings.report_interval_s, now_s)
        self.hub = RegistryPublisher(
            self.runs,
            settings.failure_domain,
            self._transport.send,
            now_s,
            self._has_all_reports,
            self._has_leader_contact,
        )
        self._dispatchers = DispatcherDirectory(
            settings.failure_domain,
            self.hub.active_entries,
            lambda: (run for _, run in self.runs.changes_after(0, False)),
            lambda: self.subscription.reachable_links(),
            now_s,
        )
        self.quality: QualityMonitor | None = None
        if settings.parts.judges_answers:
            self.quality = self._make_quality_keeper()
        self._evacuations = EvacuationPublisher(
            self.hub.active_subscribers, self._transport.send, now_s
        )
        self.subscription = Subscription(
            settings.failure_domain,
            True,
            [self._get_registry_address(seed.target) for seed in settings.seeds],
            pack_address(parse_address(settings.registry)),
            self._transport.send,
            now_s,
            self._on_run,
            lambda _: None,
            self.counters,
            self._evacuations,
        )
        self._evacuations.on_acknowledged = self.subscription.poll
        self.subscription.on_numbered_report = self._on_number
        self.hub.list_other_controls = self.subscription.reachable_links

    def _make_quality_keeper(self) -> QualityMonitor:
        return QualityMonitor(
            self.settings.failure_domain,
            lambda: (run for _, run in self.runs.changes_after(0, False)),
            self.hub.active_entries,
            lambda: [link.address for link in self.subscription.reachable_links()],
            self._transport.send,
            self.timers.now_s,
            self.counters,
        )

    # All control instances have the same port numbers.
    def _get_registry_address(self, target: str) -> bytes:
        return pack_address((parse_address(target)[0], self._registry_port))

    def _get_log_target(self, registry: bytes) -> str:
        host, _ = unpack_address(registry)
        return format_address((host, self._target_port))

    async def on_start(self) -> None:
        """Start the registry and the timers, and begin to open the log."""
        policies = self.settings.policies
        hints = Hints()
        if policies.keeps_hints:
            hints = load_hints(self.settings.data_dir)
        self.runs.restore(hints.runs)
        self._transport.start(self._on_message)
        if policies.greets_known_entries:
            self.hub.greet(hints.entries)
        self.timers.subscribe(_POLL_INTERVAL_S, self.subscription.poll)
        if policies.asks_urgently:
            self.timers.subscribe(
                _URGENT_INTERVAL_S, self.subscription.probe_if_unreachable
            )
        self.timers.subscribe(_FLUSH_INTERVAL_S, self.hub.flush)
        self.timers.subscribe(_FLUSH_INTERVAL_S, self._evacuations.send_unacknowledged)
        self.timers.subscribe(_SWEEP_INTERVAL_S, self.runs.sweep)
        self.timers.subscribe(_SIGHTINGS_INTERVAL_S, self.hub.send_sightings)
        if self.settings.parts.relays_openings:
            self.hub.add_dispatchers = self._dispatchers.add_to_reply
            self.timers.subscribe(_DISPATCHERS_INTERVAL_S, self._dispatchers.refresh)
        if self.quality:
            self.timers.subscribe(_QUALITY_INTERVAL_S, self.quality.tick)
        self._hints = HintSaver(
            self.settings.data_dir,
            self.runs,
            self.hub,
            lambda: self.node,
            self.add_future,
            policies.keeps_hints,
        )
        self.timers.subscribe(_HINTS_INTERVAL_S, self._hints.save)
        self.timers.subscribe(_MEMBERS_INTERVAL_S, self._manage_members)
        self.subscription.poll()
        self._opening = self.add_future(self._open_log())
        log.info(Event.CONTROL_STARTED, instance=self.settings.name)

    async def _open_log(self) -> None:
        node = await open_log(
            self.settings, self._make_node, lambda: self.should_stop, self.sleep
        )
        if node is None:
            return
        # The state on disk is published before the module with gRPC is loaded.
        node.subscribe(lambda: self._publish_state(node))
        self._publish_state(node)
        make_log_port = await load_log_port()
        if self.should_stop:
            await node.stop()
            return
        self._log_port = port = make_log_port(self.settings)
        self._membership = make_membership_manager(
            self.settings,
            node,
            port.connect,
            self._list_log_targets,
            self.timers.now_s,
            self.add_future,
        )
        target = listen_address(self.settings.target, self.settings.listen_host)
        membership = self._membership
        await port.serve(node, membership.on_join, membership.on_leave, target)
        self.node = node
        await self.add_runtime_dependency(node)
        report_opened(node)

    def _make_node(self, name: str, storage: LogStorage) -> RaftNode:
        return RaftNode(
            name,
            self.settings.timing,
            storage,
            {},
            self.timers.now_s,
            connect=lambda member: self._log_port.connect(member.target),
        )

    def _list_log_targets(self) -> list[str]:
        links = self.subscription.reachable_links()
        return [self._get_log_target(link.address) for link in links]

    def _manage_members(self) -> None:
        if self._membership is not None and self.node is not None:
            self._membership.request_join()
            self._membership.start_next_change()

    async def leave(self) -> None:
        """Announce the stop, and wait until another instance votes in place of this.

        Does not wait if no other one can; at most `handover_timeout_s`.
        """
        leads = self.node is not None and self.node.role is Role.LEADER
        log.info(Event.LEAVING, leads=leads)
        if self._membership is not None:
            await self._membership.leave(self.settings.handover_timeout_s)

    async def on_stop(self) -> None:
        """Close hints, Raft server and registry; the Raft member is stopped next."""
        if self._hints is not None:
            await self._hints.close()
        if self._opening is not None:
            # Else it might start a member after all were stopped.
            await asyncio.wait([self._opening])
        if self._log_port is not None:
            await self._log_port.close()
        self._transport.close()

    def _publish_state(self, node: RaftNode) -> None:
        routes, evacuations = node.documents.routes, node.documents.evacuations
        has_new_evacuations = self._evacuations.publish_newer(evacuations)
        if routes.version <= self._published_version and not has_new_evacuations:
            return
        if not routes.version:
            return
        self._published_version = routes.version
        self.runs.services = frozenset(RoutingTable.FromString(routes.table).services)
        compressed = zlib.compress(routes.table)
        self.hub.publish_routes(
            CompressedTable(routes.version, compressed, self._evacuations.newest)
        )

    async def report(self, report: Report) -> None:
        """Store a report; it may be acknowledged when this returns.

        If the run is draining, waits for the other control instances, at most
        `_PROPAGATION_TIMEOUT_S`.

        Parameters
        ----------
        report : Report
            Report of a backend server.

        Raises
        ------
        ReportRefusedError
            If it contradicts the known runs, such as another one with that id.
        """
        if self.runs.report(report):
            await self._propagate("report", report.id, report.draining)

    async def end_run(self, run_id: str, started_ms: int) -> None:
        """Store the end of a run; it may be acknowledged when this returns.

        Waits at most `_PROPAGATION_TIMEOUT_S` for the other control instances.

        Parameters
        ----------
        run_id : str
            Id of the run.
        started_ms : int
            Start of the run; `START_UNKNOWN` if unknown.

        Raises
        ------
        ReportRefusedError
            If it is ambiguous which run has ended.
        """
        if self.runs.end_run(run_id, started_ms):
            await self._propagate("leave", run_id, True)

    async def _propagate(self, change_kind: str, run_id: str, must_wait: bool) -> None:
        # An acknowledged drain or end must not be lost if this process fails.
        if not must_wait:
            self.hub.flush_if_due()
            return
        is_acknowledged = await self.hub.flush_and_wait(_PROPAGATION_TIMEOUT_S)
        if not is_acknowledged:
            self.counters["spread_incomplete"] += 1
            log.warning(Event.PROPAGATION_TIMEOUT, what=change_kind, run=run_id)

    def _has_all_reports(self) -> bool:
        uptime_s = self.timers.now_s() - self._started_s
        if uptime_s > _FULL_REPORT_INTERVALS * self.settings.report_interval_s:
            return True
        return self.subscription.is_complete()

    def _has_leader_contact(self) -> bool:
        return self.node is not None and self.node.leader_silence_s < _STALE_AFTER_S

    def _on_message(self, message: RegistryMessage, source: bytes) -> None:
        body = message.WhichOneof("body")
        if body == "poll":
            if message.poll.is_control:
                self.subscription.add_control(source, message.poll.failure_domain)
            self.hub.on_poll(message.poll, source)
        elif body == "delta":
            self.subscription.on_delta(message.delta, source)
        elif body == "sightings":
            self.hub.on_sightings(message.sightings, source)
        elif self.quality:
            self.quality.on_message(message, source)

    def _on_run(self, run: BackendRun, source: bytes) -> None:
        if self.runs.apply_peer_run(run, source):
            self.hub.flush_if_due()

    def _on_number(
        self, number: int, sequence: int, starts: Mapping[str, int], source: bytes
    ) -> None:
        if self.runs.apply_numbered_report(number, sequence, starts, source):
            self.hub.flush_if_due()

    def measures(self) -> Metrics:
        """Return the metrics of this instance.

        Returns
        -------
        Metrics
            Values are read when metrics are requested.
        """
        return make_measures(
            self.counters, self.runs, self.hub, lambda: self.node, self.orders.change_s
        )

    def dump(self) -> dict[str, Any]:
        """Return the instance's state.

        Returns
        -------
        dict
            Values that JSON can hold.
        """
        dump = dump_registry(self.settings, self.runs, self.hub, self.counters)
        if self.quality:
            dump["quality"] = self.quality.dump()
        if self.node is not None:
            dump["log"] = dump_member(self.node)
        return dump
