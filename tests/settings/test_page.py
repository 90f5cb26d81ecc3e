import runpy
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class TestSettingsPage(unittest.TestCase):
    def test_reference_is_what_the_classes_say(self):
        """The settings reference is the one made from the checked classes."""
        script = runpy.run_path(str(ROOT / "scripts" / "settings_page.py"))
        page = (ROOT / "docs" / "operations" / "settings.md").read_text()
        self.assertEqual(page, script["make_page"]())
