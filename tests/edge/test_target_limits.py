"""Guards what an entry VM learns of limits from the answers of targets."""

import unittest
from datetime import timedelta

from plantainstand_core import ManualClock, TargetId, VmId
from plantainstand_edge._node import METRIC_HELP
from plantainstand_edge._target_limits import LIMIT_END_DELAY, TargetLimits
from plantainstand_fleet import LimitStatement
from plantainstand_telemetry import Metrics

from tests.placement.builders import entry

_CONTROL = VmId('10.0.0.1')
_TARGET = entry('t1')


class TargetLimitsTests(unittest.TestCase):
    """The VM reports a limit that it learns, and its end, at once."""

    def setUp(self) -> None:
        """Count the reports that are made at once."""
        self.clock = ManualClock()
        self.news = 0
        self.limits = TargetLimits(
            Metrics(METRIC_HELP), self.clock, self._count_news
        )

    def test_answer_without_a_limit(self) -> None:
        """An answer that was on its way must not end a limit."""
        self._answer(6.5)
        self.clock.advance(LIMIT_END_DELAY / 2)
        self._answer(None)
        self.assertEqual(self._rate(), 6.5)
        self.clock.advance(LIMIT_END_DELAY / 2)
        self._answer(None)
        self.assertIsNone(self._rate())
        self.assertEqual(self.news, 2)

    def test_limit_that_another_vm_learned(self) -> None:
        """It binds this VM too, and is not reported as its own."""
        statement = LimitStatement(TargetId('t1'), 1, 3, age_seconds=0.1)
        self.limits.merge(_CONTROL, (statement,))
        self.assertEqual(self._rate(), 3)
        self.assertEqual(self.limits.take_unreported(), ())

    def test_report(self) -> None:
        """Each report has the newest own statement, with its age."""
        self._answer(6.5)
        self.clock.advance(timedelta(milliseconds=100))
        self._answer(6.4)
        self.clock.advance(timedelta(milliseconds=200))
        reported = self.limits.take_unreported()
        self.assertEqual(
            reported, (LimitStatement(TargetId('t1'), 1, 6.4, 0.2),)
        )
        self.assertEqual(self.limits.take_unreported(), ())

    def test_target_that_leaves(self) -> None:
        """It is reported at once, once, and never taken back."""
        self.limits.record_leaving(_TARGET, '1')
        self.limits.record_leaving(_TARGET, '2')
        self.assertEqual(self.news, 1)
        reported = self.limits.take_unreported()
        expected = LimitStatement(
            TargetId('t1'), 1, rate=None, age_seconds=0, leaving=True
        )
        self.assertEqual(reported, (expected,))
        self.clock.advance(timedelta(seconds=60))
        self._answer(None)
        self._answer(6.5)
        self.assertTrue(self.limits.is_leaving(_TARGET))
        self.assertFalse(self.limits.is_leaving(entry('t1', started_ms=2)))

    def test_departure_that_another_vm_learned(self) -> None:
        """It binds this VM too."""
        statement = LimitStatement(
            TargetId('t1'), 1, rate=None, age_seconds=9, leaving=True
        )
        self.limits.merge(_CONTROL, (statement,))
        self.assertTrue(self.limits.is_leaving(_TARGET))

    def _answer(self, rate: float | None) -> None:
        self.limits.record_answer(_TARGET, rate, '1')

    def _rate(self) -> float | None:
        known = self.limits.known(_TARGET)
        return None if known is None else known.rate

    def _count_news(self) -> None:
        self.news += 1
