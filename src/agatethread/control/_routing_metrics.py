"""Metrics and dump of a control instance."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from agatethread.control._raft import RaftNode
from agatethread.control._roles import Role
from agatethread.control._routing_settings import RoutingControlSettings
from agatethread.observability import Counters, Histogram, Metrics
from agatethread.registry import RegistryPublisher, RunTable


def make_measures(
    counters: Counters,
    runs: RunTable,
    hub: RegistryPublisher,
    get_node: Callable[[], RaftNode | None],
    change_s: Histogram,
) -> Metrics:
    """Return the metrics of a control instance.

    Parameters
    ----------
    counters : Counters
        The process's counters.
    runs : RunTable
        Runs of the backend servers.
    hub : RegistryPublisher
        Lists the subscribers.
    get_node : callable
        Returns the member of the log; None while the log is not open.
    change_s : Histogram
        Time from the request of a change until it was committed.

    Returns
    -------
    Metrics
        Values are read when metrics are requested.
    """

    def make_log_gauge(read: Callable[[RaftNode], float]) -> Callable[[], float]:
        def read_gauge() -> float:
            node = get_node()
            return read(node) if node is not None else 0.0

        return read_gauge

    return Metrics(
        counters,
        {
            "runs": lambda: float(len(runs)),
            "subscribers": lambda: float(len(hub.dump())),
            "leads": make_log_gauge(lambda node: float(node.role is Role.LEADER)),
            "term": make_log_gauge(lambda node: float(node.term)),
            "commit_index": make_log_gauge(lambda node: float(node.commit_index)),
            "leader_silent_s": make_log_gauge(lambda node: node.leader_silence_s),
            "routes_version": make_log_gauge(
                lambda node: float(node.documents.routes.version)
            ),
        },
        {"change_s": change_s},
    )


def dump_registry(
    settings: RoutingControlSettings,
    runs: RunTable,
    hub: RegistryPublisher,
    counters: Counters,
) -> dict[str, Any]:
    """Return the state of the registry of a control instance.

    Parameters
    ----------
    settings : RoutingControlSettings
        Settings of the instance.
    runs : RunTable
        Runs of the backend servers.
    hub : RegistryPublisher
        Lists the subscribers.
    counters : Counters
        The process's counters.

    Returns
    -------
    dict
        Values that JSON can hold.
    """
    return {
        "instance": settings.name,
        "failure_domain": settings.failure_domain,
        "runs": runs.dump(),
        "subscribers": hub.dump(),
        "policies": asdict(settings.policies),
        "counters": dict(counters),
    }


def dump_member(node: RaftNode) -> dict[str, Any]:
    """Return the state of a member of the log.

    Parameters
    ----------
    node : RaftNode
        The member.

    Returns
    -------
    dict
        Values that JSON can hold.
    """
    return {
        "name": node.name,
        "role": node.role.value,
        "term": node.term,
        "leader": node.leader,
        "commit_index": node.commit_index,
        "last_index": node.last_index,
        "routes_version": node.documents.routes.version,
        "evacuations_version": node.documents.evacuations.version,
        "evacuated": list(node.documents.evacuations.failure_domains),
        "members": [
            {
                "name": member.name,
                "voter": member.voter,
                "silent_s": round(node.silence_s(member.name), 3),
                "lag_count": node.lag_count(member.name),
            }
            for member in node.members.members
        ],
    }
