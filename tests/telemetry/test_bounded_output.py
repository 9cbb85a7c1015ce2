"""Guards that log output neither blocks requests nor exhausts memory."""

import os
import unittest

from plantainstand_core import ManualClock
from plantainstand_telemetry import BoundedLogOutput
from plantainstand_telemetry._bounded_output import (
    MAX_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
)


class BoundedOutputTests(unittest.TestCase):
    """Covers a stalled reader and a burst of lines."""

    def setUp(self) -> None:
        """Write to a pipe of which the test holds the reading end."""
        reader, writer = os.pipe()
        self.reader = reader
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.clock = ManualClock()
        self.output = BoundedLogOutput(writer, self.clock)

    def test_blocked_reader(self) -> None:
        """Lines for a stalled reader are dropped above the memory limit."""
        line = 'x' * 50_000
        for _ in range(MAX_LINES_PER_SECOND):
            self.output.write(line)
            self.output.flush_pending()
        pipe_bytes = 65_536
        kept = MAX_PENDING_BYTES + pipe_bytes
        self.assertGreater(self.output.dropped_count, 0)
        written = MAX_LINES_PER_SECOND - self.output.dropped_count
        self.assertLessEqual(written * len(line), kept)

    def test_dropped_lines_of_a_burst_are_counted(self) -> None:
        """Lines above the rate limit are dropped and their number is logged."""
        for _ in range(MAX_LINES_PER_SECOND + 5):
            self.output.write('line\n')
        self.output.flush_pending()
        text = os.read(self.reader, MAX_PENDING_BYTES).decode()
        self.assertEqual(text.count('line\n'), MAX_LINES_PER_SECOND)
        self.assertIn('"count": 5', text)
