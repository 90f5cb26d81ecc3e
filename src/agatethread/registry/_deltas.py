"""Writes what changed at a control instance as messages."""

from collections.abc import Callable

from agatethread.registry._chunks import MESSAGE_BYTES
from agatethread.registry._runs import RunTable
from agatethread.wire.registry_pb2 import BackendRun, Delta, RegistryMessage

#: Messages sent to one subscriber at a time, so that a full table does not fill the
#: queue of a slow link (8 kB of 2 Mbit/s are 36 ms).
_WINDOW_COUNT = 8


class DeltaWriter:
    """Writes changes after an index.

    Parameters
    ----------
    runs : RunTable
        The backend servers.
    incarnation : int
        Of the control instance's present run.
    failure_domain : str
        Of the control instance.
    is_settled : callable
        Tells whether it knows every backend server that reports.
    """

    def __init__(
        self,
        runs: RunTable,
        incarnation: int,
        failure_domain: str,
        is_settled: Callable[[], bool],
    ):
        self._runs = runs
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._is_settled = is_settled

    def write_after(self, after: int, with_reports: bool) -> list[RegistryMessage]:
        """Write the changes after an index, as many as are sent at a time.

        Parameters
        ----------
        after : int
            What the receiver has.
        with_reports : bool
            Whether runs that only went on reporting are told of, too.

        Returns
        -------
        list of RegistryMessage
            Empty if there are none.
        """
        newest = self._runs.index if with_reports else self._runs.changed_index
        if after >= newest:
            return []
        messages: list[RegistryMessage] = []
        runs: list[BackendRun] = []
        size, last = 0, after
        for index, run in self._runs.changes_after(after, with_reports):
            size += run.ByteSize() + 3
            if runs and size > MESSAGE_BYTES:
                messages.append(self.write(after, runs, last))
                after, runs, size = last, [], run.ByteSize()
                if len(messages) == _WINDOW_COUNT:
                    return messages
            runs.append(run)
            last = index
        if runs:
            messages.append(self.write(after, runs, last))
            messages[-1].delta.complete = True
        return messages

    def write(
        self, after: int, runs: list[BackendRun], through: int
    ) -> RegistryMessage:
        """Write one message.

        Parameters
        ----------
        after, through : int
            Indexes before the first and of the last change in it.
        runs : list of BackendRun
            What changed.

        Returns
        -------
        RegistryMessage
            Not marked as the last one.
        """
        delta = Delta(
            hub_incarnation=self._incarnation,
            after_index=after,
            through_index=through,
            runs=runs,
            settled=self._is_settled(),
            failure_domain=self._failure_domain,
        )
        return RegistryMessage(delta=delta)
