"""Guards the loads of targets that entry VMs exchange."""

import unittest
from dataclasses import replace
from datetime import timedelta

from plantainstand_core import TargetId, VmId
from plantainstand_fleet import TargetEntry, TargetLoad, TargetUpdate
from plantainstand_placement import (
    LoadReport,
    TargetState,
    TargetTable,
    choose_target,
    record_shared_load,
)
from plantainstand_placement._other_load import (
    LOAD_REPORT_HALF_LIFE,
    SHARED_LOAD_LEAD,
)
from plantainstand_placement._shared_loads import MAX_REPORTED_LOADS

from tests.placement.builders import NOW, entry, idle_targets
from tests.placement.overload import Replay
from tests.placement.replayed_load import CHANGING_SPEED, LoadExchange

_CONTROL = VmId('10.0.0.1')
_MS = timedelta(milliseconds=1)
_LATER = NOW + timedelta(seconds=1)
_EXCHANGE = LoadExchange(period=500 * _MS, transit=50 * _MS)
_DURATION = timedelta(seconds=10)


def _stated(
    running: int, waiting: int = 0, slowdown: float = 1.0
) -> LoadReport:
    return LoadReport(running, waiting, 4, slowdown, states_speed=True)


def _table(*entries: TargetEntry) -> TargetTable:
    table = TargetTable()
    table.update(_CONTROL, TargetUpdate(True, entries, (), 0), NOW)
    return table


class SharedLoadTests(unittest.TestCase):
    """Loads that other VMs read count as those of own responses do."""

    def test_newer_load_counts(self) -> None:
        """A stale update must not replace a newer own report.

        Nor may the own report, which comes back without the time on the links.
        """
        for name, read_at, load in (
            ('older', _LATER - 300 * _MS, 2),
            ('own, sent back', _LATER + SHARED_LOAD_LEAD, 2),
            ('newer', _LATER + SHARED_LOAD_LEAD + _MS, 6),
        ):
            with self.subTest(name):
                state = idle_targets('a')[0]
                state.record_response(_LATER, _stated(2), failed=False)
                record_shared_load(state, _stated(4, 2), read_at)
                self.assertEqual(round(state.load(read_at)), load)

    def test_load_fades_from_the_time_of_the_response(self) -> None:
        """An update that arrives late must not count as new."""
        state = idle_targets('a')[0]
        record_shared_load(state, _stated(4, 4, 3.0), _LATER)
        now = _LATER + LOAD_REPORT_HALF_LIFE
        self.assertAlmostEqual(state.load(now), 4)
        self.assertAlmostEqual(state.slowdown.at(_LATER), 3)
        self.assertLess(state.slowdown.at(now), 1.1)

    def test_own_requests_count_once(self) -> None:
        """Those in flight at the reading are part of it, later ones are not."""
        state = idle_targets('a')[0]
        for sent_at in (NOW, NOW, _LATER + 50 * _MS):
            state.record_sent(sent_at)
        record_shared_load(state, _stated(4, 1), _LATER)
        self.assertEqual(state.load(_LATER), 3 + 3)

    def test_load_of_an_unknown_process(self) -> None:
        """A restarted target is empty, whatever was read before."""
        table = _table(entry('a', started_ms=2))
        loads = tuple(
            TargetLoad(TargetId(name), started_ms, 4, 4, 100, 0)
            for name, started_ms in (('a', 1), ('gone', 2))
        )
        self.assertEqual(table.record_shared_loads(loads, _LATER), 0)
        self.assertEqual(table.states[0].load(_LATER), 0)

    def test_figures_of_a_load(self) -> None:
        """A receiver decides by the figures that the target stated."""
        sender, receiver = (_table(entry('a')) for _ in range(2))
        sender.states[0].record_response(
            _LATER, _stated(4, 2, 2.5), failed=False
        )
        loads = sender.take_unreported_loads(_LATER + 300 * _MS)
        expected = TargetLoad(TargetId('a'), 1, 4, 2, 250, 300)
        self.assertEqual(loads, (expected,))
        now = _LATER + 400 * _MS
        self.assertEqual(receiver.record_shared_loads(loads, now), 1)
        state = receiver.states[0]
        self.assertAlmostEqual(state.load(now - 300 * _MS), 6)
        self.assertAlmostEqual(state.slowdown.at(now - 300 * _MS), 2.5)


class ReportedLoadTests(unittest.TestCase):
    """A VM reports what it read itself, once."""

    def test_what_is_reported(self) -> None:
        """No target is exchanged that does not state its speed."""
        usual = LoadReport(4, 2, 4)
        cases = (
            ('speed stated', lambda state: self._answer(state, _stated(4)), 1),
            ('three figures', lambda state: self._answer(state, usual), 0),
            ('no header', lambda state: self._answer(state, None), 0),
            (
                'rejection',
                lambda state: state.record_rejection(_LATER, _stated(4)),
                1,
            ),
            (
                'rejection without a header',
                lambda state: state.record_rejection(_LATER, None),
                0,
            ),
            (
                'load of another VM',
                lambda state: record_shared_load(state, _stated(4), _LATER),
                0,
            ),
        )
        for name, act, expected in cases:
            with self.subTest(name):
                table = _table(entry('a'))
                act(table.states[0])
                for number in (expected, 0):
                    loads = table.take_unreported_loads(_LATER)
                    self.assertEqual(len(loads), number)

    def test_load_of_another_vm_after_an_own_one(self) -> None:
        """The time of the other reading must not be reported as the own."""
        table = _table(entry('a'))
        state = table.states[0]
        self._answer(state, _stated(4))
        record_shared_load(state, _stated(1), _LATER + 200 * _MS)
        loads = table.take_unreported_loads(_LATER + 300 * _MS)
        self.assertEqual(
            [(load.running, load.age_ms) for load in loads], [(4, 300)]
        )

    def test_bound(self) -> None:
        """A VM that meets many targets reports the newest loads."""
        count = MAX_REPORTED_LOADS + 1
        table = _table(*(entry(f't{number}') for number in range(count)))
        for number, state in enumerate(table.states):
            state.record_response(
                _LATER + number * _MS, _stated(4), failed=False
            )
        loads = table.take_unreported_loads(_LATER + count * _MS)
        self.assertEqual(len(loads), MAX_REPORTED_LOADS)
        self.assertNotIn('t0', {load.target for load in loads})

    def _answer(self, state: TargetState, report: LoadReport | None) -> None:
        state.record_response(_LATER, report, failed=False)


class ReplayTests(unittest.TestCase):
    """About a hundred VMs must know each other's load of a target."""

    def test_gains_with_many_vms(self) -> None:
        """With slow machines, more requests are answered in the objective.

        The gain is larger when there are fewer spare slots.
        """
        for factor, seed in ((1.0, 1), (1.3, 2)):
            load = replace(
                CHANGING_SPEED,
                arrivals_per_second=CHANGING_SPEED.arrivals_per_second * factor,
            )
            before = Replay(choose_target, seed, load).run(_DURATION)
            ours = Replay(choose_target, seed, load, _EXCHANGE).run(_DURATION)
            with self.subTest(factor=factor):
                self.assertGreater(ours.share(), before.share())
