"""Planner: even splits, safe steps and little movement of shares."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import ResourceId, VmId
from plantainstand_shares import (
    Amount,
    AnyCommand,
    ConfirmRelease,
    SetShares,
    ShareDemand,
    SharePlanner,
    ShareUnit,
    plan_shares,
)

from tests.shares.builders import Log, leave, register

_MAX_STEP_COUNT = 12
_MAX_TOTAL_SPREAD = 4
_RATE = ShareUnit.RATE


def _demands(
    capacities: list[int],
    *tiers: str,
    unit: ShareUnit = ShareUnit.COUNT,
) -> list[ShareDemand]:
    ids = tuple(tuple(VmId(vm) for vm in tier) for tier in tiers)
    return [
        ShareDemand(ResourceId(f'target/{number}'), unit, capacity, ids)
        for number, capacity in enumerate(capacities)
    ]


def _plan_until_settled(log: Log, demands: list[ShareDemand]) -> float:
    """Plan until nothing changes; return the sum of all share growth."""
    planner = SharePlanner()
    growth: float = 0
    for _ in range(_MAX_STEP_COUNT):
        before = _shares(log)
        view = log.state.view()
        changes = tuple(plan_shares(demands, view))
        assert tuple(planner.plan(demands, view)) == changes
        if not changes:
            return growth
        outcome = log.apply(SetShares(changes))
        assert not getattr(outcome, 'refused', None), outcome
        after = _shares(log)
        growth += sum(
            max(0, share - before.get(holder, 0))
            for holder, share in after.items()
        )
        _confirm_all(log)
    raise AssertionError(f'still changing after {_MAX_STEP_COUNT} steps')


def _confirm_all(log: Log) -> None:
    for name, known in log.state.view().resources.items():
        for share in known.holders.values():
            log.apply(ConfirmRelease(*share.key, name, share.version))


def _shares(log: Log) -> dict[tuple[str, str], Amount]:
    return {
        (str(name), f'{holder.vm}{holder.incarnation}'): share.share
        for name, known in log.state.view().resources.items()
        for holder, share in known.holders.items()
    }


def _totals(log: Log) -> dict[str, Amount]:
    totals: dict[str, Amount] = {}
    for (_name, holder), share in _shares(log).items():
        totals[holder] = totals.get(holder, 0) + share
    return totals


_ABC = (register('a'), register('b'), register('c'))
# Name, commands, demands, shares per VM.
_CASES: tuple[
    tuple[
        str,
        tuple[AnyCommand, ...],
        list[ShareDemand],
        dict[str, float],
    ],
    ...,
] = (
    ('even', _ABC, _demands([9], 'abc'), {'a1': 3, 'b1': 3, 'c1': 3}),
    ('fewer than VMs', _ABC, _demands([2], 'abc'), {'a1': 1, 'b1': 1}),
    (
        'remainders spread',
        _ABC,
        _demands([4, 4, 4], 'abc'),
        {'a1': 4, 'b1': 4, 'c1': 4},
    ),
    ('first tier', _ABC, _demands([4], 'ab', 'c'), {'a1': 2, 'b1': 2}),
    ('second tier', _ABC, _demands([4], 'x', 'c'), {'c1': 4}),
    ('no VM', _ABC, _demands([4], 'x'), {}),
    ('draining target', _ABC, _demands([0], 'abc'), {}),
    (
        'leaving',
        (*_ABC, leave('a')),
        _demands([4], 'abc'),
        {'b1': 2, 'c1': 2},
    ),
    (
        'only leaving ones in the first tier',
        (*_ABC, leave('a')),
        _demands([4], 'a', 'b'),
        {'b1': 4},
    ),
    (
        'restarted',
        (*_ABC, register('a', 2)),
        _demands([4], 'ab'),
        {'a2': 2, 'b1': 2},
    ),
    (
        'rate',
        _ABC,
        _demands([10], 'abcd', unit=_RATE),
        dict.fromkeys(('a1', 'b1', 'c1'), 3413 / 1024),
    ),
)
_CAPACITIES = st.lists(st.integers(0, 12), max_size=12)
_VMS = st.sets(st.sampled_from('abcdefgh'), min_size=1)


class PlannerTest(unittest.TestCase):
    """Tests that splits are even, stable and safe."""

    def test_cases(self) -> None:
        """Fails if a new table has wrong totals per VM."""
        for name, commands, demands, expected in _CASES:
            with self.subTest(name):
                log = Log(*commands)
                _plan_until_settled(log, demands)
                self.assertEqual(_totals(log), expected)

    def test_growth_waits_for_the_release(self) -> None:
        """Fails if a new VM gets shares that another VM still holds."""
        log = Log(register('a'))
        demands = _demands([4], 'ab')
        _plan_until_settled(log, demands)
        log.apply(register('b'))
        log.apply(SetShares(tuple(plan_shares(demands, log.state.view()))))
        self.assertEqual(_totals(log), {'a1': 2})
        self.assertEqual(plan_shares(demands, log.state.view()), [])
        _confirm_all(log)
        _plan_until_settled(log, demands)
        self.assertEqual(_totals(log), {'a1': 2, 'b1': 2})

    def test_removed_resource(self) -> None:
        """Fails if a resource without a demand stays after its release."""
        log = Log(*_ABC)
        _plan_until_settled(log, _demands([9, 9], 'abc'))
        _plan_until_settled(log, _demands([9], 'abc'))
        self.assertEqual(set(log.state.view().resources), {'target/0'})

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(_CAPACITIES, _CAPACITIES, st.lists(_VMS, min_size=1, max_size=4))
    def test_any_change(
        self,
        first: list[int],
        second: list[int],
        memberships: list[set[str]],
    ) -> None:
        """Fails if the table does not reach an even split after a change."""
        log = Log()
        present: dict[str, int] = {}
        for number, vms in enumerate(memberships):
            demands = _demands(second if number % 2 else first, 'abcdefgh')
            for vm in sorted(present.keys() - vms):
                log.apply(leave(vm, present.pop(vm)))
                _plan_until_settled(log, demands)
            for vm in sorted(vms - present.keys()):
                present[vm] = number
                log.apply(register(vm, number))
            _plan_until_settled(log, demands)
            totals = _totals(log)
            self.assertEqual(
                sum(totals.values()),
                sum(demand.capacity for demand in demands),
            )
            shares = [totals.get(f'{vm}{at}', 0) for vm, at in present.items()]
            self.assertLessEqual(max(shares) - min(shares), _MAX_TOTAL_SPREAD)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(_CAPACITIES, _VMS)
    def test_little_movement(
        self, capacities: list[int], vms: set[str]
    ) -> None:
        """Fails if a new VM moves many more shares than its even part."""
        log = Log(*(register(vm) for vm in sorted(vms)))
        demands = _demands(capacities, 'abcdefghi')
        _plan_until_settled(log, demands)
        log.apply(register('i'))
        growth = _plan_until_settled(log, demands)
        even_part = sum(capacities) / (len(vms) + 1)
        self.assertLessEqual(growth, even_part * 1.5 + _MAX_TOTAL_SPREAD)
