import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request
from pathlib import Path

from agatethread.settings import format_address
from agatethread.wire import Envelope, Kind
from tests.cli.test_commands import run
from tests.fakes import free_port

from agatethread.cli import run_ctl  # isort: skip


class TestOneProcessWithBothRoles(unittest.TestCase):
    """Runs a daemon with both roles, metrics and JSON logs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.ports = {
            name: format_address(("127.0.0.1", free_port()))
            for name in ("admin", "listen", "inner", "metrics")
        }
        (self.folder / "key").write_text("ab" * 32)
        self.process = self.start("both")
        self.addCleanup(self.end)
        self.wait_ready()

    def settings(self, name):
        return {
            "name": name,
            "failure_domain": "a",
            "roles": ["entry", "control"],
            "admin": self.ports["admin"],
            "metrics": self.ports["metrics"],
            "plain_text": True,
            "logging": {"format": "json"},
            "control": {
                "data_dir": str(self.folder / "data"),
                "members": {name: self.ports["admin"]},
            },
            "entry": {
                "listen": self.ports["listen"],
                "inner": self.ports["inner"],
                "seal_key_file": str(self.folder / "key"),
                "control": [self.ports["admin"]],
                "warm_up_s": 0,
            },
        }

    def start(self, name):
        path = self.folder / f"{name}.json5"
        path.write_text(json.dumps(self.settings(name)))
        command = [sys.executable, "-m", "agatethread", "--config", str(path)]
        self.log = self.folder / f"{name}.log"
        with open(self.log, "wb") as output:
            return subprocess.Popen(command, stderr=output, stdout=output)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def ctl(self, *arguments):
        address = self.ports["admin"]
        return run(run_ctl, "--json", "--plain-text", "--control", address, *arguments)

    def wait_ready(self):
        document = self.folder / "tab"
        document.write_text('{service: "tab", version: 1} // ours')
        code, _, errors = self.ctl("apply", str(document), "--wait-s", "5")
        self.assertEqual(code, 0, errors)

    def dump(self):
        return json.loads(self.ctl("dump", self.ports["admin"])[1])

    def send(self, name, *datagrams):
        host, _, port = self.ports[name].partition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in datagrams:
                sender.sendto(datagram, (host, int(port)))

    def test_drops_invalid_datagrams_without_changing_state(self):
        """Random and forged datagrams are dropped, and the daemon keeps running."""
        generator = random.Random(1)
        kinds = sorted(Kind.values())
        before = self.dump()["entry"]
        for _ in range(50):
            noise = [generator.randbytes(generator.randrange(2_000)) for _ in range(20)]
            forged = [
                Envelope(
                    kind=generator.choice(kinds),
                    service="tab",
                    cookie=generator.randbytes(38),
                    operation_id=generator.randbytes(60),
                    return_label=generator.randbytes(generator.choice((38, 70))),
                ).SerializeToString()
                for _ in range(20)
            ]
            peers = [b"\xff" + generator.randbytes(60) for _ in range(10)]
            for name in ("listen", "inner"):
                self.send(name, *noise, *forged, *peers)
            time.sleep(0.01)
        after = self.dump()
        for part in ("members", "endpoints", "documents", "operations_kept"):
            self.assertEqual(after["entry"][part], before[part])
        dropped = {
            name: count
            for name, count in after["counters"].items()
            if "dropped" in name
        }
        self.assertGreater(sum(dropped.values()), 1_000)
        self.assertNotIn("dropped_by_fault", dropped)

    def test_serves_metrics_logs_json_and_stops_on_sigterm(self):
        """Metrics are served, log lines are JSON, and SIGTERM leads to exit code 0."""
        url = f"http://{self.ports['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=5) as response:
            text = response.read().decode()
        self.assertIn('event="control_updates"', text)
        self.assertIn('gauge="documents_index"', text)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(15), 0)
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        self.assertIn("left", [line["message"] for line in lines])
        self.assertEqual({line["instance"] for line in lines}, {"both"})

    def test_document_survives_sigkill(self):
        """An accepted document is still stored after SIGKILL and a restart."""
        self.process.kill()
        self.process.wait()
        self.process = self.start("both")
        deadline_s = time.monotonic() + 10
        while time.monotonic() < deadline_s:
            code, output, _ = self.ctl("--timeout-s", "1", "get", "tab")
            if code == 0:
                break
        self.assertEqual(
            json.loads(output)["text"], '{service: "tab", version: 1} // ours'
        )

    def test_fails_if_address_is_in_use(self):
        """A second process on the same addresses logs the conflict and exits."""
        second = self.start("second")
        self.assertNotEqual(second.wait(20), 0)
        self.assertIn("in use", self.log.read_text())
