import asyncio
import unittest

from agatethread_platform.http import HttpServer, Response

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
