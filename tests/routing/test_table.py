import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import (
    DocumentError,
    FieldError,
    RouteConflictError,
    UnknownServiceError,
)
from agatethread.routing import (
    URGENCY_NOT_SET,
    ColdLimit,
    RouteRule,
    RoutingDocument,
    Target,
    add_earlier_services,
    check_document,
    decode_table,
    encode_table,
)
from agatethread.wire.registry_pb2 import RoutingTable


def rule(name="r-1", port=443, service="tab", timeout_ms=1_000, weight=1):
    """Return a route to one service."""
    return RouteRule(name, 0xC6120001, port, (Target(service, weight),), timeout_ms)


def document(*rules, version=1, services=("tab", "archive")):
    """Return a document with the given routes."""
    return RoutingDocument(version, services, rules)


class TestColdLimits(unittest.TestCase):
    def test_limits_reach_entry_instances(self):
        """Rate limits are decoded, also if a later table lists services differently."""
        first = RoutingDocument(
            1, ("tab", "archive"), (rule(),), (ColdLimit("archive", 20.0),)
        )
        before = encode_table(first)
        later = encode_table(
            RoutingDocument(2, ("archive",), (), (ColdLimit("archive", 0.0),))
        )
        add_earlier_services(later, before)
        self.assertEqual(decode_table(before).cold_rates_per_s, {"archive": 20.0})
        self.assertEqual(decode_table(later).cold_rates_per_s, {"archive": 0.0})


class TestUrgencyAndTimes(unittest.TestCase):
    def test_urgency_and_times_reach_entry_instances(self):
        """Urgency 0 is distinguished from an urgency that is not set; times are sent.

        A timeout above 32 bits can be encoded.
        """
        target = (Target("tab", 1),)
        most_urgent = RouteRule("r-1", 1, 443, target, 2_000, urgency=0, aim_ms=400)
        without_urgency = RouteRule("r-2", 1, 444, target, 1 << 40)
        table = decode_table(encode_table(document(most_urgent, without_urgency)))
        route, other = table.routes[1, 443], table.routes[1, 444]
        self.assertEqual((route.urgency, route.aim_s, route.timeout_s), (0, 0.4, 2.0))
        self.assertEqual((other.urgency, other.aim_s), (URGENCY_NOT_SET, inf))

    def test_table_of_earlier_format_is_decoded(self):
        """A stored table without urgency and times gets the defaults."""
        before = RoutingTable(version=1, services=["tab"])
        before.routes.add(host=1, port=443).targets.add(weight=1)
        route = decode_table(before).routes[1, 443]
        decoded = (route.urgency, route.aim_s, route.timeout_s)
        self.assertEqual(decoded, (URGENCY_NOT_SET, inf, inf))


class TestCheckDocument(unittest.TestCase):
    def faults_of(self, invalid_document):
        with self.assertRaises(DocumentError) as caught:
            check_document(invalid_document)
        return [type(fault) for fault in caught.exception.exceptions]

    def test_accepts_valid_document(self):
        """Routes that differ only in their port do not conflict."""
        check_document(document(rule(), rule("r-2", port=444)))

    def test_each_fault_has_its_type(self):
        """Each kind of fault is reported as an error of its own type."""
        cases = (
            (document(rule(service="nobody")), UnknownServiceError),
            (document(rule(), rule("r-2")), RouteConflictError),
            (document(rule(), rule()), RouteConflictError),
            (document(rule(timeout_ms=0)), FieldError),
            (document(rule(weight=0)), FieldError),
            (document(services=("tab", "tab")), FieldError),
        )
        for invalid_document, kind in cases:
            with self.subTest(kind=kind, invalid_document=invalid_document):
                self.assertEqual(self.faults_of(invalid_document), [kind])

    def test_reports_all_faults_at_once(self):
        """All faults of a document are reported in one error."""
        faults = self.faults_of(document(rule(timeout_ms=0), rule("r-2", 443, "x")))
        self.assertEqual(len(faults), 3)


class TestTable(unittest.TestCase):
    def test_decodes_encoded_table(self):
        """A decoded table has the routes and the version of the document."""
        table = decode_table(encode_table(document(rule(), version=5)))
        route = table.routes[0xC6120001, 443]
        self.assertEqual((table.version, route.targets), (5, (Target("tab", 1),)))

    def test_route_keeps_earlier_services(self):
        """A route still allows open flows of the services that it had earlier."""
        first = encode_table(document(rule(service="tab")))
        second = encode_table(document(rule(service="archive"), version=2))
        add_earlier_services(second, first)
        third = encode_table(
            document(rule(service="new"), version=3, services=("new",))
        )
        add_earlier_services(third, second)
        route = decode_table(third).routes[0xC6120001, 443]
        self.assertEqual(route.targets, (Target("new", 1),))
        self.assertEqual(route.services, {"tab", "archive", "new"})

    def test_readded_route_has_no_earlier_services(self):
        """A route that was removed in between has no earlier services."""
        first = encode_table(document(rule(service="tab")))
        without = encode_table(document(version=2))
        add_earlier_services(without, first)
        third = encode_table(document(rule(service="archive"), version=3))
        add_earlier_services(third, without)
        route = decode_table(third).routes[0xC6120001, 443]
        self.assertEqual(route.services, {"archive"})

    @given(
        st.lists(
            st.tuples(
                st.permutations(["tab", "archive", "new"]),
                st.dictionaries(
                    st.integers(1, 3),
                    st.sampled_from(["tab", "archive", "new"]),
                    max_size=3,
                ),
            ),
            min_size=2,
            max_size=6,
        )
    )
    def test_services_of_route_accumulate(self, versions):
        """A route has all earlier services, in whatever order tables list them."""
        expected, before = {}, None
        for number, (services, routes) in enumerate(versions, 1):
            rules = [rule(f"r-{port}", port, to) for port, to in routes.items()]
            table = encode_table(
                document(*rules, version=number, services=tuple(services))
            )
            if before is not None:
                add_earlier_services(table, before)
            expected = {
                port: expected.get(port, set()) | {to} for port, to in routes.items()
            }
            decoded = {
                port: set(route.services)
                for (_, port), route in decode_table(table).routes.items()
            }
            self.assertEqual(decoded, expected)
            before = table
