import runpy
import unittest
from dataclasses import fields
from pathlib import Path

from agatethread.settings import Parts, Policies

ROOT = Path(__file__).resolve().parents[2]


class TestSettingsPage(unittest.TestCase):
    def test_reference_is_what_the_classes_say(self):
        """The settings reference is the one made from the checked classes."""
        script = runpy.run_path(str(ROOT / "scripts" / "settings_page.py"))
        page = (ROOT / "docs" / "operations" / "settings.md").read_text()
        self.assertEqual(page, script["make_page"]())

    def test_each_policy_and_part_says_what_it_is_for(self):
        """The comment or docstring of each is found, whole."""
        script = runpy.run_path(str(ROOT / "scripts" / "settings_page.py"))
        for data_class in (Policies, Parts):
            purposes = script["_purposes"](data_class)
            for one in fields(data_class):
                with self.subTest(one.name):
                    self.assertRegex(purposes[one.name], r"^[A-Z].*\.$")
                    self.assertIn(purposes[one.name], script["make_page"]())
