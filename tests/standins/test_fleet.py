import json
import signal
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path

from standins.fleet import Fleet
from standins.layouts import Layout, ServiceLayout

LAYOUT = Layout(
    domains=("north", "south"),
    entry_count=4,
    control_count=3,
    domain_delay_ms=1.0,
    caller_delay_ms=1.0,
    services={
        "tab": ServiceLayout(4, 0, 15, 60, 60, 0.25),
        "receipts": ServiceLayout(2, 5, 20, 6, 10, 1.0, upload_bytes=30_000),
    },
)


class FleetCase(unittest.TestCase):
    """A whole fleet of processes under load."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(LAYOUT, Path(folder.name))
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_all()
        self.fleet.wait_for(lambda: self.counts()["streams_opened"] >= 66, "streams")

    def counts(self):
        return Counter(self.fleet.command("caller")["counts"])

    def dispatcher(self, service="tab"):
        for name in self.fleet.names("entry"):
            state = self.fleet.dump(name)
            if state and service in state["entry"]["dispatches_for"]:
                return name
        self.fail(f"nobody dispatches for {service}")

    def finish(self, broken=0):
        """Stop everything and check what must always hold; return the counts."""
        self.fleet.stop_all()
        caller = self.fleet.result("caller")
        runs, counts = Counter(), Counter()
        for name in self.fleet.names("backend"):
            if self.fleet.processes[name].returncode == 0:
                runs.update(self.fleet.result(name)["runs"])
                counts.update(self.fleet.result(name)["counts"])
        doubled = [n for n, times in runs.items() if times > 1 and n[0] == "n"]
        self.assertEqual(doubled, [], "ran twice")
        self.assertEqual([n for n in caller["refused"] if runs[n]], [], "false refusal")
        self.assertEqual(counts["misdelivered"], 0)
        seen = Counter(caller["counts"])
        self.assertEqual(seen["answers_wrong"], 0)
        self.assertEqual(seen["pushes_wrong"], 0)
        self.assertEqual(seen["streams_broken"], broken, caller["reasons"])
        self.assertGreater(seen["requests_answered"], 100)
        return seen


class TestPlannedChanges(FleetCase):
    def test_rolling_restart_with_drain_and_document(self):
        """Restarting every instance while endpoints drain cuts and loses nothing."""
        self.assertEqual(self.fleet.ctl("drain", "tab-1")[0], 0)
        for number, name in enumerate(self.fleet.names("entry")):
            self.fleet.stop(name)
            self.assertEqual(self.fleet.processes[name].returncode, 0)
            self.fleet.start(name)
            if number == 1:
                self.fleet.ctl("apply", self.fleet.document("tab", 2, ramp_s=1.0))
            time.sleep(2.5)
        last_s = self.fleet.command("tab-1")["last_new_work_s"]
        self.assertLess(last_s, time.time() - 5)
        seen = self.finish()
        self.assertEqual(seen["requests_unknown"], 0)


class TestEvacuation(FleetCase):
    def test_evacuated_domain_gets_no_new_work(self):
        """A failure domain is emptied and filled again, and no caller notices."""
        inside = [
            name
            for name in self.fleet.names("backend")
            if self.fleet.nodes[name].failure_domain == "north"
        ]

        def newest_s():
            times = [self.fleet.command(name)["last_new_work_s"] for name in inside]
            return max(times)

        code, _, errors = self.fleet.ctl("evacuate", "north", "--wait-s", "5")
        self.assertEqual(code, 0, errors)
        in_force_s = time.time()
        time.sleep(3)
        self.assertLess(newest_s(), in_force_s + 1.0)
        _, output, _ = self.fleet.ctl("--json", "status")
        self.assertEqual(json.loads(output)["evacuated"], ["north"])
        self.assertEqual(self.fleet.ctl("readmit", "north", "--wait-s", "5")[0], 0)
        readmitted_s = time.time()
        self.fleet.wait_for(lambda: newest_s() > readmitted_s, "new work", 5.0)
        seen = self.finish()
        self.assertEqual(seen["requests_unknown"], 0)


class TestDeaths(FleetCase):
    def test_second_death_just_after_the_repair(self):
        """Two dispatchers killed one after the other break no flow."""
        for _ in range(2):
            self.fleet.kill(self.dispatcher())
            time.sleep(3)
        self.finish()

    def test_frozen_dispatcher_wakes_up(self):
        """A dispatcher stopped for seconds and continued runs nothing twice."""
        name = self.dispatcher()
        self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(5)
        self.fleet.signal(name, signal.SIGCONT)
        time.sleep(3)
        self.finish()

    def test_backend_death_breaks_only_its_own(self):
        """A killed backend server's callers are told; no other flow ends."""
        open_count = self.fleet.command("tab-2")["open_streams"]
        self.fleet.kill("tab-2")
        broken = lambda: self.counts()["streams_broken"]  # noqa: E731
        self.fleet.wait_for(lambda: broken() >= open_count, "resets", 6.0)
        time.sleep(2)
        self.finish(broken=open_count)


class TestLargeMessages(FleetCase):
    def test_large_messages_come_whole_through_loss(self):
        """Uploads and answers of 30 KB come whole though packets are lost."""
        self.fleet.command("fabric", loss=0.03, duplicate=0.03)
        self.fleet.command("link", loss=0.005)
        time.sleep(6)
        self.fleet.command("fabric", loss=0.0, duplicate=0.0)
        self.fleet.command("link", loss=0.0)
        time.sleep(2)
        seen = self.finish()
        self.assertEqual(seen["answers_wrong"], 0)
        ran = Counter()
        for name in self.fleet.names("backend"):
            ran[name.split("-")[0]] += len(self.fleet.result(name)["runs"])
        self.assertGreater(ran["receipts"], 60)


class TestCuts(FleetCase):
    def test_cut_and_healed_domains(self):
        """Domains cut off from each other serve on, and healing breaks nothing."""
        before = self.counts()["requests_answered"]
        self.fleet.command("link", cuts=[["north", "south"]])
        time.sleep(6)
        during = self.counts()["requests_answered"]
        self.fleet.command("link", cuts=[])
        time.sleep(4)
        self.assertGreater(during - before, 100)
        self.finish()


class TestOperators(FleetCase):
    def ctl(self, *arguments, code=0):
        got, output, errors = self.fleet.ctl("--json", *arguments)
        self.assertEqual(got, code, errors)
        return json.loads(output) if output else None

    def test_commands_of_the_operators_pages(self):
        """Each command does on a fleet under load what its page says."""
        live = lambda: self.fleet.command("fabric")["live"]  # noqa: E731
        self.ctl("drain", "entry-2")
        self.fleet.wait_for(lambda: live() == 3, "the drain", 5.0)
        dump = self.ctl("dump", "entry-2")
        self.assertEqual(dump["entry"]["dispatches_for"], [])
        self.ctl("drain", "entry-2", "--undo")
        self.fleet.wait_for(lambda: live() == 4, "its return", 5.0)

        status = self.ctl("status")
        self.assertEqual(len(status["entry"]), 4)
        self.assertEqual(len(status["control"]), 3)
        self.assertEqual(status["services"], ["receipts", "tab"])
        self.assertEqual(self.ctl("status", "--wait-s", "5")["laggards"], [])

        path = self.fleet.document("tab", 2)
        first = self.ctl("apply", path, "--change-id", "ours")
        self.ctl("apply", self.fleet.document("tab", 3))
        again = self.ctl("apply", path, "--change-id", "ours")
        self.assertEqual(again["index"], first["index"])
        self.ctl("apply", path, "--change-id", "theirs", code=1)
        got = self.ctl("get", "tab")
        self.assertEqual(got["text"], Path(self.fleet.document("tab", 3)).read_text())
        self.ctl("check", "--document", path)
        self.finish()


class TestControl(FleetCase):
    def test_leader_dies_and_a_frozen_one_returns(self):
        """Documents go on being accepted, and none reverts when one returns."""
        self.fleet.signal("control-1", signal.SIGSTOP)
        self.assertLess(self.fleet.apply("tab", 2, note="while one is frozen"), 4)
        self.fleet.signal("control-1", signal.SIGCONT)
        self.fleet.kill("control-2")
        self.fleet.start("control-2")
        self.fleet.stop("control-3")
        self.assertEqual(self.fleet.processes["control-3"].returncode, 0)
        self.fleet.start("control-3")
        self.assertLess(self.fleet.apply("tab", 3, note="after both"), 4)
        time.sleep(2)
        for name in self.fleet.names("entry"):
            documents = self.fleet.dump(name)["entry"]["documents"]
            self.assertEqual(documents, {"tab": 3, "receipts": 1})
        code, _, errors = self.fleet.ctl("apply", self.fleet.document("tab", 3))
        self.assertEqual(code, 1)
        self.assertIn("conflict", errors)
        self.finish()
