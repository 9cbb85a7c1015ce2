"""Guards which of the system's clocks measures durations."""

import time
import unittest
from datetime import timedelta
from unittest.mock import patch

from plantainstand_core import SystemClock


class SystemClockTests(unittest.TestCase):
    """A process that was suspended must not use expired leases."""

    def test_counts_suspension(self) -> None:
        """Time in suspension counts; CLOCK_MONOTONIC would leave it out."""
        readings = {time.CLOCK_MONOTONIC: 5.0, time.CLOCK_BOOTTIME: 12.0}
        with (
            patch('time.clock_gettime', readings.__getitem__),
            patch('time.monotonic', lambda: readings[time.CLOCK_MONOTONIC]),
        ):
            reading = SystemClock().monotonic()
        self.assertEqual(reading, timedelta(seconds=12))
