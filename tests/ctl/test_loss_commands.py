"""Guards the cause that is named for a request, and torn or foreign lines."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from plantainstand_ctl._loss_commands import (
    LossCause,
    RequestLine,
    count_causes,
    loss_cause,
)

_LINES = """\
  8.2 front-a {"event":"request","route":"shop","status":200,"ms":90,"objective_ms":100,"timestamp":"2026-03-12T22:32:56.100000Z"}
{"event":"request","route":"shop","status":503,"outcome":"no capacity","timestamp":"2026-03-12T22:33:01.100000Z"}
{"event":"attempt failed","request":"1","timestamp":"2026-03-12T22:33:01.100000Z"}
not JSON
{"event":"request","route":"shop","sta"""  # noqa: E501


class LossCauseTests(unittest.TestCase):
    """Each kind of loss has its own cause."""

    def test_cases(self) -> None:
        """The first cause that applies is named."""
        late = {'status': 200, 'ms': 120, 'objective_ms': 100}
        known = {**late, 'sends': 1, 'familiarity': 'repeated'}
        cases: tuple[tuple[dict[str, object], LossCause | None], ...] = (
            ({'status': 200, 'ms': 100, 'objective_ms': 100}, None),
            ({'status': 200, 'ms': 900}, None),
            ({'status': 0}, LossCause.CLIENT_LEFT),
            (
                {'status': 503, 'outcome': 'no capacity'},
                LossCause.NO_CAPACITY,
            ),
            (
                {'status': 503, 'outcome': 'targets rejected it'},
                LossCause.REJECTED_BY_TARGETS,
            ),
            ({'status': 503, 'outcome': 'stopping'}, LossCause.NOT_SENT),
            (
                {'status': 504, 'outcome': 'outcome unknown'},
                LossCause.NO_ANSWER,
            ),
            ({'status': 500, 'outcome': 'answered'}, LossCause.TARGET_FAILED),
            ({**known, 'sends': 2}, LossCause.LATE_RETRY),
            ({**known, 'familiarity': 'other'}, LossCause.LATE_FIRST_RUN),
            ({**known, 'expected_wait_ms': 5}, LossCause.LATE_QUEUE),
            (known, LossCause.LATE_SLOW),
        )
        for fields, expected in cases:
            with self.subTest(fields=fields):
                line = RequestLine(**fields)  # type: ignore[arg-type]
                self.assertIs(loss_cause(line), expected)


class CountTests(unittest.TestCase):
    """Files of a collector, read while they are written."""

    def test_report(self) -> None:
        """A torn line is counted, lines of other events are not."""
        folder = self.enterContext(TemporaryDirectory())
        path = Path(folder) / 'entry.log'
        path.write_text(_LINES, encoding='utf-8')
        report = count_causes([path]).unwrap()
        rejected = LossCause.NO_CAPACITY.value
        self.assertEqual(
            report.document,
            {
                'skipped_lines': 1,
                'interval_seconds': 2,
                'routes': {'shop': {'in time': 1, rejected: 1}},
                'intervals': {0: {'in time': 1}, 4: {rejected: 1}},
            },
        )
        self.assertIn('route shop: 2 requests', report.lines)

    def test_missing_file(self) -> None:
        """The failure names the file."""
        failure = count_causes([Path('missing.log')]).unwrap_err()
        self.assertIn('missing.log', failure.message)
