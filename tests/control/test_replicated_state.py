import unittest

from agatethread.control import ReplicatedState
from agatethread.control._replicated_state import (
    MAX_EVACUATED_DOMAINS,
    check_command,
    find_domain_name_error,
)
from agatethread.wire.control_pb2 import (
    Command,
    ControlState,
    PutDocument,
    SetDrain,
    SetEvacuation,
)


def put(version, change_id, note=""):
    text = f'{{service: "tab", version: {version}, note: "{note}"}}'
    document = PutDocument(service="tab", version=version, text=text.encode())
    return Command(put_document=document, change_id=change_id)


def evacuate(domain, evacuated=True):
    change = SetEvacuation(failure_domain=domain, evacuated=evacuated)
    return Command(set_evacuation=change)


class TestReplicatedState(unittest.TestCase):
    def setUp(self):
        self.state = ReplicatedState()

    def apply(self, command):
        index = self.state.last_index + 1
        return self.state.apply(index, 1, command.SerializeToString())

    def test_rejects_second_change_with_equal_version(self):
        """The second change with an equal version is rejected, with the first's id."""
        self.assertTrue(self.apply(put(1, "first")).accepted)
        second = self.apply(put(1, "second"))
        self.assertFalse(second.accepted)
        self.assertEqual(second.winner_change_id, "first")
        self.assertEqual(second.current_version, 1)

    def test_retry_returns_first_outcome(self):
        """A retried change gets its first outcome, also after a snapshot."""
        first = self.apply(put(1, "first"))
        self.apply(put(2, "next"))
        self.assertEqual(self.apply(put(1, "first")), first)
        restored = ReplicatedState()
        restored.restore(self.state.snapshot())
        retried = restored.apply(9, 1, put(1, "first").SerializeToString())
        self.assertEqual(retried, first)

    def test_restored_snapshot_has_equal_bytes(self):
        """A restored copy of a state after hundreds of changes has equal bytes."""
        for version in range(1, 300):
            self.apply(put(version, f"c{version}"))
            drain = SetDrain(name=f"tab-{version % 7}", draining=version % 2 == 0)
            self.apply(Command(set_drain=drain, change_id=f"d{version}"))
        restored = ReplicatedState()
        restored.restore(self.state.snapshot())
        self.assertEqual(
            restored.snapshot().SerializeToString(deterministic=True),
            self.state.snapshot().SerializeToString(deterministic=True),
        )

    def test_stores_document_unchanged(self):
        """Comments and white space of an accepted document are stored."""
        text = b'// ours\n{service: "tab",   version: 1}'
        document = PutDocument(service="tab", version=1, text=text)
        self.apply(Command(put_document=document, change_id="x"))
        self.assertEqual(self.state.documents["tab"].text, text)


class TestEvacuations(unittest.TestCase):
    def setUp(self):
        self.state = ReplicatedState()

    def order(self, domain, evacuated=True):
        index = self.state.last_index + 1
        command = evacuate(domain, evacuated)
        outcome = self.state.apply(index, 1, command.SerializeToString())
        return outcome.accepted

    def evacuations(self):
        evacuations = self.state.evacuations
        return evacuations.version, list(evacuations.failure_domains)

    def test_repeated_order_keeps_version(self):
        """A repeated order is accepted and creates no new version."""
        for domain in ("b", "a", "b"):
            self.assertTrue(self.order(domain))
        self.assertEqual(self.evacuations(), (2, ["a", "b"]))
        self.assertTrue(self.order("b", evacuated=False))
        self.assertTrue(self.order("b", evacuated=False))
        self.assertTrue(self.order("never-heard-of", evacuated=False))
        self.assertEqual(self.evacuations(), (4, ["a"]))

    def test_snapshot_includes_evacuations(self):
        """After a restore the domain is evacuated under the same version."""
        self.order("a")
        restored = ReplicatedState()
        restored.restore(self.state.snapshot())
        self.state = restored
        self.assertEqual(self.evacuations(), (1, ["a"]))
        self.assertTrue(self.order("a", evacuated=False))
        self.assertEqual(self.evacuations(), (2, []))

    def test_rejects_order_above_limit(self):
        """Above the limit an order is rejected until a domain is readmitted."""
        for number in range(MAX_EVACUATED_DOMAINS):
            self.assertTrue(self.order(f"domain-{number}"))
        self.assertFalse(self.order("one-more"))
        self.assertTrue(self.order("domain-3"))
        self.assertTrue(self.order("domain-3", evacuated=False))
        self.assertTrue(self.order("one-more"))

    def test_restores_snapshot_without_evacuations(self):
        """A snapshot of a version without evacuations is restored."""
        # Written by a version without evacuations.
        snapshot = bytes.fromhex(
            "08021001220a0a0264311204080110022a057461622d3130023a0508071201734200"
        )
        state = ReplicatedState()
        state.restore(ControlState.FromString(snapshot))
        self.assertEqual((state.last_index, state.drained), (2, {"tab-1"}))
        self.assertEqual(state.routes.version, 7)
        self.assertEqual(len(state.evacuations.failure_domains), 0)


class TestCheckCommand(unittest.TestCase):
    def test_validates_failure_domain_name(self):
        """Any valid name is accepted, also that of an unknown failure domain."""
        for name in ("hall-a", "køge", "x" * 255):
            self.assertEqual(find_domain_name_error(name), "")
        for name in ("", "hall a", "a/b", "a\n", "x" * 256, "\x00"):
            self.assertNotEqual(find_domain_name_error(name), "", name)
        command = evacuate("")
        command.change_id = "x"
        self.assertIn("name", check_command(command))

    def test_rejects_invalid_change(self):
        """A change without id, with an invalid text or another service is rejected."""
        self.assertEqual(check_command(put(1, "x")), "")
        self.assertIn("change id", check_command(put(1, "")))
        self.assertIn("version", check_command(put(0, "x")))
        renamed = put(1, "x")
        renamed.put_document.service = "receipts"
        self.assertIn("differ", check_command(renamed))
        self.assertIn("name", check_command(Command(change_id="x")))
