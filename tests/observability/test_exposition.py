import unittest

from agatethread.observability import Counters, Histogram, Metrics, format_metrics


class TestExpose(unittest.TestCase):
    def test_formats_counters_gauges_and_histograms(self):
        """Counters, gauges and histograms are formatted as Prometheus text."""
        latency = Histogram((0.1, 1.0))
        for value in (0.05, 0.1, 0.5, 3.0):
            latency.record(value)
        counters = Counters(forwarded=7)
        gauges = {"flows": lambda: 3.0}
        text = format_metrics(Metrics(counters, gauges, {"answer_s": latency})).decode()
        for line in (
            'agatethread_events_total{event="forwarded"} 7.0',
            'agatethread_state{gauge="flows"} 3.0',
            'agatethread_answer_s_bucket{le="0.1"} 2.0',
            'agatethread_answer_s_bucket{le="+Inf"} 4.0',
            "agatethread_answer_s_count 4.0",
        ):
            self.assertIn(line, text)
