"""Data classes of the settings of a process."""

from dataclasses import dataclass, field

ROLES = ("entry", "control")


def _address(**kwargs: str):
    return field(metadata={"address": True}, **kwargs)


def _bounded(default: float, minimum: float, maximum: float):
    bounds = {"minimum": minimum, "maximum": maximum}
    return field(default=default, metadata=bounds)


@dataclass(frozen=True)
class LoggingSettings:
    """Format and level of a process's log."""

    format: str = field(default="human", metadata={"choices": ("human", "json")})
    level: str = field(
        default="info", metadata={"choices": ("debug", "info", "warning", "error")}
    )


@dataclass(frozen=True)
class TlsSettings:
    """Key files of a process for gRPC with mutual TLS."""

    certificate_file: str
    key_file: str
    authority_file: str


@dataclass(frozen=True)
class EntrySettings:
    """Addresses, timeouts and limits of the entry role."""

    #: Address that receives the datagrams of callers.
    listen: str = _address()
    #: Address that receives the datagrams of backend servers and other entry instances.
    inner: str = _address()
    #: File with the key that seals cookies, tokens and peer datagrams.
    seal_key_file: str
    #: Address at which other processes reach `inner`, if it differs.
    inner_advertised: str = _address(default="")
    #: Inner addresses of some entry instances, through which this one joins the fleet.
    seeds: tuple[str, ...] = _address(default=())
    #: gRPC addresses of control instances.
    control: tuple[str, ...] = _address(default=())
    #: File with the key that signs announcements of backend servers; empty: unsigned
    #: announcements are accepted.
    announce_key_file: str = ""
    #: Interval between probes of other instances.
    probe_interval_s: float = _bounded(0.2, 0.02, 10.0)
    #: Time from suspecting an instance to declaring it dead.
    suspicion_s: float = _bounded(0.5, 0.05, 60.0)
    #: Time from joining the fleet until an instance dispatches requests.
    warm_up_s: float = _bounded(1.5, 0.0, 60.0)
    #: Time for which the verdict on an operation is stored, for late copies.
    retention_s: float = _bounded(60.0, 1.0, 3600.0)
    #: Maximum number of tracked operations.
    operation_limit_count: int = _bounded(200_000, 1, 10_000_000)
    #: Maximum number of flows whose placement this instance counts.
    flow_limit_count: int = _bounded(500_000, 1, 10_000_000)
    #: Timeout of a claim, after which the operation is refused.
    claim_timeout_s: float = _bounded(0.4, 0.01, 10.0)
    #: Memory for requests and answers that are received in fragments.
    transfer_limit_bytes: int = _bounded(64 << 20, 1 << 20, 1 << 34)
    #: Share of `transfer_limit_bytes` that one caller may use.
    caller_transfer_ratio: float = _bounded(0.25, 0.01, 1.0)
    #: Maximum time that a stopping instance waits for its operations.
    stop_limit_s: float = _bounded(30.0, 0.0, 3600.0)


@dataclass(frozen=True)
class ControlSettings:
    """Members, timeouts and storage of the control role."""

    data_dir: str
    #: gRPC addresses of all control instances by name, including this one.
    members: dict[str, str] = field(default_factory=dict)
    heartbeat_interval_s: float = _bounded(0.1, 0.01, 10.0)
    election_timeout_s: float = _bounded(0.6, 0.05, 60.0)
    #: Number of log entries after which a snapshot replaces them.
    snapshot_entry_count: int = _bounded(1_000, 10, 1_000_000)


@dataclass(frozen=True)
class Settings:
    """All settings of one process."""

    name: str
    failure_domain: str
    roles: tuple[str, ...] = field(metadata={"choices": ROLES})
    #: gRPC address at which operators and control instances reach this process.
    admin: str = _address()
    entry: EntrySettings | None = None
    control: ControlSettings | None = None
    tls: TlsSettings | None = None
    #: Whether gRPC may run without TLS; a warning is logged.
    plain_text: bool = False
    #: Address of the Prometheus text endpoint; empty for none.
    metrics: str = _address(default="")
    logging: LoggingSettings = field(default_factory=LoggingSettings)
