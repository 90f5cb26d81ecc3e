"""Put fragments together, within bounds of memory and time."""

from collections import Counter
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

from agatethread.exceptions import DatagramError, TransferLimitError
from agatethread.transfer._splitting import FRAGMENT_BYTES, MAX_MESSAGE_BYTES
from agatethread.wire import Envelope

#: Silence after which missing fragments are asked for.
_QUIET_S = 0.05
#: Silence after which a message is given up.
_ABANDONED_S = 10.0
#: Indices in one request for missing fragments.
MISSING_IN_DATAGRAM = 128


@dataclass(eq=False)
class Partial:
    """A message of which fragments are missing."""

    first: Envelope
    source: bytes
    heard_s: float
    asked_s: float = 0.0
    parts: dict[int, bytes] = field(default_factory=dict)

    @property
    def reserved_bytes(self) -> int:
        """Memory set aside for it."""
        return self.first.fragment_count * FRAGMENT_BYTES

    def missing(self) -> list[int]:
        """List the first fragments that are missing.

        Returns
        -------
        list of int
            Indices, as many as fit in a datagram.
        """
        found = []
        for index in range(self.first.fragment_count):
            if index not in self.parts:
                found.append(index)
                if len(found) == MISSING_IN_DATAGRAM:
                    break
        return found


class Assembler:
    """Messages on their way, by key.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    limit_bytes : int
        Memory for all messages together.
    source_limit_bytes : int
        Memory for the messages of one source.
    """

    def __init__(
        self, now_s: Callable[[], float], limit_bytes: int, source_limit_bytes: int
    ):
        self._now_s = now_s
        self._limit_bytes = limit_bytes
        self._source_limit_bytes = source_limit_bytes
        self._partials: dict[Hashable, Partial] = {}
        self._by_source: Counter[bytes] = Counter()
        self.reserved_bytes = 0

    def add(self, key: Hashable, source: bytes, envelope: Envelope) -> Envelope | None:
        """Take a message or a fragment of one.

        Parameters
        ----------
        key : hashable
            Names the message.
        source : bytes
            Whom to count its memory to.
        envelope : Envelope
            A whole message or a fragment.

        Returns
        -------
        Envelope or None
            The whole message, once it is complete and its checksum right.

        Raises
        ------
        DatagramError
            If the fragment makes no sense, or the whole is not what was sent.
        TransferLimitError
            If there is no memory left for it.
        """
        if not envelope.fragment_count:
            return envelope

        partial = self._partials.get(key)
        if partial is None:
            partial = self._begin(key, source, envelope)
        self._check(partial, envelope)
        partial.heard_s = self._now_s()
        partial.parts[envelope.fragment_index] = envelope.payload
        if len(partial.parts) < partial.first.fragment_count:
            return None
        return self._finish(key, partial)

    def _begin(self, key: Hashable, source: bytes, envelope: Envelope) -> Partial:
        partial = Partial(envelope, source, self._now_s())
        size = partial.reserved_bytes
        if size > MAX_MESSAGE_BYTES + FRAGMENT_BYTES:
            raise TransferLimitError("larger than any message may be")
        if self.reserved_bytes + size > self._limit_bytes:
            raise TransferLimitError("no memory left for messages in fragments")
        if self._by_source[source] + size > self._source_limit_bytes:
            raise TransferLimitError("no memory left for this source's messages")

        self._partials[key] = partial
        self._by_source[source] += size
        self.reserved_bytes += size
        return partial

    @staticmethod
    def _check(partial: Partial, envelope: Envelope) -> None:
        first = partial.first
        same = (envelope.fragment_count, envelope.checksum) == (
            first.fragment_count,
            first.checksum,
        )
        sized = len(envelope.payload) <= FRAGMENT_BYTES
        if not same or not sized or envelope.fragment_index >= first.fragment_count:
            raise DatagramError("wrong fragment")

    def _finish(self, key: Hashable, partial: Partial) -> Envelope:
        self.drop(key)
        count = partial.first.fragment_count
        payload = b"".join(partial.parts[index] for index in range(count))
        if xxh64_intdigest(payload) != partial.first.checksum:
            raise DatagramError("wrong checksum")

        whole = Envelope()
        whole.CopyFrom(partial.first)
        for name in ("fragment_index", "fragment_count", "checksum"):
            whole.ClearField(name)
        whole.payload = payload
        return whole

    def drop(self, key: Hashable) -> None:
        """Give up a message, or free its memory.

        Parameters
        ----------
        key : hashable
            Names the message.
        """
        partial = self._partials.pop(key, None)
        if partial is None:
            return
        self.reserved_bytes -= partial.reserved_bytes
        self._by_source[partial.source] -= partial.reserved_bytes
        if not self._by_source[partial.source]:
            del self._by_source[partial.source]

    def take_quiet(self) -> list[tuple[Partial, list[int]]]:
        """List what to ask for again, and give up what is long silent.

        Returns
        -------
        list of (Partial, list of int)
            Messages with the indices that are missing.
        """
        now_s = self._now_s()
        due = []
        for key, partial in list(self._partials.items()):
            if now_s - partial.heard_s > _ABANDONED_S:
                self.drop(key)
            elif now_s - max(partial.heard_s, partial.asked_s) > _QUIET_S:
                partial.asked_s = now_s
                due.append((partial, partial.missing()))
        return due
