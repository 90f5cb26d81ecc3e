import json
import os
import unittest

import logbook

from agatethread.observability import LineRateLimiter, LineWriter
from agatethread.observability._logging import RateLimitedHandler
from tests.fakes import Clock


class TestLineRateLimiter(unittest.TestCase):
    def test_limits_rate_of_each_kind(self):
        """Lines of a kind beyond the rate are left out; other kinds are written."""
        clock = Clock()
        budget = LineRateLimiter(clock, rate_per_s=10, burst=5)
        results = [budget.admit("a") for _ in range(50)]
        self.assertEqual(results.count(None), 45)
        self.assertEqual(budget.admit("b"), 0)

    def test_returns_count_of_lines_left_out(self):
        """The next admitted line of a kind gets the count of lines left out."""
        clock = Clock()
        budget = LineRateLimiter(clock, rate_per_s=10, burst=1)
        for _ in range(8):
            budget.admit("a")
        clock.value_s += 1.0
        self.assertEqual(budget.admit("a"), 7)


class TestLineWriter(unittest.TestCase):
    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)

    def test_writes_lines_in_order(self):
        """Lines are written whole and in order."""
        writer = LineWriter(self.descriptor)
        for number in range(3):
            writer.write(f"line {number}")
        self.assertEqual(os.read(self.reader, 100), b"line 0\nline 1\nline 2\n")

    def test_buffers_lines_until_batch_is_full_or_flushed(self):
        """Lines are buffered until the batch size is reached or on `flush`."""
        os.set_blocking(self.reader, False)
        writer = LineWriter(self.descriptor, batch_bytes=20)
        writer.write("line 0")
        with self.assertRaises(BlockingIOError):
            os.read(self.reader, 100)
        writer.flush()
        self.assertEqual(os.read(self.reader, 100), b"line 0\n")
        for number in range(3):
            writer.write(f"line {number}")
        self.assertEqual(os.read(self.reader, 100), b"line 0\nline 1\nline 2\n")

    def test_drops_lines_instead_of_blocking_on_stalled_reader(self):
        """Without a reader, lines beyond the memory limit are lost."""
        writer = LineWriter(self.descriptor, limit_bytes=10_000)
        for _ in range(5_000):
            writer.write("x" * 99)
        self.assertGreater(writer.lost_count, 1_000)
        self.assertLessEqual(writer._buffered_bytes, 10_000)

    def test_writes_buffered_lines_when_reader_resumes(self):
        """Buffered lines are written whole and in order once the reader resumes."""
        writer = LineWriter(self.descriptor, limit_bytes=10_000)
        for number in range(2_000):
            writer.write(f"{number:099}")
        received = b""
        for _ in range(200):
            received += os.read(self.reader, 65_536)
            writer.flush()
            if not writer._buffered:
                break
        lines = received.splitlines()
        self.assertTrue(all(len(line) == 99 for line in lines[:-1]))
        self.assertEqual([int(line) for line in lines[:50]], list(range(50)))


class TestRateLimitedHandler(unittest.TestCase):
    def test_writes_warning_immediately(self):
        """A warning is flushed at once, because the process may end after it."""
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        os.set_blocking(reader, False)
        writer = LineWriter(descriptor, batch_bytes=4_096)
        handler = RateLimitedHandler(writer, LineRateLimiter(), logbook.INFO)

        def add_origin(record):
            record.extra.update(instance="one", failure_domain="a")

        log = logbook.Logger("part")
        with logbook.Processor(add_origin), handler:
            log.info("ready")
            with self.assertRaises(BlockingIOError):
                os.read(reader, 10_000)
            log.warning("leader lost its quorum")
        self.assertEqual(len(os.read(reader, 10_000).splitlines()), 2)

    def test_writes_fields_and_count_of_lines_left_out(self):
        """A line is JSON with its fields and the count of lines left out before it."""
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        clock = Clock()
        handler = RateLimitedHandler(
            LineWriter(descriptor),
            LineRateLimiter(clock, rate_per_s=1, burst=1),
            logbook.INFO,
        )
        log = logbook.Logger("part")

        def add_origin(record):
            record.extra.update(instance="one", failure_domain="a")

        with logbook.Processor(add_origin), handler:
            for number in range(4):
                log.info("flow placed", flow="f", number=number, instance="other")
            clock.value_s += 2.0
            log.info("flow placed", flow="g")
        first, second = map(json.loads, os.read(reader, 10_000).splitlines())
        self.assertEqual((first["number"], first["instance"]), (0, "one"))
        self.assertEqual((second["flow"], second["left_out_before"]), ("g", 3))
