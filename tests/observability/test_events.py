import ast
import unittest
from pathlib import Path

from agatethread.observability import EVENT_FIELDS, Event

ROOT = Path(__file__).parents[2]
LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
#: Source folders of the platform's processes.
FOLDERS = (
    "src/agatethread/control",
    "src/agatethread/datapath",
    "src/agatethread/registry",
    "src/agatethread/sockets",
    "platform/agatethread_platform",
)
PAGE = ROOT / "docs" / "OPERATIONS.md"


def log_calls():
    """Yield the place and the node of each logger call."""
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call):
                    continue
                function = ast.unparse(node.func)
                owner, _, level = function.rpartition(".")
                if owner == "log" and level in LEVELS:
                    yield f"{path.name}:{node.lineno}", node


def events_of(expression):
    """Return the events that an expression names."""
    names = [
        node.attr
        for node in ast.walk(expression)
        if isinstance(node, ast.Attribute) and ast.unparse(node.value) == "Event"
    ]
    return [Event[name] for name in names]


class TestEvents(unittest.TestCase):
    def test_log_calls_use_listed_events_and_fields(self):
        """No log call has a literal message or a field that is not listed."""
        count = 0
        for place, call in log_calls():
            with self.subTest(place):
                count += 1
                self.assertNotIsInstance(call.args[0], ast.Constant)
                fields = {keyword.arg for keyword in call.keywords}
                for event in events_of(call.args[0]):
                    self.assertLessEqual(fields, EVENT_FIELDS[event])
        self.assertGreater(count, 40)

    def test_each_event_is_logged_and_documented(self):
        """Each event is used in the source, has fields and is in the page."""
        sources = "".join(
            path.read_text()
            for folder in FOLDERS
            for path in (ROOT / folder).glob("*.py")
        )
        page = PAGE.read_text()
        for event in Event:
            with self.subTest(event):
                self.assertIn(f"Event.{event.name}", sources)
                self.assertIn(event, EVENT_FIELDS)
                self.assertIn(f"`{event}`", page)
