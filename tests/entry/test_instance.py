import asyncio
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from agatethread.entry import EntryInstance
from agatethread.observability import Counters
from agatethread.settings import EntrySettings, Settings, format_address
from agatethread.sockets import make_reader
from agatethread.wire import (
    Cookie,
    Envelope,
    Kind,
    Reason,
    pack_address,
    seal_cookie,
    service_hash,
)
from tests.fakes import announcement, free_port

CALLER = ("127.0.0.1", 5005)
BACKEND = ("127.0.0.1", 6006)
KINDS = st.sampled_from(sorted(Kind.values()))
FORGED = st.builds(
    lambda kind, service, flow_id, cookie, label, operation_id, payload: Envelope(
        kind=kind,
        service=service,
        flow_id=flow_id,
        cookie=cookie,
        return_label=label,
        operation_id=operation_id,
        payload=payload,
    ).SerializeToString(),
    KINDS,
    st.sampled_from(("tab", "receipts", "")),
    st.integers(0, 2**64 - 1),
    st.binary(max_size=50),
    st.binary(max_size=80),
    st.one_of(st.binary(max_size=90), st.binary(min_size=60, max_size=60)),
    st.binary(max_size=1_500),
)


class FakeSocket:
    """Socket double that returns prepared datagrams."""

    def __init__(self, items):
        self._items = list(items)

    def recvfrom(self, _):
        if not self._items:
            raise BlockingIOError
        return self._items.pop(0)


class InstanceCase(unittest.TestCase):
    """Passes datagrams to the handlers of an instance that is not started."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        key = Path(cls.folder.name) / "key"
        key.write_text("ab" * 32)
        cls.entry = EntrySettings(
            format_address(("127.0.0.1", free_port())),
            format_address(("127.0.0.1", free_port())),
            str(key),
            warm_up_s=0.0,
        )

    def setUp(self):
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.counters = Counters()
        settings = Settings(
            "e", "a", ("entry",), "127.0.0.1:1", self.entry, plain_text=True
        )
        self.instance = EntryInstance(settings, self.counters)
        self.addCleanup(self.instance._caller_socket.close)
        self.addCleanup(self.instance._inner_socket.close)
        self.to_backend, self.to_caller = [], []
        forwarder = self.instance.forwarder
        forwarder._send_on_inner_socket = lambda data, target: self.to_backend.append(
            (Envelope.FromString(data), target)
        )
        forwarder._send_on_caller_socket = lambda data, target: self.to_caller.append(
            (Envelope.FromString(data), target)
        )

    def announce(self, **fields):
        values = {"address": pack_address(BACKEND)} | fields
        self.instance.announcements.on_forwarded(announcement(**values))

    def make_datagram(
        self,
        service="tab",
        flow_id=7,
        service_field=None,
        incarnation=1,
        kind=Kind.DATA,
    ):
        cookie = Cookie(
            pack_address(BACKEND), incarnation, service_hash(service), flow_id
        )
        envelope = Envelope(
            kind=kind,
            service=service_field or service,
            flow_id=flow_id,
            cookie=seal_cookie(self.instance.sealer, cookie),
        )
        return envelope.SerializeToString()

    def receive_from_caller(self, *datagrams):
        handler = self.instance._datagram_router.on_caller_datagram
        socket = FakeSocket((data, CALLER) for data in datagrams)
        make_reader(socket, handler, self.counters)()

    def receive_on_inner(self, *datagrams, source=BACKEND):
        handler = self.instance._datagram_router.on_inner_datagram
        socket = FakeSocket((data, source) for data in datagrams)
        make_reader(socket, handler, self.counters)()


class TestBadDatagrams(InstanceCase):
    def state(self):
        instance = self.instance
        return (
            dict(instance.members.members),
            dict(instance.endpoints.by_address),
            len(instance.flows),
            len(instance.requests.owner),
            len(instance.requests.standby_claims),
            dict(instance.document_store.documents),
        )

    def check_state_unchanged(self, datagrams):
        before = self.state()
        self.receive_from_caller(*datagrams)
        self.receive_on_inner(*datagrams)
        self.assertEqual(self.state(), before)
        self.assertEqual(self.counters["dropped_by_fault"], 0)
        self.assertEqual(self.to_backend, [])

    def test_random_bytes_change_nothing(self):
        """Random datagrams are dropped and counted."""

        @given(st.lists(st.binary(max_size=2_048), max_size=20))
        def check(datagrams):
            self.check_state_unchanged(datagrams)

        check()
        self.assertGreater(self.counters["dropped_malformed"], 0)
        self.assertGreater(self.counters["dropped_no_kind"], 0)

    def test_forged_envelopes_change_nothing(self):
        """Well-formed datagrams with forged seals are dropped and counted."""

        @given(st.lists(FORGED, max_size=10))
        def check(datagrams):
            self.check_state_unchanged(datagrams)

        check()
        self.assertGreater(self.counters["dropped_forged"], 0)

    def test_oversized_datagrams_change_nothing(self):
        """A datagram above the size limit is dropped though its seal is valid."""
        valid = Envelope.FromString(self.make_datagram())
        valid.payload = bytes(1_400)
        self.check_state_unchanged([valid.SerializeToString()])
        self.assertEqual(self.counters["dropped_oversized"], 2)

    def test_truncated_datagrams_change_nothing(self):
        """Every prefix of a valid datagram is dropped or rejected."""
        valid = self.make_datagram()
        self.check_state_unchanged([valid[:size] for size in range(len(valid) - 8)])

    def test_continues_after_exception_in_handler(self):
        """An exception in a handler is counted and the next datagram is handled."""

        def handler(data, _):
            raise RuntimeError(data)

        make_reader(
            FakeSocket([(b"1", CALLER), (b"2", CALLER)]), handler, self.counters
        )()
        self.assertEqual(self.counters["dropped_by_fault"], 2)


class TestForwarding(InstanceCase):
    def test_forwards_unknown_flow_with_valid_cookie(self):
        """An instance without state forwards a flow with a valid cookie."""
        self.receive_from_caller(self.make_datagram())
        (envelope, target), *rest = self.to_backend
        self.assertEqual((target, rest, envelope.incarnation), (BACKEND, [], 1))

    def test_forwards_reply_by_its_label(self):
        """A reply is forwarded by its label, but only from the labelled source."""
        self.receive_from_caller(self.make_datagram())
        label = self.to_backend[0][0].return_label
        push = Envelope(kind=Kind.PUSH, flow_id=7, return_label=label)
        data = push.SerializeToString()
        self.receive_on_inner(data, source=("127.0.0.1", 6))
        self.assertEqual(self.to_caller, [])
        self.receive_on_inner(data)
        self.assertEqual(self.to_caller[0][1], CALLER)

    def test_drops_service_that_differs_from_cookie(self):
        """A datagram never reaches another service than that of its cookie."""
        self.receive_from_caller(
            self.make_datagram(service="tab", service_field="receipts")
        )
        self.assertEqual(self.to_backend, [])
        self.assertEqual(self.counters["dropped_wrong_service"], 1)

    def test_resets_old_flows_of_reused_address(self):
        """Old flows of an address that another service uses now are reset."""
        self.announce()
        self.receive_from_caller(self.make_datagram())
        self.assertEqual(len(self.to_backend), 1)
        self.announce(service="receipts", incarnation=2)
        self.receive_from_caller(self.make_datagram())
        self.assertEqual(len(self.to_backend), 1)
        self.assertEqual(self.to_caller[0][0].reason, Reason.ENDPOINT_GONE)

    def test_ignores_stale_announcement(self):
        """A delayed announcement of an older incarnation changes nothing."""
        self.announce(service="receipts", incarnation=2)
        self.announce(service="tab", incarnation=1, sequence=99)
        endpoint = self.instance.endpoints.by_address[pack_address(BACKEND)]
        self.assertEqual(endpoint.service, "receipts")

    def test_forwards_flow_of_newer_unknown_run(self):
        """A flow of a run without an announcement yet is not reset."""
        self.announce()
        self.receive_from_caller(self.make_datagram(incarnation=2))
        self.assertEqual(len(self.to_backend), 1)

    def test_drops_flow_id_that_differs_from_cookie(self):
        """A cached route is used only for the flow of its cookie."""
        self.receive_from_caller(self.make_datagram(flow_id=7))
        other = Envelope.FromString(self.make_datagram(flow_id=7))
        other.flow_id = 8
        self.receive_from_caller(other.SerializeToString())
        self.assertEqual(len(self.to_backend), 1)
