"""Asks senders for the fragments of a message that did not come."""

from agatethread.operations import InstanceCallbacks
from agatethread.transfer import Assembler
from agatethread.wire import Envelope, Kind


def ask_for_missing(assembler: Assembler, ports: InstanceCallbacks) -> None:
    """Ask callers and backend servers for what has been missing for a while.

    Parameters
    ----------
    assembler : Assembler
        Holds the messages that are not whole yet.
    ports : InstanceCallbacks
        Reach their senders.
    """
    for partial, indices in assembler.take_quiet():
        first = partial.first
        request = Envelope(
            kind=Kind.MISSING,
            service=first.service,
            operation_id=first.operation_id,
            attempt=first.attempt,
            missing=indices,
        ).SerializeToString()
        if first.kind == Kind.REQUEST:
            ports.send_caller(partial.source, request)
        else:
            ports.send_backend(partial.source, request)
