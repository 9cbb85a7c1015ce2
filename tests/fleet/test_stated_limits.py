"""Guards what a VM believes of the limits that targets state."""

import unittest
from datetime import timedelta

from plantainstand_core import TargetId
from plantainstand_fleet import LimitStatement, StatedLimits
from plantainstand_fleet._stated_limits import STATEMENT_LIFETIME

_NOW = timedelta(hours=1)
_TARGET = TargetId('t1')
_KEY = (_TARGET, 1)


def _statement(rate: float | None, age: float) -> LimitStatement:
    return LimitStatement(_TARGET, 1, rate, age)


class StatedLimitsTests(unittest.TestCase):
    """Statements reach a VM late, twice and in any order."""

    def test_newest_statement_holds(self) -> None:
        """An older statement must neither end nor revive a limit."""
        cases = (
            ('older limit', (6.5, 0), (3, 1), 6.5),
            ('newer limit', (6.5, 1), (3, 0), 3),
            ('older end', (6.5, 0), (None, 1), 6.5),
            ('newer end', (6.5, 1), (None, 0), None),
            ('limit from before its end', (None, 0), (6.5, 1), None),
        )
        for name, first, second, expected in cases:
            with self.subTest(name):
                limits = StatedLimits()
                for rate, age in (first, second):
                    limits.merge((_statement(rate, age),), _NOW)
                known = limits.limit(_KEY, _NOW)
                self.assertEqual(known and known.rate, expected)

    def test_changes(self) -> None:
        """Only what changes a limit is passed on before the next report."""
        limits = StatedLimits()
        cases = ((6.5, True), (6.5, False), (6.2, False), (3, True))
        for step, (rate, expected) in enumerate((*cases, (None, True))):
            now = _NOW + timedelta(seconds=step)
            with self.subTest(rate=rate, step=step):
                changed = limits.merge((_statement(rate, 0),), now)
                self.assertEqual(bool(changed), expected)

    def test_lifetime(self) -> None:
        """A target of which nothing is heard doesn't stay limited forever."""
        limits = StatedLimits()
        limits.merge((_statement(6.5, 0),), _NOW)
        self.assertEqual(limits.limited_count(_NOW), 1)
        later = _NOW + STATEMENT_LIFETIME + timedelta(seconds=1)
        self.assertIsNone(limits.limit(_KEY, later))
        self.assertEqual(limits.statements(later), ())
