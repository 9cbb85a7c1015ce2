"""Guards which requests a stopping VM accepts."""

import unittest
from datetime import timedelta

from plantainstand_placement import LongestDurations, ends_before_exit
from plantainstand_placement._departure import DURATION_WINDOW

_MILLISECOND = timedelta(milliseconds=1)


class EndsBeforeExitTests(unittest.TestCase):
    """A request that outlasts the process loses its response."""

    def test_cases(self) -> None:
        """The shorter of experience and time limit has to fit.

        Where the end must be certain, only the time limit counts.
        """
        cases = (
            ('no experience, long limit', None, 3000, 2000, False, False),
            ('no experience, short limit', None, 800, 2000, True, True),
            ('quick route', 250, 3000, 2000, True, False),
            ('slow route', 2600, 3000, 2000, False, False),
            ('slow route, early', 2600, 3000, 5000, True, True),
            ('late answers beyond the limit', 4000, 1500, 2000, True, True),
            ('after the exit', 1, 3000, -1, False, False),
        )
        for name, longest, limit, left, expected, expected_certain in cases:
            with self.subTest(name):
                known = None if longest is None else longest * _MILLISECOND
                for certain, wanted in (
                    (False, expected),
                    (True, expected_certain),
                ):
                    accepted = ends_before_exit(
                        known,
                        limit * _MILLISECOND,
                        left * _MILLISECOND,
                        certain=certain,
                    )
                    self.assertIs(accepted, wanted)


class LongestDurationsTests(unittest.TestCase):
    """One slow run must be known for a while, not forever."""

    def test_lifetime(self) -> None:
        """A duration counts for one window and is gone after two."""
        durations = LongestDurations()
        start = timedelta(hours=1)
        durations.record('slow', 900 * _MILLISECOND, start)
        durations.record('slow', 100 * _MILLISECOND, start)
        for windows, expected in ((0, 900), (1, 900), (2.1, None)):
            with self.subTest(windows=windows):
                known = durations.longest(
                    'slow', start + DURATION_WINDOW * windows
                )
                wanted = None if expected is None else expected * _MILLISECOND
                self.assertEqual(known, wanted)
        self.assertIsNone(durations.longest('other', start))
