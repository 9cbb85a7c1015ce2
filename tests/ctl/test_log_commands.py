"""Timeline of a request from collected log lines."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from plantainstand_ctl._log_commands import explain_request

_LINES = """\
{"control":"10.3.0.24","event":"control VM lost","timestamp":"2026-03-12T22:00:01.000000Z"}
{"ready":true,"event":"readiness changed","timestamp":"2026-03-12T22:32:51.435039Z"}
  8.2 front-norte-b-1 {"control":"10.1.0.5","connected":3,"event":"control VM lost","timestamp":"2026-03-12T22:32:56.000000Z"}
not JSON
{"request":"other","event":"request","status":200,"timestamp":"2026-03-12T22:32:57.000000Z"}
{"request":"f591098222378a4b","target":"i-cda34e5d11","failure":"timed out","detail":"no answer","event":"attempt failed","level":"info","timestamp":"2026-03-12T22:32:58.626658Z"}
{"request":"f591098222378a4b","target":"i-cda34e5d11","sends":1,"maybe_ran":true,"status":504,"outcome":"outcome unknown","ms":400,"event":"request","level":"info","timestamp":"2026-03-12T22:32:58.626814Z"}
{"cause":"process ends","unanswered":["f591098222378a4b"],"last_answered":"other","unsent_bytes":9,"event":"client connection cut","timestamp":"2026-03-12T22:32:59.000000Z"}
{"request":"cut","""  # noqa: E501


class ExplainTests(unittest.TestCase):
    """Guards against lines of other requests, or old ones, in a timeline."""

    def setUp(self) -> None:
        """Write the recorded lines to a file."""
        folder = self.enterContext(TemporaryDirectory())
        self.path = Path(folder) / 'entry.log'
        self.path.write_text(_LINES, encoding='utf-8')

    def test_timeline(self) -> None:
        """Events shortly before come first, then the lines of the request."""
        report = explain_request('f591098222378a4b', [self.path]).unwrap()
        events = [line.split(': ')[0].split(' ', 1)[1] for line in report.lines]
        self.assertEqual(
            events,
            [
                'control VM lost',
                'attempt failed',
                'request',
                'client connection cut',
            ],
        )
        self.assertIn('failure=timed out', report.lines[1])
        self.assertIn('cause=process ends', report.lines[3])

    def test_problems(self) -> None:
        """The failures of an unknown id and of a missing file differ."""
        unknown = explain_request('none', [self.path]).unwrap_err()
        self.assertIn('none', unknown.message)
        missing = explain_request('1', [Path('missing.log')]).unwrap_err()
        self.assertIn('missing.log', missing.message)
