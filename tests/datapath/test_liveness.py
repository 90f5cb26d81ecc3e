import asyncio
import errno
import unittest

from agatethread.datapath import Backend
from agatethread.datapath._evidence import ProbeOutcome
from agatethread.datapath._liveness import RunProber, classify_failure
from agatethread.observability import Counters
from agatethread.sockets import open_and_close
from agatethread.wire import pack_address
from tests.datapath.fixtures import run
from tests.fakes import free_port


class TestClassifyFailure(unittest.TestCase):
    def test_refusal_shows_that_nothing_listens(self):
        """The process of the backend server has ended."""
        self.assertIs(classify_failure(ConnectionRefusedError()), ProbeOutcome.REFUSED)

    def test_timeout_and_unreachable_network_are_no_reply(self):
        """The backend server or the path to it may be down."""
        for error in (TimeoutError(), OSError(errno.EHOSTUNREACH, "no route")):
            self.assertIs(classify_failure(error), ProbeOutcome.NO_REPLY)

    def test_lack_of_local_resources_shows_nothing(self):
        """This host is at fault, not the backend server."""
        error = OSError(errno.EMFILE, "too many open files")
        self.assertIs(classify_failure(error), ProbeOutcome.INCONCLUSIVE)


class TestRunProber(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.counters = Counters()
        self.tasks = []
        self.address = ("127.0.0.1", free_port())
        self.backend = Backend(run(1, address=pack_address(self.address)))

    async def probe(self, connect=open_and_close, now_s=None):
        """Probe the run and wait for the outcome."""
        now_s = now_s or asyncio.get_running_loop().time
        prober = RunProber(
            connect,
            lambda probe: self.tasks.append(asyncio.ensure_future(probe)),
            now_s,
            self.counters,
        )
        prober.probe(self.backend)
        prober.probe(self.backend)
        await asyncio.gather(*self.tasks)

    async def never_accepted(self, _):
        await asyncio.sleep(3_600)

    def is_unreachable(self):
        now_s = asyncio.get_running_loop().time()
        return self.backend.probes.have_failed_twice(now_s - 10.0, now_s)

    async def test_listening_server_accepts(self):
        """A connection to a real listener; a second probe waits for the first."""
        server = await asyncio.start_server(lambda *_: None, *self.address)
        self.addCleanup(server.close)
        await self.probe()
        self.assertEqual(dict(self.counters), {"probes_accepted": 1})
        self.assertFalse(self.is_unreachable())

    async def test_one_refusal_is_enough(self):
        """Nothing listens at the address."""
        await self.probe()
        self.assertEqual(dict(self.counters), {"probes_refused": 1})
        self.assertTrue(self.is_unreachable())

    async def test_two_connections_without_reply_are_needed(self):
        """The first may have been lost on the way."""
        await self.probe(self.never_accepted)
        self.assertFalse(self.is_unreachable())
        await self.probe(self.never_accepted)
        self.assertTrue(self.is_unreachable())

    async def test_delay_of_this_process_shows_nothing(self):
        """The acceptance may have come while the process was suspended."""
        times_s = iter((0.0, 1.0))
        await self.probe(self.never_accepted, lambda: next(times_s))
        self.assertEqual(dict(self.counters), {"probes_inconclusive": 1})
        self.assertFalse(self.is_unreachable())

    async def test_answer_of_a_caller_outweighs_failed_probes(self):
        """A run that answers is reachable, whatever connections show."""
        await self.probe()
        self.backend.record_answer(asyncio.get_running_loop().time())
        self.assertFalse(self.is_unreachable())
