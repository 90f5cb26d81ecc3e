import json
import os
import unittest

import logbook

from agatethread.observability import LineBudget, LineWriter
from agatethread.observability._logging import BoundedHandler
from tests.fakes import Clock


class TestLineBudget(unittest.TestCase):
    def test_rate_holds_for_each_kind(self):
        """Beyond the rate lines of a kind are left out; other kinds are written."""
        clock = Clock()
        budget = LineBudget(clock, rate_per_s=10, burst=5)
        taken = [budget.take("a") for _ in range(50)]
        self.assertEqual(taken.count(None), 45)
        self.assertEqual(budget.take("b"), 0)

    def test_what_was_left_out_is_told(self):
        """The next line of the kind says how many were left out."""
        clock = Clock()
        budget = LineBudget(clock, rate_per_s=10, burst=1)
        for _ in range(8):
            budget.take("a")
        clock.value_s += 1.0
        self.assertEqual(budget.take("a"), 7)


class TestLineWriter(unittest.TestCase):
    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)

    def test_lines_arrive_in_order(self):
        """Lines are written whole and in order."""
        writer = LineWriter(self.descriptor)
        for number in range(3):
            writer.write(f"line {number}")
        self.assertEqual(os.read(self.reader, 100), b"line 0\nline 1\nline 2\n")

    def test_lines_wait_for_each_other(self):
        """Lines are kept until there are enough of them, or somebody asks."""
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

    def test_stalled_reader_costs_lines_and_no_time(self):
        """With nobody reading, lines beyond the bound are lost and nothing waits."""
        writer = LineWriter(self.descriptor, limit_bytes=10_000)
        for _ in range(5_000):
            writer.write("x" * 99)
        self.assertGreater(writer.lost_count, 1_000)
        self.assertLessEqual(writer._waiting_bytes, 10_000)

    def test_reader_that_comes_back_gets_what_waited(self):
        """What was kept is written once it is read again, line by line."""
        writer = LineWriter(self.descriptor, limit_bytes=10_000)
        for number in range(2_000):
            writer.write(f"{number:099}")
        found = b""
        for _ in range(200):
            found += os.read(self.reader, 65_536)
            writer.flush()
            if not writer._waiting:
                break
        lines = found.splitlines()
        self.assertTrue(all(len(line) == 99 for line in lines[:-1]))
        self.assertEqual([int(one) for one in lines[:50]], list(range(50)))


class TestBoundedHandler(unittest.TestCase):
    def test_warning_is_written_at_once(self):
        """What may be a process's last words does not wait for others."""
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        os.set_blocking(reader, False)
        writer = LineWriter(descriptor, batch_bytes=4_096)
        handler = BoundedHandler(writer, LineBudget(), logbook.INFO)

        def add_origin(record):
            record.extra.update(instance="one", failure_domain="a")

        log = logbook.Logger("part")
        with logbook.Processor(add_origin), handler:
            log.info("ready")
            with self.assertRaises(BlockingIOError):
                os.read(reader, 10_000)
            log.warning("leader lost its quorum")
        self.assertEqual(len(os.read(reader, 10_000).splitlines()), 2)

    def test_line_holds_the_fields_and_what_was_left_out(self):
        """A line is JSON with its fields, and tells of those before it."""
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        clock = Clock()
        handler = BoundedHandler(
            LineWriter(descriptor),
            LineBudget(clock, rate_per_s=1, burst=1),
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
