"""What operators of the users' platform ask for: routing tables and evacuations.

Each order goes through the log. It is acknowledged after a majority has synced it, and
may be sent again to any instance until then.
"""

import asyncio
import zlib
from collections.abc import Callable

from agatethread.control._members import find_member
from agatethread.control._raft import RaftNode
from agatethread.control._state import find_name_fault
from agatethread.exceptions import ChangeRefusedError, FieldError, UnavailableError
from agatethread.observability import Counters, Event, Histogram, make_logger
from agatethread.registry import EvacuationPublisher
from agatethread.routing import RoutingDocument, check_document, encode_table
from agatethread.wire.control_pb2 import Command, Outcome, PutRoutes, SetEvacuation

#: A change that is not agreed by then has no clear outcome; its sender tries again.
_CHANGE_LIMIT_S = 2.5
#: A read that can't be confirmed by then is refused; its sender waits for a second.
_READ_LIMIT_S = 0.8
#: Nor does the sender of an order wait for longer.
_ANSWER_LIMIT_S = 0.8

log = make_logger("control")


class OperatorOrders:
    """Takes orders on behalf of one control instance.

    Parameters
    ----------
    find_node : callable
        Finds the member of the log; None while the log is not open.
    evacuations : EvacuationPublisher
        Tells entry instances of evacuations.
    evacuation_wait_s : float
        Longest time for which an evacuation's acknowledgement waits for them.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts changes.
    """

    def __init__(
        self,
        find_node: Callable[[], RaftNode | None],
        evacuations: EvacuationPublisher,
        evacuation_wait_s: float,
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._find_node = find_node
        self._evacuations = evacuations
        self._evacuation_wait_s = evacuation_wait_s
        self._now_s = now_s
        self._counters = counters
        #: Time from a change until it was agreed.
        self.change_s = Histogram()

    def _node(self) -> RaftNode:
        node = self._find_node()
        if node is None:
            raise UnavailableError("the log is not open")
        return node

    def leader_api(self) -> str:
        """Find where operators reach the leader.

        Returns
        -------
        str
            ``IP:port``, or an empty string if it is not known or is this instance.
        """
        node = self._find_node()
        if node is None or node.leader == node.name:
            return ""
        leader = find_member(node.members, node.leader)
        return leader.api if leader else ""

    async def put_routes(self, document: RoutingDocument, source: bytes) -> None:
        """Put a routing table in force, unless a higher version is.

        Parameters
        ----------
        document : RoutingDocument
            The table.
        source : bytes
            What it was read from, given back by `read_routes`.

        Raises
        ------
        DocumentError
            If it has faults.
        NotLeaderError
            If another instance has to be asked.
        UnavailableError, DiskFullError
            If it is not known to have been agreed; it may be asked for again.
        """
        check_document(document)
        node = self._node()
        before = node.documents.routes.version
        if document.version <= before:
            log.info(
                Event.CHANGE_OVERTAKEN, version=document.version, version_held=before
            )
            return
        put = PutRoutes(
            version=document.version,
            source=zlib.compress(source, 1),
            table=encode_table(document).SerializeToString(deterministic=True),
        )
        started_s = self._now_s()
        outcome = await self._agree(node, Command(put_routes=put))
        took_s = self._now_s() - started_s
        self._counters["changes_agreed"] += 1
        self.change_s.record(took_s)
        log.info(
            Event.CHANGE_AGREED,
            version=document.version,
            version_before=before,
            index=outcome.index,
            term=node.term,
            took_s=round(took_s, 3),
        )

    async def _agree(self, node: RaftNode, command: Command) -> Outcome:
        proposal = node.propose(command.SerializeToString())
        try:
            return await asyncio.wait_for(proposal, _CHANGE_LIMIT_S)
        except TimeoutError:
            raise UnavailableError("the change was not agreed in time") from None

    async def read_routes(self) -> bytes:
        """Read the newest agreed routing table.

        Returns
        -------
        bytes
            The source it was put with; empty if there was none yet.

        Raises
        ------
        NotLeaderError
            If another instance has to be asked.
        UnavailableError
            If it is not sure that it is the newest.
        """
        node = self._node()
        await node.confirm_leadership(_READ_LIMIT_S)
        source = node.documents.routes.source
        return zlib.decompress(source) if source else b""

    async def set_evacuation(self, failure_domain: str, evacuated: bool) -> None:
        """Give a failure domain's backend servers no new work, or give it again.

        Idempotent; an order has its effect at its place in the log, so one that is sent
        again after it was overtaken is in force again.

        Parameters
        ----------
        failure_domain : str
            Its name; nobody need have heard of it.
        evacuated : bool
            Whether it gets none.

        Raises
        ------
        FieldError
            If no failure domain can have that name.
        ChangeRefusedError
            If too many are evacuated; it may be asked for again later.
        NotLeaderError
            If another instance has to be asked.
        UnavailableError, DiskFullError
            If it is not known to have been agreed; it may be asked for again.
        """
        fault = find_name_fault(failure_domain)
        if fault:
            raise FieldError("order", "failure_domain", failure_domain, fault)
        change = SetEvacuation(failure_domain=failure_domain, evacuated=evacuated)
        node = self._node()
        started_s = self._now_s()
        outcome = await self._agree(node, Command(set_evacuation=change))
        if not outcome.accepted:
            raise ChangeRefusedError(outcome.error)
        agreed_s = self._now_s()
        version = node.documents.evacuations.version
        left_s = _ANSWER_LIMIT_S - (agreed_s - started_s)
        everywhere = await self._evacuations.wait_until_known(
            version, max(0.0, min(self._evacuation_wait_s, left_s))
        )
        log.info(
            Event.EVACUATION_AGREED,
            domain=failure_domain,
            evacuated=evacuated,
            version=version,
            index=outcome.index,
            term=node.term,
            took_s=round(agreed_s - started_s, 3),
            told_s=round(self._now_s() - agreed_s, 3),
            told_everywhere=everywhere,
        )
