"""Reassemble messages from fragments, with limits on memory and time."""

from collections import Counter
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

from agatethread.exceptions import DatagramError, TransferLimitError
from agatethread.transfer._splitting import FRAGMENT_BYTES, MAX_MESSAGE_BYTES
from agatethread.wire import Envelope

#: Time without a fragment after which missing ones are requested.
_REQUEST_DELAY_S = 0.05
#: Time without a fragment after which a message is dropped.
_MESSAGE_TIMEOUT_S = 10.0
#: Limit of indices in one request for missing fragments.
MISSING_LIMIT_COUNT = 128


@dataclass(eq=False)
class PartialMessage:
    """Incomplete message with the fragments received so far.

    The first fragment is the one that arrived first.
    """

    first_fragment: Envelope
    source: bytes
    last_fragment_s: float
    last_request_s: float = 0.0
    payloads: dict[int, bytes] = field(default_factory=dict)

    @property
    def reserved_bytes(self) -> int:
        """Memory reserved for the message."""
        return self.first_fragment.fragment_count * FRAGMENT_BYTES

    def missing(self) -> list[int]:
        """Return the indices of missing fragments.

        Returns
        -------
        list of int
            The lowest ones, as many as fit in a datagram.
        """
        indices = []
        for index in range(self.first_fragment.fragment_count):
            if index not in self.payloads:
                indices.append(index)
                if len(indices) == MISSING_LIMIT_COUNT:
                    break
        return indices


class Assembler:
    """Reassembles messages, identified by key.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    limit_bytes : int
        Memory limit for all messages.
    source_limit_bytes : int
        Memory limit for the messages of one source.
    """

    def __init__(
        self, now_s: Callable[[], float], limit_bytes: int, source_limit_bytes: int
    ):
        self._now_s = now_s
        self._limit_bytes = limit_bytes
        self._source_limit_bytes = source_limit_bytes
        self._partials: dict[Hashable, PartialMessage] = {}
        self._reserved_by_source: Counter[bytes] = Counter()
        self.reserved_bytes = 0

    def add(self, key: Hashable, source: bytes, envelope: Envelope) -> Envelope | None:
        """Add a fragment and return its message once it is complete.

        Parameters
        ----------
        key : hashable
            Key of the message.
        source : bytes
            Source that its memory is counted for.
        envelope : Envelope
            Fragment, or an unfragmented message, which is returned at once.

        Returns
        -------
        Envelope or None
            The complete message, or None while fragments are missing.

        Raises
        ------
        DatagramError
            If the fragment has an invalid size or index, does not match the message's
            first one, or the checksum of the message is wrong.
        TransferLimitError
            If a size or memory limit would be exceeded.
        """
        if not envelope.fragment_count:
            return envelope

        partial = self._partials.get(key)
        if partial is None:
            partial = self._start_message(key, source, envelope)
        self._check_fragment(partial, envelope)
        partial.last_fragment_s = self._now_s()
        partial.payloads[envelope.fragment_index] = envelope.payload
        if len(partial.payloads) < partial.first_fragment.fragment_count:
            return None
        return self._join_fragments(key, partial)

    def _start_message(
        self, key: Hashable, source: bytes, envelope: Envelope
    ) -> PartialMessage:
        partial = PartialMessage(envelope, source, self._now_s())
        size_bytes = partial.reserved_bytes
        # The last fragment may be partly filled.
        if size_bytes > MAX_MESSAGE_BYTES + FRAGMENT_BYTES:
            raise TransferLimitError("message exceeds the size limit")
        if self.reserved_bytes + size_bytes > self._limit_bytes:
            raise TransferLimitError("memory limit for fragmented messages reached")
        if self._reserved_by_source[source] + size_bytes > self._source_limit_bytes:
            raise TransferLimitError("memory limit for messages of this source reached")

        self._partials[key] = partial
        self._reserved_by_source[source] += size_bytes
        self.reserved_bytes += size_bytes
        return partial

    @staticmethod
    def _check_fragment(partial: PartialMessage, envelope: Envelope) -> None:
        first = partial.first_fragment
        is_same_message = (envelope.fragment_count, envelope.checksum) == (
            first.fragment_count,
            first.checksum,
        )
        is_valid_size = len(envelope.payload) <= FRAGMENT_BYTES
        if (
            not is_same_message
            or not is_valid_size
            or envelope.fragment_index >= first.fragment_count
        ):
            # The text is part of a counter's name and stands for all these conditions.
            raise DatagramError("wrong fragment")

    def _join_fragments(self, key: Hashable, partial: PartialMessage) -> Envelope:
        self.drop(key)
        count = partial.first_fragment.fragment_count
        payload = b"".join(partial.payloads[index] for index in range(count))
        if xxh64_intdigest(payload) != partial.first_fragment.checksum:
            raise DatagramError("wrong checksum")

        message = Envelope()
        message.CopyFrom(partial.first_fragment)
        for field_name in ("fragment_index", "fragment_count", "checksum"):
            message.ClearField(field_name)
        message.payload = payload
        return message

    def drop(self, key: Hashable) -> None:
        """Drop a message and release its memory.

        Parameters
        ----------
        key : hashable
            Key of the message.
        """
        partial = self._partials.pop(key, None)
        if partial is None:
            return
        self.reserved_bytes -= partial.reserved_bytes
        self._reserved_by_source[partial.source] -= partial.reserved_bytes
        if not self._reserved_by_source[partial.source]:
            del self._reserved_by_source[partial.source]

    def collect_missing(self) -> list[tuple[PartialMessage, list[int]]]:
        """Return the due requests for missing fragments, and drop abandoned messages.

        Returns
        -------
        list of (PartialMessage, list of int)
            Incomplete messages with the indices of missing fragments.
        """
        now_s = self._now_s()
        due = []
        for key, partial in list(self._partials.items()):
            if now_s - partial.last_fragment_s > _MESSAGE_TIMEOUT_S:
                self.drop(key)
            elif (
                now_s - max(partial.last_fragment_s, partial.last_request_s)
                > _REQUEST_DELAY_S
            ):
                partial.last_request_s = now_s
                due.append((partial, partial.missing()))
        return due
