"""Guards the cached orders of targets and the failure limit."""

import unittest
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, RegionId
from plantainstand_placement import ServiceTargets, TargetState

from tests.placement.builders import NOW, entry, idle_targets

_NORTE = RegionId('norte')
_NO_ZONES: frozenset[AvailabilityZoneId] = frozenset()


class OrderTests(unittest.TestCase):
    """A cached order must not outlive its inputs."""

    def test_evacuation_takes_effect_at_once(self) -> None:
        """A cached order must not return an evacuated target."""
        listed = [*idle_targets('a', 'b'), *idle_targets('c', region='sul')]
        targets = ServiceTargets(listed)
        self.assertEqual(len(targets.order(b'object', _NORTE, _NO_ZONES)), 3)
        evacuated = frozenset((AvailabilityZoneId('norte-a'),))
        left = targets.order(b'object', _NORTE, evacuated)
        self.assertEqual([state.entry.target for state in left], ['c'])
        self.assertEqual(len(targets.order(b'object', _NORTE, _NO_ZONES)), 3)

    def test_order_survives_cleared_cache(self) -> None:
        """Orders that are computed anew equal the cleared ones."""
        listed = idle_targets('a', 'b', 'c')
        targets = ServiceTargets(listed)
        keys = [str(number).encode() for number in range(6000)]
        before = [targets.order(key, _NORTE, _NO_ZONES) for key in keys]
        after = [targets.order(key, _NORTE, _NO_ZONES) for key in keys]
        self.assertEqual(before, after)

    def test_matches_only_the_same_slots(self) -> None:
        """Slots are the hashing weights, so changed slots need new orders."""
        state = TargetState(entry('a'), NOW)
        targets = ServiceTargets([state])
        self.assertTrue(targets.matches([state]))
        self.assertFalse(targets.matches(idle_targets('a')))
        state.entry = entry('a', slots=8)
        self.assertFalse(targets.matches([state]))


class FailureLimitTests(unittest.TestCase):
    """A target's failure rate is compared with those of its service."""

    def test_first_limit_on_long_running_vm(self) -> None:
        """The first limit is computed at any monotonic time.

        On a VM that has been up for days the clock reads far above zero.
        """
        targets = ServiceTargets(idle_targets('a', 'b'))
        self.assertLess(targets.failure_limit(timedelta(days=40)), 1)

    def test_limit_rises_when_all_fail(self) -> None:
        """A limit that stays low would exclude every target."""
        listed = idle_targets('a', 'b')
        targets = ServiceTargets(listed)
        before = targets.failure_limit(NOW)
        for state in listed:
            for _ in range(6):
                state.record_failure(NOW)
        later = NOW + timedelta(milliseconds=200)
        self.assertGreater(targets.failure_limit(later), before)
