import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import SettingsError
from agatethread.settings import (
    DEFAULT_POLICIES,
    Policies,
    load_policies,
    parse_policies,
    policy_fields,
    switch_off,
)

NAMES = [field.name for field in policy_fields()]


class TestPolicies(unittest.TestCase):
    def test_file_overrides_defaults(self):
        """Comments are allowed, and missing policies keep their defaults."""
        policies = parse_policies(
            "file", "{cold_factor: 2, /* off */ paces_packets: false}"
        )
        self.assertEqual(policies, Policies(cold_factor=2.0, paces_packets=False))

    def test_reports_all_faults_together(self):
        """Unknown names, wrong types and values out of range are reported together."""
        text = '{colour: 1, cold_factor: 0.5, turn_wait_s: "2", keeps_hints: 0}'
        with self.assertRaises(SettingsError) as caught:
            parse_policies("file", text)
        faults = {fault.field: str(fault) for fault in caught.exception.exceptions}
        self.assertEqual(
            set(faults), {"colour", "cold_factor", "turn_wait_s", "keeps_hints"}
        )
        self.assertIn("got '2', expected a number (seconds)", faults["turn_wait_s"])

    def test_rejects_missing_file(self):
        """A file that can't be read raises SettingsError."""
        with self.assertRaises(SettingsError):
            load_policies("/nowhere/policies.json5")

    @given(st.sampled_from(NAMES))
    def test_switch_off_changes_one_policy(self, name):
        """The off value differs from the default, is valid and changes nothing else."""
        off = switch_off(DEFAULT_POLICIES, name)
        changed = [field for field in NAMES if getattr(off, field) != _default(field)]
        self.assertEqual(changed, [name])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "policies.json5"
            path.write_text(json.dumps({name: getattr(off, name)}))
            self.assertEqual(load_policies(str(path)), off)

    def test_switch_off_rejects_unknown_policy(self):
        """An unknown name raises KeyError."""
        with self.assertRaises(KeyError):
            switch_off(DEFAULT_POLICIES, "colour")


def _default(name):
    return getattr(DEFAULT_POLICIES, name)
