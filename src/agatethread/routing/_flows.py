"""Table of the flows that this instance placed, for counting load.

Packets of a flow are forwarded by its cookie and need no record here.
"""

from agatethread.routing._endpoints import Endpoint


class _Placement:
    __slots__ = ("caller_address", "endpoint", "is_confirmed")

    def __init__(self, endpoint: Endpoint, caller_address: bytes):
        self.endpoint = endpoint
        self.caller_address = caller_address
        self.is_confirmed = False


class FlowTable:
    """Bounded table of placements by flow.

    Parameters
    ----------
    limit_count : int
        Maximum number of flows.
    """

    def __init__(self, limit_count: int):
        self._limit_count = limit_count
        self._placements: dict[int, _Placement] = {}

    def __len__(self) -> int:
        return len(self._placements)

    @property
    def is_full(self) -> bool:
        """Whether no further flow can be added."""
        return len(self._placements) >= self._limit_count

    def get_endpoint(self, flow_id: int) -> Endpoint | None:
        """Return the backend server that a flow was placed on.

        Parameters
        ----------
        flow_id : int
            The flow.

        Returns
        -------
        Endpoint or None
            None if this instance did not place it.
        """
        placement = self._placements.get(flow_id)
        return placement.endpoint if placement else None

    def place(self, flow_id: int, endpoint: Endpoint, caller_address: bytes) -> None:
        """Add a new placement and count it.

        Parameters
        ----------
        flow_id : int
            The flow.
        endpoint : Endpoint
            The backend server that it is placed on.
        caller_address : bytes
            Packed address of the caller, to notify it if the backend server fails.
        """
        self._placements[flow_id] = _Placement(endpoint, caller_address)
        endpoint.streams += 1

    def confirm(self, flow_id: int) -> bool:
        """Mark a flow as accepted by its backend server.

        Parameters
        ----------
        flow_id : int
            The flow.

        Returns
        -------
        bool
            Whether it was not marked before.
        """
        placement = self._placements.get(flow_id)
        if placement is None or placement.is_confirmed:
            return False
        placement.is_confirmed = True
        return True

    def is_confirmed(self, flow_id: int) -> bool:
        """Return whether the backend server has accepted a flow.

        Parameters
        ----------
        flow_id : int
            The flow.

        Returns
        -------
        bool
            False if this instance did not place it.
        """
        placement = self._placements.get(flow_id)
        return placement is not None and placement.is_confirmed

    def remove(self, flow_id: int, endpoint: Endpoint | None) -> None:
        """Remove a flow that has ended and lower the load count.

        Parameters
        ----------
        flow_id : int
            The flow.
        endpoint : Endpoint or None
            Its backend server, for a flow that an earlier dispatcher placed.
        """
        placement = self._placements.pop(flow_id, None)
        if placement is not None:
            placement.endpoint.streams -= 1
            return
        if endpoint is not None and endpoint.inherited_streams > 0:
            endpoint.inherited_streams -= 1

    def remove_flows_of(self, endpoint: Endpoint) -> list[tuple[int, bytes]]:
        """Remove every flow of a failed backend server.

        Parameters
        ----------
        endpoint : Endpoint
            The backend server.

        Returns
        -------
        list of (int, bytes)
            The flows and the addresses of their callers.
        """
        ended = [
            (flow_id, placement.caller_address)
            for flow_id, placement in self._placements.items()
            if placement.endpoint is endpoint
        ]
        for flow_id, _ in ended:
            del self._placements[flow_id]
        endpoint.streams = 0
        return ended
