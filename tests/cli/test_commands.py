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
    """Exit code, output and errors of a command run in this process."""
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
    def test_check_names_every_fault(self):
        """``check`` gives the daemon's own messages and exits with 2."""
        path = self.write(json.dumps(GOOD | {"name": 3, "colour": 1}))
        code, _, errors = run(run_ctl, "check", path)
        self.assertEqual(code, 2)
        self.assertIn("name: got 3, expected a string", errors)
        self.assertIn("colour: got 1, expected no such field", errors)
        self.assertEqual(run(run_daemon, "--config", path)[0], 2)

    def test_check_of_a_good_file(self):
        """A good file gives 0, and JSON on request."""
        path = self.write(json.dumps(GOOD))
        code, output, _ = run(run_ctl, "--json", "check", path)
        self.assertEqual((code, json.loads(output)["faults"]), (0, []))

    def test_bad_document_is_refused_before_it_is_sent(self):
        """``apply`` of a document with faults names them and exits with 2."""
        path = self.write('{service: "tab", version: 0}')
        code, _, errors = run(
            run_ctl, "--plain-text", "--control", "127.0.0.1:1", "apply", path
        )
        self.assertEqual(code, 2)
        self.assertIn("version: got 0, expected between 1", errors)

    def test_nobody_there_is_refused(self):
        """Without a control instance a command says so and exits with 1."""
        arguments = ("--plain-text", "--control", "127.0.0.1:1", "--timeout-s", "0.5")
        code, _, errors = run(run_ctl, *arguments, "get", "tab")
        self.assertEqual(code, 1)
        self.assertIn("no answer", errors)

    def test_keys_or_plain_text_must_be_said(self):
        """gRPC without keys needs --plain-text."""
        code, _, errors = run(run_ctl, "--control", "127.0.0.1:1", "status")
        self.assertEqual(code, 2)
        self.assertIn("--plain-text", errors)

    def test_every_command_shows_an_example(self):
        """``--help`` of each command has an example."""
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

    def test_missing_key_file_ends_with_2(self):
        """A key file that can't be read is named, and the daemon exits with 2."""
        done = self.start(GOOD)
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertIn("key", done.stderr)

    def test_missing_settings_file_ends_with_2(self):
        """A settings file that can't be read is named, and the daemon exits with 2."""
        code, _, errors = run(run_daemon, "--config", "/nowhere/at.all")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere/at.all", errors)
