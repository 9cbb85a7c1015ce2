"""Guards which target a request goes to, and when it is rejected."""

import unittest
from collections import Counter
from datetime import timedelta

from plantainstand_core import RegionId
from plantainstand_placement import (
    Choice,
    LoadReport,
    Refusal,
    RefusalReason,
    ServiceTargets,
    TargetState,
    choose_target,
)
from plantainstand_placement._choice import RETRY_AFTER_MAX

from tests.placement.builders import (
    NOW,
    SERVICE_TIME,
    criteria,
    entry,
    estimates,
    idle_targets,
)

_TARGET_NAMES = ('a', 'b', 'c', 'd', 'e', 'f')


def _chosen(targets: list[TargetState], key: str = 'object') -> str:
    choice = choose_target(criteria(key), ServiceTargets(targets), estimates())
    assert isinstance(choice, Choice)
    return choice.state.entry.target


def _fill(state: TargetState, requests: int) -> None:
    for _ in range(requests):
        state.record_sent(NOW)


class OrderTests(unittest.TestCase):
    """An object that changes its target is served cold and slowly."""

    def test_order_is_independent_of_list_order(self) -> None:
        """All VMs choose the same target, even while their lists differ."""
        listed = idle_targets(*_TARGET_NAMES)
        for number in range(50):
            key = str(number)
            first = _chosen(listed, key)
            self.assertEqual(_chosen(list(reversed(listed)), key), first)
            fewer = [each for each in listed if each.entry.target != 'a']
            if first != 'a':
                self.assertEqual(_chosen(fewer, key), first)

    def test_busy_target_moves_only_its_own_objects(self) -> None:
        """Load on one target must not move the objects of other targets."""
        near = idle_targets('a', 'b', region='norte')
        far = idle_targets('c', 'd', region='sul')
        keys = [str(number) for number in range(300)]
        before = [_chosen([*near, *far], key) for key in keys]
        _fill(near[0], near[0].entry.slots + 4)
        after = [_chosen([*near, *far], key) for key in keys]
        moved = {
            first
            for first, second in zip(before, after, strict=True)
            if first != second
        }
        self.assertEqual(moved, {'a'})

    def test_region_keeps_objects_in_proportion_to_slots(self) -> None:
        """Traffic between regions is costly; few slots must not overload."""
        own = ('a', 'b', 'c', 'd')
        cases = (
            ('equal slots', own, ('e', 'f', 'g', 'h'), 1.0),
            ('a third of the slots', own[:1], ('e', 'f'), 0.67),
            ('a tenth of the slots', own[:1], tuple('efghijklm'), 0.2),
            ('most of the slots', own, ('e',), 1.0),
        )
        for name, near, far, expected in cases:
            with self.subTest(name):
                listed = [
                    *idle_targets(*near),
                    *idle_targets(*far, region='sul'),
                ]
                kept = sum(
                    _chosen(listed, str(number)) in near
                    for number in range(2000)
                )
                self.assertAlmostEqual(kept / 2000, expected, delta=0.05)

    def test_regions_serve_in_proportion_to_slots(self) -> None:
        """A small region must not receive objects of larger regions."""
        targets_of = {'bajio': 4, 'norte': 17, 'occidente': 19}
        listed = [
            state
            for region, count in targets_of.items()
            for state in idle_targets(
                *(f'{region}-{number}' for number in range(count)),
                region=region,
            )
        ]
        targets = ServiceTargets(listed)
        served: Counter[str] = Counter()
        for region in targets_of:
            for number in range(3000):
                key = f'{region}/{number}'.encode()
                order = targets.order(key, RegionId(region), frozenset())
                served[order[0].entry.region] += 1
        for region, count in targets_of.items():
            share = served[region] / served.total()
            self.assertAlmostEqual(share, count / len(listed), delta=0.02)


class AllowedTests(unittest.TestCase):
    """Targets that must not receive a request."""

    def test_excluded_targets(self) -> None:
        """Each reason to exclude the only target leaves none."""
        cold = TargetState(entry('a'), NOW)
        cold.cold_until = NOW + timedelta(seconds=3)
        at_limit = TargetState(entry('a'), NOW)
        at_limit.cold_until = NOW + timedelta(seconds=3)
        _fill(at_limit, 2)
        unreachable = idle_targets('a')
        unreachable[0].record_unreachable(NOW)
        cases = (
            ('tried', criteria(tried_targets=('a',)), idle_targets('a')),
            (
                'evacuated',
                criteria(evacuated_availability_zones=('norte-a',)),
                idle_targets('a'),
            ),
            (
                'outside the home regions',
                criteria(home_regions=('sul',)),
                idle_targets('a'),
            ),
            ('cold, none allowed', criteria(cold_limit=0), [cold]),
            ('cold, limit reached', criteria(cold_limit=2), [at_limit]),
            ('unreachable', criteria(), unreachable),
        )
        for name, wanted, listed in cases:
            with self.subTest(name):
                refusal = choose_target(
                    wanted, ServiceTargets(listed), estimates()
                )
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.reason, RefusalReason.NO_TARGET)

    def test_failing_target_is_last(self) -> None:
        """A target that fails a third of its requests is tried last."""
        listed = idle_targets(*_TARGET_NAMES)
        first = next(
            each for each in listed if each.entry.target == _chosen(listed)
        )
        for _ in range(3):
            first.record_failure(NOW)
        self.assertNotEqual(_chosen(listed), first.entry.target)

    def test_order_stays_when_all_fail_alike(self) -> None:
        """Changing the target would only make another serve it cold."""
        listed = idle_targets(*_TARGET_NAMES)
        name = _chosen(listed)
        for state in listed:
            failures = 3 if state.entry.target == name else 2
            for _ in range(failures):
                state.record_failure(NOW)
        self.assertEqual(_chosen(listed), name)

    def test_rejection_with_room_keeps_the_order(self) -> None:
        """A target that rejects a request without being full stays first."""
        listed = idle_targets(*_TARGET_NAMES)
        name = _chosen(listed)
        first = next(each for each in listed if each.entry.target == name)
        first.record_rejection(NOW, LoadReport(1, 0, 4))
        self.assertEqual(_chosen(listed), name)
        first.record_rejection(NOW, LoadReport(4, 8, 4))
        self.assertNotEqual(_chosen(listed), name)

    def test_silent_target_is_last(self) -> None:
        """A target whose requests get no response may have lost its network."""
        listed = idle_targets(*_TARGET_NAMES)
        first = next(
            each for each in listed if each.entry.target == _chosen(listed)
        )
        first.record_sent(NOW)
        later = NOW + timedelta(seconds=1)
        choice = choose_target(
            criteria(), ServiceTargets(listed), estimates(later)
        )
        assert isinstance(choice, Choice)
        self.assertIsNot(choice.state, first)

    def test_failing_target_is_tried_again(self) -> None:
        """Failures decay; otherwise a repaired target would stay unused."""
        listed = idle_targets(*_TARGET_NAMES)
        name = _chosen(listed)
        first = next(each for each in listed if each.entry.target == name)
        for _ in range(5):
            first.record_failure(NOW)
        later = NOW + timedelta(seconds=10)
        choice = choose_target(
            criteria(), ServiceTargets(listed), estimates(later)
        )
        assert isinstance(choice, Choice)
        self.assertEqual(choice.state.entry.target, name)


class RefusalTests(unittest.TestCase):
    """Requests whose response would be late are rejected at once."""

    def test_rejected_when_all_are_busy(self) -> None:
        """Retry-After covers the expected wait."""
        listed = idle_targets('a', 'b')
        for state in listed:
            _fill(state, state.entry.slots * 4)
        refusal = choose_target(criteria(), ServiceTargets(listed), estimates())
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.NO_CAPACITY)
        self.assertGreater(refusal.retry_after, SERVICE_TIME)

    def test_retry_after_grows_with_the_backlog(self) -> None:
        """A client that returns into the same backlog is rejected again."""
        for queued in (20, 50, 400):
            with self.subTest(queued=queued):
                listed = idle_targets('a')
                _fill(listed[0], listed[0].entry.slots + queued)
                refusal = choose_target(
                    criteria(), ServiceTargets(listed), estimates()
                )
                assert isinstance(refusal, Refusal)
                backlog = SERVICE_TIME * queued / listed[0].entry.slots
                self.assertGreaterEqual(
                    refusal.retry_after,
                    min(backlog, RETRY_AFTER_MAX),
                )
                self.assertLessEqual(refusal.retry_after, RETRY_AFTER_MAX)

    def test_spills_over_to_a_target_with_capacity(self) -> None:
        """The second target is used while at most half of its slots are."""
        listed = idle_targets('a', 'b')
        name = _chosen(listed)
        first = next(each for each in listed if each.entry.target == name)
        _fill(first, first.entry.slots * 3)
        self.assertNotEqual(_chosen(listed), name)
