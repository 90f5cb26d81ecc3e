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
    """Base class of tests with a fleet of processes under load."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(LAYOUT, Path(folder.name))
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_all()
        self.fleet.wait_for(lambda: self.counts()["streams_opened"] >= 66, "streams")

    def counts(self):
        return Counter(self.fleet.send_command("caller")["counts"])

    def dispatcher(self, service="tab"):
        for name in self.fleet.names_of_kind("entry"):
            state = self.fleet.read_state(name)
            if state and service in state["entry"]["dispatches_for"]:
                return name
        self.fail(f"no instance dispatches for {service}")

    def finish(self, broken=0):
        """Stop the fleet and check its invariants; return the caller's counts."""
        self.fleet.stop_all()
        caller = self.fleet.read_result("caller")
        runs, counts = Counter(), Counter()
        for name in self.fleet.names_of_kind("backend"):
            if self.fleet.processes[name].returncode == 0:
                runs.update(self.fleet.read_result(name)["runs"])
                counts.update(self.fleet.read_result(name)["counts"])
        doubled = [name for name, count in runs.items() if count > 1 and name[0] == "n"]
        self.assertEqual(doubled, [], "ran twice")
        self.assertEqual(
            [name for name in caller["refused"] if runs[name]], [], "false refusal"
        )
        self.assertEqual(counts["misdelivered"], 0)
        caller_counts = Counter(caller["counts"])
        self.assertEqual(caller_counts["answers_wrong"], 0)
        self.assertEqual(caller_counts["pushes_wrong"], 0)
        self.assertEqual(caller_counts["streams_broken"], broken, caller["reasons"])
        self.assertGreater(caller_counts["requests_answered"], 100)
        return caller_counts


class TestPlannedChanges(FleetCase):
    def test_rolling_restart_with_drain_and_document(self):
        """Restarting all instances during a drain breaks no stream or request."""
        self.assertEqual(self.fleet.run_ctl("drain", "tab-1")[0], 0)
        for number, name in enumerate(self.fleet.names_of_kind("entry")):
            self.fleet.stop(name)
            self.assertEqual(self.fleet.processes[name].returncode, 0)
            self.fleet.start(name)
            if number == 1:
                self.fleet.run_ctl(
                    "apply", self.fleet.write_document("tab", 2, ramp_s=1.0)
                )
            time.sleep(2.5)
        last_s = self.fleet.send_command("tab-1")["last_new_work_s"]
        self.assertLess(last_s, time.time() - 5)
        caller_counts = self.finish()
        self.assertEqual(caller_counts["requests_unknown"], 0)


class TestEvacuation(FleetCase):
    def test_evacuated_domain_gets_no_new_work(self):
        """Evacuating and readmitting a failure domain breaks no stream or request."""
        evacuated = [
            name
            for name in self.fleet.names_of_kind("backend")
            if self.fleet.nodes[name].failure_domain == "north"
        ]

        def last_new_work_s():
            times = [
                self.fleet.send_command(name)["last_new_work_s"] for name in evacuated
            ]
            return max(times)

        code, _, errors = self.fleet.run_ctl("evacuate", "north", "--wait-s", "5")
        self.assertEqual(code, 0, errors)
        evacuated_s = time.time()
        time.sleep(3)
        self.assertLess(last_new_work_s(), evacuated_s + 1.0)
        _, output, _ = self.fleet.run_ctl("--json", "status")
        self.assertEqual(json.loads(output)["evacuated"], ["north"])
        self.assertEqual(self.fleet.run_ctl("readmit", "north", "--wait-s", "5")[0], 0)
        readmitted_s = time.time()
        self.fleet.wait_for(lambda: last_new_work_s() > readmitted_s, "new work", 5.0)
        caller_counts = self.finish()
        self.assertEqual(caller_counts["requests_unknown"], 0)


class TestCrashes(FleetCase):
    def test_two_dispatcher_crashes_in_sequence(self):
        """Killing two dispatchers one after the other breaks no flow."""
        for _ in range(2):
            self.fleet.kill(self.dispatcher())
            time.sleep(3)
        self.finish()

    def test_frozen_dispatcher_resumes(self):
        """A dispatcher that resumes after some seconds runs no request twice."""
        name = self.dispatcher()
        self.fleet.send_signal(name, signal.SIGSTOP)
        time.sleep(5)
        self.fleet.send_signal(name, signal.SIGCONT)
        time.sleep(3)
        self.finish()

    def test_backend_crash_breaks_only_its_own_flows(self):
        """Callers of a killed backend server get resets; no other flow ends."""
        open_count = self.fleet.send_command("tab-2")["open_streams"]
        self.fleet.kill("tab-2")
        broken = lambda: self.counts()["streams_broken"]  # noqa: E731
        self.fleet.wait_for(lambda: broken() >= open_count, "resets", 6.0)
        time.sleep(2)
        self.finish(broken=open_count)


class TestLeavingBackendServer(FleetCase):
    def test_streams_stay_up_until_a_leaving_server_has_exited(self):
        """It announces that it leaves, and serves on for a while."""
        self.fleet.send_command("tab-2", drain=True)
        time.sleep(1)
        open_count = self.fleet.send_command("tab-2")["open_streams"]
        self.assertGreater(open_count, 0)
        self.fleet.send_signal("tab-2", signal.SIGTERM)
        process = self.fleet.processes["tab-2"]
        broken = lambda: self.counts()["streams_broken"]  # noqa: E731
        while process.poll() is None:
            broken_count = broken()
            if process.poll() is None:
                self.assertEqual(broken_count, 0)
            time.sleep(0.05)
        self.fleet.wait_for(lambda: broken() >= open_count, "resets", 6.0)
        time.sleep(2)
        self.finish(broken=open_count)


class TestLargeMessages(FleetCase):
    def test_delivers_large_messages_despite_packet_loss(self):
        """Uploads and answers of 30 KB are complete despite lost packets."""
        self.fleet.send_command("fabric", loss=0.03, duplicate=0.03)
        self.fleet.send_command("link", loss=0.005)
        time.sleep(6)
        self.fleet.send_command("fabric", loss=0.0, duplicate=0.0)
        self.fleet.send_command("link", loss=0.0)
        time.sleep(2)
        caller_counts = self.finish()
        self.assertEqual(caller_counts["answers_wrong"], 0)
        run_counts = Counter()
        for name in self.fleet.names_of_kind("backend"):
            run_counts[name.split("-")[0]] += len(self.fleet.read_result(name)["runs"])
        self.assertGreater(run_counts["receipts"], 60)


class TestPartitions(FleetCase):
    def test_partition_of_failure_domains_and_recovery(self):
        """Partitioned domains keep serving, and the recovery breaks no flow."""
        before = self.counts()["requests_answered"]
        self.fleet.send_command("link", cuts=[["north", "south"]])
        time.sleep(6)
        during = self.counts()["requests_answered"]
        self.fleet.send_command("link", cuts=[])
        time.sleep(4)
        self.assertGreater(during - before, 100)
        self.finish()


class TestOperators(FleetCase):
    def run_ctl(self, *arguments, code=0):
        exit_code, output, errors = self.fleet.run_ctl("--json", *arguments)
        self.assertEqual(exit_code, code, errors)
        return json.loads(output) if output else None

    def test_operator_commands(self):
        """The commands have their documented effect on a fleet under load."""
        live_count = lambda: self.fleet.send_command("fabric")["live"]  # noqa: E731
        self.run_ctl("drain", "entry-2")
        self.fleet.wait_for(lambda: live_count() == 3, "the drain", 5.0)
        dump = self.run_ctl("dump", "entry-2")
        self.assertEqual(dump["entry"]["dispatches_for"], [])
        self.run_ctl("drain", "entry-2", "--undo")
        self.fleet.wait_for(lambda: live_count() == 4, "its return", 5.0)

        status = self.run_ctl("status")
        self.assertEqual(len(status["entry"]), 4)
        self.assertEqual(len(status["control"]), 3)
        self.assertEqual(status["services"], ["receipts", "tab"])
        self.assertEqual(self.run_ctl("status", "--wait-s", "5")["laggards"], [])

        path = self.fleet.write_document("tab", 2)
        first = self.run_ctl("apply", path, "--change-id", "ours")
        self.run_ctl("apply", self.fleet.write_document("tab", 3))
        repeated = self.run_ctl("apply", path, "--change-id", "ours")
        self.assertEqual(repeated["index"], first["index"])
        self.run_ctl("apply", path, "--change-id", "theirs", code=1)
        document = self.run_ctl("get", "tab")
        self.assertEqual(
            document["text"], Path(self.fleet.write_document("tab", 3)).read_text()
        )
        self.run_ctl("check", "--document", path)
        self.finish()


class TestControl(FleetCase):
    def test_documents_survive_crash_and_resumed_control_instance(self):
        """Documents are still accepted, and a resumed instance reverts none."""
        self.fleet.send_signal("control-1", signal.SIGSTOP)
        self.assertLess(
            self.fleet.apply_document("tab", 2, note="while one is frozen"), 4
        )
        self.fleet.send_signal("control-1", signal.SIGCONT)
        self.fleet.kill("control-2")
        self.fleet.start("control-2")
        self.fleet.stop("control-3")
        self.assertEqual(self.fleet.processes["control-3"].returncode, 0)
        self.fleet.start("control-3")
        self.assertLess(self.fleet.apply_document("tab", 3, note="after both"), 4)
        time.sleep(2)
        for name in self.fleet.names_of_kind("entry"):
            documents = self.fleet.read_state(name)["entry"]["documents"]
            self.assertEqual(documents, {"tab": 3, "receipts": 1})
        code, _, errors = self.fleet.run_ctl(
            "apply", self.fleet.write_document("tab", 3)
        )
        self.assertEqual(code, 1)
        self.assertIn("conflict", errors)
        self.finish()
