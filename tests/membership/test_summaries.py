"""Summaries, exchange peers and the platform list."""

import unittest
from datetime import UTC, datetime, timedelta
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    ManualClock,
    ServiceId,
    VmId,
)
from plantainstand_membership import (
    PlatformList,
    PlatformSnapshot,
    PlatformState,
    PlatformVm,
    ReceivedSummary,
    ServiceLoad,
    SummaryTable,
    VmSummary,
    choose_exchange_peers,
    summarise_zone,
)

_SECOND = timedelta(seconds=1)
_NOW = datetime(2026, 1, 1, tzinfo=UTC)
_ZONE, _OTHER = AvailabilityZoneId('a'), AvailabilityZoneId('b')
_VM = VmId('vm1')
_ORDER = ServiceId('order')
_LIVE, _LEAVING, _TERMINATED = PlatformState


def _summary(
    incarnation: int = 1,
    sequence: int = 1,
    vm: VmId = _VM,
    free: int = 0,
    *,
    leaving: bool = False,
) -> VmSummary:
    load = ServiceLoad(free, 10, 1, _SECOND * free)
    return VmSummary(
        vm,
        Incarnation(incarnation),
        _ZONE,
        sequence,
        leaving,
        {_ORDER: load},
    )


def _list(seconds: int, **states: PlatformState) -> PlatformSnapshot:
    vms = [PlatformVm(VmId(vm), _ZONE, state) for vm, state in states.items()]
    return PlatformSnapshot(_NOW + seconds * _SECOND, vms)


class SummaryBoardTest(unittest.TestCase):
    """Tests which summaries are stored, their age and their sum."""

    def setUp(self) -> None:
        """Register the second incarnation of a VM."""
        self.clock = ManualClock()
        self.table = SummaryTable(self.clock)
        self.table.replace_registered({_VM: Incarnation(2)})

    def test_acceptance(self) -> None:
        """Fails if an older summary replaces the stored one."""
        cases = (
            ('same', 2, 5, False),
            ('older', 2, 4, False),
            ('newer', 2, 6, True),
            ('earlier incarnation', 1, 9, False),
            ('restarted', 3, 1, True),
        )
        for name, incarnation, sequence, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.table.accept(_summary(2, 5), _SECOND)
                summary = _summary(incarnation, sequence)
                accepted = self.table.accept(summary, _SECOND)
                self.assertEqual(accepted, expected)

    def test_age(self) -> None:
        """Fails if the age of a relayed summary counts from its arrival."""
        self.table.accept(_summary(2), 2 * _SECOND)
        self.clock.advance(3 * _SECOND)
        self.assertEqual(self.table.age(_VM), 5 * _SECOND)

    def test_departed(self) -> None:
        """Fails if a delayed summary restores a departed VM."""
        self.table.accept(_summary(2), _SECOND)
        self.table.replace_registered({VmId('other'): Incarnation(1)})
        self.assertIsNone(self.table.find(_VM))
        self.assertIsNone(self.table.age(_VM))
        self.assertFalse(self.table.accept(_summary(2, 9), _SECOND))
        self.assertEqual(self.table.members(_ZONE), ())

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.integers(0, 5)),
            min_size=1,
            max_size=20,
        ),
    )
    def test_order_of_arrival(self, numbers: list[tuple[int, int]]) -> None:
        """Fails if the stored summary depends on the order of arrival."""
        self.setUp()
        for incarnation, sequence in numbers:
            self.table.accept(_summary(incarnation, sequence), _SECOND)
        newest = max(
            (number for number in numbers if number[0] >= 2),
            default=None,
        )
        received = self.table.find(_VM)
        found = received and (
            received.summary.incarnation,
            received.summary.sequence,
        )
        self.assertEqual(found, newest)

    def test_zone_sum(self) -> None:
        """Fails if the sum includes leaving, outdated or other zones' VMs."""
        received = [
            ReceivedSummary(_summary(vm=VmId('1'), free=1), 8 * _SECOND),
            ReceivedSummary(_summary(vm=VmId('2'), free=3), 9 * _SECOND),
            ReceivedSummary(_summary(vm=VmId('3'), free=5), _SECOND),
            ReceivedSummary(
                _summary(vm=VmId('4'), free=7, leaving=True), 9 * _SECOND
            ),
        ]
        found = summarise_zone(_ZONE, received, 5 * _SECOND)
        assert found is not None
        self.assertEqual((found.members, found.measured_at), (2, 8 * _SECOND))
        expected = ServiceLoad(4, 20, 2, 2 * _SECOND)
        self.assertEqual(found.services, {_ORDER: expected})
        self.assertIsNone(summarise_zone(_OTHER, received, 5 * _SECOND))


class ExchangePeersTest(unittest.TestCase):
    """Tests that the number of peers does not grow with that of VMs."""

    def test_peers(self) -> None:
        """Fails if a zone peer is missing or another zone has several peers."""
        members = {
            AvailabilityZoneId(str(zone)): [
                VmId(f'{zone}/{vm}') for vm in range(50 * (zone != 9))
            ]
            for zone in range(10)
        }
        own = VmId('3/7')
        seen: set[VmId] = set()
        for seed in range(200):
            peers = choose_exchange_peers(
                own, AvailabilityZoneId('3'), members, Random(seed)
            )
            own_zone = [peer for peer in peers if peer.startswith('3/')]
            self.assertEqual(len(own_zone), 49)
            self.assertNotIn(own, peers)
            others = {peer[0] for peer in peers} - {'3'}
            self.assertEqual((len(peers), len(others)), (49 + 8, 8))
            seen.update(peers)
        self.assertGreater(len(seen), 49 + 8 * 45)


class PlatformListTest(unittest.TestCase):
    """Tests the handling of the platform's outdated lists."""

    def test_lists(self) -> None:
        """Fails if an older list is stored, or a terminated VM returns."""
        platform = PlatformList()
        nothing: frozenset[VmId] = frozenset()
        steps = (
            (_list(5, vm1=_LIVE), True, _LIVE, nothing),
            (_list(4, vm1=_TERMINATED), False, _LIVE, nothing),
            (_list(5, vm1=_TERMINATED), False, _LIVE, nothing),
            (_list(6, vm1=_LEAVING), True, _LEAVING, nothing),
            (_list(7), True, None, nothing),
            (_list(8, vm1=_TERMINATED), True, _TERMINATED, frozenset((_VM,))),
            (_list(9, vm1=_LIVE), True, _TERMINATED, frozenset((_VM,))),
            (_list(10), True, _TERMINATED, frozenset((_VM,))),
        )
        for snapshot, is_stored, listed_state, terminated in steps:
            with self.subTest(snapshot):
                self.assertEqual(platform.accept(snapshot), is_stored)
                self.assertEqual(platform.listed_state(_VM), listed_state)
                self.assertEqual(platform.terminated, terminated)
        self.assertEqual(platform.generated_at, _NOW + 10 * _SECOND)
        platform.remove_terminated((_VM,))
        self.assertEqual(platform.terminated, set())
