"""Guards the outcomes of exchanges with targets that misbehave."""

import asyncio
import unittest
from collections.abc import Sequence
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import SystemClock
from plantainstand_http import FailureKind, TargetConnectionPool, read_whole
from plantainstand_http._answer_reader import (
    MAX_COLLECTED_BODY_BYTES,
    MAX_FRAMING_BYTES,
    MAX_MISMATCHED_BODY_BYTES,
)
from plantainstand_http._exchange import ExchangeResult
from plantainstand_http._stream import STREAM_BUFFER_BYTES
from result import Err

from tests.http.scripted_target import Script, ScriptedTarget

_REQUEST = b'GET / HTTP/1.1\r\nhost: shop\r\nx-id: mine\r\n\r\n'
_ECHOED_HEADER = (b'x-id', b'mine')
_TIMEOUT = timedelta(seconds=5)
_MATCHING = b'HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok'
_MISMATCHED = b'HTTP/1.1 200 OK\r\nX-Id: theirs\r\nContent-Length: 3\r\n\r\nbad'


_LARGE = bytes(MAX_COLLECTED_BODY_BYTES * 20)
_HEAD = b'HTTP/1.1 200 OK\r\nX-Id: mine\r\n'
_LARGE_RESPONSE = b'%sContent-Length: %d\r\n\r\n%s' % (
    _HEAD,
    len(_LARGE),
    _LARGE,
)
_ENDLESS_REPEATS = 64
_REFUSAL = (
    b'HTTP/1.1 503 Full\r\nX-Id: mine\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 4\r\n\r\nfull'
)
_NEXT = b'HTTP/1.1 200 OK\r\nX-Id: next\r\nContent-Length: 4\r\n\r\nnext'
_FILLER = bytes(MAX_FRAMING_BYTES // 8).replace(b'\0', b'x')


class _ClientCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Create a pool of connections for the test."""
        self.stack = AsyncExitStack()
        self.pool = TargetConnectionPool(SystemClock())
        self.stack.callback(self.pool.close)
        self.addAsyncCleanup(self.stack.aclose)


class ClientTests(_ClientCase):
    """A mismatched or truncated response must not reach a client."""

    async def test_outcome_of_each_response(self) -> None:
        """Each exchange ends with a whole response or with a failure."""
        cases: tuple[tuple[str, Script, bytes | FailureKind], ...] = (
            ('whole', Script((_MATCHING,)), b'ok'),
            (
                'late answer of another first',
                Script((b''.join((_MISMATCHED, _MATCHING)),)),
                b'ok',
            ),
            (
                'interim answer first',
                Script((b'HTTP/1.1 100 Continue\r\n\r\n%s' % _MATCHING,)),
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
            (
                'cut short',
                Script((_MATCHING[:-1],), 'close'),
                FailureKind.BROKEN,
            ),
            ('no HTTP', Script((b'nonsense\r\n',)), FailureKind.BROKEN),
            ('closed', Script((b'',), 'close'), FailureKind.BROKEN),
            (
                'only a foreign one',
                Script((_MISMATCHED,), 'close'),
                FailureKind.BROKEN,
            ),
        )
        for name, script, expected in cases:
            with self.subTest(name):
                self.assertEqual(await self._exchange(script), expected)

    async def test_address_that_cannot_be_used(self) -> None:
        """Guards against an address that fails the request with a fault."""
        for port in ('99999', '-1', 'http', '9' * 5000):
            with self.subTest(port=port[:9]):
                outcome = await self.pool.exchange(
                    f'127.0.0.1:{port}', _REQUEST, _ECHOED_HEADER, _TIMEOUT
                )
                assert isinstance(outcome, Err)
                self.assertIs(outcome.err_value.kind, FailureKind.NOT_SENT)

    async def test_refused_connection_is_not_sent(self) -> None:
        """A refused connection is the proof that a request did not run.

        Only such a request may be sent again if it must run at most once.
        """
        target = ScriptedTarget([])
        async with AsyncExitStack() as stack:
            await target.start(stack)
        outcome = await self.pool.exchange(
            target.address,
            _REQUEST,
            _ECHOED_HEADER,
            _TIMEOUT,
        )
        assert isinstance(outcome, Err)
        self.assertIs(outcome.err_value.kind, FailureKind.NOT_SENT)

    async def test_extra_bytes_end_the_connection(self) -> None:
        """A second response must not be taken for that to the next request."""
        target = ScriptedTarget(
            [Script((_MATCHING * 2,)), Script((_MATCHING,))]
        )
        await target.start(self.stack)
        for expected in (b'ok', b'ok'):
            outcome = await self._send(target)
            self.assertEqual(outcome, expected)
        self.assertEqual(self.pool.opened_count, 2)

    async def test_connection_is_reused(self) -> None:
        """Connections are reused, since opening one briefly takes a slot."""
        target = ScriptedTarget([Script((_MATCHING, _MATCHING))])
        await target.start(self.stack)
        await self._send(target)
        await self._send(target)
        self.assertEqual(self.pool.opened_count, 1)

    async def test_cancel_closes_the_connection(self) -> None:
        """A target stops work only when its connection closes."""
        target = ScriptedTarget([Script((b'',))])
        await target.start(self.stack)
        task = asyncio.create_task(
            self.pool.exchange(
                target.address, _REQUEST, _ECHOED_HEADER, _TIMEOUT
            ),
        )
        while not target.received:
            await asyncio.sleep(0)
        task.cancel()
        async with asyncio.timeout(5):
            while not target.closed_connections:
                await asyncio.sleep(0)

    async def test_late_copy_without_an_id(self) -> None:
        """Without an id it may be the response to an earlier request."""
        copy = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'
        target = ScriptedTarget([Script((_MATCHING, copy))])
        await target.start(self.stack)
        self.assertEqual(await self._send(target), b'ok')
        self.assertEqual(await self._send(target), FailureKind.BROKEN)

    async def test_answer_cut_at_every_byte(self) -> None:
        """Guards against a cut head or body that is taken for a whole one."""
        chunked = b'%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
        for whole in (_MATCHING, chunked % _HEAD, b'%s\r\n' % _HEAD):
            for length, _byte in enumerate(whole):
                with self.subTest(whole[:length]):
                    script = Script((whole[:length],), 'close')
                    outcome = await self._exchange(script)
                    self.assertIs(outcome, FailureKind.BROKEN)

    async def test_repeated_refusal(self) -> None:
        """Guards against an old refusal that is taken for that of a request.

        The target writes the refusal of an earlier request once more, whole or
        in part, while it runs the next one.
        """
        unnamed = _REFUSAL.replace(b'X-Id: mine\r\n', b'')
        cases: tuple[tuple[str, Sequence[bytes], bytes | FailureKind], ...] = (
            ('at once', (_REFUSAL * 2, _NEXT), b'next'),
            ('begun at once', (_REFUSAL + _REFUSAL[:9], _NEXT), b'next'),
            ('before the answer', (_REFUSAL, _REFUSAL + _NEXT), b'next'),
            ('twice before it', (_REFUSAL, _REFUSAL * 2 + _NEXT), b'next'),
            ('alone', (_REFUSAL, _REFUSAL), FailureKind.TIMED_OUT),
            ('without an id', (_REFUSAL, unnamed), FailureKind.BROKEN),
        )
        for name, answers, expected in cases:
            with self.subTest(name):
                scripts = [Script(answers), Script((_NEXT,))]
                target = ScriptedTarget(scripts)
                await target.start(self.stack)
                self.assertEqual(await self._send(target), b'full')
                outcome = await self.pool.exchange(
                    target.address,
                    _REQUEST,
                    (b'x-id', b'next'),
                    timedelta(milliseconds=200),
                )
                self.assertEqual(_body_or_failure(outcome), expected)

    async def test_late_copy_for_a_request_without_an_id(self) -> None:
        """Guards against an answer that ends the next exchange.

        A request without an id, such as a probe, takes the late copy of an
        earlier answer for its own. Its own answer then comes for the next one.
        """
        unnamed = _MATCHING.replace(b'X-Id: mine\r\n', b'')
        cases = (
            ('copy first', (_MATCHING, unnamed), 2),
            ('own answer', (unnamed, _MATCHING), 1),
        )
        for name, answers, connection_count in cases:
            with self.subTest(name):
                self.pool.opened_count = 0
                scripts = [Script((_MATCHING, *answers)), Script((_MATCHING,))]
                target = ScriptedTarget(scripts)
                await target.start(self.stack)
                await self._send(target)
                fetched = await self.pool.fetch(
                    target.address,
                    _REQUEST,
                    _TIMEOUT,
                    MAX_COLLECTED_BODY_BYTES,
                    foreign_header=b'x-id',
                )
                self.assertEqual(_body_or_failure(fetched), b'ok')
                self.assertEqual(await self._send(target), b'ok')
                self.assertEqual(self.pool.opened_count, connection_count)

    async def test_late_copy_in_pieces(self) -> None:
        """A connection on which a second response has begun is not reused."""
        target = ScriptedTarget(
            [Script((_MATCHING + _MATCHING[:20],)), Script((_MATCHING,))],
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
            _ECHOED_HEADER,
            _TIMEOUT,
        )
        return _body_or_failure(outcome)


class LargeResponseTests(_ClientCase):
    """Guards the responses that are forwarded while they arrive."""

    async def test_whole_and_the_connection_is_reused(self) -> None:
        """The connection of a stream that was read to its end is reused."""
        chunked = b'%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
        for answer in (
            _LARGE_RESPONSE,
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

    async def test_truncated_body(self) -> None:
        """A truncated body ends as a failure, however it is framed."""
        unframed = b'%s\r\n%s' % (_HEAD, _LARGE)
        for script, kind in (
            (Script((_LARGE_RESPONSE[:-1],), 'close'), FailureKind.BROKEN),
            (Script((unframed,), 'reset'), FailureKind.BROKEN),
            (Script((_LARGE_RESPONSE[:-1],)), FailureKind.TIMED_OUT),
        ):
            with self.subTest(script.end):
                target = ScriptedTarget([script])
                await target.start(self.stack)
                self.assertEqual(await self._body(target.address), kind)

    async def test_unread_body_takes_no_memory(self) -> None:
        """A target is paused while its response is not read."""
        size = STREAM_BUFFER_BYTES * 200
        head = b'%sContent-Length: %d\r\n\r\n' % (_HEAD, size)
        target = ScriptedTarget([Script((head + bytes(size),))])
        await target.start(self.stack)
        outcome = await self._exchange(target.address)
        rest = outcome.unwrap().rest
        assert rest is not None
        await asyncio.sleep(0.3)
        self.assertLess(rest._buffered_bytes, STREAM_BUFFER_BYTES * 10)
        rest.close()

    async def test_mismatched_response_first(self) -> None:
        """A late copy of another large response is skipped whole."""
        copy = _LARGE_RESPONSE.replace(b'mine', b'late')
        target = ScriptedTarget([Script((copy + _MATCHING,))])
        await target.start(self.stack)
        self.assertEqual(await self._body(target.address), b'ok')

    async def test_bytes_without_end(self) -> None:
        """Endless bytes of any kind end the exchange within a limit."""
        chunked = b'%sTransfer-Encoding: chunked\r\n\r\n' % _HEAD
        mismatched = (
            b'HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: %d\r\n\r\n'
        )
        bodiless_mismatched = mismatched.replace(b'%d', b'0')
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
                'small foreign answers',
                b'',
                bodiless_mismatched * 500,
            ),
            (
                'foreign body',
                mismatched % (MAX_MISMATCHED_BODY_BYTES * 9),
                _FILLER * 9,
            ),
        )
        for name, begin, again in cases:
            with self.subTest(name):
                target = ScriptedTarget(
                    [Script((begin + again * _ENDLESS_REPEATS,))]
                )
                await target.start(self.stack)
                async with asyncio.timeout(_TIMEOUT.total_seconds()):
                    outcome = await self._body(target.address)
                self.assertEqual(outcome, FailureKind.BROKEN)

    async def _exchange(self, address: str) -> ExchangeResult:
        timeout = timedelta(milliseconds=1500)
        return await self.pool.exchange(
            address, _REQUEST, _ECHOED_HEADER, timeout
        )

    async def _body(self, address: str) -> bytes | FailureKind:
        outcome = await self._exchange(address)
        if isinstance(outcome, Err):
            return outcome.err_value.kind
        whole = await read_whole(outcome.ok_value, len(_LARGE) * 2)
        return _body_or_failure(whole)


def _body_or_failure(outcome: ExchangeResult) -> bytes | FailureKind:
    if isinstance(outcome, Err):
        return outcome.err_value.kind
    return outcome.ok_value.body
