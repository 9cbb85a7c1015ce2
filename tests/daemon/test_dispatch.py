"""An attempt at a target never claims more than is known."""

import unittest
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

from tests.daemon.stub_target import Script, response, run_target

_ID = '01a23f8f-9028-7063-afa9-625233731377'
_LIMITS = AttemptLimits(response_bytes=100, may_reuse_connection=True)
_LEFT = timedelta(milliseconds=100)
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
        'cut in the middle',
        lambda found: response(found, length=50),
        DispatchOutcome.UNKNOWN,
    ),
    (
        'too large',
        lambda found: response(found, body=b'x' * 101),
        DispatchOutcome.UNKNOWN,
    ),
    ('closed without an answer', lambda _id: b'', DispatchOutcome.UNKNOWN),
    ('silent', lambda _id: None, DispatchOutcome.UNKNOWN),
    (
        'refused',
        lambda found: response(found, _UNAVAILABLE, more=_NOT_RUN),
        DispatchOutcome.REFUSED,
    ),
    (
        '503 without the word of the target that it did not run',
        lambda found: response(found, _UNAVAILABLE),
        DispatchOutcome.ANSWERED,
    ),
    (
        'refusal of another request',
        lambda _id: response('other', _UNAVAILABLE, more=_NOT_RUN),
        DispatchOutcome.UNKNOWN,
    ),
)


class TargetClientTest(unittest.TestCase):
    """Guards against mixed-up or cut answers and a false "not run"."""

    def setUp(self) -> None:
        """Open a client."""
        self.client = TargetClient()
        self.addCleanup(self.client.close)

    def test_cases(self) -> None:
        """Only a whole answer to this request counts as one."""
        for name, script, expected in _CASES:
            with self.subTest(name), run_target(script) as port:
                self.assertEqual(self._send(port).outcome, expected)

    def test_refused_connection(self) -> None:
        """A connection that cannot be made proves that nothing ran."""
        with run_target(response) as port:
            freed = port
        outcome = self._send(freed).outcome
        self.assertEqual(outcome, DispatchOutcome.UNREACHABLE)

    def test_no_time_left(self) -> None:
        """A process that was frozen before sending sends nothing."""
        reached: list[str] = []

        def script(found: str) -> bytes:
            reached.append(found)
            return response(found)

        with run_target(script) as port:
            report = self._send(port, timedelta(0))
        self.assertEqual(report.outcome, DispatchOutcome.UNREACHABLE)
        self.assertEqual(reached, [])

    def test_cancel_gives_up_pooled_connections(self) -> None:
        """After a late attempt, the next one does not meet its silence."""
        answers = iter((response, lambda _id: None, response, response))
        with run_target(lambda found: next(answers)(found)) as port:
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

    def _send(self, port: int, left: timedelta = _LEFT) -> DispatchReport:
        address = TargetAddress(TargetId('t'), '127.0.0.1', port, 4)
        return self.client.send(address, _request(), lambda: left, _LIMITS)
