"""The settings of a process."""

from dataclasses import dataclass, field

ROLES = ("entry", "control")


def _address(**kwargs: str):
    return field(metadata={"address": True}, **kwargs)


def _bounded(default: float, minimum: float, maximum: float):
    bounds = {"minimum": minimum, "maximum": maximum}
    return field(default=default, metadata=bounds)


@dataclass(frozen=True)
class LoggingSettings:
    """How a process writes its log."""

    format: str = field(default="human", metadata={"choices": ("human", "json")})
    level: str = field(
        default="info", metadata={"choices": ("debug", "info", "warning", "error")}
    )


@dataclass(frozen=True)
class TlsSettings:
    """Key files of a process, for gRPC with both sides authenticated."""

    certificate_file: str
    key_file: str
    authority_file: str


@dataclass(frozen=True)
class EntrySettings:
    """Addresses and limits of the entry role."""

    #: Where callers' datagrams arrive.
    listen: str = _address()
    #: Where backend servers and other entry instances send.
    inner: str = _address()
    #: File with the key that seals cookies, tokens and peer datagrams.
    seal_key_file: str
    #: Address under which the others reach `inner`, where it differs.
    inner_advertised: str = _address(default="")
    #: Inner addresses of a few entry instances, to join the fleet.
    seeds: tuple[str, ...] = _address(default=())
    #: gRPC addresses of control instances.
    control: tuple[str, ...] = _address(default=())
    #: Key that backend servers sign announcements with; empty: unsigned ones pass.
    announce_key_file: str = ""
    #: Time between probes of other instances.
    probe_interval_s: float = _bounded(0.2, 0.02, 10.0)
    #: Time from suspecting an instance to calling it dead.
    suspicion_s: float = _bounded(0.5, 0.05, 60.0)
    #: Time an instance waits after joining before it dispatches.
    warm_up_s: float = _bounded(1.5, 0.0, 60.0)
    #: How long a verdict is kept for late copies.
    retention_s: float = _bounded(60.0, 1.0, 3600.0)
    #: Bound on tracked operations.
    operation_limit_count: int = _bounded(200_000, 1, 10_000_000)
    #: Bound on flows whose placement this instance counts.
    flow_limit_count: int = _bounded(500_000, 1, 10_000_000)
    #: Time a claim may take before the operation is refused.
    claim_timeout_s: float = _bounded(0.4, 0.01, 10.0)
    #: Memory for requests and answers that arrive in fragments.
    transfer_limit_bytes: int = _bounded(64 << 20, 1 << 20, 1 << 34)
    #: Share of it that one caller may hold.
    caller_transfer_ratio: float = _bounded(0.25, 0.01, 1.0)
    #: Longest time a stopping instance waits for its operations.
    stop_limit_s: float = _bounded(30.0, 0.0, 3600.0)


@dataclass(frozen=True)
class ControlSettings:
    """Members and storage of the control role."""

    data_dir: str
    #: gRPC address of each control instance, by its name, this one among them.
    members: dict[str, str] = field(default_factory=dict)
    heartbeat_interval_s: float = _bounded(0.1, 0.01, 10.0)
    election_timeout_s: float = _bounded(0.6, 0.05, 60.0)
    #: Log entries kept before a snapshot replaces them.
    snapshot_entry_count: int = _bounded(1_000, 10, 1_000_000)


@dataclass(frozen=True)
class Settings:
    """All the settings of one process."""

    name: str
    failure_domain: str
    roles: tuple[str, ...] = field(metadata={"choices": ROLES})
    #: Where operators and control instances reach this process by gRPC.
    admin: str = _address()
    entry: EntrySettings | None = None
    control: ControlSettings | None = None
    tls: TlsSettings | None = None
    #: Lets gRPC run without TLS; a warning is logged.
    plain_text: bool = False
    #: Prometheus text endpoint; empty for none.
    metrics: str = _address(default="")
    logging: LoggingSettings = field(default_factory=LoggingSettings)
