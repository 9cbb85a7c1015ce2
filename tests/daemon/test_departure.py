"""Timing of a graceful departure."""

import unittest
from datetime import timedelta

from plantainstand_daemon._departure import Departure

_START = timedelta(hours=1)
_ENTRY_LIST_EXPIRY = timedelta(seconds=3.5)
_DEPARTURE_TIMEOUT = timedelta(seconds=4)
_MILLISECOND = timedelta(milliseconds=1)


class LeavingTest(unittest.TestCase):
    """Guards against refusing callers that still have a valid list."""

    def setUp(self) -> None:
        """Start without a departure in progress."""
        self.leaving = Departure()

    def test_refuses_after_entry_list_expiry(self) -> None:
        """Requests may be refused once entry lists have expired."""
        self.assertFalse(self.leaving.may_refuse_requests(_START))
        self.leaving.start(_START)
        self.leaving.start(_START + _ENTRY_LIST_EXPIRY)
        self.assertFalse(
            self.leaving.may_refuse_requests(
                _START + _ENTRY_LIST_EXPIRY - _MILLISECOND
            )
        )
        self.assertTrue(
            self.leaving.may_refuse_requests(_START + _ENTRY_LIST_EXPIRY)
        )

    def test_times_out_after_idle(self) -> None:
        """The wait for a leader starts when the VM becomes idle."""
        self.assertFalse(self.leaving.has_timed_out(_START))
        self.leaving.record_idle(_START)
        self.leaving.record_idle(_START + _DEPARTURE_TIMEOUT)
        limit = _START + _DEPARTURE_TIMEOUT
        self.assertFalse(self.leaving.has_timed_out(limit))
        self.assertTrue(self.leaving.has_timed_out(limit + _MILLISECOND))

    def test_reset(self) -> None:
        """A reset after a withdrawn drain clears both times."""
        self.leaving.start(_START)
        self.leaving.record_idle(_START)
        self.leaving.reset()
        later = _START + 2 * _DEPARTURE_TIMEOUT
        self.assertFalse(self.leaving.may_refuse_requests(later))
        self.assertFalse(self.leaving.has_timed_out(later))
