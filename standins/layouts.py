"""Layouts of fleets: failure domains, instances, backend servers and load."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceLayout:
    """The backend servers and the load of a service.

    Attributes
    ----------
    endpoint_count : int
        Number of backend servers, spread evenly over the failure domains.
    urgency : int
        Urgency in the document of the service.
    service_time_ms : float
        Mean duration of a request.
    stream_count : int
        Number of streams that the callers keep open.
    requests_per_s : float
        Rate of requests from the callers.
    idempotent_share : float
        Share of idempotent requests.
    slots, connection_limit : int
        Limits of each backend server.
    upload_bytes : int
        Size of the padding in each request and its answer.
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
    """The layout of a fleet.

    Attributes
    ----------
    domains : tuple of str
        Names of the failure domains.
    entry_count, control_count : int
        Number of instances, spread evenly over the failure domains.
    domain_delay_ms, caller_delay_ms : float
        One-way delays between failure domains, and between callers and instances.
    services : dict of str to ServiceLayout
        Services by name.
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
