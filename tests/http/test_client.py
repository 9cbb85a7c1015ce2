"""What is known after an exchange with a target that misbehaves."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import SystemClock
from plantainstand_http import FailureKind, TargetPool, read_whole
from plantainstand_http._answer_reader import (
    MAX_COLLECTED_BODY_BYTES,
    MAX_FRAMING_BYTES,
    MAX_MISMATCHED_BODY_BYTES,
)
from plantainstand_http._connection import ExchangeResult
from plantainstand_http._stream import STREAM_BUFFER_BYTES
from result import Err

from tests.http.scripted_target import Script, ScriptedTarget

_REQUEST = b'GET / HTTP/1.1\r\nhost: shop\r\nx-id: mine\r\n\r\n'
_IDENTITY = (b'x-id', b'mine')
_TIMEOUT = timedelta(seconds=5)
_GOOD = b'HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok'
_FOREIGN = b'HTTP/1.1 200 OK\r\nX-Id: theirs\r\nContent-Length: 3\r\n\r\nbad'


_LARGE = bytes(MAX_COLLECTED_BODY_BYTES * 20)
_HEAD = b'HTTP/1.1 200 OK\r\nX-Id: mine\r\n'
_LARGE_ANSWER = b'%sContent-Length: %d\r\n\r\n%s' % (
    _HEAD,
    len(_LARGE),
    _LARGE,
)
_ENDLESS = 64
_FILLER = bytes(MAX_FRAMING_BYTES // 8).replace(b'\0', b'x')


class _ClientCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Own targets and connections for the test."""
        self.stack = AsyncExitStack()
        self.pool = TargetPool(SystemClock())
        self.stack.callback(self.pool.close)
        self.addAsyncCleanup(self.stack.aclose)


class ClientTests(_ClientCase):
    """A wrong or cut answer must not reach a client as its own."""

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

    async def test_late_copy_without_an_id(self) -> None:
        """Such bytes cannot be told from an answer of somebody else."""
        copy = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'
        target = ScriptedTarget([Script((_GOOD, copy))])
        await target.start(self.stack)
        self.assertEqual(await self._send(target), b'ok')
        self.assertEqual(await self._send(target), FailureKind.BROKEN)

    async def test_late_copy_in_pieces(self) -> None:
        """A copy that begins behind the answer ends the connection."""
        target = ScriptedTarget(
            [Script((_GOOD + _GOOD[:20],)), Script((_GOOD,))],
        )
        await target.start(self.stack)
        for _ in range(2):
            self.assertEqual(await self._send(target), b'ok')
        self.assertEqual(self.pool.opened_count, 2)

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


class LargeAnswerTests(_ClientCase):
    """Answers that are passed on while they arrive."""

    async def test_whole_and_the_connection_is_reused(self) -> None:
        """A stream that was read to its end costs no new connection."""
        chunked = b'%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
        for answer in (
            _LARGE_ANSWER,
            chunked % (_HEAD, len(_LARGE), _LARGE),
        ):
            with self.subTest(answer[:60]):
                self.pool.opened_count = 0
                target = ScriptedTarget([Script((answer, answer))])
                await target.start(self.stack)
                for _ in range(2):
                    body = await self._body(target.address)
                    self.assertEqual(body, _LARGE)
                self.assertEqual(self.pool.opened_count, 1)

    async def test_cut(self) -> None:
        """A cut body ends as a failure, however it is framed."""
        unframed = b'%s\r\n%s' % (_HEAD, _LARGE)
        for script, kind in (
            (Script((_LARGE_ANSWER[:-1],), 'close'), FailureKind.BROKEN),
            (Script((unframed,), 'reset'), FailureKind.BROKEN),
            (Script((_LARGE_ANSWER[:-1],)), FailureKind.TIMED_OUT),
        ):
            with self.subTest(script.end):
                target = ScriptedTarget([script])
                await target.start(self.stack)
                self.assertEqual(await self._body(target.address), kind)

    async def test_unread_body_takes_no_memory(self) -> None:
        """A target is paused while nobody reads its answer."""
        size = STREAM_BUFFER_BYTES * 200
        head = b'%sContent-Length: %d\r\n\r\n' % (_HEAD, size)
        target = ScriptedTarget([Script((head + bytes(size),))])
        await target.start(self.stack)
        outcome = await self._exchange(target.address)
        rest = outcome.unwrap().rest
        assert rest is not None
        await asyncio.sleep(0.3)
        self.assertLess(rest._held_bytes, STREAM_BUFFER_BYTES * 10)
        rest.close()

    async def test_foreign_answer_first(self) -> None:
        """A late copy of a large answer is skipped whole."""
        copy = _LARGE_ANSWER.replace(b'mine', b'late')
        target = ScriptedTarget([Script((copy + _GOOD,))])
        await target.start(self.stack)
        self.assertEqual(await self._body(target.address), b'ok')

    async def test_bytes_without_end(self) -> None:
        """Whatever a target sends, it ends within a bound of bytes."""
        chunked = b'%sTransfer-Encoding: chunked\r\n\r\n' % _HEAD
        foreign = b'HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: %d\r\n\r\n'
        cases = (
            ('status line', b'HTTP/1.1 200 ', _FILLER),
            ('one header', b'%sa: ' % _HEAD, _FILLER),
            ('many headers', _HEAD, b'a: b\r\n' * 2000),
            ('interim answers', b'', b'HTTP/1.1 103 Hint\r\n\r\n' * 500),
            ('chunk extension', b'%s3;' % chunked, _FILLER),
            ('chunk size', chunked, b'0' * len(_FILLER)),
            ('trailer', b'%s0\r\na: ' % chunked, _FILLER),
            ('many trailers', b'%s0\r\n' % chunked, b'a: b\r\n' * 2000),
            (
                'foreign body',
                foreign % (MAX_MISMATCHED_BODY_BYTES * 9),
                _FILLER * 9,
            ),
        )
        for name, begin, again in cases:
            with self.subTest(name):
                target = ScriptedTarget([Script((begin + again * _ENDLESS,))])
                await target.start(self.stack)
                async with asyncio.timeout(_TIMEOUT.total_seconds()):
                    outcome = await self._body(target.address)
                self.assertEqual(outcome, FailureKind.BROKEN)

    async def _exchange(self, address: str) -> ExchangeResult:
        timeout = timedelta(milliseconds=1500)
        return await self.pool.exchange(address, _REQUEST, _IDENTITY, timeout)

    async def _body(self, address: str) -> bytes | FailureKind:
        outcome = await self._exchange(address)
        if isinstance(outcome, Err):
            return outcome.err_value.kind
        whole = await read_whole(outcome.ok_value, len(_LARGE) * 2)
        if isinstance(whole, Err):
            return whole.err_value.kind
        return whole.ok_value.body
