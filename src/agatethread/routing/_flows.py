"""Flows that this instance placed, so that load is counted and nothing else.

No flow needs its record here to stay up: its cookie is enough.
"""

from agatethread.routing._endpoints import Endpoint


class _Placement:
    __slots__ = ("caller", "endpoint", "opened")

    def __init__(self, endpoint: Endpoint, caller: bytes):
        self.endpoint = endpoint
        self.caller = caller
        self.opened = False


class FlowTable:
    """Placements by service and flow, bounded in number.

    Parameters
    ----------
    limit_count : int
        Most flows kept.
    """

    def __init__(self, limit_count: int):
        self._limit_count = limit_count
        self._placements: dict[int, _Placement] = {}

    def __len__(self) -> int:
        return len(self._placements)

    @property
    def is_full(self) -> bool:
        """Whether no further flow can be counted."""
        return len(self._placements) >= self._limit_count

    def find(self, flow_id: int) -> Endpoint | None:
        """Find where a flow was placed.

        Parameters
        ----------
        flow_id : int
            The flow.

        Returns
        -------
        Endpoint or None
            None if it was not placed here.
        """
        placement = self._placements.get(flow_id)
        return placement.endpoint if placement else None

    def place(self, flow_id: int, endpoint: Endpoint, caller: bytes) -> None:
        """Record a new placement and count it.

        Parameters
        ----------
        flow_id : int
            The flow.
        endpoint : Endpoint
            Where it goes.
        caller : bytes
            Packed address to tell if the backend server dies.
        """
        self._placements[flow_id] = _Placement(endpoint, caller)
        endpoint.streams += 1

    def confirm(self, flow_id: int) -> bool:
        """Note that the backend server took a flow.

        Parameters
        ----------
        flow_id : int
            The flow.

        Returns
        -------
        bool
            Whether this is the first time.
        """
        placement = self._placements.get(flow_id)
        if placement is None or placement.opened:
            return False
        placement.opened = True
        return True

    def is_confirmed(self, flow_id: int) -> bool:
        """Tell whether the backend server took a flow.

        Parameters
        ----------
        flow_id : int
            The flow.

        Returns
        -------
        bool
            False if it is not known here.
        """
        placement = self._placements.get(flow_id)
        return placement is not None and placement.opened

    def remove(self, flow_id: int, endpoint: Endpoint | None) -> None:
        """Uncount a flow that ended.

        Parameters
        ----------
        flow_id : int
            The flow.
        endpoint : Endpoint or None
            Where it was, for a flow that an earlier dispatcher placed.
        """
        placement = self._placements.pop(flow_id, None)
        if placement is not None:
            placement.endpoint.streams -= 1
            return
        if endpoint is not None and endpoint.inherited_streams > 0:
            endpoint.inherited_streams -= 1

    def remove_endpoint(self, endpoint: Endpoint) -> list[tuple[int, bytes]]:
        """Uncount every flow of a backend server that died.

        Parameters
        ----------
        endpoint : Endpoint
            The backend server.

        Returns
        -------
        list of (int, bytes)
            The flows and their callers.
        """
        ended = [
            (flow_id, placement.caller)
            for flow_id, placement in self._placements.items()
            if placement.endpoint is endpoint
        ]
        for flow_id, _ in ended:
            del self._placements[flow_id]
        endpoint.streams = 0
        return ended
