"""What a backend server says of itself."""

from dataclasses import dataclass

#: Start time of a run that does not tell it: older than any that is told.
START_NOT_TOLD = 0


@dataclass(frozen=True, slots=True)
class Report:
    """One status report of one run of a backend server.

    Attributes
    ----------
    id : str
        Names the backend server; with `started_ms`, one run of it.
    number : int
        64 bits that its datagrams are addressed with.
    service : str
        The service it belongs to.
    address : bytes
        Packed address that it receives at.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it works on at once.
    sequence : int
        Grows with each report of the run.
    draining : bool
        Whether it asks for no further work.
    warm_up_s : float
        How much longer it will be slow after its start.
    started_ms : int
        Start of the run, Unix milliseconds by its own clock; `START_NOT_TOLD` if it
        does not say.
    """

    id: str
    number: int
    service: str
    address: bytes
    failure_domain: str
    slots: int
    sequence: int
    draining: bool = False
    warm_up_s: float = 0.0
    started_ms: int = START_NOT_TOLD
