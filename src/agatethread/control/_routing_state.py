"""What a control instance shows of its state."""

from collections.abc import Callable
from typing import Any

from agatethread.control._raft import RaftNode
from agatethread.control._roles import Role
from agatethread.observability import Counters, Histogram, Measures
from agatethread.registry import RegistryHub, RunTable


def make_measures(
    counters: Counters,
    runs: RunTable,
    hub: RegistryHub,
    find_node: Callable[[], RaftNode | None],
    change_s: Histogram,
) -> Measures:
    """Name what a control instance measures.

    Parameters
    ----------
    counters : Counters
        The process's counters.
    runs : RunTable
        The backend servers.
    hub : RegistryHub
        Tells the entry instances.
    find_node : callable
        Finds the member of the log; None while the log is not open.
    change_s : Histogram
        Time from a change until it was agreed.

    Returns
    -------
    Measures
        Read when somebody asks for metrics.
    """

    def of_log(read: Callable[[RaftNode], float]) -> Callable[[], float]:
        def measure() -> float:
            node = find_node()
            return read(node) if node is not None else 0.0

        return measure

    return Measures(
        counters,
        {
            "runs": lambda: float(len(runs)),
            "subscribers": lambda: float(len(hub.dump())),
            "leads": of_log(lambda node: float(node.role is Role.LEADER)),
            "term": of_log(lambda node: float(node.term)),
            "commit_index": of_log(lambda node: float(node.commit_index)),
            "leader_silent_s": of_log(lambda node: node.leader_silence_s),
            "routes_version": of_log(lambda node: float(node.documents.routes.version)),
        },
        {"change_s": change_s},
    )


def dump_log(node: RaftNode) -> dict[str, Any]:
    """Give the state of a member of the log.

    Parameters
    ----------
    node : RaftNode
        The member.

    Returns
    -------
    dict
        Ready for JSON.
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
