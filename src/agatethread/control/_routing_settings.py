"""Settings of a control instance with a routing table."""

from dataclasses import dataclass, field

from agatethread.settings import (
    DEFAULT_POLICIES,
    NO_PARTS,
    ControlSettings,
    Parts,
    Policies,
    TlsSettings,
)
from agatethread.wire.control_pb2 import ControlMember

#: The entry count is low, since an entry can hold a whole table, and all entries after
#: the snapshot are applied at a start before a table is sent.
DEFAULT_TIMING = ControlSettings(data_dir="", snapshot_entry_count=16)
#: Part of `catchup_s` after which a silent voter is replaced.
_VOTER_TIMEOUT_RATIO = 0.25
#: Part of `grace_s` for which a stop may be delayed by the handover of a vote.
_HANDOVER_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class RoutingControlSettings:
    """Addresses, limits and policies of a control instance.

    Attributes
    ----------
    name : str
        Name of the instance, for logs.
    failure_domain : str
        Failure domain of the instance.
    target : str
        ``IP:port`` where other control instances reach its Raft service.
    registry : str
        ``IP:port`` of its registry socket.
    api : str
        ``IP:port`` where operators reach it.
    seeds : tuple of ControlMember
        Some control instances; at the first start all initial members.
    is_first_start : bool
        Whether the whole system starts for the first time.
    report_interval_s : float
        Interval between reports of a backend server.
    losses_borne : int
        Number of control instances whose simultaneous loss must be tolerated.
    catchup_s : float
        Time after which an instance that has started or returned must be able to
        replace another one, so that the next loss is tolerated.
    grace_s : float
        Time from the request to stop to the end of the process.
    data_dir : str
        Data folder.
    listen_host : str, optional
        IP address to listen at, if it differs from the advertised one, such as behind
        NAT.
    timing : ControlSettings, optional
        Timing and snapshot interval of the log; `data_dir` and `members` of these
        settings are not used.
    parts : Parts, optional
        Optional parts that the deployment uses.
    policies : Policies, optional
        Policies of the instance.
    tls : TlsSettings, optional
        Key files for TLS; None disables it.
    """

    name: str
    failure_domain: str
    target: str
    registry: str
    api: str
    seeds: tuple[ControlMember, ...]
    is_first_start: bool
    report_interval_s: float
    losses_borne: int
    catchup_s: float
    grace_s: float
    data_dir: str
    listen_host: str = ""
    timing: ControlSettings = DEFAULT_TIMING
    parts: Parts = NO_PARTS
    policies: Policies = DEFAULT_POLICIES
    tls: TlsSettings | None = field(default=None)

    @property
    def voter_count(self) -> int:
        """Number of voters: 2f + 1 for f losses to be tolerated."""
        return 2 * self.losses_borne + 1

    @property
    def voter_timeout_s(self) -> float:
        """Time after which a silent voter is replaced, if a learner is ready.

        Leaves the greater part of `catchup_s` for an election, the join of the learner
        and the change of the members. Not less than the time after which a silent
        leader is replaced.
        """
        share_s = _VOTER_TIMEOUT_RATIO * self.catchup_s
        return max(share_s, self.timing.election_timeout_s)

    @property
    def handover_timeout_s(self) -> float:
        """Longest time for which a stop is delayed until another instance votes."""
        return _HANDOVER_RATIO * self.grace_s
