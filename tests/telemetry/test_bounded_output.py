"""Log output must neither block a request nor fill the memory."""

import os
import unittest

from plantainstand_core import ManualClock
from plantainstand_telemetry import BoundedLogOutput
from plantainstand_telemetry._bounded_output import (
    MAX_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
)


class BoundedOutputTests(unittest.TestCase):
    """A reader that stops, and a burst of lines."""

    def setUp(self) -> None:
        """Read from one end of a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.clock = ManualClock()
        self.output = BoundedLogOutput(writer, self.clock)

    def test_blocked_reader(self) -> None:
        """Writes return at once, and memory stays bounded."""
        line = 'x' * 50_000
        for _ in range(MAX_LINES_PER_SECOND):
            self.output.write(line)
            self.output.flush_pending()
        pipe_bytes = 65_536
        kept = MAX_PENDING_BYTES + pipe_bytes
        self.assertGreater(self.output.dropped_count, 0)
        written = MAX_LINES_PER_SECOND - self.output.dropped_count
        self.assertLessEqual(written * len(line), kept)

    def test_burst_is_counted(self) -> None:
        """Lines beyond the rate are dropped and their number is written."""
        for _ in range(MAX_LINES_PER_SECOND + 5):
            self.output.write('line\n')
        self.output.flush_pending()
        text = os.read(self.reader, MAX_PENDING_BYTES).decode()
        self.assertEqual(text.count('line\n'), MAX_LINES_PER_SECOND)
        self.assertIn('"count": 5', text)
