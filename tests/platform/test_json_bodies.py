import copy
import json
import unittest

from agatethread_platform.json_bodies import decode_configuration
from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import DocumentError
from agatethread.routing import (
    LOWEST_URGENCY,
    URGENCY_NOT_SET,
    ColdLimit,
    Target,
    check_document,
)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path_prefix": "/8080/",
            "route_type": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 150,
            "priority": 1,
            "service": "tab",
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "path_prefix": "/8443/",
            "timeout_ms": 1200,
            "backends": [
                {"service": "tab", "weight": 90},
                {"service": "archive", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "tab", "health_path": "/healthz"}, {"name": "archive"}],
    "limits": {"idle_timeout_ms": 15000},
}


def with_value(base, path, value):
    """Return an encoded copy of a body with one value replaced."""
    body = copy.deepcopy(base)
    part = body
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    return json.dumps(body).encode()


class TestConfiguration(unittest.TestCase):
    def test_decodes_rate_limits_of_cold_servers(self):
        """A service without the field has no limit; 0 is a limit."""
        services = [{"name": "tab", "warmup_per_s": 0}, {"name": "archive"}]
        body = with_value(CONFIGURATION, ["services"], services)
        limits = decode_configuration(body).cold_limits
        self.assertEqual(limits, (ColdLimit("tab", 0.0),))
        for value in (-1, "20", None):
            with self.subTest(value=value), self.assertRaises(DocumentError):
                services[0]["warmup_per_s"] = value
                decode_configuration(with_value(CONFIGURATION, ["services"], services))

    def test_decodes_urgency_and_target_latency(self):
        """Both are optional; any non-negative priority is accepted."""
        first, second = decode_configuration(json.dumps(CONFIGURATION).encode()).rules
        self.assertEqual((first.urgency, first.aim_ms), (1, 150))
        self.assertEqual((second.urgency, second.aim_ms), (URGENCY_NOT_SET, 0))
        path = ("routes", 0, "priority")
        lowest = decode_configuration(with_value(CONFIGURATION, path, 1 << 40)).rules[0]
        self.assertEqual(lowest.urgency, LOWEST_URGENCY)

    def test_decodes_routes(self):
        """Hosts, ports, services and weights are decoded from the platform's fields."""
        document = decode_configuration(json.dumps(CONFIGURATION).encode())
        check_document(document)
        single, split = document.rules
        self.assertEqual((single.host, single.port), (0xC6120001, 8080))
        self.assertEqual(single.targets, (Target("tab", 1),))
        self.assertEqual(split.targets, (Target("tab", 90), Target("archive", 10)))

    def test_rejects_invalid_configurations(self):
        """A configuration with any invalid part raises a typed error."""
        whole = json.dumps(CONFIGURATION).encode()
        bad = (
            whole[: len(whole) // 2],
            b"",
            b"[]",
            b"\xff\xfe",
            b"[" * 100_000,
            with_value(CONFIGURATION, ["version"], "7"),
            with_value(CONFIGURATION, ["version"], 0),
            with_value(CONFIGURATION, ["version"], True),
            with_value(CONFIGURATION, ["routes"], None),
            with_value(CONFIGURATION, ["routes", 0, "host"], "tab.example"),
            with_value(CONFIGURATION, ["routes", 0, "path_prefix"], "/"),
            with_value(CONFIGURATION, ["routes", 0, "path_prefix"], "/70000/"),
            with_value(CONFIGURATION, ["routes", 1, "backends", 0, "weight"], "x"),
            b'{"version": 8, "services": []}',
        )
        for body in bad:
            with self.subTest(body=body[:60]), self.assertRaises(DocumentError):
                decode_configuration(body)

    def test_rejects_rows_that_are_no_list(self):
        """Guards against an empty text or object that is acknowledged as no routes."""
        for name in ("routes", "services"):
            for value in ("", {}, {"x": 1}, "x", 1, None):
                with self.subTest(name=name, value=value):
                    with self.assertRaises(DocumentError):
                        decode_configuration(with_value(CONFIGURATION, [name], value))
        for value in ("", {}):
            path = ("routes", 1, "backends")
            with self.subTest(value=value), self.assertRaises(DocumentError):
                decode_configuration(with_value(CONFIGURATION, path, value))

    @given(st.binary(max_size=300))
    def test_decodes_or_rejects_any_bytes(self, body):
        """Any bytes give a document or a typed error."""
        try:
            decode_configuration(body)
        except DocumentError:
            return

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=9),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(("version", "routes", "services", "host")), inner
                )
            ),
            max_leaves=12,
        )
    )
    def test_decodes_or_rejects_any_json(self, value):
        """Any JSON value gives a document or a typed error."""
        try:
            decode_configuration(json.dumps(value).encode())
        except DocumentError:
            return
