"""Headers of clients and targets."""

import unittest
from datetime import timedelta

from plantainstand_core import TargetId
from plantainstand_http import Request, TargetResponse
from plantainstand_placement import LoadReport
from plantainstand_platform.requests import (
    read_facts,
    read_verdict,
    refusal_headers,
    target_headers,
)


def _request(*headers: tuple[bytes, bytes]) -> Request:
    return Request(b'GET', b'/a/b?c=1', headers, b'', timedelta())


class RequestTests(unittest.TestCase):
    """What a client says."""

    def test_facts(self) -> None:
        """All headers; the port is no part of the host."""
        facts = read_facts(
            _request(
                (b'host', b'shop.example:8080'),
                (b'x-request-id', b'9c41'),
                (b'cookie', b'a=b; X-Affinity-Key=17'),
                (b'x-deadline-ms', b'1200'),
            ),
        )
        assert facts is not None
        self.assertEqual(facts.host, 'shop.example')
        self.assertEqual(facts.path, '/a/b')
        self.assertEqual(facts.object_key, b'17')
        self.assertEqual(facts.client_timeout, timedelta(seconds=1.2))

    def test_missing_and_odd(self) -> None:
        """Without an id nothing is served; an odd deadline is none."""
        self.assertIsNone(read_facts(_request((b'host', b'shop'))))
        facts = read_facts(
            _request((b'x-request-id', b'1'), (b'x-deadline-ms', b'soon')),
        )
        assert facts is not None
        self.assertIsNone(facts.client_timeout)
        self.assertIsNone(facts.object_key)


class TargetTests(unittest.TestCase):
    """What a target is told and says."""

    def test_target_headers(self) -> None:
        """Time is rounded down, so a target never gets more than is left."""
        headers = target_headers(TargetId('i-1'), timedelta(seconds=0.1239))
        self.assertIn((b'x-deadline-ms', b'123'), headers)
        self.assertIn((b'x-expect-instance', b'i-1'), headers)

    def test_verdicts(self) -> None:
        """Only the named header and status say that nothing ran."""
        load = (b'x-server-load', b'3,1,8')
        cases = (
            (
                TargetResponse(200, (load,), b''),
                False,
                False,
                LoadReport(3, 1, 8),
            ),
            (TargetResponse(503, (), b''), False, False, None),
            (
                TargetResponse(503, ((b'x-not-executed', b'1'),), b''),
                True,
                False,
                None,
            ),
            (TargetResponse(421, (), b''), False, True, None),
            (
                TargetResponse(200, ((b'x-server-load', b'x'),), b''),
                False,
                False,
                None,
            ),
        )
        for answer, not_run, misdirected, report in cases:
            with self.subTest(answer):
                verdict = read_verdict(answer)
                self.assertEqual(verdict.not_run, not_run)
                self.assertEqual(verdict.misdirected, misdirected)
                self.assertEqual(verdict.load, report)

    def test_pause_has_fractions(self) -> None:
        """A whole second is long for a request of half a second."""
        headers = refusal_headers(b'1', timedelta(milliseconds=250))
        self.assertIn((b'retry-after', b'0.25'), headers)
