import json
import unittest

from agatethread_platform.report_bodies import (
    MAX_REPORT_BYTES,
    decode_report,
    decode_run_end,
    parse_run_number,
)
from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import DocumentError, FieldError
from agatethread.wire.registry_pb2 import BackendRun
from tests.platform.test_json_bodies import with_value

REPORT = {
    "service": "tab",
    "address": "10.128.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup_remaining_ms": 1500,
    "sequence": 4,
}


class TestReport(unittest.TestCase):
    def test_decodes_report(self):
        """The fields of a report are decoded into a `Report`."""
        report = decode_report("i-7f3a91c2", json.dumps(REPORT).encode())
        self.assertEqual((report.number, report.slots), (0x7F3A91C2, 2))
        self.assertEqual((report.warm_up_s, report.draining), (1.5, False))
        draining = with_value(REPORT, ["state"], "draining")
        self.assertTrue(decode_report("i-1", draining).draining)

    def test_rejects_invalid_reports(self):
        """Wrong types and addresses raise a typed error."""
        for path, value in (
            (["address"], "nowhere"),
            (["address"], "10.0.0.1:99999"),
            (["sequence"], "4"),
            (["capacity"], None),
        ):
            body = with_value(REPORT, path, value)
            with self.subTest(path=path):
                with self.assertRaises((DocumentError, FieldError)):
                    decode_report("i-1", body)

    def test_decodes_start_time(self):
        """The start time is optional in reports and in calls that end a run."""
        body = json.dumps(REPORT | {"born": 1_796_000_000_123}).encode()
        self.assertEqual(decode_report("i-1", body).started_ms, 1_796_000_000_123)
        self.assertEqual(
            decode_report("i-1", json.dumps(REPORT).encode()).started_ms, 0
        )
        self.assertEqual(decode_run_end("i-1", b'{"born": 17}'), 17)
        self.assertEqual(decode_run_end("i-1", b""), 0)

    def test_rejects_report_without_a_required_field(self):
        """Each field of the report format is required."""
        for name in REPORT:
            body = json.dumps({key: REPORT[key] for key in REPORT if key != name})
            with self.subTest(lacks=name), self.assertRaises(DocumentError):
                decode_report("i-1", body.encode())

    def test_rejects_values_out_of_range_or_of_wrong_type(self):
        """A field of a wrong type, range or format raises a typed error."""
        numbers = ("4", True, None, [4], {}, -1, 1e400, float("nan"), 10**400, 0.5)
        texts = (7, True, None, ["ready"], {}, "", "x" * 5_000, "\ud800")
        invalid_values = {
            "capacity": (*numbers, 0, 1 << 32),
            "sequence": (*numbers, 1 << 64),
            "warmup_remaining_ms": ("4", True, None, [4], -1, float("nan"), 1e400),
            "born": (*numbers, 0, 1_796_000_000_123_000, 1 << 64),
            "state": (*texts, "READY", "gone", "drained"),
            "service": texts,
            "zone": texts,
            "version": (7, True, None, ["v1"], {}, 1.5),
            "address": (
                *texts,
                "10.0.0.1",
                "10.0.0.1:0",
                "[::1]:80",
                "10.0.0.1:\u0664",
            ),
        }
        for name, values in invalid_values.items():
            for value in values:
                with self.subTest(field=name, value=str(value)[:30]):
                    body = json.dumps(REPORT | {name: value}).encode()
                    with self.assertRaises((DocumentError, FieldError)):
                        decode_report("i-1", body)

    def test_rejects_malformed_or_oversized_bodies(self):
        """Malformed, deeply nested and oversized bodies raise a typed error."""
        deep = json.dumps(REPORT)[:-1].encode() + b',"x":' + b"[" * 9_000 + b"]" * 9_000
        for body in (
            b"",
            b"\xff\xfe{",
            b"null",
            b"[]",
            b'{"service": "tab"',
            json.dumps(REPORT).encode("utf-16"),
            deep + b"}",
            b"[" * MAX_REPORT_BYTES,
            json.dumps(REPORT | {"x": "x" * MAX_REPORT_BYTES}).encode(),
        ):
            with self.subTest(body=body[:30]):
                with self.assertRaises((DocumentError, FieldError)):
                    decode_report("i-1", body)

    def test_rejects_ids_without_plain_hexadecimal_digits(self):
        """Other spellings that `int` accepts are rejected."""
        for run_id in (
            *("", "i-", "i-0", "i-xyz", "i-0x1f", "i-1_0", "i- 1f", "i-1f ", "i-+1"),
            *("i-\u0661", "i-1/2", "i-%31", "i-" + "f" * 17, "i" * 80 + "-1"),
        ):
            with self.subTest(run_id=run_id), self.assertRaises(FieldError):
                parse_run_number(run_id)

    @given(
        st.dictionaries(
            st.sampled_from((*REPORT, "born")),
            st.none()
            | st.booleans()
            | st.integers(-(1 << 70), 1 << 70)
            | st.floats()
            | st.text(max_size=9)
            | st.lists(st.integers(), max_size=2)
            | st.sampled_from(("ready", "draining", "10.0.0.1:80")),
        )
    )
    def test_decodes_report_within_limits_or_rejects_it(self, fields):
        """A decoded report fits the registry's messages and holds the sent values."""
        try:
            report = decode_report("i-1", json.dumps(REPORT | fields).encode())
        except (DocumentError, FieldError):
            return
        message = BackendRun(
            service=report.service,
            failure_domain=report.failure_domain,
            slots=report.slots,
            sequence=report.sequence,
            warm_up_ms=int(report.warm_up_s * 1000),
            started_ms=report.started_ms,
        )
        self.assertEqual(message.slots, fields.get("capacity", REPORT["capacity"]))
        self.assertEqual(message.started_ms, fields.get("born", 0))
        self.assertIn(fields.get("state", "ready"), ("ready", "draining"))

    @given(st.text(max_size=30))
    def test_parses_or_rejects_any_id(self, run_id):
        """Any id gives a non-zero number of 64 bits or a typed error."""
        try:
            number = parse_run_number(run_id)
        except FieldError:
            return
        self.assertTrue(0 < number < 1 << 64)
