import http.server
import json
import threading
from dataclasses import asdict

from agatethread.cli import run_ctl
from agatethread.settings import Policies
from tests.cli.test_commands import CommandCase, run


class Instance(http.server.BaseHTTPRequestHandler):
    """Answers ``/dump`` as an instance does."""

    state = {"policies": asdict(Policies(cold_factor=1.0, turn_wait_s=0.5))}

    def do_GET(self):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(json.dumps(self.state).encode())

    def log_message(self, *_):
        pass


class TestPolicies(CommandCase):
    def serve(self, state=None):
        """Run an instance; return its address."""
        handler = type("Handler", (Instance,), {"state": state or Instance.state})
        server = http.server.HTTPServer(("127.0.0.1", 0), handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def test_policies_in_force(self):
        """An instance's own are shown, each with what it differs from."""
        code, output, _ = run(run_ctl, "policies", "--at", self.serve())
        self.assertEqual(code, 0)
        self.assertIn("cold_factor = 1.0  (off; default 1.6)", output)
        self.assertIn("turn_wait_s = 0.5  (default 2.0)", output)
        self.assertIn("keeps_hints = True  (default)", output)

    def test_policies_of_a_file(self):
        """A file is checked, and shown as the instances would take it."""
        path = self.write("{keeps_hints: false}")
        code, output, _ = run(run_ctl, "--json", "policies", "--file", path)
        self.assertEqual((code, json.loads(output)["keeps_hints"]), (0, False))
        path = self.write("{keeps_hints: 1}")
        code, _, errors = run(run_ctl, "policies", "--file", path)
        self.assertEqual(code, 2)
        self.assertIn("keeps_hints: got 1, expected true or false", errors)

    def test_instance_that_tells_none(self):
        """Neither silence nor another state is taken for the defaults."""
        other = self.serve({"instance": "entry-1"})
        for address in ("127.0.0.1:1", other, "somewhere"):
            code, _, errors = run(run_ctl, "policies", "--at", address)
            with self.subTest(address=address):
                self.assertNotEqual(code, 0)
                self.assertIn(address, errors)
