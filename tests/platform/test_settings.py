import os
import platform
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import agatethread_platform
from agatethread_platform.settings import SettingsWatcher, parse_platform_settings

from agatethread.exceptions import SettingsError
from agatethread.settings import Parts, Policies

TEXT = """node_name=edge-1
zone=hall-a
ip=10.1.0.10
listen_addrs.datagram_addr=10.1.0.10:8172
listen_addrs.readiness_addr=10.1.0.10:8167
internal_port_range=7720,7735
seed_addrs=10.1.0.12:8166,10.2.0.43:8166
bootstrap=true
heartbeat_interval_ms=1200
fault_tolerance.machines=2
bounds.grace_s=6
something.new=1
"""


class TestSettings(unittest.TestCase):
    def test_parses_settings(self):
        """Values are converted to the fields and units of `PlatformSettings`."""
        settings = parse_platform_settings("file", TEXT)
        self.assertEqual(settings.name, "edge-1")
        self.assertEqual(settings.seeds, ("10.1.0.12:8166", "10.2.0.43:8166"))
        self.assertEqual((settings.registry_port, settings.log_port), (7720, 7721))
        self.assertEqual(settings.report_interval_s, 1.2)
        self.assertEqual((settings.is_first_start, settings.losses_borne), (True, 2))

    def test_invariants_enable_parts(self):
        """A part is enabled only if the platform lists its invariant."""
        expected_parts = {
            "base,drain": Parts(),
            "base,pressure": Parts(relays_openings=True),
            "health, flows": Parts(judges_answers=True),
            "health,pressure": Parts(relays_openings=True, judges_answers=True),
            "pressures": Parts(),
        }
        self.assertEqual(parse_platform_settings("file", TEXT).parts, Parts())
        for invariants, parts in expected_parts.items():
            with self.subTest(invariants=invariants):
                settings = parse_platform_settings(
                    "file", f"{TEXT}invariants={invariants}\n"
                )
                self.assertEqual(settings.parts, parts)

    def test_reports_all_errors(self):
        """Missing and invalid fields are reported together."""
        text = TEXT.replace("node_name=edge-1", "").replace("7720,7735", "x")
        text = text.replace("machines=2", "machines=two")
        with self.assertRaises(SettingsError) as caught:
            parse_platform_settings("file", text)
        fields = [fault.field for fault in caught.exception.exceptions]
        self.assertEqual(
            sorted(fields),
            ["fault_tolerance.machines", "internal_port_range", "node_name"],
        )

    def test_reads_policies_from_separate_file(self):
        """The defaults apply without a file; an invalid file raises an error."""
        self.assertEqual(parse_platform_settings("file", TEXT).policies, Policies())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "policies.json5"
            variables = {"AGATETHREAD_POLICIES": str(path)}
            with mock.patch.dict(os.environ, variables):
                path.write_text("{keeps_hints: false}")
                settings = parse_platform_settings("file", TEXT)
                self.assertEqual(settings.policies, Policies(keeps_hints=False))
                path.write_text("{keeps_hints: 3}")
                with self.assertRaises(SettingsError):
                    parse_platform_settings("file", TEXT)

    def test_folder_does_not_shadow_standard_module(self):
        """The folder ``platform`` hides neither its package nor the standard module."""
        self.assertTrue(platform.system())
        self.assertTrue(agatethread_platform.__doc__)

    def test_applies_valid_changes_and_ignores_invalid_ones(self):
        """New seeds apply without a restart; invalid settings change nothing."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_text(TEXT)
            changes = []
            watcher = SettingsWatcher(path, changes.append)
            watcher.read()
            for invalid in ("nonsense", TEXT.replace("7720,7735", "x")):
                path.write_text(invalid)
                watcher.read()
            path.write_bytes(b"\xff\xfe")
            watcher.read()
            path.unlink()
            watcher.read()
            self.assertEqual(changes, [])
            path.write_text(TEXT.replace("10.1.0.12", "10.9.0.1"))
            watcher.read()
        self.assertEqual(changes[0].seeds[0], "10.9.0.1:8166")
