"""Entry instance for labelled packets, with its sockets, timers and state."""

import asyncio
from dataclasses import asdict, dataclass
from typing import Any

from mode import Service

from agatethread.datapath._answer_reports import REPORT_INTERVAL_S, AnswerReporter
from agatethread.datapath._assembly import make_shared_placing
from agatethread.datapath._backends import BackendView
from agatethread.datapath._cold import ColdLimits
from agatethread.datapath._departure import Departure
from agatethread.datapath._entry_metrics import make_measures
from agatethread.datapath._forwarder import LabelForwarder
from agatethread.datapath._liveness import RunProber
from agatethread.datapath._pacing import PacedSender
from agatethread.datapath._packets import PacketCodec
from agatethread.datapath._readiness import Readiness
from agatethread.observability import Counters, Event, Metrics, make_logger
from agatethread.registry import (
    EvacuationReceiver,
    RegistryTransport,
    Subscription,
    are_other_domains_unreachable,
    is_cut_off,
    merge_dispatchers,
    most_complete_rank,
)
from agatethread.routing import decode_table
from agatethread.settings import (
    DEFAULT_POLICIES,
    NO_PARTS,
    Parts,
    Policies,
    listen_address,
    parse_address,
)
from agatethread.sockets import (
    close_socket,
    make_reader,
    make_sender,
    open_and_close,
    open_socket,
    start_reading,
)
from agatethread.timing import TimerService
from agatethread.wire import pack_address
from agatethread.wire.registry_pb2 import (
    PRESENCE_AWAY,
    PRESENCE_LEAVING,
    PRESENCE_SERVING,
    RegistryMessage,
    RoutingTable,
)

#: Two polls fit into the 1 s after which a silent control instance counts as lost.
_POLL_INTERVAL_S = 0.4
_CONTROL_STATE_INTERVAL_S = 0.2
#: Interval at which an instance sends sightings and looks for unreachable runs.
_SUSPECT_CHECK_INTERVAL_S = 0.1
_UNANSWERED_POLL_INTERVAL_S = 0.05
_SWEEP_INTERVAL_S = 1.0
_READINESS_CHECK_INTERVAL_S = 0.1
#: Interval at which queued openings are placed or refused.
_OPENING_QUEUE_INTERVAL_S = 0.05
#: Without answers from other failure domains for this long, this one may be cut off.
_CUT_OFF_TIMEOUT_S = 1.0
#: Never delays a packet.
_UNPACED_BITS_PER_S = 1e12
_LEAVING_POLL_INTERVAL_S = 0.1

log = make_logger("entry")


@dataclass(frozen=True, slots=True)
class LabelEntrySettings:
    """Addresses and limits of an entry instance for labelled packets.

    Attributes
    ----------
    name : str
        Name of the instance.
    failure_domain : str
        Failure domain of the instance.
    datagrams : str
        ``IP:port`` for callers' packets.
    registry : str
        ``IP:port`` for messages of control instances and other entry instances.
    seeds : tuple of bytes
        Packed registry addresses of some control instances.
    grace_s : float
        Time from the stop request until the process is killed.
    link_bits_per_s : float
        Rate of the instance's link.
    flow_limit_count : int
        Maximum number of recorded flows.
    listen_host : str, optional
        Address to bind for registry messages if it is not the advertised one.
    report_interval_s : float, optional
        Time between two reports of a run.
    cold_overshoot : float, optional
        Factor on the rate of cold runs, to get the limit.
    cold_slack_per_s : float, optional
        New flows per second that are added to the limit.
    parts : Parts, optional
        Optional functions that are enabled, such as relaying of openings.
    policies : Policies, optional
        Thresholds and switches of the instance.
    """

    name: str
    failure_domain: str
    datagrams: str
    registry: str
    seeds: tuple[bytes, ...]
    grace_s: float
    link_bits_per_s: float
    flow_limit_count: int = 100_000
    listen_host: str = ""
    report_interval_s: float = 1.0
    cold_overshoot: float = 1.0
    cold_slack_per_s: float = 0.0
    parts: Parts = NO_PARTS
    policies: Policies = DEFAULT_POLICIES


class LabelEntryInstance(Service):
    """Forwards packets to the backend servers reported by control instances.

    Parameters
    ----------
    settings : LabelEntrySettings
        Settings of the instance.
    codec : PacketCodec
        Wire format of the packets.
    counters : Counters
        Counters of the process.
    """

    def __init__(
        self, settings: LabelEntrySettings, codec: PacketCodec, counters: Counters
    ):
        super().__init__()
        self._settings = settings
        self.counters = counters
        self.timers = self.add_dependency(TimerService())
        now_s = self.timers.now_s
        policies = settings.policies
        self.readiness = Readiness(now_s, policies)
        self.view = BackendView(now_s, counters, policies, settings.report_interval_s)
        self._cold = ColdLimits(settings.cold_overshoot, settings.cold_slack_per_s)
        self._socket = open_socket(settings.datagrams)
        self.sender = PacedSender(
            make_sender(self._socket, counters),
            settings.link_bits_per_s if policies.paces_packets else _UNPACED_BITS_PER_S,
            now_s,
            lambda delay_s, call: asyncio.get_running_loop().call_later(delay_s, call),
            counters,
        )
        self.forwarder = LabelForwarder(
            codec,
            self.view,
            settings.failure_domain,
            self.sender.send,
            now_s,
            counters,
            settings.flow_limit_count,
            lambda: self.subscription.is_complete(),
            policies,
            self._cold,
        )
        prober = RunProber(open_and_close, self.add_future, now_s, counters)
        self.forwarder.suspects.probe = prober.probe
        self._transport = RegistryTransport(
            listen_address(settings.registry, settings.listen_host),
            counters,
            settings.failure_domain,
        )
        self.subscription = Subscription(
            settings.failure_domain,
            False,
            list(settings.seeds),
            pack_address(parse_address(settings.registry)),
            self._transport.send,
            now_s,
            self.view.update_run,
            self._on_routes,
            counters,
            EvacuationReceiver(self.view.set_evacuations),
        )
        if settings.parts.relays_openings:
            self.forwarder.shared_placing = make_shared_placing(
                pack_address(parse_address(settings.registry)),
                settings.failure_domain,
                codec,
                self.forwarder,
                self.view,
                self._cold,
                self._transport.send,
                now_s,
                counters,
                policies,
            )
        self.answer_reporter = (
            self._make_answer_reporter() if settings.parts.judges_answers else None
        )
        self.subscription.presence = PRESENCE_AWAY
        self._last_delta_s = 0.0
        self.is_ready = False

    def _make_answer_reporter(self) -> AnswerReporter:
        return AnswerReporter(
            self.forwarder,
            self.view,
            self._settings.failure_domain,
            self.subscription.reachable_links,
            self._transport.send,
            self.timers.now_s,
            self.counters,
        )

    async def on_start(self) -> None:
        """Start reading the sockets and polling control instances."""
        self._transport.start(self._on_message)
        start_reading(
            self._socket,
            make_reader(self._socket, self.forwarder.on_datagram, self.counters),
        )
        self.timers.subscribe(_POLL_INTERVAL_S, self.subscription.poll)
        if self._settings.policies.asks_urgently:
            self.timers.subscribe(
                _UNANSWERED_POLL_INTERVAL_S, self.subscription.probe_if_unreachable
            )
        self.timers.subscribe(_CONTROL_STATE_INTERVAL_S, self._apply_control_state)
        self.timers.subscribe(_SUSPECT_CHECK_INTERVAL_S, self._reset_and_report)
        self.timers.subscribe(_READINESS_CHECK_INTERVAL_S, self._check_ready)
        self.timers.subscribe(_SWEEP_INTERVAL_S, self._sweep)
        if self.forwarder.shared_placing:
            self.timers.subscribe(
                _OPENING_QUEUE_INTERVAL_S, self.forwarder.shared_placing.tick
            )
        if self.answer_reporter:
            self.timers.subscribe(REPORT_INTERVAL_S, self.answer_reporter.tick)
        self.subscription.poll()
        log.info(Event.ENTRY_STARTED, instance=self._settings.name)

    async def on_stop(self) -> None:
        """Close the sockets."""
        close_socket(self._socket)
        self._transport.close()

    async def leave(self) -> None:
        """Wait for a turn, become not ready and forward packets for the notice time."""
        settings = self._settings
        departure = Departure(self.timers.now_s, settings.grace_s, settings.policies)
        waited_s = await self._wait_for_turn(departure)
        log.info(
            Event.LEAVING, flows=len(self.forwarder.loads), waited_s=round(waited_s, 3)
        )
        self.readiness.stopping = True
        self._check_ready()
        await asyncio.sleep(departure.notice_s)

    async def _wait_for_turn(self, departure: Departure) -> float:
        self.subscription.presence = PRESENCE_LEAVING
        self.subscription.poll()
        while not departure.may_leave(
            self.subscription.own_domain_view(departure.requested_s)
        ):
            await asyncio.sleep(_LEAVING_POLL_INTERVAL_S)
            self.subscription.poll()
        return self.timers.now_s() - departure.requested_s

    def _on_message(self, message: RegistryMessage, source: bytes) -> None:
        body = message.WhichOneof("body")
        if body == "delta":
            self._last_delta_s = self.timers.now_s()
            self.subscription.on_delta(message.delta, source)
        elif body == "routes":
            self.subscription.on_chunk(message.routes, source)
        elif body == "evacuations":
            self.subscription.on_evacuations(message.evacuations, source)
        elif body == "sightings":
            self.forwarder.sighting_exchange.receive(message.sightings)
        elif body == "weights" and self.answer_reporter:
            self.answer_reporter.on_weights(message.weights, source)
        elif self.forwarder.shared_placing:
            self.forwarder.shared_placing.on_message(message, source)

    def _on_routes(self, table: RoutingTable) -> None:
        self.forwarder.apply_table(decode_table(table))

    def _apply_control_state(self) -> None:
        self.forwarder.tick()
        self.view.update_reporting(self.subscription.is_reporting)
        self._cold.rank = most_complete_rank(
            self.subscription.reachable_links(), self._settings.failure_domain
        )
        if self.forwarder.shared_placing:
            dispatchers = merge_dispatchers(
                self.subscription.reachable_links(), self.timers.now_s()
            )
            self.forwarder.shared_placing.set_dispatchers(dispatchers)
        if self._settings.policies.serves_evacuated_when_cut_off:
            self.view.set_exempt_domain(
                self._settings.failure_domain if self._is_cut_off() else ""
            )

    def _is_cut_off(self) -> bool:
        domain = self._settings.failure_domain
        if self.view.has_answer_from_other_domains(
            domain, self.timers.now_s() - _CUT_OFF_TIMEOUT_S
        ):
            return False
        links = self.subscription.links.values()
        if not are_other_domains_unreachable(links, domain, self.timers.now_s()):
            return False
        return is_cut_off(links, self.subscription.reachable_links(), domain)

    def _reset_and_report(self) -> None:
        self.forwarder.reset_flows_of_lost_runs()
        if not self._settings.policies.shares_sightings:
            return
        sightings = self.forwarder.sightings()
        if sightings:
            self.subscription.send_sightings(sightings)

    def _sweep(self) -> None:
        now_s = self.timers.now_s()
        self.forwarder.loads.sweep(now_s)
        self._cold.sweep(now_s)
        if self.forwarder.shared_placing:
            self.forwarder.shared_placing.sweep()

    def _check_ready(self) -> None:
        ready = self.readiness.check(
            has_table=self.forwarder.table.version > 0,
            has_backends=len(self.view) > 0,
            is_complete=self.subscription.is_complete(),
            last_delta_s=self._last_delta_s,
        )
        if ready != self.is_ready:
            log.info(
                Event.READY if ready else Event.NOT_READY,
                version=self.forwarder.table.version,
                backends=len(self.view),
                controls=len(self.subscription.reachable_links()),
            )
        self.is_ready = ready
        self._update_presence()

    def _update_presence(self) -> None:
        if self.subscription.presence == PRESENCE_LEAVING and self.is_ready:
            return  # waits to leave, and still serves
        presence = PRESENCE_SERVING if self.is_ready else PRESENCE_AWAY
        if presence != self.subscription.presence:
            self.subscription.presence = presence
            self.subscription.poll()

    def measures(self) -> Metrics:
        """Return the metrics of this instance.

        Returns
        -------
        Metrics
            Counters, gauges and histograms; their values are read at each export.
        """
        return make_measures(
            self.counters,
            self.forwarder,
            self.view,
            self.subscription,
            lambda: float(self.sender.queued_bytes),
            {
                "ready": lambda: float(self.is_ready),
                "control_silent_s": lambda: self.timers.now_s() - self._last_delta_s,
            },
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the instance for a dump.

        Returns
        -------
        dict
            JSON-serializable.
        """
        return (self.answer_reporter.dump() if self.answer_reporter else {}) | {
            "instance": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "ready": self.is_ready,
            "routes_version": self.forwarder.table.version,
            "flows": len(self.forwarder.loads),
            "backends": self.view.dump(),
            "policies": asdict(self._settings.policies),
            "counters": dict(self.counters),
        }
