"""Guards against bytes of targets that are no valid response."""

import unittest
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import SystemClock
from plantainstand_http import FailureKind, TargetConnectionPool
from result import Err

from tests.http.scripted_target import Script, ScriptedTarget

_PAYLOAD = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
_TIMEOUT = timedelta(seconds=1.5)
_REST = b'content-length: 2\r\nx-request-id: a\r\n\r\nok'

_STATUS_LINES = (
    *(b'HTTP/1.1 %s No' % status for status in (b'000', b'001', b'099')),
    *(b'HTTP/1.1 %s No' % status for status in (b'600', b'601', b'999')),
    *(b'HTTP/1.1 %s No' % status for status in (b'2', b'20', b'2000')),
    *(b'HTTP/%s 200 OK' % version for version in (b'2.0', b'0.9', b'1.2')),
)


class InvalidResponseTests(unittest.IsolatedAsyncioTestCase):
    """Nothing is passed on, and nobody waits until the timeout."""

    async def asyncSetUp(self) -> None:
        """Open a pool."""
        self.pool = TargetConnectionPool(SystemClock())
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.stack.callback(self.pool.close)

    async def test_status_line(self) -> None:
        """Guards against statuses below 100 that count as interim, and others
        that are passed on to clients."""
        for line in _STATUS_LINES:
            with self.subTest(line=line):
                await self._check_broken(b'%s\r\n%s' % (line, _REST))

    async def test_status_line_in_calls_for_whole_responses(self) -> None:
        """Guards health and list calls, which read the same way."""
        for line in _STATUS_LINES:
            with self.subTest(line=line):
                target = await self._start(b'%s\r\n%s' % (line, _REST))
                outcome = await self.pool.fetch(
                    target.address, _PAYLOAD, _TIMEOUT, 1000
                )
                assert isinstance(outcome, Err)
                self.assertIs(outcome.err_value.kind, FailureKind.BROKEN)

    async def test_interim_responses_without_end(self) -> None:
        """Guards against a target that never gives its response."""
        await self._check_broken(b'HTTP/1.1 102 Processing\r\n\r\n' * 100)

    async def test_status_000_before_a_response(self) -> None:
        """Guards against a response behind one that is not valid."""
        await self._check_broken(
            b'HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\n%s' % _REST
        )

    async def test_valid_responses(self) -> None:
        """Guards against limits that a sound target meets."""
        interim = b'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'
        for first in (
            b'HTTP/1.1 200 OK',
            b'HTTP/1.0 200 OK',
            b'HTTP/1.1 599 Own',
            b'%sHTTP/1.1 200 OK' % (interim * 5),
        ):
            with self.subTest(first=first):
                target = await self._start(b'%s\r\n%s' % (first, _REST))
                outcome = await self._exchange(target)
                self.assertEqual(outcome, b'ok')

    async def _check_broken(self, answer: bytes) -> None:
        target = await self._start(answer)
        self.assertIs(await self._exchange(target), FailureKind.BROKEN)

    async def _start(self, answer: bytes) -> ScriptedTarget:
        target = ScriptedTarget([Script((answer,))])
        await target.start(self.stack)
        return target

    async def _exchange(self, target: ScriptedTarget) -> bytes | FailureKind:
        outcome = await self.pool.exchange(
            target.address, _PAYLOAD, (b'x-request-id', b'a'), _TIMEOUT
        )
        if isinstance(outcome, Err):
            return outcome.err_value.kind
        return outcome.ok_value.body
