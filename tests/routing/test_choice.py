import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from agatethread.routing import (
    EndpointTable,
    FlowTable,
    Heard,
    choose_for_request,
    choose_for_stream,
)
from tests.fakes import address, announcement

RAMP_S = 5.0


def table_of(count, now_s=0.0, **fields):
    table = EndpointTable()
    fields = {"lease_ms": 600_000} | fields
    for number in range(count):
        table.hear(address(number + 1), announcement(number, **fields), now_s)
    return table


def place(table, count, now_s, flows, first=0):
    for flow_id in range(first, first + count):
        endpoint = choose_for_stream(table.of_service("tab"), now_s, RAMP_S)
        if endpoint is not None:
            endpoint.last_used_s = now_s
            flows.place(flow_id, endpoint, b"c")


class TestChooseForStream(unittest.TestCase):
    def test_service_that_starts_is_even_at_once(self):
        """Backend servers first heard of within a moment share evenly."""
        table = EndpointTable()
        for number in range(7):
            table.hear(address(number + 1), announcement(number), number * 0.15)
        place(table, 350, 1.5, FlowTable(1000))
        loads = [endpoint.streams for endpoint in table.of_service("tab")]
        self.assertLessEqual(max(loads) * 7 / sum(loads), 1.05)

    def test_latecomer_ramps_up(self):
        """A backend server that joins others does not get every new flow at once."""
        table = table_of(2)
        flows = FlowTable(10_000)
        place(table, 200, 50.0, flows)
        table.hear(address(9), announcement(9, lease_ms=600_000), 50.0)
        place(table, 20, 50.5, flows, 200)
        newcomer = table.by_address[address(9)]
        self.assertLess(newcomer.streams, 15)
        place(table, 200, 56.0, flows, 220)
        self.assertGreater(newcomer.streams, 100)

    @given(st.integers(1, 5), st.integers(1, 20), st.integers(0, 150))
    def test_connection_limit_is_never_exceeded(self, servers, limit, count):
        """However many flows come, no backend server gets more than its limit."""
        table = table_of(servers, connection_limit=limit)
        place(table, count, 10.0, FlowTable(1000))
        loads = [endpoint.streams for endpoint in table.of_service("tab")]
        self.assertLessEqual(max(loads), limit)
        self.assertEqual(sum(loads), min(count, servers * limit))

    def test_draining_gets_nothing_new(self):
        """A backend server that drains, left or was drained gets no new flow."""
        table = table_of(3)
        table.hear(address(1), announcement(0, sequence=2, draining=True), 1.0)
        table.by_address[address(2)].drained = True
        place(table, 10, 2.0, FlowTable(100))
        loads = [table.by_address[address(n)].streams for n in (1, 2, 3)]
        self.assertEqual(loads, [0, 0, 10])

    def test_a_lie_about_load_changes_nothing(self):
        """What a backend server reports does not outweigh what we counted."""
        table = table_of(4)
        flows = FlowTable(1000)
        for step in range(40):
            lie = announcement(0, sequence=step + 2, open_streams=0, in_flight=0)
            table.hear(address(1), lie, 1.0)
            place(table, 10, 1.0, flows, step * 10)
        loads = [endpoint.streams for endpoint in table.of_service("tab")]
        self.assertEqual(loads, [100] * 4)

    def test_new_dispatcher_counts_on_from_the_reports(self):
        """After a takeover the inherited flows weigh, until they close."""
        table = table_of(2, open_streams=0)
        one, two = table.of_service("tab")
        table.hear(address(1), announcement(0, sequence=2, open_streams=50), 1.0)
        one.inherit(1.0)
        two.inherit(1.0)
        flows = FlowTable(1000)
        place(table, 50, 1.0, flows)
        self.assertEqual((one.streams, two.streams), (0, 50))
        flows.remove(12345, one)
        self.assertEqual(one.inherited_streams, 49)


class TestChooseForRequest(unittest.TestCase):
    def test_slots_are_never_exceeded(self):
        """With every slot taken there is no choice."""
        table = table_of(3)
        chosen = Counter()
        while True:
            endpoint = choose_for_request(table.of_service("tab"), 9.0, 0.0, None)
            if endpoint is None:
                break
            endpoint.in_flight += 1
            chosen[endpoint.address] += 1
        self.assertEqual(set(chosen.values()), {2})

    def test_fast_failure_does_not_draw_the_work(self):
        """A backend server that sheds at once is kept away from, longer each time."""
        table = table_of(2)
        bad = table.by_address[address(1)]
        picks, now_s = Counter(), 0.0
        for _ in range(1000):
            now_s += 0.002
            endpoint = choose_for_request(table.of_service("tab"), now_s, 0.0, None)
            picks[endpoint is bad] += 1
            if endpoint is bad:
                bad.fail(now_s)
        self.assertLess(picks[True], 10)

    def test_failed_one_is_avoided_if_there_is_another(self):
        """A retry goes elsewhere, or to the same one if it is the only one."""
        table = table_of(2)
        one = table.by_address[address(1)]
        chosen = choose_for_request(table.of_service("tab"), 0.0, 0.0, one)
        self.assertIsNot(chosen, one)
        chosen = choose_for_request([one], 0.0, 0.0, one)
        self.assertIs(chosen, one)


class TestEndpointTable(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
    def test_news_never_goes_back(self, heard):
        """In whatever order announcements come, the newest one stands."""
        table = EndpointTable()
        newest = (0, 0)
        for incarnation, sequence in heard:
            news = announcement(incarnation=incarnation, sequence=sequence)
            result, _ = table.hear(address(1), news, 0.0)
            if (incarnation, sequence) <= newest:
                self.assertIs(result, Heard.STALE)
            newest = max(newest, (incarnation, sequence))
            kept = table.by_address[address(1)].announcement
            self.assertEqual((kept.incarnation, kept.sequence), newest)

    def test_other_service_cannot_take_a_live_address(self):
        """Under one incarnation an address stays with its service."""
        table = table_of(1)
        news = announcement(service="receipts", sequence=9)
        self.assertIs(table.hear(address(1), news, 0.0)[0], Heard.STALE)
