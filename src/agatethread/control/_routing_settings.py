"""Settings of a control instance that keeps a routing table."""

from dataclasses import dataclass, field

from agatethread.settings import ControlSettings, TlsSettings
from agatethread.wire.control_pb2 import ControlMember


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
    voter_count : int
        Voters that are needed to bear the losses to be borne.
    control : ControlSettings
        Data folder and timing of the log.
    """

    name: str
    failure_domain: str
    target: str
    registry: str
    api: str
    seeds: tuple[ControlMember, ...]
    is_first_start: bool
    report_interval_s: float
    voter_count: int
    control: ControlSettings
    tls: TlsSettings | None = field(default=None)
