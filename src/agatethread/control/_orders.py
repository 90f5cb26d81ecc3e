"""Operators' requests to a control instance: routing tables and evacuations.

Each request is committed in the log as a command before it is acknowledged. Until then
its outcome is unknown, and an operator may send it again to any control instance.
"""

import asyncio
import zlib
from collections.abc import Callable

from agatethread.control._members import find_member
from agatethread.control._raft import RaftNode
from agatethread.control._replicated_state import find_domain_name_error
from agatethread.exceptions import ChangeRefusedError, FieldError, UnavailableError
from agatethread.observability import Counters, Event, Histogram, make_logger
from agatethread.registry import EvacuationPublisher
from agatethread.routing import RoutingDocument, check_document, encode_table
from agatethread.wire.control_pb2 import Command, Outcome, PutRoutes, SetEvacuation

#: Longest wait for the commit of a command; afterwards its outcome is unknown and the
#: operator sends the request again.
_CHANGE_TIMEOUT_S = 2.5
#: Longest wait for a read; below the sender's timeout of one second.
_READ_TIMEOUT_S = 0.8
#: Time after the request for an evacuation until which entry instances may acknowledge
#: it; below the sender's timeout of one second.
_ACKNOWLEDGEMENT_TIMEOUT_S = 0.8

log = make_logger("control")


class OperatorRequests:
    """Handles operators' requests for one control instance.

    Parameters
    ----------
    get_node : callable
        Returns the member of the log; None while the log is not open.
    evacuations : EvacuationPublisher
        Sends evacuations to the entry instances.
    evacuation_wait_s : float
        Longest time to delay an acknowledgement until the entry instances have
        acknowledged the evacuation.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts committed routing tables.
    """

    def __init__(
        self,
        get_node: Callable[[], RaftNode | None],
        evacuations: EvacuationPublisher,
        evacuation_wait_s: float,
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._get_node = get_node
        self._evacuations = evacuations
        self._evacuation_wait_s = evacuation_wait_s
        self._now_s = now_s
        self._counters = counters
        #: Time from the request to store a routing table until it was committed.
        self.change_s = Histogram()

    def _require_node(self) -> RaftNode:
        node = self._get_node()
        if node is None:
            raise UnavailableError("the log is not open")
        return node

    def get_leader_api_address(self) -> str:
        """Return the address of the leader's API.

        Returns
        -------
        str
            ``IP:port``, or an empty string if this instance leads or no leader is
            known.
        """
        node = self._get_node()
        if node is None or node.leader == node.name:
            return ""
        leader = find_member(node.members, node.leader)
        return leader.api if leader else ""

    async def put_routes(self, document: RoutingDocument, source: bytes) -> None:
        """Check and commit a routing table.

        Parameters
        ----------
        document : RoutingDocument
            The table.
        source : bytes
            Text of the table; `read_routes` returns it unchanged.

        Raises
        ------
        DocumentError, NotLeaderError, UnavailableError, DiskFullError
            As `prepare_routes` and `commit_routes`.
        """
        await self.commit_routes(await self.prepare_routes(document, source))

    async def prepare_routes(
        self, document: RoutingDocument, source: bytes
    ) -> PutRoutes:
        """Check and encode a routing table.

        Parameters
        ----------
        document : RoutingDocument
            The table.
        source : bytes
            Text of the table; `read_routes` returns it unchanged.

        Returns
        -------
        PutRoutes
            The change to commit.

        Raises
        ------
        DocumentError
            If the table is invalid.
        """
        check_document(document)
        await asyncio.sleep(0)  # other work takes its turn
        table = encode_table(document)
        await asyncio.sleep(0)
        return PutRoutes(
            version=document.version,
            source=zlib.compress(source, 1),
            table=table.SerializeToString(deterministic=True),
        )

    async def commit_routes(self, put: PutRoutes) -> None:
        """Commit a routing table, unless its version or a later one is committed.

        Parameters
        ----------
        put : PutRoutes
            The change.

        Raises
        ------
        NotLeaderError
            If another instance leads.
        UnavailableError, DiskFullError
            If the outcome is unknown; the request may be sent again.
        """
        node = self._require_node()
        current_version = node.documents.routes.version
        if put.version <= current_version:
            log.info(
                Event.CHANGE_SUPERSEDED,
                version=put.version,
                version_held=current_version,
            )
            return
        started_s = self._now_s()
        outcome = await self._propose(node, Command(put_routes=put))
        took_s = self._now_s() - started_s
        self._counters["changes_agreed"] += 1
        self.change_s.record(took_s)
        log.info(
            Event.CHANGE_AGREED,
            version=put.version,
            version_before=current_version,
            index=outcome.index,
            term=node.term,
            took_s=round(took_s, 3),
        )

    async def _propose(self, node: RaftNode, command: Command) -> Outcome:
        proposal = node.propose(command.SerializeToString())
        try:
            return await asyncio.wait_for(proposal, _CHANGE_TIMEOUT_S)
        except TimeoutError:
            raise UnavailableError("the change was not agreed in time") from None

    async def read_routes(self) -> bytes:
        """Return the newest committed routing table.

        Returns
        -------
        bytes
            The `source` that it was stored with; empty if there is no table yet.

        Raises
        ------
        NotLeaderError
            If another instance leads.
        UnavailableError
            If leadership could not be confirmed in time.
        """
        node = self._require_node()
        await node.confirm_leadership(_READ_TIMEOUT_S)
        source = node.documents.routes.source
        return zlib.decompress(source) if source else b""

    async def set_evacuation(self, failure_domain: str, evacuated: bool) -> None:
        """Evacuate a failure domain, or readmit it.

        Idempotent. Requests take effect in log order: one that is sent again after a
        later request for the failure domain replaces the later one.

        Parameters
        ----------
        failure_domain : str
            Its name; need not be one that a backend server has reported.
        evacuated : bool
            Whether its backend servers get no new work.

        Raises
        ------
        FieldError
            If it is not a valid name of a failure domain.
        ChangeRefusedError
            If too many failure domains are evacuated; it may be sent again later.
        NotLeaderError
            If another instance leads.
        UnavailableError, DiskFullError
            If the outcome is unknown; the request may be sent again.
        """
        error = find_domain_name_error(failure_domain)
        if error:
            raise FieldError("order", "failure_domain", failure_domain, error)
        change = SetEvacuation(failure_domain=failure_domain, evacuated=evacuated)
        node = self._require_node()
        started_s = self._now_s()
        outcome = await self._propose(node, Command(set_evacuation=change))
        if not outcome.accepted:
            raise ChangeRefusedError(outcome.error)
        agreed_s = self._now_s()
        version = node.documents.evacuations.version
        remaining_s = _ACKNOWLEDGEMENT_TIMEOUT_S - (agreed_s - started_s)
        is_acknowledged = await self._evacuations.wait_until_acknowledged(
            version, max(0.0, min(self._evacuation_wait_s, remaining_s))
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
            told_everywhere=is_acknowledged,
        )
