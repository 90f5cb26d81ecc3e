import asyncio
import unittest

from agatethread.client import Client
from agatethread.exceptions import (
    FlowBrokenError,
    OperationRefusedError,
    OperationUnknownError,
    PayloadTooLargeError,
    UnavailableError,
)
from agatethread.wire import Envelope, Kind, Reason
from benchmarks.virtual_time import VirtualLoop

TOKEN = bytes(44)


class FakeService:
    """Service double that answers each kind of datagram with prepared replies."""

    def __init__(self, **replies):
        self.replies = replies
        self.sent = []

    def sendto(self, data, _):
        envelope = Envelope.FromString(data)
        self.sent.append(envelope)
        replies = self.replies.get(Kind.Name(envelope.kind), [])
        prepared = replies.pop(0) if replies else None
        if prepared is not None:
            reply = Envelope()
            reply.CopyFrom(prepared)
            reply.service = envelope.service
            reply.flow_id = envelope.flow_id
            reply.operation_id = envelope.operation_id
            loop = asyncio.get_running_loop()
            data = reply.SerializeToString()
            loop.call_later(0.01, self.client.datagram_received, data, ("", 0))

    def close(self):
        pass


def run(service, scenario):
    async def main():
        client = Client({"tab": "127.0.0.1:1"})
        service.client = client
        client.connection_made(service)
        try:
            return await scenario(client)
        finally:
            client.close()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


def welcome():
    return Envelope(kind=Kind.WELCOME, token=TOKEN)


class TestRequest(unittest.TestCase):
    def request(self, service, idempotent=False, timeout_s=2.0):
        return run(
            service,
            lambda client: client.request(
                "tab", b"x", idempotent=idempotent, timeout_s=timeout_s
            ),
        )

    def test_resends_lost_request_with_same_operation_id(self):
        """A request without an answer is sent again with the same operation id."""
        answer = Envelope(kind=Kind.ANSWER, payload=b"y")
        service = FakeService(HELLO=[None, welcome()], REQUEST=[None, None, answer])
        self.assertEqual(self.request(service), b"y")
        ids = {e.operation_id for e in service.sent if e.kind == Kind.REQUEST}
        self.assertEqual(len(ids), 1)

    def test_retries_moved_request_with_new_operation_id(self):
        """A request refused as moved did not run and is sent with a new id."""
        moved = Envelope(
            kind=Kind.REFUSED, reason=Reason.MOVED, retry_after_ms=1, token=TOKEN
        )
        answer = Envelope(kind=Kind.ANSWER, payload=b"y")
        service = FakeService(HELLO=[welcome()], REQUEST=[moved, answer])
        self.assertEqual(self.request(service), b"y")
        ids = {e.operation_id for e in service.sent if e.kind == Kind.REQUEST}
        self.assertEqual(len(ids), 2)

    def test_raises_refusal_with_reason_and_retry_delay(self):
        """A refusal is raised at once with its reason and retry delay."""
        refused = Envelope(
            kind=Kind.REFUSED, reason=Reason.OVERLOADED, retry_after_ms=250
        )
        service = FakeService(HELLO=[welcome()], REQUEST=[refused])
        with self.assertRaises(OperationRefusedError) as caught:
            self.request(service)
        self.assertEqual(caught.exception.retry_after_s, 0.25)
        self.assertEqual(caught.exception.reason, "OVERLOADED")

    def test_raises_unknown_after_deadline(self):
        """A request without a verdict by its deadline is unknown, not refused."""
        with self.assertRaises(OperationUnknownError):
            self.request(FakeService(HELLO=[welcome()]))

    def test_retries_unknown_outcome_only_if_idempotent(self):
        """Only an idempotent request is retried after an unknown outcome."""
        unknown = Envelope(kind=Kind.UNKNOWN, reason=Reason.HOME_LOST, token=TOKEN)
        answer = Envelope(kind=Kind.ANSWER, payload=b"y")
        service = FakeService(HELLO=[welcome()], REQUEST=[unknown, answer])
        with self.assertRaises(OperationUnknownError):
            self.request(service)
        service = FakeService(HELLO=[welcome()], REQUEST=[unknown, answer])
        self.assertEqual(self.request(service, idempotent=True), b"y")

    def test_raises_unknown_after_unknown_first_attempt(self):
        """A refusal or timeout after an unknown attempt is still unknown."""
        unknown = Envelope(kind=Kind.UNKNOWN, reason=Reason.DEADLINE, token=TOKEN)
        refused = Envelope(kind=Kind.REFUSED, reason=Reason.OVERLOADED)
        service = FakeService(HELLO=[welcome()], REQUEST=[unknown, refused])
        with self.assertRaises(OperationUnknownError):
            self.request(service, idempotent=True)

        async def scenario(client):
            client.request_task = asyncio.ensure_future(
                client.request("tab", b"x", idempotent=True, timeout_s=9.0)
            )
            await asyncio.sleep(0.015)
            client._tokens.clear()
            return await client.request_task

        unknown.token = b""
        service = FakeService(HELLO=[welcome()], REQUEST=[unknown])
        with self.assertRaises(OperationUnknownError):
            run(service, scenario)

    def test_tolerates_a_few_unreachable_replies(self):
        """A few UNREACHABLE replies do not end a request, many in a row do."""
        unreachable = Envelope(kind=Kind.UNREACHABLE, token=TOKEN)
        answer = Envelope(kind=Kind.ANSWER, payload=b"y")
        service = FakeService(HELLO=[welcome()], REQUEST=[unreachable] * 3 + [answer])
        self.assertEqual(self.request(service, timeout_s=0.15), b"y")
        service = FakeService(HELLO=[welcome()], REQUEST=[unreachable] * 20)
        with self.assertRaisesRegex(OperationUnknownError, "HOME_LOST"):
            self.request(service)

    def test_raises_unavailable_without_reachable_instance(self):
        """Without a reachable instance the request is not sent."""
        service = FakeService()
        with self.assertRaises(UnavailableError):
            self.request(service)
        self.assertNotIn(Kind.REQUEST, {e.kind for e in service.sent})


class TestStream(unittest.TestCase):
    OPENED = Envelope(kind=Kind.OPENED, cookie=b"c")

    def test_returns_pushes_once_and_in_order(self):
        """Delayed, reordered and duplicated pushes are returned once and in order."""

        async def scenario(client):
            stream = await client.open_stream("tab")
            for sequence in (2, 1, 1, 4, 2, 3):
                push = Envelope(
                    kind=Kind.PUSH,
                    flow_id=stream.flow_id,
                    sequence=sequence,
                    payload=b"%d" % sequence,
                )
                client.datagram_received(push.SerializeToString(), ("", 0))
            return [await anext(stream) for _ in range(4)]

        pushes = run(FakeService(OPEN=[None, self.OPENED]), scenario)
        self.assertEqual(pushes, [b"1", b"2", b"3", b"4"])

    def test_closes_second_placement_of_flow(self):
        """If two backend servers opened one flow, the second one is closed."""

        async def scenario(client):
            stream = await client.open_stream("tab")
            duplicate = Envelope(
                kind=Kind.OPENED, flow_id=stream.flow_id, cookie=b"other"
            )
            client.datagram_received(duplicate.SerializeToString(), ("", 0))

        service = FakeService(OPEN=[self.OPENED])
        run(service, scenario)
        closed = [e.cookie for e in service.sent if e.kind == Kind.CLOSE]
        self.assertEqual(closed[0], b"other")

    def test_raises_flow_broken_after_reset(self):
        """A reset flow raises FlowBrokenError with the reason."""

        async def scenario(client):
            stream = await client.open_stream("tab")
            reset = Envelope(
                kind=Kind.RESET, flow_id=stream.flow_id, reason=Reason.ENDPOINT_GONE
            )
            client.datagram_received(reset.SerializeToString(), ("", 0))
            await anext(stream)

        with self.assertRaisesRegex(FlowBrokenError, "ENDPOINT_GONE"):
            run(FakeService(OPEN=[self.OPENED]), scenario)

    def test_rejects_payload_larger_than_datagram(self):
        """A payload that does not fit in a datagram is rejected before sending."""

        async def scenario(client):
            stream = await client.open_stream("tab")
            stream.send(bytes(2_000))

        with self.assertRaises(PayloadTooLargeError):
            run(FakeService(OPEN=[self.OPENED]), scenario)
