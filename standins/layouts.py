"""The users' layouts: where their instances and backend servers stand."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceLayout:
    """One service's backend servers and load.

    Attributes
    ----------
    endpoint_count : int
        Backend servers, dealt out over the failure domains in turn.
    urgency : int
        As in its document.
    service_time_ms : float
        Mean time of a request.
    stream_count : int
        Streams that the callers hold.
    requests_per_s : float
        Requests that the callers send.
    idempotent_share : float
        Share of them that may run twice.
    slots, connection_limit : int
        Of each backend server.
    upload_bytes : int
        Added to each request, and so to its answer.
    """

    endpoint_count: int
    urgency: int
    service_time_ms: float
    stream_count: int
    requests_per_s: float
    idempotent_share: float
    slots: int = 2
    connection_limit: int = 2_000
    upload_bytes: int = 0


@dataclass(frozen=True)
class Layout:
    """A fleet.

    Attributes
    ----------
    domains : tuple of str
        Failure domains.
    entry_count, control_count : int
        Instances, dealt out over the failure domains in turn.
    domain_delay_ms, caller_delay_ms : float
        One way.
    services : dict of str to ServiceLayout
        By name.
    """

    domains: tuple[str, ...]
    entry_count: int
    control_count: int
    domain_delay_ms: float
    caller_delay_ms: float
    services: dict[str, ServiceLayout]


FAELLESFANE = Layout(
    domains=("roskilde", "koege", "naestved"),
    entry_count=7,
    control_count=3,
    domain_delay_ms=1.0,
    caller_delay_ms=3.0,
    services={
        "tab": ServiceLayout(7, 0, 20, 350, 150, 0.3),
        "receipts": ServiceLayout(3, 5, 40, 30, 30, 1.0, upload_bytes=20_000),
    },
)
SERRA_GAUCHA = Layout(
    domains=("caxias-1", "caxias-2", "caxias-3", "caxias-4"),
    entry_count=9,
    control_count=3,
    domain_delay_ms=1.5,
    caller_delay_ms=3.0,
    services={
        "claims": ServiceLayout(7, 0, 20, 350, 150, 0.3),
        "evidence": ServiceLayout(4, 5, 40, 40, 40, 1.0, upload_bytes=20_000),
    },
)
LAYOUTS = {"faellesfane": FAELLESFANE, "serra-gaucha": SERRA_GAUCHA}
