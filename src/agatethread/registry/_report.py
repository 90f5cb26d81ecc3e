"""Defines the status report of a backend server."""

from dataclasses import dataclass

#: Start time of a run that does not report it; sorts before any reported one.
START_UNKNOWN = 0


@dataclass(frozen=True, slots=True)
class Report:
    """A status report of one run of a backend server.

    Attributes
    ----------
    id : str
        Identifies the backend server; with `started_ms`, one run of it.
    number : int
        64 bits that identify the backend server in datagrams.
    service : str
        The service it belongs to.
    address : bytes
        Packed address at which it receives datagrams.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it processes at once.
    sequence : int
        Increases with each report of the run.
    draining : bool
        Whether it accepts no further work.
    warm_up_s : float
        Remaining warm-up time, in which it is slower than usual.
    started_ms : int
        Start of the run, Unix milliseconds by its own clock; `START_UNKNOWN` if it
        does not report it.
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
    started_ms: int = START_UNKNOWN
