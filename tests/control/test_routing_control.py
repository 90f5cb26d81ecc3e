import asyncio
import shutil
import tempfile
import unittest
from pathlib import Path

from agatethread.control import RoutingControlInstance, RoutingControlSettings
from agatethread.control._log_records import HEADER_BYTES
from agatethread.control._members import voter_names
from agatethread.exceptions import (
    AgatethreadError,
    DocumentError,
    FieldError,
    NotLeaderError,
    UnavailableError,
)
from agatethread.observability import Counters
from agatethread.registry import Report
from agatethread.routing import RouteRule, RoutingDocument, Target
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import ControlMember
from tests.fakes import address, free_port


def document(version, timeout_ms=1_000):
    """Return a table with one route."""
    rule = RouteRule("r-1", 1, 443, (Target("tab", 1),), timeout_ms)
    return RoutingDocument(version, ("tab",), (rule,))


class Fleet:
    """Control instances on loopback addresses with common port numbers."""

    def __init__(self, folder, count):
        self.folder = Path(folder)
        self.log_port, self.registry_port = free_port(), free_port()
        self.running = {}
        self.seeds = tuple(self.founder(number) for number in range(count))

    def host(self, number):
        return f"127.0.1.{number + 1}"

    def founder(self, number):
        target = f"{self.host(number)}:{self.log_port}"
        return ControlMember(name=target, target=target, api=target, voter=True)

    async def start(self, number, is_first_start=False):
        host = self.host(number)
        control = RoutingControlInstance(
            RoutingControlSettings(
                name=f"control-{number}",
                failure_domain=f"domain-{number}",
                target=f"{host}:{self.log_port}",
                registry=f"{host}:{self.registry_port}",
                api=f"{host}:80",
                seeds=self.seeds,
                is_first_start=is_first_start,
                report_interval_s=0.3,
                losses_borne=1,
                catchup_s=4.0,
                grace_s=6.0,
                data_dir=str(self.folder / str(number)),
                timing=ControlSettings(
                    "",
                    heartbeat_interval_s=0.05,
                    election_timeout_s=0.3,
                    snapshot_entry_count=10,
                ),
            ),
            Counters(),
        )
        await control.start()
        self.running[number] = control

    async def kill(self, number):
        await self.running.pop(number).stop()

    def lose_disk(self, number):
        shutil.rmtree(self.folder / str(number))

    def damage_log(self, number):
        """Change a byte of the first record of a log with several records."""
        path = self.folder / str(number) / "log"
        data = bytearray(path.read_bytes())
        data[HEADER_BYTES] ^= 0xFF
        path.write_bytes(data)

    async def until(self, condition, limit_s=15.0):
        """Wait until a condition holds."""
        for _ in range(int(limit_s / 0.05)):
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError([control.dump() for control in self.running.values()])

    async def put(self, changed):
        """Send a change to each instance in turn until one acknowledges it."""
        for _ in range(100):
            for control in list(self.running.values()):
                try:
                    await control.orders.put_routes(
                        changed, str(changed.version).encode()
                    )
                    return
                except (NotLeaderError, UnavailableError):
                    continue
            await asyncio.sleep(0.05)
        raise AssertionError("no instance accepted the change")

    async def read(self):
        """Read from each instance in turn until one returns the table."""
        for _ in range(100):
            for control in list(self.running.values()):
                try:
                    return await control.orders.read_routes()
                except AgatethreadError:
                    continue
            await asyncio.sleep(0.05)
        raise AssertionError("no instance returned the table")

    async def evacuate(self, domain, evacuated=True):
        """Send an order to each instance in turn until one acknowledges it."""
        for _ in range(200):
            for control in list(self.running.values()):
                try:
                    await control.orders.set_evacuation(domain, evacuated)
                    return
                except (NotLeaderError, UnavailableError):
                    continue
            await asyncio.sleep(0.05)
        raise AssertionError("no instance accepted the order")

    def evacuated(self):
        """Return the evacuated domains that each running instance has."""
        return [
            set(control.node.documents.evacuations.failure_domains)
            for control in self.running.values()
            if control.node is not None
        ]

    def voters(self):
        """Return the voters that all running instances know; None while they differ."""
        views = {
            tuple(sorted(voter_names(control.node.members)))
            for control in self.running.values()
            if control.node is not None
        }
        return views.pop() if len(views) == 1 else None


class TestRoutingControlInstance(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, count=3):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = Fleet(folder.name, count)
        for number in range(count):
            await fleet.start(number, is_first_start=True)
        self.addAsyncCleanup(self.stop_all, fleet)
        return fleet

    async def stop_all(self, fleet):
        for number in list(fleet.running):
            await fleet.kill(number)

    async def test_highest_version_wins_and_first_of_equal_ones(self):
        """Changes with a lower or equal version have no effect."""
        fleet = await self.start_fleet()
        await fleet.put(document(7))
        await fleet.put(document(5))
        await fleet.put(document(7, timeout_ms=9))
        self.assertEqual(await fleet.read(), b"7")
        with self.assertRaises(DocumentError):
            await fleet.running[0].orders.put_routes(document(9, timeout_ms=0), b"9")
        self.assertEqual(await fleet.read(), b"7")

    async def test_replaces_each_lost_disk_without_loss(self):
        """Each disk is lost in turn, its instance votes again, and the table stays."""
        fleet = await self.start_fleet()
        await fleet.put(document(1))
        for number in range(3):
            await fleet.kill(number)
            fleet.lose_disk(number)
            await fleet.put(document(2 + number))
            await fleet.start(number)
            running = [fleet.running[index] for index in fleet.running]
            await fleet.until(
                lambda control=fleet.running[number]: (
                    control.node is not None
                    and control.node.name in (fleet.voters() or ())
                )
            )
            self.assertEqual((len(running), len(fleet.voters())), (3, 3))
        self.assertEqual(await fleet.read(), b"4")

    async def test_instance_with_damaged_disk_joins_as_new_member(self):
        """An instance with a corrupt log sets it aside and becomes a new member."""
        fleet = await self.start_fleet()
        for version in range(1, 5):
            await fleet.put(document(version))
        await fleet.kill(1)
        fleet.damage_log(1)
        # The settings still say first start, but this disk has voted before.
        await fleet.start(1, is_first_start=True)
        returned = fleet.running[1]
        await fleet.until(
            lambda: (
                returned.node is not None
                and returned.node.name in (fleet.voters() or ())
                and len(fleet.voters()) == 3
            )
        )
        self.assertNotEqual(returned.node.name, fleet.founder(1).name)
        self.assertTrue(list((fleet.folder / "1" / "damaged").iterdir()))
        await fleet.kill(2)
        await fleet.put(document(9))
        self.assertEqual(await fleet.read(), b"9")

    async def test_replaces_lost_instance_at_other_address(self):
        """A new instance replaces a voter that does not return."""
        fleet = await self.start_fleet()
        await fleet.put(document(1))
        await fleet.kill(2)
        await fleet.start(3)
        replacement = fleet.running[3]
        await fleet.until(
            lambda: (
                replacement.node is not None
                and replacement.node.name in (fleet.voters() or ())
                and len(fleet.voters()) == 3
            )
        )
        await fleet.kill(1)
        await fleet.put(document(2))
        self.assertEqual(await fleet.read(), b"2")

    async def test_stopped_instance_hands_its_vote_to_its_successor(self):
        """Guards against a stop that leaves the successor without a vote."""
        fleet = await self.start_fleet()
        await fleet.put(document(1))
        await fleet.start(3)
        await fleet.until(
            lambda: all(
                control.node is not None and len(control.node.members.members) == 4
                for control in fleet.running.values()
            )
        )
        for number in (2, 0):
            await fleet.running[number].leave()
            await fleet.kill(number)
            if number == 2:
                self.assertNotIn(fleet.founder(2).name, fleet.voters())
                await fleet.start(4)
                await fleet.until(
                    lambda: (
                        len(fleet.running[4].dump().get("log", {}).get("members", ()))
                        > 3
                    )
                )
        await fleet.until(lambda: len(fleet.voters() or ()) == 3)
        self.assertNotIn(fleet.founder(0).name, fleet.voters())
        await fleet.put(document(2))
        self.assertEqual(await fleet.read(), b"2")

    async def test_keeps_state_after_restart_of_all(self):
        """After a restart of all instances, table and backend servers are known."""
        fleet = await self.start_fleet()
        await fleet.put(document(3))
        report = Report("i-1", 1, "tab", address(1), "domain-0", 2, 1)
        await fleet.running[0].report(report)
        await fleet.until(lambda: fleet.running[1].runs.get("i-1") is not None)
        await asyncio.sleep(0.8)
        for number in range(3):
            await fleet.kill(number)
        for number in range(3):
            await fleet.start(number)
        self.assertEqual(await fleet.read(), b"3")
        self.assertIsNotNone(fleet.running[1].runs.get("i-1"))

    async def test_keeps_evacuation_after_disk_loss_and_restart_of_all(self):
        """An acknowledged evacuation survives each loss that must be tolerated."""
        fleet = await self.start_fleet()
        await fleet.put(document(1))
        await fleet.evacuate("hall-a")
        for version in range(2, 16):
            # Together more entries than `snapshot_entry_count`.
            await fleet.put(document(version))
        leader = next(
            number
            for number, control in fleet.running.items()
            if not control.orders.get_leader_api_address()
        )
        await fleet.kill(leader)
        fleet.lose_disk(leader)
        await fleet.start(leader)
        await fleet.until(lambda: fleet.evacuated() == [{"hall-a"}] * 3)
        for number in range(3):
            await fleet.kill(number)
        for number in range(3):
            await fleet.start(number)
        await fleet.until(lambda: fleet.evacuated() == [{"hall-a"}] * 3)
        await fleet.evacuate("hall-a")
        await fleet.evacuate("hall-a", evacuated=False)
        await fleet.until(lambda: fleet.evacuated() == [set()] * 3)

    async def test_repeated_order_takes_effect_again(self):
        """An order that is sent again after a contrary one counts as a new order."""
        fleet = await self.start_fleet(1)
        await fleet.evacuate("hall-a")
        await fleet.evacuate("hall-a", evacuated=False)
        await fleet.evacuate("hall-a")
        self.assertEqual(fleet.evacuated(), [{"hall-a"}])

    async def test_rejects_invalid_domain_name(self):
        """An order with an empty failure domain is rejected."""
        fleet = await self.start_fleet(1)
        with self.assertRaises(FieldError):
            await fleet.running[0].orders.set_evacuation("", True)

    async def test_minority_rejects_reads_and_changes(self):
        """An instance without a quorum rejects reads, changes and orders."""
        fleet = await self.start_fleet()
        await fleet.put(document(1))
        await fleet.kill(0)
        await fleet.kill(1)
        with self.assertRaises((NotLeaderError, UnavailableError)):
            await fleet.running[2].orders.read_routes()
        with self.assertRaises((NotLeaderError, UnavailableError)):
            await fleet.running[2].orders.put_routes(document(2), b"2")
        with self.assertRaises((NotLeaderError, UnavailableError)):
            await fleet.running[2].orders.set_evacuation("hall-a", True)
