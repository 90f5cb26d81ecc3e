import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from agatethread.routing import (
    AnnouncementResult,
    EndpointTable,
    FlowTable,
    choose_for_request,
    choose_for_stream,
)
from tests.fakes import address, announcement

RAMP_S = 5.0


def make_table(count, now_s=0.0, **fields):
    table = EndpointTable()
    fields = {"lease_ms": 600_000} | fields
    for number in range(count):
        table.apply_announcement(
            address(number + 1), announcement(number, **fields), now_s
        )
    return table


def place(table, count, now_s, flows, first=0):
    for flow_id in range(first, first + count):
        endpoint = choose_for_stream(table.of_service("tab"), now_s, RAMP_S)
        if endpoint is not None:
            endpoint.last_used_s = now_s
            flows.place(flow_id, endpoint, b"c")


class TestChooseForStream(unittest.TestCase):
    def test_new_service_is_balanced_without_ramp(self):
        """Backend servers announced within a short time share new flows evenly."""
        table = EndpointTable()
        for number in range(7):
            table.apply_announcement(
                address(number + 1), announcement(number), number * 0.15
            )
        place(table, 350, 1.5, FlowTable(1000))
        loads = [endpoint.streams for endpoint in table.of_service("tab")]
        self.assertLessEqual(max(loads) * 7 / sum(loads), 1.05)

    def test_joining_backend_server_ramps_up(self):
        """A backend server that joins others does not get every new flow at once."""
        table = make_table(2)
        flows = FlowTable(10_000)
        place(table, 200, 50.0, flows)
        table.apply_announcement(address(9), announcement(9, lease_ms=600_000), 50.0)
        place(table, 20, 50.5, flows, 200)
        joining = table.by_address[address(9)]
        self.assertLess(joining.streams, 15)
        place(table, 200, 56.0, flows, 220)
        self.assertGreater(joining.streams, 100)

    @given(st.integers(1, 5), st.integers(1, 20), st.integers(0, 150))
    def test_connection_limit_is_never_exceeded(self, servers, limit, count):
        """No backend server gets more flows than its connection limit."""
        table = make_table(servers, connection_limit=limit)
        place(table, count, 10.0, FlowTable(1000))
        loads = [endpoint.streams for endpoint in table.of_service("tab")]
        self.assertLessEqual(max(loads), limit)
        self.assertEqual(sum(loads), min(count, servers * limit))

    def test_draining_backend_server_gets_no_new_flow(self):
        """A backend server that is draining or was drained gets no new flow."""
        table = make_table(3)
        table.apply_announcement(
            address(1), announcement(0, sequence=2, draining=True), 1.0
        )
        table.by_address[address(2)].drained = True
        place(table, 10, 2.0, FlowTable(100))
        loads = [table.by_address[address(number)].streams for number in (1, 2, 3)]
        self.assertEqual(loads, [0, 0, 10])

    def test_reported_load_does_not_lower_own_counts(self):
        """A reported load of zero does not override the own count of open flows."""
        table = make_table(4)
        flows = FlowTable(1000)
        for step in range(40):
            report = announcement(0, sequence=step + 2, open_streams=0, in_flight=0)
            table.apply_announcement(address(1), report, 1.0)
            place(table, 10, 1.0, flows, step * 10)
        loads = [endpoint.streams for endpoint in table.of_service("tab")]
        self.assertEqual(loads, [100] * 4)

    def test_new_dispatcher_counts_reported_flows(self):
        """After a takeover reported flows count as load until they close."""
        table = make_table(2, open_streams=0)
        first_endpoint, second_endpoint = table.of_service("tab")
        table.apply_announcement(
            address(1), announcement(0, sequence=2, open_streams=50), 1.0
        )
        first_endpoint.inherit_reported_load(1.0)
        second_endpoint.inherit_reported_load(1.0)
        flows = FlowTable(1000)
        place(table, 50, 1.0, flows)
        self.assertEqual((first_endpoint.streams, second_endpoint.streams), (0, 50))
        flows.remove(12345, first_endpoint)
        self.assertEqual(first_endpoint.inherited_streams, 49)


class TestChooseForRequest(unittest.TestCase):
    def test_slots_are_never_exceeded(self):
        """No backend server is chosen once every slot is occupied."""
        table = make_table(3)
        chosen = Counter()
        while True:
            endpoint = choose_for_request(table.of_service("tab"), 9.0, 0.0, None)
            if endpoint is None:
                break
            endpoint.in_flight += 1
            chosen[endpoint.address] += 1
        self.assertEqual(set(chosen.values()), {2})

    def test_failing_server_backs_off_exponentially(self):
        """A backend server that fails at once is avoided for longer each time."""
        table = make_table(2)
        failing = table.by_address[address(1)]
        pick_count, now_s = Counter(), 0.0
        for _ in range(1000):
            now_s += 0.002
            endpoint = choose_for_request(table.of_service("tab"), now_s, 0.0, None)
            pick_count[endpoint is failing] += 1
            if endpoint is failing:
                failing.record_failure(now_s)
        self.assertLess(pick_count[True], 10)

    def test_retry_avoids_failed_backend_server(self):
        """A retry goes to another backend server unless the failed one is the only."""
        table = make_table(2)
        first_endpoint = table.by_address[address(1)]
        chosen = choose_for_request(table.of_service("tab"), 0.0, 0.0, first_endpoint)
        self.assertIsNot(chosen, first_endpoint)
        chosen = choose_for_request([first_endpoint], 0.0, 0.0, first_endpoint)
        self.assertIs(chosen, first_endpoint)


class TestEndpointTable(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
    def test_newest_announcement_wins(self, announced):
        """The newest announcement is kept, in whatever order they are received."""
        table = EndpointTable()
        newest = (0, 0)
        for incarnation, sequence in announced:
            received = announcement(incarnation=incarnation, sequence=sequence)
            result, _ = table.apply_announcement(address(1), received, 0.0)
            if (incarnation, sequence) <= newest:
                self.assertIs(result, AnnouncementResult.STALE)
            newest = max(newest, (incarnation, sequence))
            kept = table.by_address[address(1)].announcement
            self.assertEqual((kept.incarnation, kept.sequence), newest)

    def test_announcement_of_other_service_with_same_incarnation_is_stale(self):
        """It does not change the service of an address that is in use."""
        table = make_table(1)
        received = announcement(service="receipts", sequence=9)
        self.assertIs(
            table.apply_announcement(address(1), received, 0.0)[0],
            AnnouncementResult.STALE,
        )
