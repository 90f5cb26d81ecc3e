import unittest

from agatethread.control import DocumentState
from agatethread.control._state import check_command
from agatethread.wire.control_pb2 import Command, PutDocument, SetDrain


def put(version, change_id, note=""):
    text = f'{{service: "tab", version: {version}, note: "{note}"}}'
    document = PutDocument(service="tab", version=version, text=text.encode())
    return Command(put_document=document, change_id=change_id)


class TestDocumentState(unittest.TestCase):
    def setUp(self):
        self.state = DocumentState()

    def apply(self, command):
        index = self.state.last_index + 1
        return self.state.apply(index, 1, command.SerializeToString())

    def test_equal_versions_have_one_winner(self):
        """Of two changes with equal numbers the second is told who won."""
        self.assertTrue(self.apply(put(1, "first")).accepted)
        second = self.apply(put(1, "second"))
        self.assertFalse(second.accepted)
        self.assertEqual(second.winner_change_id, "first")
        self.assertEqual(second.current_version, 1)

    def test_resend_gets_the_first_outcome(self):
        """A change sent again gets its first answer, also after a snapshot."""
        first = self.apply(put(1, "first"))
        self.apply(put(2, "next"))
        self.assertEqual(self.apply(put(1, "first")), first)
        restored = DocumentState()
        restored.restore(self.state.snapshot())
        again = restored.apply(9, 1, put(1, "first").SerializeToString())
        self.assertEqual(again, first)

    def test_snapshot_gives_the_same_state_to_the_byte(self):
        """Hundreds of changes, a snapshot and a restore end in equal bytes."""
        for version in range(1, 300):
            self.apply(put(version, f"c{version}"))
            drain = SetDrain(name=f"tab-{version % 7}", draining=version % 2 == 0)
            self.apply(Command(set_drain=drain, change_id=f"d{version}"))
        restored = DocumentState()
        restored.restore(self.state.snapshot())
        self.assertEqual(
            restored.snapshot().SerializeToString(deterministic=True),
            self.state.snapshot().SerializeToString(deterministic=True),
        )

    def test_document_is_kept_as_written(self):
        """Comments and spacing of an accepted document stay."""
        text = b'// ours\n{service: "tab",   version: 1}'
        document = PutDocument(service="tab", version=1, text=text)
        self.apply(Command(put_document=document, change_id="x"))
        self.assertEqual(self.state.documents["tab"].text, text)


class TestCheckCommand(unittest.TestCase):
    def test_faults_are_found_before_the_log(self):
        """A change without id, with bad text or another name is refused."""
        self.assertEqual(check_command(put(1, "x")), "")
        self.assertIn("change id", check_command(put(1, "")))
        self.assertIn("version", check_command(put(0, "x")))
        renamed = put(1, "x")
        renamed.put_document.service = "receipts"
        self.assertIn("differ", check_command(renamed))
        self.assertIn("name", check_command(Command(change_id="x")))
