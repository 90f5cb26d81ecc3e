import asyncio
import http.client
import json
import socket
import tempfile
import time
import unittest

from agatethread_platform.control import ControlRole
from agatethread_platform.entry import EntryRole
from agatethread_platform.http import HttpServer, Response
from agatethread_platform.settings import PlatformSettings

from tests.fakes import free_port, own_host
from tests.platform.test_json_bodies import CONFIGURATION, with_value
from tests.platform.test_packets import SYN, datagram
from tests.platform.test_report_bodies import REPORT

#: Two addresses, because all processes serve metrics at the same port.
HOST, ENTRY_HOST = own_host(1), own_host(2)


def call(address, method, path, body=b""):
    """Send a request; return the status, the body and the location."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location")
    finally:
        connection.close()


def free_ports():
    """Return two free ports, for the registry and the log."""
    return free_port(), free_port()


def make_settings(folder, **fields):
    """Return the settings of a process on the loopback interface."""
    registry_port, log_port = free_ports()
    api = f"{HOST}:{free_port()}"
    values = {
        "name": "node-1",
        "failure_domain": "hall-a",
        "host": HOST,
        "listen_host": "",
        "datagrams": f"{HOST}:{free_port()}",
        "readiness": f"{HOST}:{free_port()}",
        "api": api,
        "seeds": (api,),
        "registry_port": registry_port,
        "log_port": log_port,
        "data_dir": folder,
        "is_first_start": True,
        "report_interval_s": 0.2,
        "losses_borne": 0,
        "catchup_s": 4.0,
        "grace_s": 0.5,
        "link_bits_per_s": 1e9,
    }
    return PlatformSettings(**(values | fields))


class TestRoles(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = make_settings(folder.name)
        self.control = ControlRole(self.settings)
        await self.control.start()
        self.addAsyncCleanup(self.control.stop)

    async def call(self, *arguments):
        return await asyncio.to_thread(call, self.settings.api, *arguments)

    async def call_until(self, status, *arguments):
        """Retry a call until the response has a status."""
        for _ in range(100):
            response = await self.call(*arguments)
            if response[0] == status:
                return response
            await asyncio.sleep(0.05)
        self.fail(f"{arguments[:2]} still gives {response}")

    async def put(self, body, status=200):
        return await self.call_until(status, "PUT", "/api/config", body)

    async def test_stores_configuration_with_highest_version(self):
        """The stored configuration is returned byte for byte as it was sent."""
        body = json.dumps(CONFIGURATION).encode()
        await self.put(body)
        older = with_value(CONFIGURATION, ["version"], 3)
        await self.put(older)
        other = with_value(CONFIGURATION, ["routes", 0, "timeout_ms"], 99)
        await self.put(other)
        _, stored_body, _ = await self.call_until(200, "GET", "/api/config")
        self.assertEqual(stored_body, body)

    async def test_rejects_invalid_calls_without_losing_state(self):
        """Invalid configurations and reports get a 4xx; the state is unchanged."""
        await self.put(json.dumps(CONFIGURATION).encode())
        invalid = (
            ("PUT", "/api/config", b'{"version": 9'),
            ("PUT", "/api/config", with_value(CONFIGURATION, ["services"], [])),
            ("PUT", "/api/config", b"[" * 100_000),
            ("PUT", "/api/endpoints/x", json.dumps(REPORT).encode()),
            ("PUT", "/api/endpoints/i-1", b"{}"),
            ("GET", "/api/else", b""),
        )
        for arguments in invalid:
            with self.subTest(arguments=arguments[:2]):
                status, _, _ = await self.call(*arguments)
                self.assertTrue(400 <= status < 500, status)
        status, _, _ = await self.call("PUT", "/api/config", b"x" * (5 << 20))
        self.assertEqual(status, 413)
        _, stored_body, _ = await self.call_until(200, "GET", "/api/config")
        self.assertEqual(json.loads(stored_body)["version"], 7)

    async def test_evacuates_and_readmits_failure_domain(self):
        """Both calls are idempotent and need no server or configuration."""
        for method, evacuated in (("POST", ["hall-b"]), ("DELETE", [])):
            for _ in range(2):
                await self.call_until(200, method, "/api/evacuation/hall%2Db")
                evacuations = self.control.instance.node.documents.evacuations
                self.assertEqual(list(evacuations.failure_domains), evacuated)

    async def test_rejects_invalid_evacuations(self):
        """Invalid names get a 400, too many evacuations a retryable 429."""
        await self.call_until(200, "POST", "/api/evacuation/hall-0")
        for path in ("", "a/b", "%20", "%ff", "x" * 300):
            answer = await self.call("POST", f"/api/evacuation/{path}")
            self.assertEqual(answer[0], 400, path)
            self.assertIn("error", json.loads(answer[1]))
        self.assertEqual((await self.call("PUT", "/api/evacuation/a"))[0], 404)
        for number in range(1, 64):
            status, _, _ = await self.call("POST", f"/api/evacuation/hall-{number}")
            self.assertEqual(status, 200)
        self.assertEqual((await self.call("POST", "/api/evacuation/more"))[0], 429)

    async def report(self, run_id="i-7f", **fields):
        """Send a status report; return its status."""
        body = json.dumps(REPORT | fields).encode()
        return (await self.call("PUT", f"/api/endpoints/{run_id}", body))[0]

    async def test_rejects_conflicting_reports(self):
        """A report from another sender gets a 4xx and does not change the run."""
        await self.put(json.dumps(CONFIGURATION).encode())
        self.assertEqual(await self.report(born=1_000), 200)
        before = self.control.instance.runs.snapshot()
        conflicting = (
            {"state": "gone", "born": 1_000, "sequence": 9},
            {"state": ["draining"], "born": 1_000, "sequence": 9},
            {"state": "draining", "sequence": 9},
            {"state": "draining", "born": 1_000.5, "sequence": 9},
            {"service": "nonsense", "born": 2_000, "sequence": 9},
            {"address": "10.128.0.77:8080", "born": 1_000, "sequence": 9},
            {"sequence": 10**30, "born": 1_000},
            {"capacity": float("nan"), "born": 1_000, "sequence": 9},
        )
        for fields in conflicting:
            with self.subTest(fields=fields):
                self.assertIn(await self.report(**fields), (400, 409))
        self.assertEqual(await self.report("x-7f", born=2_000), 409)
        for body, status in ((b"", 409), (b'{"born": "x"}', 400), (b"\xff", 400)):
            answer = await self.call("DELETE", "/api/endpoints/i-7f", body)
            self.assertEqual(answer[0], status)
            self.assertIn("error", json.loads(answer[1]))
        self.assertEqual(self.control.instance.runs.snapshot(), before)
        self.assertEqual(await self.report(born=1_000, sequence=5), 200)

    async def test_accepts_restart_with_same_id(self):
        """A later start replaces the run; reports of the earlier start are ignored."""
        self.assertEqual(await self.report(born=1_000, sequence=50), 200)
        self.assertEqual(await self.report(born=2_000, sequence=1), 200)
        late = await self.report(born=1_000, sequence=51, state="draining")
        self.assertEqual(late, 200)
        run = self.control.instance.runs.get("i-7f")
        self.assertEqual((run.started_ms, run.draining), (2_000, False))
        await self.report(born=2_000, sequence=2, state="draining")
        await self.call_until(200, "DELETE", "/api/endpoints/i-7f")
        self.assertTrue(self.control.instance.runs.get("i-7f").ended)

    async def test_rejects_endless_header(self):
        """Bounds the memory that an unfinished header can use."""
        host, port = self.settings.api.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /api/config HTTP/1.1\r\n" + b"X: y\r\n" * 20_000)
        answer = await asyncio.wait_for(reader.read(200), 5)
        self.assertTrue(answer.startswith(b"HTTP/1.1 4"), answer)
        writer.close()

    async def test_forwards_packet_from_caller_to_backend_server(self):
        """A configuration and a report are enough to forward an opening."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as backend:
            backend.bind(("127.0.0.1", 0))
            backend.setblocking(False)
            await self.put(json.dumps(CONFIGURATION).encode())
            entry = await self.start_entry()
            address = f"127.0.0.1:{backend.getsockname()[1]}"
            report = with_value(REPORT, ["address"], address)
            await self.call_until(200, "PUT", "/api/endpoints/i-7f", report)
            await self.wait_ready(entry)
            received = await self.send_opening(entry, backend)
            self.assertEqual(received[:8], (0x7F).to_bytes(8, "big"))
            self.assertEqual(received[12:], datagram(SYN, dport=8080)[4:])

    async def start_entry(self):
        entry_settings = make_settings(
            "",
            api="",
            seeds=self.settings.seeds,
            registry_port=self.settings.registry_port,
            host=ENTRY_HOST,
        )
        entry = EntryRole(entry_settings)
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        self.readiness = entry_settings.readiness
        self.datagrams = entry_settings.datagrams
        return entry

    async def wait_ready(self, entry):
        deadline_s = time.monotonic() + 8
        while time.monotonic() < deadline_s:
            status, _, _ = await asyncio.to_thread(
                call, self.readiness, "GET", "/api/readyz"
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        self.fail(f"not ready: {entry.instance.dump()}")

    async def send_opening(self, entry, backend):
        host, port = self.datagrams.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(datagram(SYN, dport=8080), (host, int(port)))
        loop = asyncio.get_running_loop()
        return await asyncio.wait_for(loop.sock_recv(backend, 2_048), 5)


class TestHttpServer(unittest.IsolatedAsyncioTestCase):
    async def test_answers_500_if_handler_raises(self):
        """The next request is served after an unexpected exception."""
        answers = iter((ValueError("fault"), None))

        async def handle(request):
            error = next(answers)
            if error is not None:
                raise error
            return Response(200, b"{}")

        address = f"127.0.0.1:{free_port()}"
        server = HttpServer(address, handle)
        await server.start()
        self.addAsyncCleanup(server.stop)
        first, _, _ = await asyncio.to_thread(call, address, "GET", "/")
        second, _, _ = await asyncio.to_thread(call, address, "GET", "/")
        self.assertEqual((first, second), (500, 200))
