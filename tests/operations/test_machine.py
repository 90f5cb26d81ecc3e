import asyncio
import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from benchmarks.fuzz_operations import FAULTS, WEAKENED, apply_fault, run_round
from benchmarks.operations_world import World
from benchmarks.virtual_time import VirtualLoop


class OperationsMachine(RuleBasedStateMachine):
    """Requests with injected faults, checked against what the servers executed."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.world = self.runner.run(self._make())
        self.count = 0

    async def _make(self):
        return World(seed=7)

    async def _do(self, action=None, wait_s=0.0):
        if action is not None:
            action()
        await asyncio.sleep(wait_s)

    @rule(idempotent=st.booleans(), timeout_s=st.floats(0.3, 4.0))
    def request(self, idempotent, timeout_s):
        self.count += 1
        label = f"{'i' if idempotent else 'n'}-{self.count}".encode()
        work = self._do(lambda: self.world.request(label, idempotent, timeout_s))
        self.runner.run(work)

    @rule(fault=st.sampled_from(FAULTS), seed=st.integers(0, 50))
    def fault(self, fault, seed):
        chance = random.Random(seed)
        self.runner.run(self._do(lambda: apply_fault(self.world, fault, chance)))

    @rule(wait_s=st.sampled_from((0.001, 0.005, 0.02, 0.1, 0.6, 3.0)))
    def wait(self, wait_s):
        self.runner.run(self._do(wait_s=wait_s))

    @invariant()
    def guarantees_hold(self):
        assert not self.world.violations()

    def teardown(self):
        self.runner.run(self._do(self.world.calm, wait_s=12.0))
        violations, still_open = self.world.violations(), self.world.open_count
        self.runner.run(self._do(self.world.close))
        self.runner.close()
        assert not violations, violations
        assert not still_open


TestOperationsMachine = OperationsMachine.TestCase
TestOperationsMachine.settings = settings(max_examples=60, stateful_step_count=40)


class TestFuzz(unittest.TestCase):
    def test_random_faults_violate_no_guarantee(self):
        """Seeded rounds with all kinds of faults violate no guarantee."""
        for seed in range(10):
            result = run_round(seed)
            with self.subTest(seed=seed):
                self.assertEqual(result["violations"], [])
                self.assertEqual(result["without_verdict"], 0)

    def _violations(self, weakened):
        with WEAKENED[weakened]():
            return [
                violation
                for seed in range(12)
                for violation in run_round(seed)["violations"]
            ]

    def test_detects_missing_claims(self):
        """The checks detect operations that run twice without claims."""
        self.assertTrue(self._violations("claims"))

    def test_detects_grants_after_refusal(self):
        """The checks detect a standby that grants claims of refused operations."""
        self.assertTrue(self._violations("fence"))

    def test_each_safeguard_can_be_turned_off(self):
        """Guards against an option that names a function that was renamed."""
        for weaken in WEAKENED.values():
            with weaken():
                pass
