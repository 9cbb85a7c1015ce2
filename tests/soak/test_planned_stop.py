"""Guards accepted requests of entry VMs that stop one after the other."""

import asyncio
import unittest

from tests.soak.planned_stop import play, report

_SEED = 1
_ROUNDS = 1

MAX_CUT_AT_OTHER_TIMES = 3
"""Requests of one run that may end without an answer apart from a stop."""


class PlannedStopTests(unittest.TestCase):
    """Real processes under load; ``planned_stop`` plays further seeds."""

    def test_rolling_stop(self) -> None:
        """Guards against answers that are lost on their way to the client."""
        found = report(asyncio.run(play(_SEED, _ROUNDS)))
        self.assertGreater(found.requests, 0)
        self.assertEqual(dict(found.around_stops), {})
        self.assertLessEqual(
            found.at_other_times.total(), MAX_CUT_AT_OTHER_TIMES
        )
