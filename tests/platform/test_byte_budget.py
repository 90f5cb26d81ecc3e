import unittest

from agatethread_platform.byte_budget import ByteBudget


class TestByteBudget(unittest.TestCase):
    def test_small_requests_have_room_beside_large_ones(self):
        """Large requests use half of the budget, small ones all of it."""
        budget = ByteBudget(200_000)
        self.assertTrue(budget.reserve(60_000, 60_000))
        self.assertFalse(budget.reserve(60_000, 60_000))
        for _ in range(14):
            self.assertTrue(budget.reserve(10_000, 10_000))
        self.assertFalse(budget.reserve(10_000, 10_000))
        budget.release(60_000)
        self.assertTrue(budget.reserve(10_000, 10_000))

    def test_one_request_alone_is_never_refused(self):
        """A request over the budget is served while nothing else is held."""
        budget = ByteBudget(1_000)
        self.assertTrue(budget.reserve(40_000, 40_000))
        self.assertTrue(budget.reserve(40_000, 80_000))
        self.assertFalse(budget.reserve(1, 1))
