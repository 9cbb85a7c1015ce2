"""Outlier ejection by own results, its bound, and probes before return."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import ManualClock, TargetId
from plantainstand_steering import HealthState, TargetHealth

_SECOND = timedelta(seconds=1)
_TARGETS = tuple(TargetId(f't{number}') for number in range(4))
_BAD, _GOOD = _TARGETS[:2]


class TargetHealthTest(unittest.TestCase):
    """Tests which targets are ejected, for how long, and how they return."""

    def setUp(self) -> None:
        """Create the health state of four targets."""
        self.clock = ManualClock()
        self.health = TargetHealth(_TARGETS, self.clock)

    def test_consecutive_failures(self) -> None:
        """Fails if an ejection takes more or fewer than five failures."""
        self._fail(_BAD, 4)
        self.health.record(_BAD, succeeded=True)
        self._fail(_BAD, 4)
        self.assertEqual(self.health.ejected, frozenset())
        self._fail(_BAD, 1)
        self.assertEqual(self.health.ejected, {_BAD})

    def test_success_rate(self) -> None:
        """Fails if a target that fails half of its requests stays in use."""
        for number in range(40):
            self.health.record(_BAD, succeeded=number % 2 == 0)
            self.health.record(_GOOD, succeeded=True)
        self.assertEqual(self.health.ejected, {_BAD})

    def test_common_failures(self) -> None:
        """Fails if targets are ejected when all of them fail equally often."""
        for number in range(80):
            for target in _TARGETS:
                self.health.record(target, succeeded=number % 2 == 0)
        self.assertEqual(self.health.ejected, frozenset())

    def test_old_results(self) -> None:
        """Fails if results outside the window count against a target."""
        for number in range(18):
            self.health.record(_BAD, succeeded=number % 2 == 0)
        self.clock.advance(25 * _SECOND)
        self.health.record(_GOOD, succeeded=True)
        self.clock.advance(25 * _SECOND)
        for number in range(40):
            self.health.record(_GOOD, succeeded=True)
            self.health.record(_BAD, succeeded=number % 8 != 0)
        self.assertEqual(self.health.ejected, frozenset())

    def test_ejection_time_doubles(self) -> None:
        """Fails if a target returns without a probe or ejections stay short."""
        self._fail(_BAD, 5)
        for seconds in (5, 10, 20, 40):
            self.clock.advance((seconds - 1) * _SECOND)
            self.assertFalse(self.health.begin_probe(_BAD))
            self.clock.advance(_SECOND)
            self.assertEqual(tuple(self.health.probes_due()), (_BAD,))
            self.assertTrue(self.health.begin_probe(_BAD))
            self.assertFalse(self.health.begin_probe(_BAD))
            self.health.abandon_probe(_BAD)
            self.assertTrue(self.health.begin_probe(_BAD))
            self.assertEqual(self.health.ejected, {_BAD})
            self._fail(_BAD, 1)
        self.clock.advance(80 * _SECOND)
        self.assertTrue(self.health.begin_probe(_BAD))
        self.health.record(_BAD, succeeded=True)
        self.assertEqual(self.health.state(_BAD), HealthState.USABLE)

    def test_ejection_time_reset(self) -> None:
        """Fails if an ejection more than two minutes ago lengthens the next."""
        for _ in range(2):
            self._fail(_BAD, 5)
            self.clock.advance(5 * _SECOND)
            self.assertTrue(self.health.begin_probe(_BAD))
            self.health.record(_BAD, succeeded=True)
            self.clock.advance(121 * _SECOND)

    def test_reports(self) -> None:
        """Fails if a report alone, a stale or a contradicted one ejects."""
        now = self.clock.monotonic()
        old = now - 4 * _SECOND
        cases = (
            ('alone', False, now, None, 1, False),
            ('credible', False, now, None, 2, True),
            ('stale', False, old, None, 2, False),
            ('healthy', True, now, None, 4, False),
            ('healthy does not protect', True, now, None, 5, True),
            ('contradicted', False, now, True, 2, False),
        )
        for name, is_healthy, measured_at, success, failures, ejected in cases:
            with self.subTest(name):
                self.setUp()
                self.health.accept_report(_BAD, is_healthy, measured_at)
                if success:
                    self.health.record(_BAD, succeeded=True)
                self._fail(_BAD, failures)
                self.assertEqual(self.health.ejected == {_BAD}, ejected)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.data())
    def test_at_most_half(self, script: st.DataObject) -> None:
        """Fails if more than half of a service's targets are ejected."""
        self.setUp()
        members = _TARGETS
        for _ in range(script.draw(st.integers(1, 40))):
            members = self._step(script, members)
            self.assertLessEqual(2 * len(self.health.ejected), len(members))

    def _step(
        self,
        script: st.DataObject,
        members: tuple[TargetId, ...],
    ) -> tuple[TargetId, ...]:
        action = script.draw(st.sampled_from('ffftpsr'))
        target = script.draw(st.sampled_from(_TARGETS))
        if action == 'f':
            self._fail(target, 5)
        elif action == 't':
            self.clock.advance(20 * _SECOND)
        elif action == 'p':
            self.health.begin_probe(target)
        elif action == 's':
            self.health.record(target, succeeded=True)
        else:
            members = _TARGETS[: script.draw(st.integers(0, 4))]
            self.health.replace_targets(members)
        return members

    def _fail(self, target: TargetId, times: int) -> None:
        for _ in range(times):
            self.health.record(target, succeeded=False)
