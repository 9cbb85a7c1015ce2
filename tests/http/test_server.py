"""Clients that pipeline, read slowly, leave, or meet a planned stop."""

import asyncio
import unittest
from contextlib import AsyncExitStack, suppress
from unittest.mock import patch

from plantainstand_core import SystemClock
from plantainstand_http import (
    BodyStream,
    ExchangeFailure,
    FailureKind,
    HttpServer,
    Request,
    Response,
    StreamSource,
)
from plantainstand_http._stream import STREAM_BUFFER_BYTES

_LARGE = bytes(30_000_000)
_DEADLINE_SECONDS = 10


class _Application:
    """Answers with the path; some paths are held back or streamed."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.release = asyncio.Event()
        self.streams: list[BodyStream] = []
        self.paused_count = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        self.started.append(request.target)
        if b'held' in request.target:
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled.append(request.target)
                raise
        if b'stream' in request.target:
            return Response(200, self._headers(request), rest=self._stream())
        body = _LARGE if b'large' in request.target else request.target
        return Response(200, (), body)

    def _headers(self, request: Request) -> tuple[tuple[bytes, bytes], ...]:
        if b'sized' in request.target:
            return ((b'content-length', b'%d' % len(_LARGE)),)
        return ()

    def _stream(self) -> BodyStream:
        source = StreamSource(self._pause, lambda: None, lambda: None)
        stream = BodyStream(source)
        self.streams.append(stream)
        return stream

    def _pause(self) -> None:
        self.paused_count += 1


def _is_get(request: Request) -> bool:
    return request.method == b'GET'


def _get(*paths: str, method: str = 'GET') -> bytes:
    lines = [f'{method} {path} HTTP/1.1\r\nhost: a\r\n\r\n' for path in paths]
    return ''.join(lines).encode()


class _ServerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Serve the application on a free port."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.application = _Application()
        self.server = HttpServer(
            self.application.handle,
            SystemClock(),
            _is_get,
        )
        await self.server.start('127.0.0.1', 0, self.stack)
        listener = self.server._listener
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a client."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.stack.callback(writer.close)
        return reader, writer

    async def until_started(self, count: int) -> None:
        """Wait until so many requests have reached the application."""
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while len(self.application.started) < count:
                await asyncio.sleep(0.01)


async def _read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of an answer with a length."""
    async with asyncio.timeout(_DEADLINE_SECONDS):
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        size = int(length.partition(b'\r\n')[0])
        return head, await reader.readexactly(size)


class PipelineTests(_ServerCase):
    """Requests sent before the earlier ones are answered."""

    async def test_answers_keep_their_order(self) -> None:
        """The first answer comes first, though the second is ready."""
        reader, writer = await self.connect()
        writer.write(_get('/held', '/second', '/third'))
        await self.until_started(3)
        self.application.release.set()
        bodies = [(await _read_answer(reader))[1] for _each in range(3)]
        self.assertEqual(bodies, [b'/held', b'/second', b'/third'])

    async def test_work_that_must_not_repeat_waits(self) -> None:
        """A client sends it again if an earlier answer closes."""
        reader, writer = await self.connect()
        writer.write(_get('/held') + _get('/order', method='DELETE'))
        writer.write(_get('/after'))
        await self.until_started(1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.application.started, [b'/held'])
        self.application.release.set()
        bodies = [(await _read_answer(reader))[1] for _each in range(3)]
        self.assertEqual(bodies, [b'/held', b'/order', b'/after'])

    async def test_bad_request_behind_a_good_one(self) -> None:
        """The good one keeps its answer; the bad one's follows."""
        reader, writer = await self.connect()
        writer.write(b'%snonsense\r\n\r\n' % _get('/held'))
        await self.until_started(1)
        await asyncio.sleep(0.05)
        self.application.release.set()
        _head, body = await _read_answer(reader)
        self.assertEqual(body, b'/held')
        head, _body = await _read_answer(reader)
        self.assertIn(b' 400 ', head)
        self.assertIn(b'connection: close', head)

    async def test_leaving_client_cancels_all(self) -> None:
        """Targets must not go on working for a client that has left."""
        _reader, writer = await self.connect()
        writer.write(_get('/held/1', '/held/2'))
        await self.until_started(2)
        writer.close()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while len(self.application.cancelled) < 2:
                await asyncio.sleep(0.01)

    async def test_concurrency_of_one_connection_is_bounded(self) -> None:
        """One client must not take all targets by pipelining."""
        _reader, writer = await self.connect()
        writer.write(_get(*(f'/held/{number}' for number in range(100))))
        await self.until_started(16)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.application.started), 16)


class StopTests(_ServerCase):
    """A planned stop under load."""

    async def test_pipelined_requests_are_answered(self) -> None:
        """Only the last answer says that the connection ends."""
        reader, writer = await self.connect()
        writer.write(_get('/held', '/second'))
        await self.until_started(2)
        self.server.announce_close()
        self.server.stop_accepting()
        self.application.release.set()
        head, _body = await _read_answer(reader)
        self.assertNotIn(b'connection: close', head)
        head, body = await _read_answer(reader)
        self.assertIn(b'connection: close', head)
        self.assertEqual(body, b'/second')

    async def test_large_answer_to_a_slow_client(self) -> None:
        """A server is busy until the last byte of an answer has left."""
        reader, writer = await self.connect()
        writer.write(_get('/large'))
        await self.until_started(1)
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.1)
        self.server.announce_close()
        self.server.stop_accepting()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.busy_count, 1)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        _head, body = await _read_answer(reader)
        self.assertEqual(body, _LARGE)

    async def test_bytes_behind_the_last_answer_do_not_reset_it(self) -> None:
        """A close that meets unread bytes would destroy the answer."""
        reader, writer = await self.connect()
        writer.write(_get('/held'))
        await self.until_started(1)
        self.server.announce_close()
        self.application.release.set()
        await asyncio.sleep(0.05)
        writer.write(_get('/unread'))
        _head, body = await _read_answer(reader)
        self.assertEqual(body, b'/held')
        self.assertEqual(self.application.started, [b'/held'])
        async with asyncio.timeout(_DEADLINE_SECONDS):
            with suppress(ConnectionResetError):
                self.assertEqual(await reader.read(), b'')


class StreamTests(_ServerCase):
    """Bodies that are passed on while they arrive."""

    async def test_sized(self) -> None:
        """The first bytes do not wait for the last."""
        reader, stream = await self._begin('/stream/sized')
        stream.feed(_LARGE[:1000])
        async with asyncio.timeout(_DEADLINE_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'content-length: 30000000', head)
            await reader.readexactly(1000)
            stream.feed(_LARGE[1000:])
            stream.finish()
            await reader.readexactly(len(_LARGE) - 1000)

    async def test_unsized(self) -> None:
        """A body of unknown length is chunked, and its end is shown."""
        reader, stream = await self._begin('/stream')
        stream.feed(b'abc')
        stream.finish()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'transfer-encoding: chunked', head)
            expected = b'3\r\nabc\r\n0\r\n\r\n'
            self.assertEqual(await reader.readexactly(13), expected)

    async def test_cut_body_does_not_look_complete(self) -> None:
        """A client must not take part of an answer for all of it."""
        for path in ('/stream', '/stream/sized'):
            with self.subTest(path):
                self.application.streams.clear()
                reader, stream = await self._begin(path)
                stream.feed(b'abc')
                failure = ExchangeFailure(FailureKind.BROKEN, 'reset')
                stream.finish(failure)
                async with asyncio.timeout(_DEADLINE_SECONDS):
                    received = await reader.read()
                self.assertNotIn(b'0\r\n\r\n', received[-7:])
                self.assertLess(len(received), len(_LARGE))

    async def test_slow_client_pauses_the_source(self) -> None:
        """Memory must not grow with the size of a body."""
        _reader, stream = await self._begin('/stream')
        for _ in range(400):
            stream.feed(bytes(STREAM_BUFFER_BYTES))
            await asyncio.sleep(0)
            if self.application.paused_count > 3:
                break
        self.assertGreater(self.application.paused_count, 3)

    async def test_leaving_client_closes_the_stream(self) -> None:
        """The target of an abandoned download is told to stop."""
        ends: list[bool] = []
        reader, stream = await self._begin('/stream')
        stream.when_closed(lambda end: ends.append(end.is_ok()))
        stream.feed(b'abc')
        transport = reader._transport  # type: ignore[attr-defined]
        transport.abort()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while not ends:
                await asyncio.sleep(0.01)
        self.assertEqual(ends, [False])

    async def _begin(
        self,
        path: str,
    ) -> tuple[asyncio.StreamReader, BodyStream]:
        reader, writer = await self.connect()
        writer.write(_get(path))
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while not self.application.streams:
                await asyncio.sleep(0.01)
        return reader, self.application.streams[0]


class LimitTests(_ServerCase):
    """What a client may take up."""

    async def test_bodies_of_all_clients_are_bounded(self) -> None:
        """Many large bodies at once must not end the process."""
        with patch(
            'plantainstand_http._client_connection.MAX_BUFFERED_BODY_BYTES',
            100_000,
        ):
            reader, writer = await self.connect()
            writer.write(
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 900000\r\n\r\n',
            )
            writer.write(bytes(200_000))
            head, _body = await _read_answer(reader)
        self.assertIn(b' 503 ', head)
        self.assertIn(b'retry-after', head)
        self.assertEqual(self.application.started, [])


class SingleRequestTests(_ServerCase):
    """The usual case: one request at a time on a connection."""

    async def test_route_is_not_looked_up_for_overlap(self) -> None:
        """A single request must not pay for the decision on pipelines."""
        asked: list[bytes] = []

        def may_overlap(request: Request) -> bool:
            asked.append(request.target)
            return True

        reader, writer = await self.connect()
        with patch.object(self.server._state, 'may_overlap', may_overlap):
            for path in ('/first', '/second'):
                writer.write(_get(path))
                await _read_answer(reader)
        self.assertEqual(asked, [])
