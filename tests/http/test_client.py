"""What is known after an exchange with a target that misbehaves."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import SystemClock
from plantainstand_http import FailureKind, TargetPool
from result import Err

from tests.http.scripted_target import Script, ScriptedTarget

_REQUEST = b'GET / HTTP/1.1\r\nhost: shop\r\nx-id: mine\r\n\r\n'
_IDENTITY = (b'x-id', b'mine')
_TIMEOUT = timedelta(seconds=5)
_GOOD = b'HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok'
_FOREIGN = b'HTTP/1.1 200 OK\r\nX-Id: theirs\r\nContent-Length: 3\r\n\r\nbad'


class ClientTests(unittest.IsolatedAsyncioTestCase):
    """A wrong or cut answer must not reach a client as its own."""

    async def asyncSetUp(self) -> None:
        """Own targets and connections for the test."""
        self.stack = AsyncExitStack()
        self.pool = TargetPool(SystemClock())
        self.stack.callback(self.pool.close)
        self.addAsyncCleanup(self.stack.aclose)

    async def test_outcomes(self) -> None:
        """Each answer ends whole or as a failure, never in between."""
        cases: tuple[tuple[str, Script, bytes | FailureKind], ...] = (
            ('whole', Script((_GOOD,)), b'ok'),
            (
                'late answer of another first',
                Script((b''.join((_FOREIGN, _GOOD)),)),
                b'ok',
            ),
            (
                'interim answer first',
                Script((b'HTTP/1.1 100 Continue\r\n\r\n%s' % _GOOD,)),
                b'ok',
            ),
            (
                'no length, closed',
                Script((b'HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nok',), 'close'),
                b'ok',
            ),
            (
                'no length, reset',
                Script((b'HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nok',), 'reset'),
                FailureKind.BROKEN,
            ),
            ('cut short', Script((_GOOD[:-1],), 'close'), FailureKind.BROKEN),
            ('no HTTP', Script((b'nonsense\r\n',)), FailureKind.BROKEN),
            ('closed', Script((b'',), 'close'), FailureKind.BROKEN),
            (
                'only a foreign one',
                Script((_FOREIGN,), 'close'),
                FailureKind.BROKEN,
            ),
        )
        for name, script, expected in cases:
            with self.subTest(name):
                self.assertEqual(await self._exchange(script), expected)

    async def test_refused_connection_is_not_sent(self) -> None:
        """Only then may a request that must not repeat be sent again."""
        target = ScriptedTarget([])
        async with AsyncExitStack() as stack:
            await target.start(stack)
        outcome = await self.pool.exchange(
            target.address,
            _REQUEST,
            _IDENTITY,
            _TIMEOUT,
        )
        assert isinstance(outcome, Err)
        self.assertIs(outcome.err_value.kind, FailureKind.NOT_SENT)

    async def test_extra_bytes_end_the_connection(self) -> None:
        """A second answer must not meet the next request."""
        target = ScriptedTarget([Script((_GOOD * 2,)), Script((_GOOD,))])
        await target.start(self.stack)
        for expected in (b'ok', b'ok'):
            outcome = await self._send(target)
            self.assertEqual(outcome, expected)
        self.assertEqual(self.pool.opened_count, 2)

    async def test_connection_is_reused(self) -> None:
        """Opening a connection costs the target a slot for a while."""
        target = ScriptedTarget([Script((_GOOD, _GOOD))])
        await target.start(self.stack)
        await self._send(target)
        await self._send(target)
        self.assertEqual(self.pool.opened_count, 1)

    async def test_cancel_closes_the_connection(self) -> None:
        """A target stops only when its connection closes."""
        target = ScriptedTarget([Script((b'',))])
        await target.start(self.stack)
        task = asyncio.create_task(
            self.pool.exchange(target.address, _REQUEST, _IDENTITY, _TIMEOUT),
        )
        while not target.received:
            await asyncio.sleep(0)
        task.cancel()
        async with asyncio.timeout(5):
            while not target.closed_connections:
                await asyncio.sleep(0)

    async def _exchange(self, script: Script) -> bytes | FailureKind:
        target = ScriptedTarget([script])
        await target.start(self.stack)
        return await self._send(target)

    async def _send(self, target: ScriptedTarget) -> bytes | FailureKind:
        outcome = await self.pool.exchange(
            target.address,
            _REQUEST,
            _IDENTITY,
            _TIMEOUT,
        )
        if isinstance(outcome, Err):
            return outcome.err_value.kind
        return outcome.ok_value.body
