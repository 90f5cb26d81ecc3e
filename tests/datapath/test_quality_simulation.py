import unittest

from agatethread.balancing import Quality
from tests.datapath.quality_simulation import DOMAINS, QualitySimulation

AFFECTED = (Quality.DOUBTFUL, Quality.EJECTED)


class TestQualitySimulation(unittest.TestCase):
    """Judging of servers by 87 entry and three control instances."""

    def slow_down(self, simulation, count=15, slowdown=8.0):
        slow = simulation.rng.sample(simulation.servers, count)
        for server in slow:
            server.slowdown = slowdown
        return slow

    def test_ejects_and_readmits_slow_servers(self):
        """A quarter of the servers is eight times slower from 3 to 10 s."""
        for seed in (1, 2):
            simulation, unjudged = (
                QualitySimulation(seed=seed),
                QualitySimulation(seed=seed, is_judging=False),
            )
            unjudged.run_until(3.0)
            self.slow_down(unjudged)
            unjudged.run_until(10.0)
            simulation.run_until(3.0)
            slow = self.slow_down(simulation)
            simulation.run_until(4.0)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(
                    simulation.count_with_quality(*AFFECTED, servers=slow), 10
                )
                simulation.run_until(10.0)
                self.assertGreater(unjudged.late_ratio(3.0, 10.0), 0.15)
                self.assertLess(
                    simulation.late_ratio(3.0, 10.0),
                    0.5 * unjudged.late_ratio(3.0, 10.0),
                )
                self.assertGreaterEqual(simulation.count_ejected(slow), 12)
                unaffected = [
                    server for server in simulation.servers if server not in slow
                ]
                self.assertLessEqual(simulation.count_ejected(unaffected), 1)
            for server in slow:
                server.slowdown = 1.0
            simulation.run_until(12.5)
            self.assertLessEqual(
                simulation.count_with_quality(*AFFECTED, servers=slow), 5
            )

    def test_long_tails_eject_at_most_one_server(self):
        """Three of a hundred requests take seven times as long on every server."""
        simulation = QualitySimulation(seed=3)
        for step in range(1, 21):
            simulation.run_until(0.5 * step)
            self.assertLessEqual(simulation.count_ejected(), 1)
        self.assertLess(simulation.late_ratio(1.0, 9.0), 0.03)

    def test_lossy_links_eject_no_server(self):
        """Three of ten answers of every server need a retransmission."""
        simulation = QualitySimulation(seed=4)
        for server in simulation.servers:
            server.answer_loss = 0.3
        for step in range(1, 13):
            simulation.run_until(0.5 * step)
            self.assertEqual(simulation.count_ejected(), 0)
            self.assertLessEqual(simulation.count_with_quality(*AFFECTED), 4)

    def test_slow_service_ejects_no_server(self):
        """All servers become six times slower at once."""
        simulation = QualitySimulation(seed=5, per_s=150.0)
        simulation.run_until(3.0)
        self.slow_down(simulation, len(simulation.servers), 6.0)
        for step in range(1, 13):
            simulation.run_until(3.0 + 0.5 * step)
            self.assertEqual(simulation.count_ejected(), 0)
            self.assertLessEqual(simulation.count_with_quality(*AFFECTED), 4)

    def test_slow_entry_instances_eject_at_most_one_server(self):
        """Five entry instances read packets 0.4 s late."""
        simulation = QualitySimulation(seed=6)
        for entry in simulation.entries[:5]:
            entry.read_delay_s = 0.4
        for step in range(1, 13):
            simulation.run_until(0.5 * step)
            self.assertLessEqual(simulation.count_ejected(), 1)

    def test_few_requests_affect_no_server(self):
        """A server with one request in two seconds keeps its full share."""
        simulation = QualitySimulation(seed=7, per_s=30.0)
        simulation.run_until(20.0)
        self.assertEqual(simulation.count_with_quality(*AFFECTED), 0)

    def test_tolerates_lost_messages(self):
        """Slow servers are doubted or ejected while a fifth of all messages is lost."""
        simulation = QualitySimulation(seed=8)
        simulation.message_loss = 0.2
        simulation.run_until(3.0)
        slow = self.slow_down(simulation)
        simulation.run_until(8.0)
        self.assertGreaterEqual(
            simulation.count_with_quality(*AFFECTED, servers=slow), 12
        )
        self.assertLess(simulation.late_ratio(4.0, 8.0), 0.09)

    def test_last_server_of_domain_keeps_flows(self):
        """At least one server of a failure domain keeps its work if all are slow."""
        simulation = QualitySimulation(seed=9, per_s=500.0)
        simulation.run_until(2.0)
        domain_servers = [
            server
            for server in simulation.servers
            if server.run_report.failure_domain == DOMAINS[0]
        ]
        for server in domain_servers:
            server.slowdown = 8.0
        simulation.run_until(8.0)
        counts_before = {
            server: simulation.assigned_counts[server] for server in domain_servers
        }
        simulation.run_until(9.0)
        self.assertTrue(
            any(
                simulation.assigned_counts[server] > counts_before[server]
                for server in domain_servers
            )
        )
        self.assertLess(
            simulation.count_with_quality(*AFFECTED, servers=domain_servers),
            len(domain_servers) + 1,
        )
