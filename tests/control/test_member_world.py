import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

from agatethread.control._member_name import load_or_create_member_name
from agatethread.wire.control_pb2 import ControlState, HardState, Members
from benchmarks.fuzz_members import fuzz


def claim_by_address(storage, target, is_first_start, founders):
    """Return the address as name also for an empty disk (the fault to detect)."""
    if not storage.read_hard_state().member_name:
        storage.save_snapshot(ControlState(members=Members(members=founders)), [])
        storage.save_hard_state(HardState(member_name=target, may_vote=True))
    return load_or_create_member_name(storage, target, is_first_start, founders)


def run_in_process(hash_seed):
    """Run a seed in its own process; return the parsed report."""
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.fuzz_members", "--steps=180", "--seed=3"],
        cwd=Path(__file__).parent.parent.parent,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(completed.stdout.splitlines()[-1])


class TestMemberWorld(unittest.TestCase):
    def test_loses_no_change_with_one_disk_loss_at_a_time(self):
        """Three voters survive kills, freezes, cuts, lost disks and replacements."""
        report = fuzz(seed=11, steps=600, losses_borne=1)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.disks_lost + report.replaced, 10)
        self.assertGreater(report.reads, 50)

    def test_loses_no_change_with_two_disk_losses_at_a_time(self):
        """Five voters survive the loss of two disks before all vote again."""
        report = fuzz(seed=12, steps=300, losses_borne=2)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.disks_lost + report.replaced, 5)

    def test_loses_no_change_during_replacement(self):
        """A second disk is lost while the replacement of the first is not committed."""
        # Seeds that reach this case.
        for seed in (195, 38):
            with self.subTest(seed=seed):
                report = fuzz(seed, steps=600, losses_borne=1)
                self.assertEqual(report.violations, [])

    def test_detects_votes_of_lost_disk_under_old_name(self):
        """With names by address, the checks report conflicting entries."""
        violations = ""
        for seed in range(1, 7):
            report = fuzz(seed, steps=300, losses_borne=1, claim=claim_by_address)
            violations += " ".join(report.violations)
            if "two entries at" in violations:
                break
        self.assertIn("two entries at", violations)

    def test_repeats_run_with_equal_seed(self):
        """Runs do not depend on the hash seed of the process."""
        first, second = run_in_process("1"), run_in_process("2")
        self.assertGreater(first["acknowledged"], 50)
        self.assertEqual(first["fingerprint"], second["fingerprint"])
