"""Guards the loads of targets that the leader passes on to entry VMs."""

import unittest
from datetime import timedelta
from unittest.mock import Mock

from plantainstand_control._loads import MAX_UNSENT_BYTES, LoadExchange
from plantainstand_core import (
    AvailabilityZoneId,
    ManualClock,
    RegionId,
    TargetId,
)
from plantainstand_fleet import (
    EntryReport,
    LimitStatement,
    LoadUpdate,
    TargetLoad,
    decode_fleet_message,
)
from plantainstand_links import Link

_LOAD = TargetLoad(TargetId('t1'), 1, 4, 2, 250, 100)


def _report(*loads: TargetLoad) -> EntryReport:
    return EntryReport(
        '10.0.0.9:80',
        AvailabilityZoneId('norte-a'),
        RegionId('norte'),
        ready=True,
        loads=loads,
    )


def _link(unsent_bytes: int = 0) -> Mock:
    return Mock(spec=Link, unsent_bytes=unsent_bytes)


def _received(link: Mock) -> list[TargetLoad]:
    """Return the loads of all updates that were sent on a link."""
    loads: list[TargetLoad] = []
    for call in link.send.call_args_list:
        update = decode_fleet_message(call.args[0]).unwrap()
        assert isinstance(update, LoadUpdate)
        loads.extend(update.loads)
    return loads


class LoadExchangeTests(unittest.TestCase):
    """A load must reach each VM that knows updates, once, while it is new."""

    def setUp(self) -> None:
        """Connect two entry VMs, of which the second has reported no load."""
        self.clock = ManualClock()
        self.exchange = LoadExchange(self.clock)
        self.links = (_link(), _link())
        for link in self.links:
            self.exchange.record_report(link, _report())

    def test_load_is_sent_once(self) -> None:
        """Loads that did not change would take most of an entry VM's link."""
        self.exchange.record_report(self.links[0], _report(_LOAD))
        self.clock.advance(timedelta(milliseconds=300))
        for _ in range(2):
            self.exchange.send(leads=True)
        expected = TargetLoad(TargetId('t1'), 1, 4, 2, 250, 400)
        for link in self.links:
            self.assertEqual(_received(link), [expected])

    def test_only_the_leader_sends(self) -> None:
        """Six control VMs would send everything six times.

        One that is elected sends what it has heard before.
        """
        self.exchange.record_report(self.links[0], _report(_LOAD))
        self.exchange.send(leads=False)
        self.assertEqual(_received(self.links[1]), [])
        self.exchange.send(leads=True)
        self.assertEqual(_received(self.links[1]), [_LOAD])

    def test_who_gets_no_update(self) -> None:
        """A process without loads would close its link at an update.

        On a link with a backlog the loads would be old when they are read.
        """
        older = _link()
        closed = _link()
        congested = _link(MAX_UNSENT_BYTES + 1)
        without = EntryReport(
            '10.0.0.8:80',
            AvailabilityZoneId('norte-a'),
            RegionId('norte'),
            ready=True,
        )
        self.exchange.record_report(older, without)
        self.exchange.record_report(closed, _report())
        self.exchange.record_report(congested, _report())
        self.exchange.forget(closed)
        self.exchange.record_report(self.links[0], _report(_LOAD))
        self.exchange.send(leads=True)
        for link in (older, closed, congested):
            self.assertEqual(_received(link), [])
        self.assertEqual(_received(self.links[0]), [_LOAD])

    def test_report_that_is_passed_on(self) -> None:
        """Loads in it would make each report a change for all control VMs."""
        limit = LimitStatement(TargetId('t1'), 1, 6.5, 0)
        report = _report(_LOAD)
        report = EntryReport(
            report.client_address,
            report.availability_zone,
            report.region,
            report.ready,
            (limit,),
            7,
            report.loads,
        )
        expected = EntryReport(
            report.client_address,
            report.availability_zone,
            report.region,
            report.ready,
            counted_digest=7,
        )
        passed_on = self.exchange.record_report(self.links[0], report)
        self.assertEqual(passed_on, expected)
