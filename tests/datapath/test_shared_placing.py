import unittest
from collections import Counter
from unittest import mock

from agatethread.datapath._placing import max_places
from agatethread.wire.registry_pb2 import RegistryMessage
from tests.datapath.fixtures import opening
from tests.datapath.pressure_simulation import (
    ARCHIVE,
    OTHER,
    URGENT,
    PressureSimulation,
    make_table,
)
from tests.fakes import address


class TestPressure(unittest.TestCase):
    """Entry instances that share placing under different loads."""

    def run_calls(self, per_s, **options):
        simulation = PressureSimulation(**options)
        simulation.schedule_calls(per_s, 3.0)
        simulation.run(5.0)
        return simulation

    def test_serves_all_within_capacity(self):
        """Shared placing sheds hardly any request below capacity."""
        unshared = self.run_calls(880, shares_placing=False, entries=24)
        shared = self.run_calls(880, entries=24)
        self.assertGreater(unshared.shed_count, 0.05 * unshared.arrival_count)
        self.assertLess(shared.shed_count, 0.01 * shared.arrival_count)
        self.assertGreater(shared.served_ratio(), 0.985)

    def test_prefers_urgent_calls_above_capacity(self):
        """Urgent calls are served in time at 1.3 times the capacity."""
        simulation = self.run_calls(1_180, entries=24)
        self.assertGreater(simulation.served_ratio(URGENT), 0.985)
        self.assertGreater(simulation.served_ratio(OTHER), 0.4)
        self.assertLess(simulation.served_ratio(OTHER), simulation.served_ratio(URGENT))

    def test_metrics_show_waiting_openings(self):
        """Gauges count waiting openings, and a histogram the waits of placed ones."""
        simulation = PressureSimulation(entries=24)
        simulation.schedule_calls(1_180, 2.0)
        simulation.run(1.5)
        shared = [forwarder.shared_placing for forwarder in simulation.entries.values()]
        in_line = sum(placing.gauges()["openings_in_line"]() for placing in shared)
        waits = [placing.histograms()["opening_waited_s"] for placing in shared]
        placed = sum(sum(histogram.counts) for histogram in waits)
        self.assertGreater(in_line, 0)
        self.assertGreater(placed, 500)
        self.assertEqual(shared[0].gauges()["dispatchers_at_home"](), 8)

    def test_relays_nothing_under_low_load(self):
        """No opening is relayed with a tenth of the slots in use."""
        simulation = self.run_calls(90, entries=24)
        self.assertEqual(simulation.count("openings_relayed"), 0)
        self.assertGreater(simulation.served_ratio(), 0.999)

    def test_uses_room_in_other_failure_domain(self):
        """Callers of a busy failure domain use the idle servers of another one."""
        simulation = PressureSimulation(domains="ab", entries=12)
        simulation.schedule_calls(1_300, 3.0, domains="aaaaaaab")
        simulation.run(5.0)
        self.assertGreater(simulation.served_ratio(domain="a"), 0.97)
        self.assertGreater(simulation.served_ratio(domain="b"), 0.97)
        self.assertGreater(simulation.count("openings_handed_over"), 100)


class TestFailures(unittest.TestCase):
    def start_under_load(self):
        simulation = PressureSimulation(entries=24)
        simulation.schedule_calls(800, 4.0)
        simulation.run(1.0)
        return simulation

    def test_copies_replace_openings_of_failed_dispatcher(self):
        """Its openings are placed by copies, and it receives none for a while."""
        simulation = self.start_under_load()
        failed_entry = next(iter(simulation.entries))
        simulation.failed.add(failed_entry)
        simulation.run(1.0)
        simulation.update_dispatchers()
        simulation.run(4.0)
        callers = [
            caller
            for caller in simulation.outcomes.values()
            if caller["entry"] != failed_entry
        ]
        late = [
            caller
            for caller in callers
            # A missing answer is late.
            if caller["attempts_left"] and (caller["answer_s"] or 9) > 0.4
        ]
        self.assertLess(len(late), 0.05 * len(callers))
        self.assertGreater(simulation.count("dispatchers_silent"), 5)

    def test_lost_ends_release_places(self):
        """Places without an end expire."""
        simulation = self.start_under_load()
        simulation.message_loss = 0.02
        simulation.run(5.0)
        self.assertGreater(simulation.served_ratio(), 0.93)
        self.assertGreater(simulation.count("places_given_up"), 0)
        dispatcher = next(iter(simulation.entries.values())).shared_placing.dispatcher
        self.assertEqual(len(dispatcher._places), 0)

    def test_lost_openings_avoid_no_server(self):
        """Servers that answer are not avoided for openings lost on the way."""
        simulation = PressureSimulation(entries=24)
        simulation.packet_loss = 0.02
        simulation.schedule_calls(800, 4.0)
        simulation.run(4.0)
        for forwarder in simulation.entries.values():
            for backend in forwarder._view.runs_of_service("tab"):
                self.assertLess(backend.penalty_until_s, simulation.clock())

    def test_dispatcher_with_other_table_returns_openings(self):
        """A dispatcher with another table returns openings at once."""
        simulation = self.start_under_load()
        for forwarder in list(simulation.entries.values())[:2]:
            forwarder.apply_table(make_table(2))
        before = simulation.count("openings_dispatched_urgency_1")
        simulation.run(0.5)
        self.assertLess(simulation.count("openings_dispatched_urgency_1") - before, 150)
        # Two of eight dispatchers return the openings that 16 of 24 instances relay.
        self.assertGreater(simulation.count("openings_returned"), 50)

    def test_limits_openings_to_places(self):
        """A dispatcher never has more in progress than places."""
        simulation = PressureSimulation(entries=24)
        with mock.patch.object(PressureSimulation, "on_opening"):
            simulation.schedule_calls(3_000, 0.2, urgent_ratio=0.5)
            simulation.run(0.2)
        for forwarder in simulation.entries.values():
            places = forwarder.shared_placing.dispatcher._places
            for backend, count in places.in_progress.items():
                self.assertLessEqual(count, max_places(backend))

    def test_returns_opening_of_other_service(self):
        """A dispatcher places only openings that its own table allows."""
        simulation = PressureSimulation(entries=8)
        (entry_address, forwarder), *_ = simulation.entries.items()
        opening_of_other_service = opening(5)
        message = RegistryMessage()
        message.relayed.packet = b"x"
        message.relayed.service = "archive"
        message.relayed.table_version = 1
        simulation.packets[b"x"] = opening_of_other_service
        with mock.patch.object(simulation, "send_message") as send_message:
            forwarder.shared_placing.on_message(message, address(1_001))
        self.assertEqual(send_message.call_args.args[1].WhichOneof("body"), "returned")

    def test_serves_calls_while_servers_are_unresponsive(self):
        """A third of the servers fails under a load that the others can handle."""
        for seed in (1, 2, 5):
            simulation = PressureSimulation(entries=24, servers=9, seed=seed)
            simulation.schedule_calls(560, 4.0)
            simulation.run(1.0)
            simulation.unresponsive = {1, 2, 3}
            simulation.run(5.0)
            with self.subTest(seed=seed):
                self.assertGreater(simulation.served_ratio(), 0.985)
                self.assertLess(simulation.shed_count, 0.01 * simulation.arrival_count)
                self.assertEqual(simulation.count("dispatchers_silent"), 0)

    def test_paused_dispatcher_drops_old_openings(self):
        """After a pause of 2 s it neither places nor refuses queued openings."""
        simulation = self.start_under_load()
        paused_entry = next(iter(simulation.entries))
        before = Counter(simulation.entries[paused_entry]._counters)
        simulation.pause_entry(paused_entry)
        after = simulation.entries[paused_entry]._counters - before
        self.assertGreater(after["relayed_too_old"], 20)
        changed_counters = [name for name in after if name.startswith("openings_")]
        self.assertEqual(changed_counters, [])
        simulation.update_dispatchers()
        simulation.run(3.0)
        callers = [
            caller
            for caller in simulation.outcomes.values()
            if caller["entry"] != paused_entry
        ]
        late = [
            caller
            for caller in callers
            # A missing answer is late.
            if caller["attempts_left"] and (caller["answer_s"] or 9) > 0.4
        ]
        self.assertLess(len(late), 0.05 * len(callers))

    def test_replaced_dispatcher_returns_waiting_openings(self):
        """Openings that wait at a former dispatcher are placed by others."""
        simulation = PressureSimulation(entries=24)
        simulation.schedule_calls(1_180, 4.0)
        simulation.run(1.5)
        dispatchers = simulation.dispatchers["a"]
        former_dispatcher = simulation.entries[
            dispatchers.addresses[0]
        ].shared_placing.dispatcher
        self.assertGreater(former_dispatcher.waiting_count(), 0)
        del dispatchers.addresses[0]
        for forwarder in simulation.entries.values():
            forwarder.shared_placing.set_dispatchers(simulation.dispatchers)
        simulation.run(0.1)
        self.assertEqual(former_dispatcher.waiting_count(), 0)


class TestOtherLoads(unittest.TestCase):
    def test_serves_growing_load(self):
        """A load that grows to nearly all slots within 2 s is served."""
        simulation = PressureSimulation(entries=24)
        for step in range(20):
            simulation.schedule_calls(90 + 40 * step, 0.1)
            simulation.run(0.1)
        simulation.schedule_calls(850, 1.0)
        simulation.run(3.0)
        self.assertGreater(simulation.served_ratio(), 0.985)
        self.assertLess(simulation.shed_count, 0.01 * simulation.arrival_count)

    def test_isolates_services_from_burst_of_other_service(self):
        """A burst of ten times the archive's capacity does not delay other callers."""
        simulation = PressureSimulation(entries=24, archives=2)
        simulation.schedule_calls(90, 3.0)
        simulation.schedule_calls(2_000, 2.0, ports=[ARCHIVE])
        simulation.run(5.0)
        self.assertGreater(simulation.served_ratio(URGENT), 0.995)
        self.assertGreater(simulation.served_ratio(OTHER), 0.995)
        self.assertLess(simulation.served_ratio(ARCHIVE), 0.5)
