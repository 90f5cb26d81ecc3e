import asyncio
import unittest

from agatethread_platform.http import MAX_BODY_BYTES, HttpServer, Response

from tests.fakes import free_port

PUT = b"PUT /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"


class TestHttpServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.requests, self.release = [], asyncio.Event()
        self.release.set()
        self.port = free_port()
        self.server = HttpServer(f"127.0.0.1:{self.port}", self.handle)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def handle(self, request):
        self.requests.append(request)
        await self.release.wait()
        if request.path == "/moved":
            return Response(307, location="http://10.0.0.1:8166/moved")
        return Response(200, b"{}")

    async def open(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_responses(self, reader, count=1):
        """Read until a number of responses with a short body is received."""
        data = b""
        while data.count(b"HTTP/1.1") < count or not data.endswith((b"}", b"\r\n\r\n")):
            data += await asyncio.wait_for(reader.read(4_096), 5)
        return data

    async def test_answers_requests_of_a_connection_in_order(self):
        """Pipelined, split and chunked requests are received whole."""
        reader, writer = await self.open()
        for split in (1, 20, len(PUT) - 1):
            writer.write(PUT[:split])
            await asyncio.sleep(0.01)
            writer.write(PUT[split:] + PUT)
            await self.read_responses(reader, 2)
        chunked = b"POST /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        writer.write(chunked + b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
        await self.read_responses(reader)
        bodies = [
            (request.method, request.path, request.body) for request in self.requests
        ]
        self.assertEqual(bodies, [("PUT", "/a", b"abc")] * 6 + [("POST", "/b", b"def")])

    async def test_redirect_has_location_and_no_body(self):
        """A redirect carries its address in the location header."""
        reader, writer = await self.open()
        writer.write(b"DELETE /moved HTTP/1.1\r\n\r\n")
        answer = await self.read_responses(reader)
        self.assertTrue(answer.startswith(b"HTTP/1.1 307 "), answer)
        self.assertIn(b"location: http://10.0.0.1:8166/moved\r\n", answer)
        self.assertIn(b"content-length: 0\r\n", answer)

    async def test_closes_connection_after_response_if_requested(self):
        """Applies to ``connection: close`` and to HTTP/1.0."""
        for call in (
            b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n",
            b"GET / HTTP/1.0\r\n\r\n",
        ):
            with self.subTest(call=call):
                reader, writer = await self.open()
                writer.write(call)
                answer = await asyncio.wait_for(reader.read(), 5)
                self.assertTrue(answer.endswith(b"\r\n\r\n{}"), answer)

    async def test_rejects_malformed_requests(self):
        """The response is a 4xx, and the connection is closed."""
        for call in (b"\x00\xff\r\n\r\n", b"GET\r\n\r\n", b"PUT /a HTTP/9.9\r\n\r\n"):
            with self.subTest(call=call):
                reader, writer = await self.open()
                writer.write(call)
                answer = await asyncio.wait_for(reader.read(), 5)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
        self.assertEqual(self.requests, [])

    async def test_stops_reading_while_requests_are_pending(self):
        """Bounds the memory of a pipelining caller; all requests are answered."""
        self.release.clear()
        reader, writer = await self.open()
        writer.write(PUT * 2_000)
        await asyncio.sleep(0.2)
        connection = next(iter(self.server._connections))
        self.assertFalse(connection._transport.is_reading())
        self.release.set()
        await self.read_responses(reader, 2_000)
        self.assertEqual(len(self.requests), 2_000)

    async def test_survives_disconnect_before_response(self):
        """Later requests are served after a caller disconnected early."""
        self.release.clear()
        _, writer = await self.open()
        writer.write(PUT)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        self.release.set()
        reader, writer = await self.open()
        writer.write(PUT)
        await self.read_responses(reader)
        self.assertEqual(len(self.requests), 2)

    async def test_aborts_idle_connection(self):
        """A connection that waits for its response is not idle."""
        self.release.clear()
        idle, _ = await self.open()
        waiting, writer = await self.open()
        writer.write(PUT)
        await asyncio.sleep(0.1)
        for connection in list(self.server._connections):
            connection.abort_if_idle(float("inf"))
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(idle.readexactly(1), 5)
        self.release.set()
        self.assertIn(b"200", await self.read_responses(waiting))


class TestMemory(unittest.IsolatedAsyncioTestCase):
    """Requests and responses of many connections together take little memory."""

    async def asyncSetUp(self):
        self.release = asyncio.Event()
        self.response = Response(200, b"{}")
        self.port = free_port()
        self.server = HttpServer(f"127.0.0.1:{self.port}", self.handle)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.writers = []

    async def handle(self, request):
        await self.release.wait()
        return self.response

    async def send(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        self.writers.append(writer)
        writer.write(data)
        return reader

    def put(self, size_bytes, sent_bytes):
        head = f"PUT /a HTTP/1.1\r\nhost: x\r\ncontent-length: {size_bytes}\r\n\r\n"
        return head.encode() + b"x" * sent_bytes

    async def read_status(self, reader):
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        return int(head.split()[1])

    async def test_too_large_body_gets_its_refusal(self):
        """Guards against a reset that a caller takes for a failure and sends again."""
        for size_bytes in (MAX_BODY_BYTES + 1, 8 * MAX_BODY_BYTES):
            with self.subTest(size_bytes=size_bytes):
                reader = await self.send(self.put(size_bytes, size_bytes))
                answer = await asyncio.wait_for(reader.read(), 5)
                self.assertTrue(answer.startswith(b"HTTP/1.1 413 "), answer)
                self.assertIn(b"body over", answer)

    async def test_bodies_of_many_connections(self):
        """Guards against bodies that fit one by one and not together."""
        size_bytes = MAX_BODY_BYTES
        readers = [
            await self.send(self.put(size_bytes, size_bytes - 1)) for _ in range(40)
        ]
        await asyncio.sleep(0.5)
        self.assertLess(self.server.budget.held_bytes, 17 << 20)
        # A small request is served beside them.
        self.release.set()
        self.assertEqual(await self.read_status(await self.send(PUT)), 200)
        for writer in self.writers[:40]:
            writer.write(b"x")
        statuses = [await self.read_status(reader) for reader in readers]
        self.assertEqual(set(statuses), {200, 503})
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.2)
        self.assertEqual(self.server.budget.held_bytes, 0)

    async def test_responses_that_are_not_read(self):
        """Guards against callers that ask for large responses and don't read them."""
        self.response = Response(200, b"x" * MAX_BODY_BYTES)
        self.release.set()
        for _ in range(60):
            await self.send(b"GET /a HTTP/1.1\r\n\r\n" * 8)
        await asyncio.sleep(0.5)
        self.assertLess(self.server.budget.held_bytes, 17 << 20)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.2)
        self.assertEqual(self.server.budget.held_bytes, 0)
        self.response = Response(200, b"{}")
        self.assertEqual(await self.read_status(await self.send(PUT)), 200)

    async def test_reservation_ends_with_each_kind_of_request(self):
        """Guards against a budget that is used up by requests of the past."""
        self.release.set()
        for data in (
            PUT + PUT,
            PUT[:-1],
            b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n" + PUT,
            PUT + b"\x00\xff\r\n\r\n",
            self.put(MAX_BODY_BYTES * 2, MAX_BODY_BYTES * 2),
        ):
            with self.subTest(data=data[:60]):
                reader = await self.send(data)
                await asyncio.sleep(0.05)
                self.writers[-1].close()
                with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                    await asyncio.wait_for(reader.readexactly(1 << 20), 5)
                await asyncio.sleep(0.05)
                self.assertEqual(self.server.budget.held_bytes, 0)
