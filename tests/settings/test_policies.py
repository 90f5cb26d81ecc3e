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

NAMES = [one.name for one in policy_fields()]


class TestPolicies(unittest.TestCase):
    def test_file_changes_what_it_names(self):
        """Comments are allowed, and what is not named keeps its default."""
        found = parse_policies(
            "file", "{cold_factor: 2, /* off */ paces_packets: false}"
        )
        self.assertEqual(found, Policies(cold_factor=2.0, paces_packets=False))

    def test_every_fault_is_named(self):
        """Unknown names, other types and values out of bounds are named together."""
        text = '{colour: 1, cold_factor: 0.5, turn_wait_s: "2", keeps_hints: 0}'
        with self.assertRaises(SettingsError) as caught:
            parse_policies("file", text)
        faults = {fault.field: str(fault) for fault in caught.exception.exceptions}
        self.assertEqual(
            set(faults), {"colour", "cold_factor", "turn_wait_s", "keeps_hints"}
        )
        self.assertIn("got '2', expected a number (seconds)", faults["turn_wait_s"])

    def test_file_that_is_not_there(self):
        """A file that can't be read is a fault, not the defaults."""
        with self.assertRaises(SettingsError):
            load_policies("/nowhere/policies.json5")

    @given(st.sampled_from(NAMES))
    def test_switching_off_changes_one_policy(self, name):
        """Off differs from the default, is allowed in a file, and leaves the rest."""
        off = switch_off(DEFAULT_POLICIES, name)
        changed = [one for one in NAMES if getattr(off, one) != _default(one)]
        self.assertEqual(changed, [name])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "policies.json5"
            path.write_text(json.dumps({name: getattr(off, name)}))
            self.assertEqual(load_policies(str(path)), off)

    def test_unknown_policy_is_not_switched_off(self):
        """A name with a typing error is refused."""
        with self.assertRaises(KeyError):
            switch_off(DEFAULT_POLICIES, "colour")


def _default(name):
    return getattr(DEFAULT_POLICIES, name)
