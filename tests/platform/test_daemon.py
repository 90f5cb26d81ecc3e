import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.fakes import free_port, own_host
from tests.platform.test_settings import TEXT

ROOT = Path(__file__).parents[2]
LIMIT_S = 20


def start(settings_path):
    """Start an entry process the way the platform does."""
    path = os.pathsep.join((str(ROOT / "platform"), str(ROOT / "src")))
    environment = os.environ | {
        "AGATETHREAD_SETTINGS": str(settings_path),
        "PYTHONPATH": path,
    }
    command = [sys.executable, "-m", "agatethread_platform", "entry"]
    return subprocess.Popen(
        command,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


class TestDaemon(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.conf"
        host = own_host(3)
        text = TEXT.replace("10.1.0.10", host).replace("7720,7735", f"{free_port()},9")
        for port in ("8172", "8167"):
            text = text.replace(f"{host}:{port}", f"{host}:{free_port()}")
        self.path.write_text(text)

    def start(self):
        process = start(self.path)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_exits_cleanly_on_sigterm_during_imports(self):
        """SIGTERM before the process serves gives exit code 0."""
        code = (
            "import os, runpy, sys, time, types\n"
            "daemon = types.ModuleType('agatethread_platform.daemon')\n"
            "daemon.main = lambda: (os.kill(os.getpid(), 15), time.sleep(9))\n"
            "sys.modules[daemon.__name__] = daemon\n"
            "runpy.run_module('agatethread_platform', run_name='__main__')\n"
        )
        result = subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONPATH": str(ROOT / "platform")},
            timeout=LIMIT_S,
            check=False,
        )
        self.assertEqual(result.returncode, 0)

    def test_start_does_not_import_slow_modules(self):
        """Modules that are slow to import are imported on first use."""
        code = (
            "import sys, agatethread_platform.daemon, agatethread_platform.entry, "
            "agatethread_platform.control; "
            "print(*{'cattrs', 'json5', 'grpc', 'opentelemetry'} & set(sys.modules))"
        )
        path = os.pathsep.join((str(ROOT / "platform"), str(ROOT / "src")))
        result = subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONPATH": path},
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=True,
        )
        self.assertEqual(result.stdout.split(), [])

    def read_until(self, process, event):
        """Read log lines until one contains an event."""
        for line in process.stdout:
            if event in line:
                return line
        raise AssertionError(f"ended without {event!r}")

    def test_survives_sighup_and_invalid_settings(self):
        """The process keeps running, and SIGTERM then gives exit code 0."""
        process = self.start()
        self.read_until(process, '"started"')
        process.send_signal(signal.SIGHUP)
        self.path.write_text("nonsense")
        process.send_signal(signal.SIGHUP)
        self.read_until(process, "changed settings are wrong")
        process.send_signal(signal.SIGTERM)
        self.read_until(process, '"stopped"')
        self.assertEqual(process.wait(LIMIT_S), 0)

    def test_signals_while_the_process_ends_do_not_change_its_exit_code(self):
        """Stops and changes of the settings may overlap."""
        for late_signal in (signal.SIGTERM, signal.SIGHUP):
            with self.subTest(late_signal):
                process = self.start()
                self.read_until(process, '"started"')
                process.send_signal(signal.SIGTERM)
                self.read_until(process, '"stopped"')
                while process.poll() is None:
                    process.send_signal(late_signal)
                    time.sleep(0.0005)
                self.assertEqual(process.returncode, 0)

    def test_native_crash_leaves_the_stack_of_its_threads(self):
        """A segmentation fault is printed, so that its cause can be found."""
        process = self.start()
        self.read_until(process, '"started"')
        process.send_signal(signal.SIGSEGV)
        self.read_until(process, "Fatal Python error: Segmentation fault")
        self.read_until(process, "daemon.py")
        self.assertEqual(process.wait(LIMIT_S), -signal.SIGSEGV)

    def test_exits_with_errors_of_invalid_settings(self):
        """Invalid settings at the start are printed; the exit code is 2."""
        self.path.write_text("zone=a")
        process = self.start()
        output, _ = process.communicate(timeout=LIMIT_S)
        self.assertEqual(process.returncode, 2)
        self.assertIn("node_name", output)
