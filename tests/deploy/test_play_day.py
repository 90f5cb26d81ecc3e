import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

#: Stands in for the bench: writes an entry as it does, and says what it was given.
BENCH = """#!{python}
import json, pathlib, sys
site, day = sys.argv[2:4]
if day == "broken":
    sys.exit("no such day")
digest = '''day   own/srv
{day}    13/18

class                asked  in aim   late refused failed not owed  worth   p50 ms
price-feed            5899    5862     30       2      7        0  0.998     25.0
stock-sheet            512     510      2       0      0        0  1.000     40.0

clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms
dar-a                 2137    2129      8       0      0        0  1.000     25.0
'''
days = [{{"G": 0.903, "rules": {{"FLOW": 2}}}}]
entry = dict(argv=sys.argv[1:], days=days, digest=digest)
pathlib.Path("journal/20990101T000000-ab.json").write_text(json.dumps(entry))
print("worth 0.903")
"""


class TestPlayDay(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.clone = Path(folder.name)
        (self.clone / "deploy").mkdir()
        (self.clone / "journal").mkdir()
        text = (ROOT / "deploy" / "system.toml").read_text()
        (self.clone / "deploy" / "system.toml").write_text(text)
        self.bench = self.clone / "bench"
        self.bench.write_text(BENCH.replace("{python}", sys.executable, 1))
        text = self.bench.read_text().replace("{{", "{").replace("}}", "}")
        self.bench.write_text(text)
        self.bench.chmod(0o755)
        self.policies = self.clone / "policies.json"

    def play(self, day="trouble-1"):
        command = [sys.executable, str(ROOT / "deploy" / "play_day.py")]
        command += ["--bench", str(self.bench), "--clone", str(self.clone)]
        command += ["--site", "a.toml", "--day", day, "--seed", "3"]
        command += ["--policies", str(self.policies)]
        return subprocess.run(command, capture_output=True, text=True)

    def test_outcome_is_that_of_the_entry(self):
        """The last line has the worth, each kind of request, and broken rules."""
        self.policies.write_text('{"keeps_hints": false}')
        outcome = json.loads(self.play().stdout.splitlines()[-1])
        self.assertEqual(outcome["worth_ratio"], 0.903)
        self.assertEqual(outcome["rules_broken"], ["FLOW"])
        first, second = outcome["classes"]
        counts = {
            "asked_count": 5899,
            "in_time_count": 5862,
            "late_count": 30,
            "refused_count": 2,
            "failed_count": 7,
        }
        self.assertEqual(first, {"name": "price-feed", **counts})
        self.assertEqual(second["name"], "stock-sheet")

    def test_both_roles_play_with_the_policies(self):
        """The deploy file names a copy of the file for each, once."""
        for text in ('{"keeps_hints": false}', "{}"):
            self.policies.write_text(text)
            (self.clone / "journal" / "20990101T000000-ab.json").unlink(missing_ok=True)
            self.assertEqual(self.play().returncode, 0)
            copy = self.clone / "deploy" / "policies.json"
            self.assertEqual(copy.read_text(), text)
        deploy_file = (self.clone / "deploy" / "system.toml").read_text()
        self.assertEqual(deploy_file.count("AGATETHREAD_POLICIES"), 2)

    def test_day_that_is_not_played(self):
        """The bench's exit code and message are handed on."""
        self.policies.write_text("{}")
        done = self.play("broken")
        self.assertEqual(done.returncode, 1)
        self.assertIn("no such day", done.stderr)
