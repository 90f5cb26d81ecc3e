import json
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import DocumentError, SettingsError
from agatethread.settings import parse_document, parse_settings

GOOD = {
    "name": "entry-1",
    "failure_domain": "a",
    "roles": ["entry"],
    "admin": "127.0.0.1:7000",
    "plain_text": True,
    "entry": {
        "listen": "127.0.0.1:7001",
        "inner": "127.0.0.1:7002",
        "seal_key_file": "key",
    },
}
JSON = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*GOOD, "listen", "x"]), inner, max_size=4)
    ),
    max_leaves=12,
)


def faults(data):
    try:
        parse_settings("file", json.dumps(data))
    except SettingsError as error:
        return [str(fault) for fault in error.exceptions]
    return []


class TestParseSettings(unittest.TestCase):
    def test_accepts_comments(self):
        """Comments in the JSON of settings are ignored."""
        text = "// first\n" + json.dumps(GOOD)[:-1] + ", /* last */ }"
        self.assertEqual(parse_settings("file", text).name, "entry-1")

    def test_reports_all_faults_together(self):
        """One group holds all faults with file, field, value and expected type."""
        bad = GOOD | {
            "name": 3,
            "roles": ["waiter"],
            "entry": GOOD["entry"]
            | {"listen": "nowhere", "suspicion_s": 900, "warm_up_s": "2", "colour": 1},
        }
        messages = faults(bad)
        for fault in (
            "file: name: got 3, expected a string",
            "file: roles: got 'waiter', expected one of entry, control",
            "file: entry.listen: got 'nowhere', expected an address as IPv4:port",
            "entry.suspicion_s: got 900, expected between 0.05 and 60.0 (seconds)",
            "file: entry.warm_up_s: got '2', expected a number (seconds)",
            "file: entry.colour: got 1, expected no such field",
        ):
            self.assertTrue(any(line.endswith(fault) for line in messages), fault)

    def test_requires_settings_of_roles_and_keys(self):
        """A role without its settings and gRPC without keys are faults."""
        self.assertIn("control", " ".join(faults(GOOD | {"roles": ["control"]})))
        self.assertIn("tls", " ".join(faults(GOOD | {"plain_text": False})))

    @given(JSON)
    def test_any_json_is_parsed_or_rejected(self, data):
        """Any JSON either gives settings or raises SettingsError with faults."""
        for text in (json.dumps(data), json.dumps(GOOD | {"entry": data})):
            try:
                parse_settings("file", text)
            except SettingsError as error:
                self.assertTrue(error.exceptions)

    def test_rejects_text_that_is_not_json(self):
        """Text that is not JSON raises SettingsError."""
        with self.assertRaises(SettingsError):
            parse_settings("file", "{")


class TestParseDocument(unittest.TestCase):
    def test_refuses_long_document_before_it_is_parsed(self):
        """Guards against a document that holds a control instance for seconds."""
        text = '{service: "tab", version: 1, note: "' + "x" * 262_144 + '"}'
        started_s = time.process_time()
        with self.assertRaises(DocumentError) as caught:
            parse_document("tab", text)
        self.assertLess(time.process_time() - started_s, 0.3)
        self.assertIn("at most 16384", str(caught.exception.exceptions[0]))

    def test_reports_range_and_unknown_field(self):
        """A version below 1 and an unknown field are both reported."""
        with self.assertRaises(DocumentError) as caught:
            parse_document("tab", '{service: "tab", version: 0, colour: 1}')
        text = " ".join(str(fault) for fault in caught.exception.exceptions)
        self.assertIn("version", text)
        self.assertIn("colour", text)
