"""The events that the platform's processes log, and the fields of their lines.

They are documented in docs/OPERATIONS.md; a test compares the code, this list and that
page.
"""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType


class Event(StrEnum):
    """An event; its value is the `message` of its log lines."""

    # Packets and flows.
    FLOW_PLACED = "flow placed"
    FLOW_RESET = "flow reset"
    PACKET_DROPPED = "packet dropped"
    DATAGRAM_FAILED = "a datagram's handler failed"

    # Openings of flows under pressure.
    PRESSURE_BEGINS = "pressure begins: openings are relayed"
    PRESSURE_ENDS = "pressure ends: openings are placed here"
    OPENING_RELAYED = "opening relayed"
    OPENING_HANDED_OVER = "opening handed over"
    OPENING_DEFERRED = "opening behind all others: its caller took more than its share"
    OPENING_REFUSED = "opening refused: no room in time"
    DISPATCHER_SILENT = "dispatcher silent: it gets no openings"

    # Backend servers, logged by entry instances.
    RUN_ADDED = "backend server known"
    RUN_REPORTING = "backend server reporting"
    RUN_DRAINING = "backend server draining"
    RUN_REVIVED = "backend server live after all"
    RUN_SILENT = "backend server silent"
    BACKEND_AVOIDED = "backend server avoided: it does not answer"
    BACKEND_UNREACHABLE = "backend server unreachable: its flows end"
    BACKEND_PROBED = "backend server probed"
    BACKEND_ANSWERS = "backend server answers again"
    BACKEND_ANSWERS_AFTER_END = "backend server answers after its end"
    BACKEND_SHARE_CHANGED = "backend server's share of new work"
    LABEL_COLLISION = "two runs share a label"
    LABEL_RETAKEN = "label free again: its run gets work"

    # Backend servers, logged by control instances.
    BACKEND_REPORTS = "backend server reports"
    BACKEND_STOPPED = "backend server stopped reporting"
    BACKEND_ENDED = "backend server ended"
    REPORT_REFUSED = "report not taken"
    END_REPEATED = "end reported again: its answer was lost"
    END_REFUSED = "end not taken: it may mean an earlier run"
    BACKEND_QUALITY_CHANGED = "backend server judged by its answers"
    PROPAGATION_TIMEOUT = "not known everywhere in time"

    # State, readiness and control connections of an entry instance.
    TABLE_IN_FORCE = "routing table in force"
    EVACUATIONS_IN_FORCE = "evacuations in force"
    EVACUATION_BYPASSED = "cut off: evacuated backend servers get work"
    READY = "ready"
    NOT_READY = "not ready"
    CONTROL_REACHABLE = "control instance in sight"
    FOLLOWS_OWN_DOMAIN = "control followed at home only"
    FOLLOWS_OTHER_DOMAINS = "control followed elsewhere too"
    CONTROL_UNREACHABLE = "control instance out of sight"

    # Configuration changes.
    CHANGE_AGREED = "change agreed"
    CHANGE_SUPERSEDED = "change overtaken"
    EVACUATION_AGREED = "evacuation agreed"
    CALL_REFUSED = "call refused"
    CALL_NOT_ANSWERED = "call not answered"

    # The replicated log and its members.
    LEADERSHIP_STARTED = "leader"
    LEADERSHIP_ENDED = "no longer leader"
    QUORUM_LOST = "leader lost its quorum"
    LEADER_NOT_VOTER = "leader is no voter any more"
    LEADER_WRITE_FAILED = "leader can't write: another one should lead"
    CANDIDACY_FAILED = "can't stand for election: disk"
    MEMBERS_CHANGE = "members change"
    MEMBERS_NOT_CHANGED = "members not changed"
    JOIN_FAILED = "not taken in"
    LEAVE_FAILED = "stop not announced"
    VOTE_HANDED_OVER = "stop announced: vote handed over or no successor"
    VOTE_NOT_HANDED_OVER = "vote not handed over in time"
    FIRST_START = "first start"
    EMPTY_DISK = "empty disk: joining as a new member"
    LOG_OPENED = "log opened"

    # Disk failures.
    LOG_NOT_OPENED = "log not opened: disk"
    LOG_SET_ASIDE = "log set aside: damaged"
    LOG_NOT_SET_ASIDE = "log not set aside: disk"
    LOG_NOT_COMPACTED = "log not compacted: disk"
    LOG_CALL_NOT_ANSWERED = "call not answered: disk"
    TERM_NOT_SAVED = "could not take a newer term: disk"
    COMMIT_NOT_SAVED = "commit index not saved: disk"
    HINTS_NOT_SAVED = "hints for a restart not saved: disk"
    HINTS_NOT_READ = "file of backend servers not read"
    HINTS_DAMAGED = "file of backend servers is not whole"

    # Processes, settings and calls.
    STARTED = "started"
    ENTRY_STARTED = "entry instance started"
    CONTROL_STARTED = "control instance started"
    LEAVING = "leaving"
    STOPPING = "stopping"
    STOPPED = "stopped"
    SETTINGS_READ = "settings read again"
    SETTINGS_INVALID = "changed settings are wrong, the old ones stay"
    SETTINGS_UNREADABLE = "changed settings can't be read"
    CALL_FAILED = "a call's handler failed"
    CALL_UNREADABLE = "call can't be read"
    CALL_TOO_LARGE = "call's body too large"
    CONNECTION_LOST = "connection lost"
    CONNECTION_CLOSED = "connection closed by the stop"


#: Fields of a change of a run at an entry instance.
_RUN_FIELDS = frozenset(
    {
        "run",
        "started_ms",
        "service",
        "sequence",
        "told_by",
        "last_report_ago_s",
        "restored",
    }
)
#: Fields of each event besides the common ones (time, level, instance, failure domain,
#: part). A line may lack some of them.
EVENT_FIELDS: Mapping[Event, frozenset[str]] = MappingProxyType(
    {
        Event.FLOW_PLACED: frozenset(
            {
                "flow",
                "copy",
                "run",
                "label",
                "service",
                "in_flight",
                "flows",
                "failures",
                "told_ago_s",
                "tried",
                "table_version",
                "waited_s",
            }
        ),
        Event.PRESSURE_BEGINS: frozenset(
            {"service", "in_flight", "entries", "dispatchers"}
        ),
        Event.PRESSURE_ENDS: frozenset(
            {"service", "in_flight", "entries", "dispatchers"}
        ),
        Event.OPENING_RELAYED: frozenset(
            {"flow", "copy", "service", "dispatcher", "waited_s", "table_version"}
        ),
        Event.OPENING_HANDED_OVER: frozenset(
            {"flow", "service", "dispatcher", "waited_s", "crosses"}
        ),
        Event.OPENING_DEFERRED: frozenset({"flow", "service"}),
        Event.OPENING_REFUSED: frozenset(
            {
                "flow",
                "service",
                "urgency",
                "waited_s",
                "waiting",
                "places",
                "place_time_s",
            }
        ),
        Event.DISPATCHER_SILENT: frozenset({"dispatcher", "flow", "waited_s"}),
        Event.FLOW_RESET: frozenset(
            {
                "why",
                "flow",
                "label",
                "table_version",
                "run",
                "run_known_from",
                "last_packet_ago_s",
                "asked_ago_s",
                "end",
                "told_by",
                "told_ago_s",
                "last_report_ago_s",
                "last_answer_ago_s",
                "silent_s",
                "flows_waiting",
                "answered_by",
                "observers",
                "probe_failed_ago_s",
            }
        ),
        Event.PACKET_DROPPED: frozenset({"why", "flow", "label", "table_version"}),
        Event.DATAGRAM_FAILED: frozenset(),
        Event.RUN_ADDED: _RUN_FIELDS,
        Event.RUN_REPORTING: _RUN_FIELDS,
        Event.RUN_DRAINING: _RUN_FIELDS,
        Event.RUN_REVIVED: _RUN_FIELDS,
        Event.RUN_SILENT: _RUN_FIELDS,
        Event.BACKEND_AVOIDED: frozenset(
            {"run", "failures", "last_answer_ago_s", "pause_s"}
        ),
        Event.BACKEND_UNREACHABLE: frozenset(
            {
                "run",
                "flows_waiting",
                "silent_s",
                "answered_by",
                "waiting_everywhere",
                "observers",
            }
        ),
        Event.BACKEND_PROBED: frozenset({"run", "outcome", "took_s"}),
        Event.BACKEND_ANSWERS: frozenset({"run"}),
        Event.BACKEND_ANSWERS_AFTER_END: frozenset({"run", "end", "ended_ago_s"}),
        Event.BACKEND_SHARE_CHANGED: frozenset({"run", "percent", "percent_before"}),
        Event.LABEL_COLLISION: frozenset({"kept", "other"}),
        Event.LABEL_RETAKEN: frozenset({"run"}),
        Event.BACKEND_REPORTS: frozenset(
            {
                "run",
                "started_ms",
                "service",
                "sequence",
                "draining",
                "new",
                "warm_up_ms",
            }
        ),
        Event.BACKEND_STOPPED: frozenset(
            {"run", "started_ms", "service", "last_report_ago_s"}
        ),
        Event.BACKEND_ENDED: frozenset(
            {
                "run",
                "started_ms",
                "service",
                "sequence",
                "why",
                "end",
                "told_by",
                "other_run",
                "last_report_ago_s",
                "last_report_by",
            }
        ),
        Event.END_REPEATED: frozenset({"run", "started_ms", "ended_ago_s"}),
        Event.END_REFUSED: frozenset({"run", "started_ms", "ended_started_ms"}),
        Event.REPORT_REFUSED: frozenset(
            {"run", "started_ms", "why", "holder", "holder_heard_ago_s"}
        ),
        Event.BACKEND_QUALITY_CHANGED: frozenset(
            {
                "run",
                "service",
                "quality",
                "quality_before",
                "weight",
                "chance",
                "answers",
                "slow",
                "failed",
                "recent_answers",
                "recent_bad",
                "fresh_answers",
                "fresh_bad",
                "observers",
            }
        ),
        Event.PROPAGATION_TIMEOUT: frozenset({"what", "run"}),
        Event.TABLE_IN_FORCE: frozenset({"version", "version_before", "routes"}),
        Event.EVACUATIONS_IN_FORCE: frozenset({"domains"}),
        Event.EVACUATION_BYPASSED: frozenset({"domain"}),
        Event.READY: frozenset({"version", "backends", "controls"}),
        Event.NOT_READY: frozenset({"version", "backends", "controls"}),
        Event.CONTROL_REACHABLE: frozenset({"address", "failure_domain", "settled"}),
        Event.FOLLOWS_OWN_DOMAIN: frozenset({"followed"}),
        Event.FOLLOWS_OTHER_DOMAINS: frozenset({"at_home", "unheard"}),
        Event.CONTROL_UNREACHABLE: frozenset(
            {"address", "failure_domain", "silent_s", "unanswered_s", "unanswered"}
        ),
        Event.CHANGE_AGREED: frozenset(
            {"version", "version_before", "index", "term", "took_s"}
        ),
        Event.CHANGE_SUPERSEDED: frozenset({"version", "version_held"}),
        Event.EVACUATION_AGREED: frozenset(
            {
                "domain",
                "evacuated",
                "version",
                "index",
                "term",
                "took_s",
                "told_s",
                "told_everywhere",
            }
        ),
        Event.CALL_REFUSED: frozenset({"path", "faults", "why"}),
        Event.CALL_NOT_ANSWERED: frozenset({"path", "why"}),
        Event.LEADERSHIP_STARTED: frozenset({"term", "last_index"}),
        Event.LEADERSHIP_ENDED: frozenset({"term", "leader"}),
        Event.QUORUM_LOST: frozenset({"term"}),
        Event.LEADER_NOT_VOTER: frozenset({"term"}),
        Event.LEADER_WRITE_FAILED: frozenset({"term"}),
        Event.CANDIDACY_FAILED: frozenset({"error"}),
        Event.MEMBERS_CHANGE: frozenset({"voters", "learners", "silent_s", "term"}),
        Event.MEMBERS_NOT_CHANGED: frozenset({"why"}),
        Event.JOIN_FAILED: frozenset({"target", "error"}),
        Event.LEAVE_FAILED: frozenset({"target", "error"}),
        Event.VOTE_HANDED_OVER: frozenset({"waited_s"}),
        Event.VOTE_NOT_HANDED_OVER: frozenset({"waited_s"}),
        Event.FIRST_START: frozenset({"name", "founders"}),
        Event.EMPTY_DISK: frozenset({"name"}),
        Event.LOG_OPENED: frozenset({"name", "last_index", "term", "members"}),
        Event.LOG_NOT_OPENED: frozenset({"error"}),
        Event.LOG_SET_ASIDE: frozenset({"error"}),
        Event.LOG_NOT_SET_ASIDE: frozenset({"error"}),
        Event.LOG_NOT_COMPACTED: frozenset({"error"}),
        Event.LOG_CALL_NOT_ANSWERED: frozenset({"error"}),
        Event.TERM_NOT_SAVED: frozenset({"error"}),
        Event.COMMIT_NOT_SAVED: frozenset({"error"}),
        Event.HINTS_NOT_SAVED: frozenset({"error"}),
        Event.HINTS_NOT_READ: frozenset({"error"}),
        Event.HINTS_DAMAGED: frozenset({"path"}),
        Event.STARTED: frozenset({"role", "first_start"}),
        Event.ENTRY_STARTED: frozenset({"instance"}),
        Event.CONTROL_STARTED: frozenset({"instance"}),
        Event.LEAVING: frozenset({"leads", "flows", "waited_s"}),
        Event.STOPPING: frozenset({"role"}),
        Event.STOPPED: frozenset({"role"}),
        Event.SETTINGS_READ: frozenset({"seeds"}),
        Event.SETTINGS_INVALID: frozenset({"faults"}),
        Event.SETTINGS_UNREADABLE: frozenset({"why"}),
        Event.CALL_FAILED: frozenset({"path"}),
        Event.CALL_UNREADABLE: frozenset({"error"}),
        Event.CALL_TOO_LARGE: frozenset({"status", "why"}),
        Event.CONNECTION_LOST: frozenset({"error"}),
        Event.CONNECTION_CLOSED: frozenset(),
    }
)
