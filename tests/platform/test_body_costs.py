import json
import random
import time
import tracemalloc
import unittest

from agatethread_platform.http import MAX_BODY_BYTES
from agatethread_platform.json_bodies import (
    decode_configuration,
    decode_configuration_in_steps,
)
from agatethread_platform.report_bodies import (
    MAX_REPORT_BYTES,
    decode_report,
    decode_run_end,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from agatethread.exceptions import DocumentError, FieldError
from agatethread.routing import check_document, encode_table

#: Faults that an answer lists.
MAX_LISTED_FAULTS = 10
#: The largest body of the deployments, which holds fewer values than a table may.
BODY_BYTES = 262_144
#: Half of the time after which control instances replace a leader that is silent.
MAX_STEP_S = 0.3
#: Share of a control process's memory limit that one body may take beside its own.
MAX_MEMORY_BYTES = 100 << 20
ITEMS = (
    *("{}", "[]", "1", "null", '""', "1e999", "NaN", "true", '{"":0}', '{"host":1}'),
    *('{"host":"1.2.3.4","path_prefix":"/1/","timeout_ms":1,"service":"a"}',),
    *('{"host":"1.2.3.4","path_prefix":"/1/","timeout_ms":1,"service":"b"}',),
    *('{"host":"1.2.3.4","path_prefix":"/1/","timeout_ms":0,"backends":[1,2]}',),
    *('{"name":"a"}', '{"name":"\\ud800"}', '"\\ud800"', '{"service":"a","weight":1}'),
)
WRAPPERS = (
    '{"version":3,"routes":[%s],"services":[{"name":"a"}]}',
    '{"version":3,"routes":[],"services":[%s]}',
    '{"version":3,"services":[{"name":"a"}],"routes":[{"host":"1.2.3.4",'
    '"path_prefix":"/1/","timeout_ms":9,"backends":[%s]}]}',
    '{"version":[%s],"routes":[],"services":[]}',
    '{"version":3,"routes":[{"host":[%s]}],"services":[]}',
    '{"version":3,"routes":[],"services":[],"x":[%s]}',
    "[%s]",
    '{"version":3,"routes":[%s',
)
SHAPES = st.tuples(st.sampled_from(ITEMS), st.sampled_from(WRAPPERS))


def fill(item, wrapper, size=MAX_BODY_BYTES):
    """Return a body of some size that repeats an item."""
    count = (size - len(wrapper)) // (len(item) + 1)
    return (wrapper % ",".join([item] * count)).encode()


def nest(opening, closing):
    depth = MAX_BODY_BYTES // (len(opening) + len(closing)) - 20
    return ('{"version":' + opening * depth + closing * depth + "}").encode()


def longest_step_s(body):
    """Decode, check and encode a body; return the longest step and the error."""
    longest_s, error, document = 0.0, None, None
    steps = decode_configuration_in_steps(body)
    while document is None and error is None:
        started_s = time.process_time()
        try:
            next(steps)
        except StopIteration as stop:
            document = stop.value
        except DocumentError as raised:
            error = raised
        longest_s = max(longest_s, time.process_time() - started_s)
    for work in (check_document, encode_table):
        if error is not None:
            break
        started_s = time.process_time()
        try:
            work(document)
        except DocumentError as raised:
            error = raised
        longest_s = max(longest_s, time.process_time() - started_s)
    return longest_s, error


class TestConfigurationCost(unittest.TestCase):
    def check(self, body):
        longest_s, error = longest_step_s(body)
        self.assertLess(longest_s, MAX_STEP_S)
        if error is not None:
            self.assertLessEqual(len(error.exceptions), MAX_LISTED_FAULTS)
            self.assertLess(max(len(str(each)) for each in error.exceptions), 2_000)
        return error

    def test_invalid_configuration_with_many_faults(self):
        """Guards against a body whose faults take seconds of the event loop."""
        for size in (BODY_BYTES, MAX_BODY_BYTES):
            for item in ITEMS[:13]:
                with self.subTest(item=item, size=size):
                    error = self.check(fill(item, WRAPPERS[0], size))
                    self.assertIsNotNone(error)

    def test_large_configuration_is_decoded_in_many_steps(self):
        """Guards against a valid table that holds the event loop as a whole."""
        steps = decode_configuration_in_steps(fill(ITEMS[10], WRAPPERS[0]))
        self.assertGreater(sum(1 for _ in steps), 100)

    def test_too_many_values(self):
        """Guards against bodies of very short values that pass for their size."""
        error = self.check(fill("0", WRAPPERS[5]))
        self.assertIn("at most 200000 values", str(error.exceptions[0]))

    def test_nested_and_long_values(self):
        """Guards against values whose depth or length costs more than their size."""
        for body in (
            nest("[", "]"),
            nest('{"a":', "1}"),
            b'{"version":' + b"9" * MAX_BODY_BYTES,
            b'{"version":"' + b"x" * MAX_BODY_BYTES + b'"}',
            b" " * MAX_BODY_BYTES,
            b"\xff" * MAX_BODY_BYTES,
        ):
            with self.subTest(body=body[:20]):
                self.assertIsNotNone(self.check(body))

    @given(SHAPES)
    @settings(max_examples=25, deadline=None)
    def test_any_shape_of_the_largest_size(self, shape):
        """Guards against shapes that hold the event loop until leaders are replaced."""
        self.check(fill(*shape))

    def test_memory_of_a_configuration(self):
        """Guards against bodies for which a control process exceeds its memory."""
        for shape in (
            ("{}", WRAPPERS[0]),
            ('{"":0}', WRAPPERS[0]),
            ("[]", WRAPPERS[5]),
            ('{"":0}', WRAPPERS[5]),
            (ITEMS[10], WRAPPERS[0]),
            ("{}", WRAPPERS[0], BODY_BYTES),
            ("1", WRAPPERS[0], BODY_BYTES),
        ):
            with self.subTest(shape=shape):
                body = fill(*shape)
                tracemalloc.start()
                longest_step_s(body)
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak_bytes, MAX_MEMORY_BYTES)

    def test_largest_configuration_fits_a_message_of_the_log(self):
        """Guards against a log entry that no follower can receive."""
        generator = random.Random(1)
        names = [generator.randbytes(100).hex() for _ in range(4_500)]
        services = [{"name": name} for name in names]
        body = json.dumps({"version": 1, "routes": [], "services": services}).encode()
        self.assertLess(len(body), MAX_BODY_BYTES)
        table = encode_table(decode_configuration(body))
        # The text as it is, since another one might not be compressible.
        self.assertLess(MAX_BODY_BYTES + table.ByteSize(), 4 << 20)


class TestReportCost(unittest.TestCase):
    def test_report_with_many_faults(self):
        """Guards against a report that costs an error for each item of a list."""
        for field in ("state", "address", "capacity", "zone"):
            for item in ('"x"', "1", "{}"):
                body = fill(item, f'{{"{field}":[%s]}}', MAX_REPORT_BYTES)
                for decode in (decode_report, decode_run_end):
                    with self.subTest(field=field, item=item, decode=decode.__name__):
                        try:
                            decode("i-1", body)
                        except (DocumentError, FieldError) as error:
                            faults = getattr(error, "exceptions", ())
                            self.assertLessEqual(len(faults), MAX_LISTED_FAULTS)

    def test_values_that_no_message_can_hold(self):
        """Guards against a failing handler for numbers and names of other sizes."""
        route = '{"host":"1.2.3.4","path_prefix":"/1/","timeout_ms":9,%s}'
        body = '{"version":%s,"routes":[%s],"services":[{"name":%s}]}'
        backends = '"backends":[{"service":"a","weight":%s}]'
        for version, part, name in (
            (1 << 64, '"service":"a"', '"a"'),
            (10**400, '"service":"a"', '"a"'),
            (1, backends % (1 << 32), '"a"'),
            (1, backends % "-1", '"a"'),
            (1, '"service":"\\ud800"', '"\\ud800"'),
        ):
            text = body % (version, route % part, name)
            with self.subTest(text=text[:60]):
                _, error = longest_step_s(text.encode())
                self.assertIsInstance(error, DocumentError)
