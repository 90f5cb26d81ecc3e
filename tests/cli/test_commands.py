import contextlib
import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from agatethread.cli import run_ctl, run_daemon
from tests.settings.test_loading import GOOD


def run(command, *arguments):
    """Run a command in this process; return its exit code, output and errors."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            command(list(arguments))
        except SystemExit as stopped:
            return stopped.code, output.getvalue(), errors.getvalue()
    return 0, output.getvalue(), errors.getvalue()


class CommandCase(unittest.TestCase):
    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "file.json5"
        path.write_text(text)
        return str(path)


class TestCtl(CommandCase):
    def test_check_prints_every_fault(self):
        """``check`` prints all faults and exits with 2, like the daemon."""
        path = self.write(json.dumps(GOOD | {"name": 3, "colour": 1}))
        code, _, errors = run(run_ctl, "check", path)
        self.assertEqual(code, 2)
        self.assertIn("name: got 3, expected a string", errors)
        self.assertIn("colour: got 1, expected no such field", errors)
        self.assertEqual(run(run_daemon, "--config", path)[0], 2)

    def test_check_accepts_valid_file(self):
        """``check`` of a valid file exits with 0 and prints JSON if asked to."""
        path = self.write(json.dumps(GOOD))
        code, output, _ = run(run_ctl, "--json", "check", path)
        self.assertEqual((code, json.loads(output)["faults"]), (0, []))

    def test_apply_rejects_invalid_document_before_sending_it(self):
        """``apply`` of a document with faults prints them and exits with 2."""
        path = self.write('{service: "tab", version: 0}')
        code, _, errors = run(
            run_ctl, "--plain-text", "--control", "127.0.0.1:1", "apply", path
        )
        self.assertEqual(code, 2)
        self.assertIn("version: got 0, expected between 1", errors)

    def test_get_fails_without_control_instance(self):
        """Without a reachable control instance, a command exits with 1."""
        arguments = ("--plain-text", "--control", "127.0.0.1:1", "--timeout-s", "0.5")
        code, _, errors = run(run_ctl, *arguments, "get", "tab")
        self.assertEqual(code, 1)
        self.assertIn("no answer", errors)

    def test_requires_keys_or_plain_text(self):
        """Without key files, a command needs ``--plain-text``."""
        code, _, errors = run(run_ctl, "--control", "127.0.0.1:1", "status")
        self.assertEqual(code, 2)
        self.assertIn("--plain-text", errors)

    def test_help_of_every_command_has_example(self):
        """``--help`` of each command shows an example."""
        commands = ("apply", "get", "status", "drain", "dump", "check")
        for command in (*commands, "evacuate", "readmit"):
            code, output, _ = run(run_ctl, command, "--help")
            self.assertEqual(code, 0)
            self.assertIn("example: agatethreadctl", output)


class TestDaemon(CommandCase):
    def start(self, settings):
        path = self.write(json.dumps(settings))
        command = [sys.executable, "-m", "agatethread", "--config", path]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def test_exits_with_2_if_key_file_is_missing(self):
        """The daemon names an unreadable key file and exits with 2."""
        result = self.start(GOOD)
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertIn("key", result.stderr)

    def test_exits_with_2_if_settings_file_is_missing(self):
        """The daemon names an unreadable settings file and exits with 2."""
        code, _, errors = run(run_daemon, "--config", "/nowhere/at.all")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere/at.all", errors)
