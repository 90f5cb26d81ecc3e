import asyncio
import random
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
    announced = announcement(slots=slots, lease_ms=600_000)
    table.apply_announcement(address(1), announced, loop.time())
    document = ServiceDocument("tab", 1, **fields)
    return ServiceQueue(lambda: document, lambda: table.of_service("tab"), loop.time)


class TestGoodput(unittest.TestCase):
    def measure_goodput(self, rate, seconds=6.0):
        """Return the answers a second at an offered rate of requests."""

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
        """At twice the capacity goodput is close to the best below the capacity."""
        best = max(self.measure_goodput(rate) for rate in (180, 205))
        self.assertGreater(best, 170)
        self.assertGreaterEqual(self.measure_goodput(450), 0.95 * best)


class TestServiceQueue(unittest.TestCase):
    def test_partners_take_turns(self):
        """A partner's long queue does not delay the first request of another."""

        async def main():
            queue = make_queue()
            deadline_s = asyncio.get_running_loop().time() + 60
            endpoint = await queue.acquire("big", deadline_s, None)
            order = []

            async def wait(partner):
                granted_endpoint = await queue.acquire(partner, deadline_s, None)
                order.append(partner)
                queue.release(granted_endpoint, 0.01)

            tasks = [asyncio.ensure_future(wait("big")) for _ in range(20)]
            await asyncio.sleep(0.01)
            tasks += [asyncio.ensure_future(wait("small")) for _ in range(3)]
            await asyncio.sleep(0.01)
            queue.release(endpoint, 0.01)
            await asyncio.gather(*tasks)
            return order

        order = run(main)
        self.assertLess(
            max(
                position
                for position, waiting_partner in enumerate(order)
                if waiting_partner == "small"
            ),
            7,
        )

    def test_refuses_request_that_would_miss_deadline(self):
        """A request that would miss its deadline is refused with a retry time."""

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
        """A full queue refuses requests as overloaded."""

        async def main():
            queue = make_queue(queue_limit_count=2)
            deadline_s = asyncio.get_running_loop().time() + 60
            await queue.acquire("p", deadline_s, None)
            tasks = [
                asyncio.ensure_future(queue.acquire("p", deadline_s, None))
                for _ in range(3)
            ]
            done, _ = await asyncio.wait(tasks, timeout=0.1)
            (refused,) = done
            for task in tasks:
                task.cancel()
            return refused.exception().reason

        self.assertEqual(run(main), Reason.OVERLOADED)

    def test_full_queue_evicts_request_of_longest_queue(self):
        """A full queue evicts the last due request of the partner that fills it."""

        async def main():
            queue = make_queue(queue_limit_count=6)
            deadline_s = asyncio.get_running_loop().time() + 60
            await queue.acquire("big", deadline_s, None)
            big = [
                asyncio.ensure_future(queue.acquire("big", deadline_s + index, None))
                for index in range(6)
            ]
            await asyncio.sleep(0.01)
            small = asyncio.ensure_future(queue.acquire("small", deadline_s, None))
            await asyncio.sleep(0.01)
            refused = [task.done() for task in big]
            is_waiting = not small.done()
            reason = big[5].exception().reason
            for task in [*big, small]:
                task.cancel()
            return refused, is_waiting, reason

        refused, is_waiting, reason = run(main)
        self.assertEqual(refused, [False] * 5 + [True])
        self.assertTrue(is_waiting)
        self.assertEqual(reason, Reason.OVERLOADED)

    def test_long_queue_of_another_partner_refuses_no_request(self):
        """A request whose turn comes in time is queued despite others' long queues."""

        async def main():
            queue = make_queue()
            now_s = asyncio.get_running_loop().time()
            await queue.acquire("big", now_s + 60, None)
            tasks = [
                asyncio.ensure_future(queue.acquire("big", now_s + 60, None))
                for _ in range(100)
            ]
            await asyncio.sleep(0)
            small = asyncio.ensure_future(queue.acquire("small", now_s + 0.2, None))
            await asyncio.sleep(0.01)
            done = small.done()
            for task in [*tasks, small]:
                task.cancel()
            return done

        self.assertFalse(run(main))

    def test_refusals_of_one_partner_do_not_delay_another(self):
        """A partner's first retry time is not after all those of another partner."""

        async def main():
            queue = make_queue(slots=0)
            deadline_s = asyncio.get_running_loop().time() + 60
            retry_after_s = []
            for partner in ["big"] * 400 + ["small"]:
                with self.assertRaises(RefusedError) as caught:
                    await queue.acquire(partner, deadline_s, None)
                retry_after_s.append(caught.exception.retry_after_s)
            return retry_after_s

        *big, small = run(main)
        # The wait of 1 s without slots, and a turn of 20 ms for each refused request:
        # 400 for the last one of "big", about 2 for "small". Jitter shortens both.
        self.assertGreater(max(big), 8.5)
        self.assertLess(small, 1.1)

    def test_partner_is_served_by_earliest_deadline(self):
        """A partner's requests are served in the order of their deadlines."""

        async def main():
            queue = make_queue()
            now_s = asyncio.get_running_loop().time()
            endpoint = await queue.acquire("p", now_s + 60, None)
            order = []

            async def wait(due_s):
                granted_endpoint = await queue.acquire("p", now_s + due_s, None)
                order.append(due_s)
                queue.release(granted_endpoint, 0.01)

            deadlines_s = [9, 3, 7, 1, 8, 2]
            tasks = [asyncio.ensure_future(wait(due_s)) for due_s in deadlines_s]
            await asyncio.sleep(0.01)
            queue.release(endpoint, 0.01)
            await asyncio.gather(*tasks)
            return order

        self.assertEqual(run(main), [1, 2, 3, 7, 8, 9])

    def test_refuses_queued_requests_once_service_slows(self):
        """Queued requests are refused early once they can't meet their deadline."""

        async def main():
            queue = make_queue()
            loop = asyncio.get_running_loop()
            endpoint = await queue.acquire("p", loop.time() + 60, None)
            refused_s = []

            async def wait():
                try:
                    await queue.acquire("p", started_s + 2.0, None)
                except RefusedError as error:
                    refused_s.append(loop.time() - started_s)
                    self.assertGreater(error.retry_after_s, 0)

            started_s = loop.time()
            tasks = [asyncio.ensure_future(wait()) for _ in range(50)]
            for _ in range(20):
                await asyncio.sleep(0.01)
                endpoint.in_flight += 1
                queue.release(endpoint, 0.2)
            early = list(refused_s)
            for task in tasks:
                task.cancel()
            return early

        early = run(main)
        self.assertGreater(len(early), 30)
        self.assertLess(len(early), 50)

    def test_cancelled_waiter_is_removed(self):
        """A cancelled waiter occupies neither a slot nor a place in the queue."""

        async def main():
            queue = make_queue()
            deadline_s = asyncio.get_running_loop().time() + 60
            endpoint = await queue.acquire("p", deadline_s, None)
            waiter = asyncio.ensure_future(queue.acquire("p", deadline_s, None))
            await asyncio.sleep(0.01)
            waiter.cancel()
            await asyncio.sleep(0.01)
            queue.release(endpoint, 0.01)
            return queue.waiting_count, endpoint.in_flight

        self.assertEqual(run(main), (0, 0))

    def test_retries_have_a_budget(self):
        """Retries are limited to a share of requests once the budget is used up."""

        async def main():
            queue = make_queue(retry_ratio=0.25)
            while queue.take_retry_token():
                continue
            for _ in range(8):
                queue.add_retry_tokens()
            return sum(queue.take_retry_token() for _ in range(10))

        self.assertEqual(run(main), 2)


class TestRetryTimes(unittest.TestCase):
    """Callers that retry at the given times; four slots serve 200 a second."""

    CALLERS, WORK_S, SLOTS = 400, 0.02, 4

    def simulate_outage(self, urgency, max_retry_after_s=60.0):
        """Simulate an outage of 1.5 s; return the times of retries and completions."""

        async def main():
            draw = random.Random(1)
            loop = asyncio.get_running_loop()
            table = EndpointTable()
            document = ServiceDocument("tab", 1, urgency=urgency, ramp_s=0)
            queue = ServiceQueue(
                lambda: document,
                lambda: table.of_service("tab"),
                loop.time,
                draw.random,
            )
            announced = announcement(slots=self.SLOTS, lease_ms=600_000)
            table.apply_announcement(address(1), announced, loop.time())
            queue.expected_wait_s()
            (endpoint,) = table.of_service("tab")
            endpoint.drained = True
            retried_s, done_s = [], []

            async def call():
                await asyncio.sleep(draw.uniform(0, 1))
                while True:
                    try:
                        granted_endpoint = await queue.acquire(
                            "p", loop.time() + 0.5, None
                        )
                        break
                    except RefusedError as error:
                        await asyncio.sleep(min(error.retry_after_s, max_retry_after_s))
                        retried_s.append(loop.time())
                await asyncio.sleep(self.WORK_S)
                queue.release(granted_endpoint, self.WORK_S)
                done_s.append(loop.time())

            tasks = [asyncio.ensure_future(call()) for _ in range(self.CALLERS)]
            await asyncio.sleep(1.5)
            endpoint.drained = False
            resumed_s = loop.time()
            await asyncio.gather(*tasks)
            return [
                [at_s - resumed_s for at_s in times_s]
                for times_s in (retried_s, done_s)
            ]

        return run(main)

    def test_retries_are_spread_after_outage(self):
        """Retries exceed the capacity by at most a quarter; callers are soon served."""
        needed_s = self.CALLERS * self.WORK_S / self.SLOTS
        for urgency in (0, 5, 9):
            retried_s, done_s = self.simulate_outage(urgency)
            retry_count = Counter(int(at_s // 0.25) for at_s in retried_s if at_s >= 0)
            with self.subTest(urgency=urgency):
                self.assertLess(max(retry_count.values()), 1.25 * 0.25 * 200)
                self.assertLess(max(done_s), 1.15 * needed_s)

    def test_common_retry_time_overloads(self):
        """With a common retry time retries exceed twice the capacity and repeat."""
        retried_s, _ = self.simulate_outage(5, max_retry_after_s=1.0)
        retry_count = Counter(int(at_s // 0.25) for at_s in retried_s if at_s >= 0)
        self.assertGreater(max(retry_count.values()), 2 * 0.25 * 200)
        self.assertGreater(len(retried_s), 1.5 * self.CALLERS)
