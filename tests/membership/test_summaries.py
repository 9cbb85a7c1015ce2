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
    """Guards against old, foreign and departed summaries."""

    def setUp(self) -> None:
        """Register one VM in its second incarnation."""
        self.clock = ManualClock()
        self.board = SummaryTable(self.clock)
        self.board.replace_registered({_VM: Incarnation(2)})

    def test_acceptance(self) -> None:
        """An older summary, or one of another VM, replaces the held one."""
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
                self.board.accept(_summary(2, 5), _SECOND)
                summary = _summary(incarnation, sequence)
                accepted = self.board.accept(summary, _SECOND)
                self.assertEqual(accepted, expected)

    def test_age(self) -> None:
        """A relayed summary looks as if it were measured on arrival."""
        self.board.accept(_summary(2), 2 * _SECOND)
        self.clock.advance(3 * _SECOND)
        self.assertEqual(self.board.age(_VM), 5 * _SECOND)

    def test_departed(self) -> None:
        """A summary that still travels brings a departed VM back."""
        self.board.accept(_summary(2), _SECOND)
        self.board.replace_registered({VmId('other'): Incarnation(1)})
        self.assertIsNone(self.board.find(_VM))
        self.assertIsNone(self.board.age(_VM))
        self.assertFalse(self.board.accept(_summary(2, 9), _SECOND))
        self.assertEqual(self.board.members(_ZONE), ())

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.integers(0, 5)),
            min_size=1,
            max_size=20,
        ),
    )
    def test_order_of_arrival(self, numbers: list[tuple[int, int]]) -> None:
        """The held summary depends on the order of arrival."""
        self.setUp()
        for incarnation, sequence in numbers:
            self.board.accept(_summary(incarnation, sequence), _SECOND)
        newest = max(
            (number for number in numbers if number[0] >= 2),
            default=None,
        )
        held = self.board.find(_VM)
        found = held and (held.summary.incarnation, held.summary.sequence)
        self.assertEqual(found, newest)

    def test_zone_sum(self) -> None:
        """A zone's sum counts leaving, outdated or other zones' VMs."""
        held = [
            ReceivedSummary(_summary(vm=VmId('1'), free=1), 8 * _SECOND),
            ReceivedSummary(_summary(vm=VmId('2'), free=3), 9 * _SECOND),
            ReceivedSummary(_summary(vm=VmId('3'), free=5), _SECOND),
            ReceivedSummary(
                _summary(vm=VmId('4'), free=7, leaving=True), 9 * _SECOND
            ),
        ]
        found = summarise_zone(_ZONE, held, 5 * _SECOND)
        assert found is not None
        self.assertEqual((found.members, found.measured_at), (2, 8 * _SECOND))
        expected = ServiceLoad(4, 20, 2, 2 * _SECOND)
        self.assertEqual(found.services, {_ORDER: expected})
        self.assertIsNone(summarise_zone(_OTHER, held, 5 * _SECOND))


class ExchangePeersTest(unittest.TestCase):
    """Guards against messages that grow with the number of VMs."""

    def test_peers(self) -> None:
        """A zone peer is left out, or more than one VM of another zone."""
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
    """Guards against trust in the platform's lagging list."""

    def test_lists(self) -> None:
        """A list that goes back in time, or a terminated VM that returns."""
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
        for snapshot, taken, hint, terminated in steps:
            with self.subTest(snapshot):
                self.assertEqual(platform.accept(snapshot), taken)
                self.assertEqual(platform.hint(_VM), hint)
                self.assertEqual(platform.terminated, terminated)
        self.assertEqual(platform.generated_at, _NOW + 10 * _SECOND)
        platform.forget((_VM,))
        self.assertEqual(platform.terminated, set())
