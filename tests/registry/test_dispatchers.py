import unittest

from agatethread.registry import DispatcherDirectory, merge_dispatchers
from agatethread.registry._control_link import ControlLink
from agatethread.registry._dispatchers import (
    choose_for_domain,
    count_slots,
    list_serving_at_other_controls,
)
from agatethread.registry._subscribers import Subscriber
from agatethread.wire.registry_pb2 import (
    PRESENCE_LEAVING,
    PRESENCE_SERVING,
    BackendRun,
    Dispatchers,
)
from tests.fakes import Clock, address


def entry(domain="a", presence=PRESENCE_SERVING, last_poll_s=1_000.0):
    """Return an entry instance as a control instance knows it."""
    subscriber = Subscriber()
    subscriber.failure_domain, subscriber.presence, subscriber.last_poll_s = (
        domain,
        presence,
        last_poll_s,
    )
    return subscriber


def link(number, domain, reported_s=1_000.0, **dispatchers):
    """Return a control instance that reported dispatchers by failure domain."""
    control = ControlLink(address(number), domain)
    control.dispatchers = tuple(
        Dispatchers(
            failure_domain=name,
            addresses=[address(n) for n in numbers],
            entry_count=9,
        )
        for name, numbers in dispatchers.items()
    )
    control.dispatchers_received_s = reported_s
    return control


def addresses_by_domain(merged):
    """Return the addresses by failure domain."""
    return {
        domain: list(dispatchers.addresses) for domain, dispatchers in merged.items()
    }


class TestChoice(unittest.TestCase):
    def test_chooses_only_serving_instances_of_the_domain(self):
        """Instances that are leaving, timed out or in other domains are not chosen."""
        entries = [(address(n), entry()) for n in range(1, 9)]
        entries += [
            (address(20), entry("b")),
            (address(21), entry(presence=PRESENCE_LEAVING)),
            (address(22), entry(last_poll_s=998.9)),
        ]
        chosen = choose_for_domain("a", entries, 4, 1_000.0)
        self.assertEqual(chosen.entry_count, 8)
        self.assertEqual(len(chosen.addresses), 2)
        self.assertLessEqual(set(chosen.addresses), {address(n) for n in range(1, 9)})

    def test_control_instances_of_a_domain_choose_the_same(self):
        """Each includes the entry instances that poll the other one."""
        entries = [(address(n), entry()) for n in range(1, 17)]
        halves = entries[:9], entries[9:]
        chosen = []
        for own, others in (halves, halves[::-1]):
            peer = link(1, "a")
            peer.serving, peer.serving_received_s = (
                [place for place, _ in others],
                1_000.0,
            )
            at_other_controls = list_serving_at_other_controls("a", [peer], 1_000.0)
            chosen.append(choose_for_domain("a", own, 60, 1_000.0, at_other_controls))
        self.assertEqual(chosen[0], chosen[1])
        self.assertEqual(chosen[0].entry_count, 16)

    def test_counts_slots_of_live_runs_of_the_domain(self):
        """Slots of ended and silent runs and of other domains do not count."""
        runs = [
            BackendRun(failure_domain="a", slots=2),
            BackendRun(failure_domain="a", slots=2, ended=True),
            BackendRun(failure_domain="a", slots=2, silent=True),
            BackendRun(failure_domain="b", slots=2),
        ]
        self.assertEqual(count_slots(runs, "a"), 2)


class TestMerge(unittest.TestCase):
    def test_prefers_report_of_own_control_instance(self):
        """A domain's own control instance has precedence over any other."""
        links = [link(1, "a", a=[11], b=[12]), link(2, "b", b=[13])]
        expected = {"a": [address(11)], "b": [address(13)]}
        self.assertEqual(
            addresses_by_domain(merge_dispatchers(links, 1_000.0)), expected
        )
        self.assertEqual(
            addresses_by_domain(merge_dispatchers(links[::-1], 1_000.0)), expected
        )

    def test_ignores_report_without_addresses(self):
        """The report of a control instance without entry instances is not used."""
        links = [link(1, "a", a=[]), link(2, "a", a=[11])]
        self.assertEqual(
            addresses_by_domain(merge_dispatchers(links, 1_000.0)), {"a": [address(11)]}
        )

    def test_ignores_expired_report(self):
        """A report older than the timeout is not used."""
        links = [link(1, "a", reported_s=997.0, a=[11])]
        self.assertEqual(merge_dispatchers(links, 1_000.0), {})


class TestDirectory(unittest.TestCase):
    def make(self, links, clock):
        entries = [(address(n), entry(last_poll_s=clock() + 5.0)) for n in range(8)]
        runs = [BackendRun(failure_domain="a", slots=40)]
        return DispatcherDirectory(
            "a", lambda: entries, lambda: runs, lambda: links, clock
        )

    def test_forwards_dispatchers_only_from_control_of_their_domain(self):
        """Control instances don't forward to each other what a failed one reported."""
        clock = Clock(1_000.0)
        directory = self.make([link(1, "c", c=[31], b=[21])], clock)
        directory.refresh()
        domains = {dispatchers.failure_domain for dispatchers in directory()}
        self.assertEqual(domains, {"c"})

    def test_started_instance_waits_for_polls_before_it_chooses(self):
        """It makes no choice before all entry instances can have polled it."""
        clock = Clock(1_000.0)
        directory = self.make([], clock)
        directory.refresh()
        self.assertEqual(list(directory()), [])
        clock.value_s += 1.0
        directory.refresh()
        (own,) = directory()
        self.assertEqual(own.entry_count, 8)
