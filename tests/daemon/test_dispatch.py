"""Outcomes of attempts at targets."""

import time
import tracemalloc
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from plantainstand_core import RequestId, ServiceId, TargetId
from plantainstand_daemon._dispatch import (
    AttemptLimits,
    DispatchOutcome,
    DispatchReport,
    TargetAddress,
    TargetClient,
)
from plantainstand_daemon._messages import SteeredRequest

from tests.daemon.stub_target import (
    Script,
    response,
    run_endless,
    run_target,
)

_ID = '01a23f8f-9028-7063-afa9-625233731377'
_LIMITS = AttemptLimits(response_bytes=100, may_reuse_connection=True)
_TIME_LEFT = timedelta(milliseconds=100)
_MOST_MEMORY_BYTES = 1_000_000
_MOST_SECONDS = 2.0
"""The longest deadline here, 1 s, and time for a busy machine."""

_NOT_RUN = 'Request-Outcome: not-run\r\n'
_UNAVAILABLE = '503 Service Unavailable'


def _request() -> SteeredRequest:
    return SteeredRequest(
        RequestId(_ID),
        ServiceId('order'),
        'POST',
        '/orders',
        (('Host', 'entry'), ('Accept', 'text/plain')),
        b'body',
        timedelta(seconds=1),
    )


_CASES: tuple[tuple[str, Script, DispatchOutcome], ...] = (
    ('whole answer', response, DispatchOutcome.ANSWERED),
    (
        'answer of another request',
        lambda _id: response('other'),
        DispatchOutcome.UNKNOWN,
    ),
    (
        'body shorter than Content-Length',
        lambda request_id: response(request_id, length=50),
        DispatchOutcome.UNKNOWN,
    ),
    (
        'too large',
        lambda request_id: response(request_id, body=b'x' * 101),
        DispatchOutcome.UNKNOWN,
    ),
    ('closed without an answer', lambda _id: b'', DispatchOutcome.UNKNOWN),
    ('silent', lambda _id: None, DispatchOutcome.UNKNOWN),
    (
        'refused',
        lambda request_id: response(
            request_id, _UNAVAILABLE, extra_headers=_NOT_RUN
        ),
        DispatchOutcome.REFUSED,
    ),
    (
        '503 without the outcome header',
        lambda request_id: response(request_id, _UNAVAILABLE),
        DispatchOutcome.ANSWERED,
    ),
    (
        'refusal of another request',
        lambda _id: response('other', _UNAVAILABLE, extra_headers=_NOT_RUN),
        DispatchOutcome.UNKNOWN,
    ),
)


class TargetClientTest(unittest.TestCase):
    """Guards against mixed-up or partial answers and a false "not run"."""

    def setUp(self) -> None:
        """Open a client."""
        self.client = TargetClient()
        self.addCleanup(self.client.close)

    def test_outcome_of_each_response(self) -> None:
        """Only a complete answer with the request's id counts as an answer."""
        for name, script, expected in _CASES:
            with self.subTest(name), run_target(script) as port:
                self.assertEqual(self._send(port).outcome, expected)

    def test_answer_cut_at_every_byte(self) -> None:
        """Guards against a cut head that is taken for a whole one.

        Without its Content-Length, an answer ends with its connection, so the
        caller would get an empty body that looks whole.
        """
        whole = response(_ID, extra_headers='Stamp: 3e1b\r\n')
        parts = [whole[:length] for length, _byte in enumerate(whole)]
        remaining = iter(parts)
        with run_target(lambda _id: next(remaining)) as port:
            for part in parts:
                with self.subTest(part):
                    outcome = self._send(port).outcome
                    self.assertIs(outcome, DispatchOutcome.UNKNOWN)

    def test_bytes_without_end(self) -> None:
        """They end at the deadline and take little memory.

        Guards against a target that takes the VM's memory or its threads.
        """
        whole = f'HTTP/1.1 200 OK\r\nRequest-Id: {_ID}\r\n'
        chunked = f'{whole}Transfer-Encoding: chunked\r\n\r\n'
        refused = f'HTTP/1.1 {_UNAVAILABLE}\r\nRequest-Id: {_ID}\r\n{_NOT_RUN}'
        cases = (
            ('interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'),
            ('status line', '', 'HTTP/1.1 200 x'),
            ('header', f'{whole}A: ', 'x'),
            ('headers', whole, 'A: b\r\n'),
            ('body', f'{whole}\r\n', 'x'),
            ('chunks of one byte', chunked, '1\r\nx\r\n'),
            ('chunk size', chunked, '0'),
            ('chunk extension', f'{chunked}1;a=', 'x'),
            ('trailers', f'{chunked}0\r\n', 'A: b\r\n'),
            ('refusal', f'{refused}\r\n', 'x'),
        )
        for name, head, piece in cases:
            pieces = piece.encode() * 1_000
            with self.subTest(name), run_endless(head.encode(), pieces) as port:
                with self.assert_bounded():
                    self._send(port)
                with self.assert_bounded():
                    address = TargetAddress(TargetId('x'), '127.0.0.1', port, 9)
                    self.assertIsNone(self.client.read_json(address, '/health'))

    @contextmanager
    def assert_bounded(self) -> Iterator[None]:
        """Fail if the block takes much memory or time."""
        tracemalloc.start()
        began = time.monotonic()
        try:
            yield
            _current, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, _MOST_MEMORY_BYTES)
        self.assertLess(time.monotonic() - began, _MOST_SECONDS)

    def test_refused_connection(self) -> None:
        """A refused connection proves that the request did not run."""
        with run_target(response) as port:
            closed_port = port
        outcome = self._send(closed_port).outcome
        self.assertEqual(outcome, DispatchOutcome.UNREACHABLE)

    def test_sends_nothing_without_time_left(self) -> None:
        """Nothing is sent if the deadline passed while the VM was paused."""
        reached: list[str] = []

        def script(request_id: str) -> bytes:
            reached.append(request_id)
            return response(request_id)

        with run_target(script) as port:
            report = self._send(port, timedelta(0))
        self.assertEqual(report.outcome, DispatchOutcome.UNREACHABLE)
        self.assertEqual(reached, [])

    def test_cancel_closes_pooled_connections(self) -> None:
        """After a cancel, no silent pooled connection is reused."""
        answers = iter((response, lambda _id: None, response, response))
        with run_target(lambda request_id: next(answers)(request_id)) as port:
            address = TargetAddress(TargetId('t'), '127.0.0.1', port, 4)
            outcomes = [self._send(port).outcome, self._send(port).outcome]
            self.client.cancel(address, _ID)
            outcomes.append(self._send(port).outcome)
        self.assertEqual(
            outcomes,
            [
                DispatchOutcome.ANSWERED,
                DispatchOutcome.UNKNOWN,
                DispatchOutcome.ANSWERED,
            ],
        )

    def _send(
        self, port: int, time_left: timedelta = _TIME_LEFT
    ) -> DispatchReport:
        address = TargetAddress(TargetId('t'), '127.0.0.1', port, 4)
        return self.client.send(address, _request(), lambda: time_left, _LIMITS)
