import asyncio
import unittest
from collections import Counter

from agatethread.operations import RefusedError, ServiceQueue
from agatethread.routing import EndpointTable
from agatethread.settings import ServiceDocument
from agatethread.wire import Reason
from benchmarks.operations_world import World
from benchmarks.virtual_time import VirtualLoop
from tests.fakes import address, announcement


def run(main):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


def make_queue(slots=1, **fields):
    loop = asyncio.get_running_loop()
    table = EndpointTable()
    news = announcement(slots=slots, lease_ms=600_000)
    table.hear(address(1), news, loop.time())
    document = ServiceDocument("tab", 1, **fields)
    return ServiceQueue(lambda: document, lambda: table.of_service("tab"), loop.time)


class TestGoodput(unittest.TestCase):
    def answered(self, rate, seconds=6.0):
        """Answers a second at an offered rate; the world's capacity is about 228."""

        async def main():
            world = World(seed=5)
            loop = asyncio.get_running_loop()
            end_s, number = loop.time() + seconds, 0
            while loop.time() < end_s:
                number += 1
                world.request(f"i-{number}".encode(), True, 0.5)
                await asyncio.sleep(1 / rate)
            await asyncio.sleep(2)
            world.close()
            return Counter(world.verdicts.values())["answered"] / seconds

        return run(main)

    def test_overload_does_not_lower_goodput(self):
        """At twice the capacity as much is answered as at its best below it."""
        best = max(self.answered(rate) for rate in (180, 205))
        self.assertGreater(best, 170)
        self.assertGreaterEqual(self.answered(450), 0.95 * best)


class TestServiceQueue(unittest.TestCase):
    def test_partners_take_turns(self):
        """One partner's long queue does not hold up another's first request."""

        async def main():
            queue = make_queue()
            soon = asyncio.get_running_loop().time() + 60
            endpoint = await queue.acquire("big", soon, None)
            order = []

            async def wait(partner):
                got = await queue.acquire(partner, soon, None)
                order.append(partner)
                queue.release(got, 0.01)

            tasks = [asyncio.ensure_future(wait("big")) for _ in range(20)]
            await asyncio.sleep(0.01)
            tasks += [asyncio.ensure_future(wait("small")) for _ in range(3)]
            await asyncio.sleep(0.01)
            queue.release(endpoint, 0.01)
            await asyncio.gather(*tasks)
            return order

        order = run(main)
        self.assertLess(max(n for n, who in enumerate(order) if who == "small"), 7)

    def test_what_cannot_be_in_time_is_refused_at_once(self):
        """A request that would miss its deadline is refused, with a time."""

        async def main():
            queue = make_queue()
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await queue.acquire("p", started_s + 60, None)
            with self.assertRaises(RefusedError) as caught:
                await queue.acquire("p", started_s + 0.02, None)
            self.assertEqual(loop.time(), started_s)
            return caught.exception

        error = run(main)
        self.assertEqual(error.reason, Reason.DEADLINE)
        self.assertGreater(error.retry_after_s, 0)

    def test_queue_is_bounded(self):
        """Past its limit the queue refuses as overloaded."""

        async def main():
            queue = make_queue(queue_limit_count=2)
            soon = asyncio.get_running_loop().time() + 60
            await queue.acquire("p", soon, None)
            tasks = [
                asyncio.ensure_future(queue.acquire("p", soon, None)) for _ in range(3)
            ]
            done, _ = await asyncio.wait(tasks, timeout=0.1)
            (refused,) = done
            for task in tasks:
                task.cancel()
            return refused.exception().reason

        self.assertEqual(run(main), Reason.OVERLOADED)

    def test_cancelled_waiter_leaves_its_place(self):
        """A waiter that gave up neither holds a slot nor a place."""

        async def main():
            queue = make_queue()
            soon = asyncio.get_running_loop().time() + 60
            endpoint = await queue.acquire("p", soon, None)
            waiter = asyncio.ensure_future(queue.acquire("p", soon, None))
            await asyncio.sleep(0.01)
            waiter.cancel()
            await asyncio.sleep(0.01)
            queue.release(endpoint, 0.01)
            return queue.waiting, endpoint.in_flight

        self.assertEqual(run(main), (0, 0))

    def test_retries_have_a_budget(self):
        """Retries are a share of requests once the savings are used."""

        async def main():
            queue = make_queue(retry_ratio=0.25)
            while queue.spend_retry():
                continue
            for _ in range(8):
                queue.earn_retry()
            return sum(queue.spend_retry() for _ in range(10))

        self.assertEqual(run(main), 2)
