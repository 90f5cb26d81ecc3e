import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.datapath import Backend, FlowLoads
from tests.datapath.fixtures import opening, packet, run


class TestFlowLoads(unittest.TestCase):
    def setUp(self):
        self.loads = FlowLoads(100)
        self.backend = Backend(run(1))

    def counts(self):
        return self.backend.flows, self.backend.in_flight

    def test_counts_request_until_answer(self):
        """A request is in progress until its answer is acknowledged."""
        self.loads.record_opening(opening().key, self.backend, 0.0)
        self.assertEqual(self.counts(), (1, 1))
        self.loads.record_packet(packet(acknowledged=1), self.backend, 0.01)
        self.loads.record_packet(packet(payload_bytes=80), self.backend, 0.01)
        self.assertEqual(self.counts(), (1, 1))
        self.loads.record_packet(
            packet(sequence=180, acknowledged=900), self.backend, 0.05
        )
        self.assertEqual(self.counts(), (1, 0))
        self.loads.record_packet(packet(closes=True), self.backend, 0.06)
        self.assertEqual(self.counts(), (0, 0))

    def test_upload_does_not_count_as_failure(self):
        """Bytes beyond a send window show that earlier ones were acknowledged."""
        self.loads.record_opening(opening().key, self.backend, 0.0)
        for number in range(40):
            sent = packet(sequence=number * 1_200, payload_bytes=1_200)
            self.loads.record_packet(sent, self.backend, 0.02 * number)
        late = packet(sequence=30 * 1_200, payload_bytes=1_200)
        self.loads.record_packet(late, self.backend, 0.9)
        self.assertEqual(self.backend.failures, 0)

    def test_retransmitted_window_counts_as_one_failure(self):
        """Sixteen retransmitted packets of a flow count once."""
        self.loads.record_opening(opening().key, self.backend, 0.0)
        self.loads.record_packet(packet(sequence=0), self.backend, 0.01)
        window = [packet(sequence=n * 1_200, payload_bytes=1_200) for n in range(16)]
        for sent in window:
            self.loads.record_packet(sent, self.backend, 1.0)
        for sent in window:
            self.loads.record_packet(sent, self.backend, 1.2)
        self.assertEqual(self.backend.failures, 1)

    def test_counts_flow_opened_elsewhere(self):
        """A flow opened through another instance is counted from its first packet."""
        self.loads.record_packet(packet(payload_bytes=80), self.backend, 0.0)
        self.assertEqual(self.counts(), (1, 1))

    def test_request_on_a_flow_opened_elsewhere_is_no_answer(self):
        """The request may be a retransmission of an unanswered one."""
        self.backend.add_waiting_flow("another flow", 0.5)
        self.loads.record_packet(packet(payload_bytes=80), self.backend, 1.0)
        self.assertEqual(
            (self.backend.last_answer_s, len(self.backend.waiting)), (0.0, 1)
        )
        self.loads.record_packet(packet(payload_bytes=80), self.backend, 1.4)
        self.assertEqual(len(self.backend.waiting), 2)

    def test_acknowledgement_on_a_flow_opened_elsewhere_is_an_answer(self):
        """A packet without payload acknowledges data of the run."""
        self.loads.record_packet(packet(), self.backend, 1.0)
        self.assertEqual(self.backend.last_answer_s, 1.0)

    def test_request_on_a_flow_opened_here_is_an_answer(self):
        """The caller has received the answer to its opening."""
        self.loads.record_opening(opening().key, self.backend, 1.0)
        self.loads.record_packet(packet(payload_bytes=80), self.backend, 1.1)
        self.assertEqual(self.backend.last_answer_s, 1.1)

    def test_sweep_deletes_idle_flow(self):
        """A flow that continues through another instance is not counted forever."""
        self.loads.record_opening(opening().key, self.backend, 0.0)
        self.loads.sweep(5.0)
        self.assertEqual(self.counts(), (1, 0))
        self.loads.sweep(30.0)
        self.assertEqual((self.counts(), len(self.loads)), ((0, 0), 0))

    def test_limits_number_of_records(self):
        """Flows over the limit are not counted."""
        for port in range(500):
            self.loads.record_opening(opening(port).key, self.backend, 0.0)
        self.assertEqual(len(self.loads), 100)

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 3),
                st.integers(0, 1),
                st.sampled_from(("open", "data", "answer", "close", "sweep")),
                st.integers(0, 1 << 32),
            ),
            max_size=60,
        )
    )
    def test_counts_match_records(self, steps):
        """Counts stay consistent with the records after any sequence of packets."""
        loads = FlowLoads(2)
        backends = [Backend(run(1)), Backend(run(2))]
        now_s = 0.0
        for port, index, action, number in steps:
            backend = backends[index]
            now_s += 0.7
            if action == "open":
                loads.record_opening(opening(port).key, backend, now_s)
            elif action == "data":
                sent = packet(port, sequence=number % (1 << 32), payload_bytes=9)
                loads.record_packet(sent, backend, now_s)
            elif action == "answer":
                sent = packet(port, acknowledged=number % (1 << 32))
                loads.record_packet(sent, backend, now_s)
            elif action == "close":
                loads.record_packet(packet(port, closes=True), backend, now_s)
            else:
                loads.sweep(now_s)
            flows = [flow for flow in loads._flows.values()]
            for tracked in backends:
                own_flows = [flow for flow in flows if flow.backend is tracked]
                self.assertEqual(tracked.flows, len(own_flows))
                self.assertEqual(
                    tracked.in_flight, sum(flow.busy for flow in own_flows)
                )
