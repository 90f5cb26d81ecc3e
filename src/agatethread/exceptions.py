"""Exceptions that agatethread raises."""

from reprlib import Repr

__all__ = [
    "AgatethreadError",
    "ChangeRefusedError",
    "DatagramError",
    "DiskFullError",
    "DocumentError",
    "FieldError",
    "FlowBrokenError",
    "LogCorruptError",
    "NotLeaderError",
    "OperationRefusedError",
    "OperationUnknownError",
    "PayloadTooLargeError",
    "ReportRefusedError",
    "RouteConflictError",
    "SealError",
    "SettingsError",
    "TransferLimitError",
    "UnavailableError",
    "UnknownServiceError",
    "VersionConflictError",
]


#: Describes a wrong value of any size and depth in a short text.
_BRIEF = Repr()
_BRIEF.maxstring = _BRIEF.maxother = 120


class AgatethreadError(Exception):
    """Base class of the errors of this package."""


class DatagramError(AgatethreadError):
    """A datagram is malformed or not valid for its receiver."""


class SealError(AgatethreadError):
    """A sealed value was not sealed with any known key, or a key is invalid."""


class PayloadTooLargeError(AgatethreadError):
    """A payload does not fit in one datagram."""


class TransferLimitError(AgatethreadError):
    """A fragmented message needs more memory than is available for it."""


class FieldError(AgatethreadError):
    """A field of a settings file or document has a wrong value.

    Parameters
    ----------
    source : str
        File or document that holds the field.
    field : str
        Dotted path of the field.
    value : object
        The wrong value.
    expected : str
        Description of the expected value, with its unit.
    """

    def __init__(self, source: str, field: str, value: object, expected: str):
        self.source = source
        self.field = field
        self.value = value
        self.expected = expected
        got = _BRIEF.repr(value)
        super().__init__(f"{source}: {field}: got {got}, expected {expected}")


class RouteConflictError(FieldError):
    """Two routes of a document share an address and port."""


class UnknownServiceError(FieldError):
    """A route names a service that its document does not define."""


class ReportRefusedError(AgatethreadError):
    """A status report contradicts the known state of its run.

    Parameters
    ----------
    run_id : str
        Run id in the report.
    reason : str
        Reason for the refusal.
    """

    def __init__(self, run_id: str, reason: str):
        self.run_id = run_id
        self.reason = reason
        super().__init__(f"report of {run_id} not taken: {reason}")


class SettingsError(ExceptionGroup):
    """All faults of a settings file."""


class DocumentError(ExceptionGroup):
    """All faults of a document."""


class ChangeRefusedError(AgatethreadError):
    """The control instances refused a change."""


class VersionConflictError(ChangeRefusedError):
    """Another change already has the requested version."""


class NotLeaderError(AgatethreadError):
    """The control instance that received a call is not the leader of the log.

    Parameters
    ----------
    leader : str
        Name of the leader; empty if unknown.
    """

    def __init__(self, leader: str):
        self.leader = leader
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")


class UnavailableError(AgatethreadError):
    """No instance could answer a call in time."""


class LogCorruptError(AgatethreadError):
    """A record of the control log is corrupt."""


class DiskFullError(AgatethreadError):
    """The control log could not be written; the change was not accepted."""


class FlowBrokenError(AgatethreadError):
    """A flow ended without being closed by its caller or backend server."""


class OperationRefusedError(AgatethreadError):
    """An operation was refused and did not run.

    Parameters
    ----------
    reason : str
        Name of the reason.
    retry_after_s : float
        Time after which to retry.
    """

    def __init__(self, reason: str, retry_after_s: float):
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(f"not run ({reason}); retry after {retry_after_s:.3f} s")


class OperationUnknownError(AgatethreadError):
    """It is not known whether an operation ran."""
