"""The document that drives one service."""

from dataclasses import dataclass, field

from agatethread.exceptions import DocumentError
from agatethread.settings._checking import structure_checked


def _bounded(default: float, minimum: float, maximum: float):
    bounds = {"minimum": minimum, "maximum": maximum}
    return field(default=default, metadata=bounds)


@dataclass(frozen=True)
class ServiceDocument:
    """What a service's team says of it."""

    service: str
    version: int = field(metadata={"minimum": 1, "maximum": 2**53})
    #: 0 is served first, 9 is shed first.
    urgency: int = _bounded(5, 0, 9)
    #: Longest queue of requests waiting for a slot.
    queue_limit_count: int = _bounded(1_000, 0, 100_000)
    #: Budget of retries, as a share of requests.
    retry_ratio: float = _bounded(0.2, 0.0, 1.0)
    #: Time over which a new backend server's share grows to full.
    ramp_s: float = _bounded(5.0, 0.0, 3600.0)
    #: Longest time that streams may stay on a draining backend server.
    drain_limit_s: float = _bounded(14_400.0, 0.0, 604_800.0)
    #: Longest deadline that a request may ask for.
    deadline_limit_ms: int = _bounded(60_000, 1, 3_600_000)
    #: Weight of each failure domain's backend servers; 1 where none is given.
    domain_weights: dict[str, float] = field(default_factory=dict)
    #: Free text for the team.
    note: str = ""


def parse_document(source: str, text: str) -> ServiceDocument:
    """Read and check a service document.

    Parameters
    ----------
    source : str
        What to call the text in errors.
    text : str
        JSON with comments.

    Returns
    -------
    ServiceDocument
        The checked document.

    Raises
    ------
    DocumentError
        With a `FieldError` for each fault.
    """
    return structure_checked(source, text, ServiceDocument, DocumentError)
