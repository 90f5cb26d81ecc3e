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

#: Handles tables of 1,600 routes. Each entry holds a whole table, so a snapshot is no
#: larger than one; the entries after it are applied at a start before a table is sent.
DEFAULT_TIMING = ControlSettings(data_dir="", snapshot_entry_count=16)


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
        ``IP:port`` where other control instances reach it.
    registry : str
        ``IP:port`` of its registry socket.
    api : str
        ``IP:port`` where operators reach it.
    seeds : tuple of ControlMember
        Some control instances; at the first start the first members.
    is_first_start : bool
        Whether the whole system starts for the first time.
    report_interval_s : float
        Interval between reports of a backend server.
    losses_borne : int
        Number of control instances whose simultaneous loss must be tolerated.
    data_dir : str
        Data folder.
    listen_host : str, optional
        IP address to listen at, if other instances' traffic to the advertised one is
        forwarded to it.
    timing : ControlSettings, optional
        Timing of the log; its folder and members are not used.
    parts : Parts, optional
        Optional parts that the deployment uses.
    policies : Policies, optional
        Policies of the instance.
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
        """Number of voters that keeps a majority after the losses to be tolerated."""
        return 2 * self.losses_borne + 1
