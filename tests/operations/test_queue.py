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

    def test_full_queue_makes_room_for_another_partner(self):
        """Who fills the queue loses its last due, not the partner that comes."""

        async def main():
            queue = make_queue(queue_limit_count=6)
            soon = asyncio.get_running_loop().time() + 60
            await queue.acquire("big", soon, None)
            big = [
                asyncio.ensure_future(queue.acquire("big", soon + nth, None))
                for nth in range(6)
            ]
            await asyncio.sleep(0.01)
            small = asyncio.ensure_future(queue.acquire("small", soon, None))
            await asyncio.sleep(0.01)
            refused = [task.done() for task in big]
            waits = not small.done()
            reason = big[5].exception().reason
            for task in [*big, small]:
                task.cancel()
            return refused, waits, reason

        refused, waits, reason = run(main)
        self.assertEqual(refused, [False] * 5 + [True])
        self.assertTrue(waits)
        self.assertEqual(reason, Reason.OVERLOADED)

    def test_long_line_of_another_is_no_reason_to_refuse(self):
        """What has its turn in time is taken, however long others' lines are."""

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

    def test_refusals_of_one_do_not_put_off_another(self):
        """Many refused of one partner, and another's first comes back among them."""

        async def main():
            queue = make_queue(slots=0)
            soon = asyncio.get_running_loop().time() + 60
            told_s = []
            for partner in ["big"] * 400 + ["small"]:
                with self.assertRaises(RefusedError) as caught:
                    await queue.acquire(partner, soon, None)
                told_s.append(caught.exception.retry_after_s)
            return told_s

        *big, small = run(main)
        self.assertGreater(max(big), 8.5)
        self.assertLess(small, 1.1)

    def test_first_due_goes_first_within_a_partner(self):
        """The order of a partner's requests is that of their deadlines."""

        async def main():
            queue = make_queue()
            now_s = asyncio.get_running_loop().time()
            endpoint = await queue.acquire("p", now_s + 60, None)
            order = []

            async def wait(due_s):
                got = await queue.acquire("p", now_s + due_s, None)
                order.append(due_s)
                queue.release(got, 0.01)

            dues_s = [9, 3, 7, 1, 8, 2]
            tasks = [asyncio.ensure_future(wait(due_s)) for due_s in dues_s]
            await asyncio.sleep(0.01)
            queue.release(endpoint, 0.01)
            await asyncio.gather(*tasks)
            return order

        self.assertEqual(run(main), [1, 2, 3, 7, 8, 9])

    def test_what_waits_in_vain_is_refused_at_once(self):
        """Once all takes longer, who can't be in time need not wait for its end."""

        async def main():
            queue = make_queue()
            loop = asyncio.get_running_loop()
            endpoint = await queue.acquire("p", loop.time() + 60, None)
            refused_s = []

            async def wait():
                try:
                    await queue.acquire("p", began_s + 2.0, None)
                except RefusedError as error:
                    refused_s.append(loop.time() - began_s)
                    self.assertGreater(error.retry_after_s, 0)

            began_s = loop.time()
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


class TestReturn(unittest.TestCase):
    """Callers that come back at the times told; four slots bear 200 a second."""

    CALLERS, WORK_S, SLOTS = 400, 0.02, 4

    def play(self, urgency, longest_told_s=60.0):
        """No slot for 1.5 s, in which all come; when they come back and are done."""

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
            news = announcement(slots=self.SLOTS, lease_ms=600_000)
            table.hear(address(1), news, loop.time())
            queue.expected_wait_s()
            (endpoint,) = table.of_service("tab")
            endpoint.drained = True
            back_s, done_s = [], []

            async def call():
                await asyncio.sleep(draw.uniform(0, 1))
                while True:
                    try:
                        got = await queue.acquire("p", loop.time() + 0.5, None)
                        break
                    except RefusedError as error:
                        await asyncio.sleep(min(error.retry_after_s, longest_told_s))
                        back_s.append(loop.time())
                await asyncio.sleep(self.WORK_S)
                queue.release(got, self.WORK_S)
                done_s.append(loop.time())

            tasks = [asyncio.ensure_future(call()) for _ in range(self.CALLERS)]
            await asyncio.sleep(1.5)
            endpoint.drained = False
            begin_s = loop.time()
            await asyncio.gather(*tasks)
            return [
                [at_s - begin_s for at_s in times_s] for times_s in (back_s, done_s)
            ]

        return run(main)

    def test_return_is_spread_over_the_time_it_needs(self):
        """No quarter second brings far more than it bears; all are done in time."""
        needed_s = self.CALLERS * self.WORK_S / self.SLOTS
        for urgency in (0, 5, 9):
            back_s, done_s = self.play(urgency)
            coming = Counter(int(at_s // 0.25) for at_s in back_s if at_s >= 0)
            with self.subTest(urgency=urgency):
                self.assertLess(max(coming.values()), 1.25 * 0.25 * 200)
                self.assertLess(max(done_s), 1.15 * needed_s)

    def test_one_time_for_all_is_worse(self):
        """Told a second each, they come at twice the rate and more than once."""
        back_s, _ = self.play(5, longest_told_s=1.0)
        coming = Counter(int(at_s // 0.25) for at_s in back_s if at_s >= 0)
        self.assertGreater(max(coming.values()), 2 * 0.25 * 200)
        self.assertGreater(len(back_s), 1.5 * self.CALLERS)
