"""The service document, which configures one service."""

from dataclasses import dataclass, field

from agatethread.exceptions import DocumentError, FieldError
from agatethread.settings._checking import parse_data_class

#: Far above a document with a weight for each failure domain. Bounds the time that the
#: slow parser of JSON with comments takes.
MAX_DOCUMENT_CHARS = 16_384


def _bounded(default: float, minimum: float, maximum: float):
    bounds = {"minimum": minimum, "maximum": maximum}
    return field(default=default, metadata=bounds)


@dataclass(frozen=True)
class ServiceDocument:
    """Configuration of one service, written by its team."""

    service: str
    version: int = field(metadata={"minimum": 1, "maximum": 2**53})
    #: Urgency of requests; 0 is served first, 9 is shed first.
    urgency: int = _bounded(5, 0, 9)
    #: Maximum number of requests that wait for a slot.
    queue_limit_count: int = _bounded(1_000, 0, 100_000)
    #: Retry budget, as a share of the requests.
    retry_ratio: float = _bounded(0.2, 0.0, 1.0)
    #: Time over which the share of a new backend server grows to its full size.
    ramp_s: float = _bounded(5.0, 0.0, 3600.0)
    #: Maximum time that streams may stay on a draining backend server.
    drain_limit_s: float = _bounded(14_400.0, 0.0, 604_800.0)
    #: Maximum deadline of a request.
    deadline_limit_ms: int = _bounded(60_000, 1, 3_600_000)
    #: Weight of the backend servers of each failure domain; 1 if missing.
    domain_weights: dict[str, float] = field(default_factory=dict)
    #: Free text, not interpreted.
    note: str = ""


def parse_document(source: str, text: str) -> ServiceDocument:
    """Parse and check a service document.

    Parameters
    ----------
    source : str
        Name of the text in errors.
    text : str
        JSON with comments.

    Returns
    -------
    ServiceDocument
        The checked document.

    Raises
    ------
    DocumentError
        With a `FieldError` for each of the first faults.
    """
    if len(text) > MAX_DOCUMENT_CHARS:
        expected = f"at most {MAX_DOCUMENT_CHARS} characters"
        fault = FieldError(source, "(whole text)", f"{len(text)} characters", expected)
        raise DocumentError(f"{source} is too long", [fault])
    return parse_data_class(source, text, ServiceDocument, DocumentError)
