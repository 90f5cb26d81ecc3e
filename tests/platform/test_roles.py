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
from tests.platform.test_bodies import CONFIGURATION, REPORT, changed
from tests.platform.test_packets import SYN, datagram

#: Metrics have a port of their own at the host's address.
HOST, ENTRY_HOST = own_host(1), own_host(2)


def call(address, method, path, body=b""):
    """Make one call; return the status, the body and the location."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location")
    finally:
        connection.close()


def free_ports():
    """Two neighbouring ports, for the registry and the log."""
    return free_port(), free_port()


def make_settings(folder, **fields):
    """Settings of one process on the loopback."""
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
        """Repeat a call until it has a status, as operators do."""
        for _ in range(100):
            found = await self.call(*arguments)
            if found[0] == status:
                return found
            await asyncio.sleep(0.05)
        self.fail(f"{arguments[:2]} still gives {found}")

    async def put(self, body, status=200):
        return await self.call_until(status, "PUT", "/api/config", body)

    async def test_configuration_is_kept_and_read_back(self):
        """What was acknowledged is read back as it was sent; the highest one wins."""
        body = json.dumps(CONFIGURATION).encode()
        await self.put(body)
        older = changed(CONFIGURATION, ["version"], 3)
        await self.put(older)
        other = changed(CONFIGURATION, ["routes", 0, "timeout_ms"], 99)
        await self.put(other)
        _, found, _ = await self.call_until(200, "GET", "/api/config")
        self.assertEqual(found, body)

    async def test_bad_calls_are_refused_and_lose_nothing(self):
        """Invalid configurations and reports get a 4xx, and service goes on."""
        await self.put(json.dumps(CONFIGURATION).encode())
        bad = (
            ("PUT", "/api/config", b'{"version": 9'),
            ("PUT", "/api/config", changed(CONFIGURATION, ["services"], [])),
            ("PUT", "/api/config", b"[" * 100_000),
            ("PUT", "/api/endpoints/x", json.dumps(REPORT).encode()),
            ("PUT", "/api/endpoints/i-1", b"{}"),
            ("GET", "/api/else", b""),
        )
        for arguments in bad:
            with self.subTest(arguments=arguments[:2]):
                status, _, _ = await self.call(*arguments)
                self.assertTrue(400 <= status < 500, status)
        status, _, _ = await self.call("PUT", "/api/config", b"x" * (5 << 20))
        self.assertEqual(status, 413)
        _, found, _ = await self.call_until(200, "GET", "/api/config")
        self.assertEqual(json.loads(found)["version"], 7)

    async def test_failure_domain_is_evacuated_and_readmitted(self):
        """Both orders are idempotent, and need no server there nor a configuration."""
        for method, evacuated in (("POST", ["hall-b"]), ("DELETE", [])):
            for _ in range(2):
                await self.call_until(200, method, "/api/evacuation/hall%2Db")
                known = self.control.instance.node.documents.evacuations
                self.assertEqual(list(known.failure_domains), evacuated)

    async def test_bad_evacuation_orders_are_refused(self):
        """Only what can never succeed ends an operator's call at once."""
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

    async def test_reports_of_another_writer_take_no_server_out(self):
        """A foreign report gets a 4xx with a reason, and the good run goes on."""
        await self.put(json.dumps(CONFIGURATION).encode())
        self.assertEqual(await self.report(born=1_000), 200)
        before = self.control.instance.runs.snapshot()
        foreign = (
            {"state": "gone", "born": 1_000, "sequence": 9},
            {"state": ["draining"], "born": 1_000, "sequence": 9},
            {"state": "draining", "sequence": 9},
            {"state": "draining", "born": 1_000.5, "sequence": 9},
            {"service": "nonsense", "born": 2_000, "sequence": 9},
            {"address": "10.128.0.77:8080", "born": 1_000, "sequence": 9},
            {"sequence": 10**30, "born": 1_000},
            {"capacity": float("nan"), "born": 1_000, "sequence": 9},
        )
        for fields in foreign:
            with self.subTest(fields=fields):
                self.assertIn(await self.report(**fields), (400, 409))
        self.assertEqual(await self.report("x-7f", born=2_000), 409)
        for body, status in ((b"", 409), (b'{"born": "x"}', 400), (b"\xff", 400)):
            answer = await self.call("DELETE", "/api/endpoints/i-7f", body)
            self.assertEqual(answer[0], status)
            self.assertIn("error", json.loads(answer[1]))
        self.assertEqual(self.control.instance.runs.snapshot(), before)
        self.assertEqual(await self.report(born=1_000, sequence=5), 200)

    async def test_server_starts_again_under_its_id(self):
        """A later start is taken at once, and ends by its own word."""
        self.assertEqual(await self.report(born=1_000, sequence=50), 200)
        self.assertEqual(await self.report(born=2_000, sequence=1), 200)
        late = await self.report(born=1_000, sequence=51, state="draining")
        self.assertEqual(late, 200)
        run = self.control.instance.runs.get("i-7f")
        self.assertEqual((run.started_ms, run.draining), (2_000, False))
        await self.report(born=2_000, sequence=2, state="draining")
        await self.call_until(200, "DELETE", "/api/endpoints/i-7f")
        self.assertTrue(self.control.instance.runs.get("i-7f").ended)

    async def test_header_without_an_end_is_cut_off(self):
        """A caller that never ends its header gets an error and no memory."""
        host, port = self.settings.api.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /api/config HTTP/1.1\r\n" + b"X: y\r\n" * 20_000)
        answer = await asyncio.wait_for(reader.read(200), 5)
        self.assertTrue(answer.startswith(b"HTTP/1.1 4"), answer)
        writer.close()

    async def test_packet_goes_from_caller_to_backend_server(self):
        """The whole path: a configuration, a report, a packet, an end."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as backend:
            backend.bind(("127.0.0.1", 0))
            backend.setblocking(False)
            await self.put(json.dumps(CONFIGURATION).encode())
            entry = await self.start_entry()
            place = f"127.0.0.1:{backend.getsockname()[1]}"
            report = changed(REPORT, ["address"], place)
            await self.call_until(200, "PUT", "/api/endpoints/i-7f", report)
            await self.wait_ready(entry)
            got = await self.send_opening(entry, backend)
            self.assertEqual(got[:8], (0x7F).to_bytes(8, "big"))
            self.assertEqual(got[12:], datagram(SYN, dport=8080)[4:])

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
        until_s = time.monotonic() + 8
        while time.monotonic() < until_s:
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
    async def test_fault_of_a_handler_is_answered(self):
        """An unexpected fault gives a 500, and the next call is served."""
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
