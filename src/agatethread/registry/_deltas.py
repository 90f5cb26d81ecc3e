"""Builds the messages that carry run changes from a control instance."""

from collections.abc import Callable

from agatethread.registry._chunks import MESSAGE_PAYLOAD_BYTES
from agatethread.registry._runs import RunTable
from agatethread.wire.registry_pb2 import BackendRun, Delta, RegistryMessage

#: Messages of a window, the most that are built for one subscriber in a round or reply;
#: limits the queue on a slow network: 8 kB take 36 ms at 2 Mbit/s.
_WINDOW_MESSAGE_COUNT = 8
#: Estimated size of a report sent as run number and sequence.
_NUMBERED_REPORT_BYTES = 12


class DeltaWriter:
    """Builds messages with the run changes after an index.

    Parameters
    ----------
    runs : RunTable
        The backend servers.
    incarnation : int
        Incarnation of the control instance.
    failure_domain : str
        Failure domain of the control instance.
    is_settled : callable
        Returns whether the control instance knows every reporting backend server.
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

    def make_messages_after(
        self, after_index: int, with_reports: bool, by_number: bool = False
    ) -> list[RegistryMessage]:
        """Return messages with the changes after an index, at most one window.

        Limits the traffic of unchanged reports between control instances: these are
        sent as run number and sequence only.

        Parameters
        ----------
        after_index : int
            Index after which changes are sent.
        with_reports : bool
            Whether to include runs that reported without a change.
        by_number : bool, optional
            Whether the receiver accepts reports sent by run number.

        Returns
        -------
        list of RegistryMessage
            Empty if there are no changes.
        """
        newest_index = self._runs.index if with_reports else self._runs.changed_index
        if after_index >= newest_index:
            return []
        start_index, size, last_index = after_index, 0, after_index
        message = self.make_empty_message(after_index, after_index)
        messages: list[RegistryMessage] = []
        for index, run in self._runs.changes_after(after_index, with_reports):
            is_numbered = by_number and self._runs.can_send_by_number(
                run.id, start_index
            )
            # 3 bytes for the tag and the length of the field.
            run_bytes = _NUMBERED_REPORT_BYTES if is_numbered else run.ByteSize() + 3
            if size and size + run_bytes > MESSAGE_PAYLOAD_BYTES:
                message.delta.through_index = last_index
                messages.append(message)
                if len(messages) == _WINDOW_MESSAGE_COUNT:
                    return messages
                message, size = (
                    self.make_empty_message(last_index, last_index),
                    0,
                )
            size += run_bytes
            _add(message.delta, run, is_numbered)
            last_index = index
        if size:
            message.delta.through_index = last_index
            message.delta.complete = True
            messages.append(message)
        return messages

    def make_empty_message(
        self, after_index: int, through_index: int
    ) -> RegistryMessage:
        """Return a delta message without runs.

        Parameters
        ----------
        after_index : int
            Index before the first change of the message.
        through_index : int
            Index of the last change of the message.

        Returns
        -------
        RegistryMessage
            Its `complete` field is not set.
        """
        delta = Delta(
            hub_incarnation=self._incarnation,
            after_index=after_index,
            through_index=through_index,
            settled=self._is_settled(),
            failure_domain=self._failure_domain,
        )
        return RegistryMessage(delta=delta)


def _add(delta: Delta, run: BackendRun, is_numbered: bool) -> None:
    if is_numbered:
        delta.reporting.append(run.number)
        delta.sequences.append(run.sequence)
    else:
        delta.runs.append(run)
