"""A leaving VM serves until no caller can have a list that names it."""

import unittest
from datetime import timedelta

from plantainstand_daemon._departure import Departure

_START = timedelta(hours=1)
_LINGER = timedelta(seconds=3.5)
_DEPARTURE = timedelta(seconds=4)
_MOMENT = timedelta(milliseconds=1)


class LeavingTest(unittest.TestCase):
    """Guards against refusals of callers that hold a valid list."""

    def setUp(self) -> None:
        """Start as not leaving."""
        self.leaving = Departure()

    def test_linger(self) -> None:
        """It closes one list lifetime and a margin after the first start."""
        self.assertFalse(self.leaving.may_refuse_requests(_START))
        self.leaving.start(_START)
        self.leaving.start(_START + _LINGER)
        self.assertFalse(
            self.leaving.may_refuse_requests(_START + _LINGER - _MOMENT)
        )
        self.assertTrue(self.leaving.may_refuse_requests(_START + _LINGER))

    def test_abandoned(self) -> None:
        """It waits for a leader from the time at which it became idle."""
        self.assertFalse(self.leaving.has_timed_out(_START))
        self.leaving.record_idle(_START)
        self.leaving.record_idle(_START + _DEPARTURE)
        limit = _START + _DEPARTURE
        self.assertFalse(self.leaving.has_timed_out(limit))
        self.assertTrue(self.leaving.has_timed_out(limit + _MOMENT))

    def test_reset(self) -> None:
        """After a withdrawn drain the times start anew."""
        self.leaving.start(_START)
        self.leaving.record_idle(_START)
        self.leaving.reset()
        later = _START + 2 * _DEPARTURE
        self.assertFalse(self.leaving.may_refuse_requests(later))
        self.assertFalse(self.leaving.has_timed_out(later))
