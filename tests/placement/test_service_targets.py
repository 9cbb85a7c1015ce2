"""Orders of targets that are remembered between requests."""

import unittest
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, RegionId
from plantainstand_placement import ServiceTargets, TargetState

from tests.placement.builders import NOW, entry, states

_NORTE = RegionId('norte')
_NO_ZONES: frozenset[AvailabilityZoneId] = frozenset()


class OrderTests(unittest.TestCase):
    """A remembered order must not outlive what it was made from."""

    def test_evacuation_takes_effect_at_once(self) -> None:
        """A remembered order must not bring back an evacuated target."""
        there = [*states('a', 'b'), *states('c', region='sul')]
        targets = ServiceTargets(there)
        self.assertEqual(len(targets.order(b'object', _NORTE, _NO_ZONES)), 3)
        evacuated = frozenset((AvailabilityZoneId('norte-a'),))
        left = targets.order(b'object', _NORTE, evacuated)
        self.assertEqual([state.entry.target for state in left], ['c'])
        self.assertEqual(len(targets.order(b'object', _NORTE, _NO_ZONES)), 3)

    def test_same_for_many_objects(self) -> None:
        """Forgetting orders must not change them."""
        there = states('a', 'b', 'c')
        targets = ServiceTargets(there)
        keys = [str(number).encode() for number in range(6000)]
        before = [targets.order(key, _NORTE, _NO_ZONES) for key in keys]
        after = [targets.order(key, _NORTE, _NO_ZONES) for key in keys]
        self.assertEqual(before, after)

    def test_holds_only_the_same_slots(self) -> None:
        """Weights come from slots, so other slots need new orders."""
        state = TargetState(entry('a'), NOW)
        targets = ServiceTargets([state])
        self.assertTrue(targets.holds([state]))
        self.assertFalse(targets.holds(states('a')))
        state.entry = entry('a', slots=8)
        self.assertFalse(targets.holds([state]))


class FailureLimitTests(unittest.TestCase):
    """Targets are judged against the others of their service."""

    def test_any_uptime(self) -> None:
        """A VM that is up for days must not fail on its first request."""
        targets = ServiceTargets(states('a', 'b'))
        self.assertLess(targets.failure_limit(timedelta(days=40)), 1)

    def test_rises_when_all_fail(self) -> None:
        """A limit that stays low would pass over every target."""
        there = states('a', 'b')
        targets = ServiceTargets(there)
        before = targets.failure_limit(NOW)
        for state in there:
            for _ in range(6):
                state.broke(NOW)
        later = NOW + timedelta(milliseconds=200)
        self.assertGreater(targets.failure_limit(later), before)
