"""Every failure that agatethread raises, each with a type of its own."""

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


class AgatethreadError(Exception):
    """Base class of every error raised by this package."""


class DatagramError(AgatethreadError):
    """A datagram could not be decoded or has no meaning here."""


class SealError(AgatethreadError):
    """A sealed value was not issued under any of our keys."""


class PayloadTooLargeError(AgatethreadError):
    """A payload does not fit in one datagram."""


class TransferLimitError(AgatethreadError):
    """A message in fragments needs more memory than is left for it."""


class FieldError(AgatethreadError):
    """A field of a settings file or document has a wrong value.

    Parameters
    ----------
    source : str
        File or document that holds the field.
    field : str
        Dotted path of the field.
    value : object
        The value found.
    expected : str
        Expected type and unit.
    """

    def __init__(self, source: str, field: str, value: object, expected: str):
        self.source = source
        self.field = field
        self.value = value
        self.expected = expected
        super().__init__(f"{source}: {field}: got {value!r}, expected {expected}")


class RouteConflictError(FieldError):
    """Two routes of a document share an address and port."""


class UnknownServiceError(FieldError):
    """A route names a service that its document does not define."""


class ReportRefusedError(AgatethreadError):
    """A status report contradicts what is known, so another writer sent it.

    Parameters
    ----------
    run_id : str
        Id that the report names.
    reason : str
        What it contradicts.
    """

    def __init__(self, run_id: str, reason: str):
        self.run_id = run_id
        self.reason = reason
        super().__init__(f"report of {run_id} not taken: {reason}")


class SettingsError(ExceptionGroup):
    """All the faults of one settings file."""


class DocumentError(ExceptionGroup):
    """All the faults of one service document."""


class ChangeRefusedError(AgatethreadError):
    """The control log did not accept a change."""


class VersionConflictError(ChangeRefusedError):
    """Another change already holds the version that was asked for."""


class NotLeaderError(AgatethreadError):
    """The control instance that was asked does not lead the log.

    Parameters
    ----------
    leader : str
        Name of the leader as far as known, or an empty string.
    """

    def __init__(self, leader: str):
        self.leader = leader
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")


class UnavailableError(AgatethreadError):
    """No control instance could answer in time."""


class LogCorruptError(AgatethreadError):
    """A record in the middle of the control log fails its checksum."""


class DiskFullError(AgatethreadError):
    """The control log could not be written; the change was not accepted."""


class FlowBrokenError(AgatethreadError):
    """A flow ended other than by its caller or backend server closing it."""


class OperationRefusedError(AgatethreadError):
    """An operation was refused and did not run.

    Parameters
    ----------
    reason : str
        Name of the reason.
    retry_after_s : float
        When to come back.
    """

    def __init__(self, reason: str, retry_after_s: float):
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(f"not run ({reason}); retry after {retry_after_s:.3f} s")


class OperationUnknownError(AgatethreadError):
    """It is not known whether an operation ran."""
