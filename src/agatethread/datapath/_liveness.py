"""Asks a backend server that seems to answer nobody whether it accepts connections.

An entry instance sees no answers, only what callers acknowledge through it, so silence
alone shows nothing: callers may acknowledge late or through another instance. A run
that accepts a connection is alive, and keeps its flows.
"""

import asyncio
import errno
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from agatethread.datapath._backend import Backend
from agatethread.datapath._evidence import ProbeOutcome
from agatethread.datapath._packets import Address
from agatethread.observability import Counters, Event, make_logger

#: Time within which a connection is accepted; covers several round trips to the
#: farthest failure domain. Two probes fit into the silence after which a run may be
#: unreachable.
_PROBE_TIMEOUT_S = 0.25
#: A probe that ended later than its timeout by this was delayed by this process.
_MAX_DELAY_S = 0.05
#: Probes in progress; bounds the sockets of an instance that sees many silent runs.
_MAX_PROBES = 16
#: Errors of this host, which show nothing about the backend server.
_LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)

log = make_logger("liveness")


def classify_failure(error: OSError) -> ProbeOutcome:
    """Return what a failed connection shows about a backend server.

    Parameters
    ----------
    error : OSError
        The error; a timeout is a `TimeoutError`.

    Returns
    -------
    ProbeOutcome
        `REFUSED` if nothing listens at the address, `INCONCLUSIVE` for an error of this
        host, else `NO_REPLY`.
    """
    if isinstance(error, ConnectionRefusedError):
        return ProbeOutcome.REFUSED
    if error.errno in _LOCAL_ERRORS:
        return ProbeOutcome.INCONCLUSIVE
    return ProbeOutcome.NO_REPLY


class RunProber:
    """Probes runs by a connection to their address, one at a time for each run.

    Parameters
    ----------
    connect : callable
        Opens a connection to an address and closes it.
    spawn : callable
        Starts a coroutine as a task.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts probes by outcome.
    """

    def __init__(
        self,
        connect: Callable[[Address], Awaitable[None]],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._connect = connect
        self._spawn = spawn
        self._now_s = now_s
        self._counters = counters
        self._in_progress: set[Backend] = set()

    def probe(self, backend: Backend) -> None:
        """Start a probe of a run, unless one is in progress.

        Parameters
        ----------
        backend : Backend
            The run; gets the outcome.
        """
        if backend in self._in_progress or len(self._in_progress) >= _MAX_PROBES:
            return
        self._in_progress.add(backend)
        self._spawn(self._run_probe(backend))

    async def _run_probe(self, backend: Backend) -> None:
        started_s = self._now_s()
        try:
            await asyncio.wait_for(self._connect(backend.address), _PROBE_TIMEOUT_S)
            outcome = ProbeOutcome.ACCEPTED
        except (TimeoutError, OSError) as error:
            outcome = classify_failure(error)
        finally:
            self._in_progress.discard(backend)
        took_s = self._now_s() - started_s
        is_late = took_s > _PROBE_TIMEOUT_S + _MAX_DELAY_S
        if outcome is ProbeOutcome.NO_REPLY and is_late:
            outcome = ProbeOutcome.INCONCLUSIVE
        backend.record_probe(outcome, started_s)
        self._counters[f"probes_{outcome.value}"] += 1
        log.info(
            Event.BACKEND_PROBED,
            run=backend.id,
            outcome=outcome.value,
            took_s=round(took_s, 3),
        )
