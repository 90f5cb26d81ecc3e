import http.server
import json
import threading
from dataclasses import asdict

from agatethread.cli import run_ctl
from agatethread.settings import Policies
from tests.cli.test_commands import CommandCase, run


class Instance(http.server.BaseHTTPRequestHandler):
    """HTTP handler that answers ``/dump`` as an instance does."""

    state = {"policies": asdict(Policies(cold_factor=1.0, turn_wait_s=0.5))}

    def do_GET(self):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(json.dumps(self.state).encode())

    def log_message(self, *_):
        pass


class TestPolicies(CommandCase):
    def serve(self, state=None):
        """Start a fake instance and return its address."""
        handler = type("Handler", (Instance,), {"state": state or Instance.state})
        server = http.server.HTTPServer(("127.0.0.1", 0), handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def test_prints_policies_of_instance(self):
        """An instance's policies are printed with the defaults they differ from."""
        code, output, _ = run(run_ctl, "policies", "--at", self.serve())
        self.assertEqual(code, 0)
        self.assertIn("cold_factor = 1.0  (off; default 1.6)", output)
        self.assertIn("turn_wait_s = 0.5  (default 2.0)", output)
        self.assertIn("keeps_hints = True  (default)", output)

    def test_prints_policies_of_file(self):
        """A file is checked, and its policies are printed with the defaults."""
        path = self.write("{keeps_hints: false}")
        code, output, _ = run(run_ctl, "--json", "policies", "--file", path)
        self.assertEqual((code, json.loads(output)["keeps_hints"]), (0, False))
        path = self.write("{keeps_hints: 1}")
        code, _, errors = run(run_ctl, "policies", "--file", path)
        self.assertEqual(code, 2)
        self.assertIn("keeps_hints: got 1, expected true or false", errors)

    def test_fails_if_instance_returns_no_policies(self):
        """Without an answer, or with one that lacks policies, the command fails."""
        without_policies = self.serve({"instance": "entry-1"})
        for address in ("127.0.0.1:1", without_policies, "somewhere"):
            code, _, errors = run(run_ctl, "policies", "--at", address)
            with self.subTest(address=address):
                self.assertNotEqual(code, 0)
                self.assertIn(address, errors)
