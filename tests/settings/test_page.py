import runpy
import unittest
from dataclasses import fields
from pathlib import Path

from agatethread.settings import Parts, Policies

ROOT = Path(__file__).resolve().parents[2]


class TestSettingsPage(unittest.TestCase):
    def test_page_matches_data_classes(self):
        """The settings page equals the one generated from the data classes."""
        script = runpy.run_path(str(ROOT / "scripts" / "settings_page.py"))
        page = (ROOT / "docs" / "operations" / "settings.md").read_text()
        self.assertEqual(page, script["make_page"]())

    def test_each_policy_and_part_has_purpose(self):
        """The comment or doc string of each field is found and is on the page."""
        script = runpy.run_path(str(ROOT / "scripts" / "settings_page.py"))
        for data_class in (Policies, Parts):
            purposes = script["_purposes"](data_class)
            for field in fields(data_class):
                with self.subTest(field.name):
                    self.assertRegex(purposes[field.name], r"^[A-Z].*\.$")
                    self.assertIn(purposes[field.name], script["make_page"]())
