"""Settings of a control instance that keeps a routing table."""

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

#: Each entry is a whole table, so a snapshot takes no more of a disk than one of them.
#: What follows it is applied at a start before entry instances get a table: 60 entries
#: of 1,600 routes took 0.40 s of processor time, 16 take 0.04.
DEFAULT_TIMING = ControlSettings(data_dir="", snapshot_entry_count=16)


@dataclass(frozen=True, slots=True)
class RoutingControlSettings:
    """Addresses and sizes of a control instance.

    Attributes
    ----------
    name : str
        Of the instance, for logs.
    failure_domain : str
        Of the instance.
    target : str
        ``IP:port`` where other control instances reach it.
    registry : str
        ``IP:port`` of its registry socket.
    api : str
        ``IP:port`` where operators reach it.
    seeds : tuple of ControlMember
        Some control instances; at the first start the founders.
    is_first_start : bool
        Whether the whole system starts for the first time.
    report_interval_s : float
        Time between reports of a backend server.
    losses_borne : int
        Control instances whose loss at the same time has to be borne.
    data_dir : str
        Folder on a disk.
    listen_host : str, optional
        IP number to listen at for other instances, where something in between forwards
        what they send to the advertised one.
    timing : ControlSettings, optional
        Timing of the log; its folder and members are not used.
    parts : Parts, optional
        Which parts the deployment calls for.
    policies : Policies, optional
        What it decides by.
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
    data_dir: str
    listen_host: str = ""
    timing: ControlSettings = DEFAULT_TIMING
    parts: Parts = NO_PARTS
    policies: Policies = DEFAULT_POLICIES
    tls: TlsSettings | None = field(default=None)

    @property
    def voter_count(self) -> int:
        """Voters of which a majority is left after the losses to be borne."""
        return 2 * self.losses_borne + 1
