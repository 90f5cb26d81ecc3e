"""Request overdue fragments from their senders."""

from agatethread.operations import InstanceCallbacks
from agatethread.transfer import Assembler
from agatethread.wire import Envelope, Kind


def request_missing_fragments(
    assembler: Assembler, callbacks: InstanceCallbacks
) -> None:
    """Send a request for the missing fragments of each overdue message.

    Parameters
    ----------
    assembler : Assembler
        Holds the incomplete messages.
    callbacks : InstanceCallbacks
        Callbacks that send to callers and backend servers.
    """
    for partial, indices in assembler.collect_missing():
        first = partial.first_fragment
        request = Envelope(
            kind=Kind.MISSING,
            service=first.service,
            operation_id=first.operation_id,
            attempt=first.attempt,
            missing=indices,
        ).SerializeToString()
        if first.kind == Kind.REQUEST:
            callbacks.send_caller(partial.source, request)
        else:
            callbacks.send_backend(partial.source, request)
