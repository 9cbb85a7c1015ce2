"""Guards pipelining, slow and disconnecting clients, and planned stops."""

import asyncio
import unittest
from contextlib import AsyncExitStack, suppress
from unittest.mock import patch

from plantainstand_core import SystemClock
from plantainstand_http import (
    BodyStream,
    ClientLimits,
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
    """Responds with the path; some paths wait for ``release`` or stream."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.release = asyncio.Event()
        self.streams: list[BodyStream] = []
        self.paused_count = 0

    async def handle(self, request: Request) -> Response:
        """Respond to one request."""
        self.started.append(request.request_target)
        if b'held' in request.request_target:
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled.append(request.request_target)
                raise
        if b'stream' in request.request_target:
            return Response(200, self._headers(request), rest=self._stream())
        body = (
            _LARGE
            if b'large' in request.request_target
            else request.request_target
        )
        return Response(200, (), body)

    def _headers(self, request: Request) -> tuple[tuple[bytes, bytes], ...]:
        if b'sized' in request.request_target:
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
        """Wait until ``count`` requests have reached the application."""
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while len(self.application.started) < count:
                await asyncio.sleep(0.01)


async def _read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of a response with a length."""
    async with asyncio.timeout(_DEADLINE_SECONDS):
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        size = int(length.partition(b'\r\n')[0])
        return head, await reader.readexactly(size)


class PipelineTests(_ServerCase):
    """Requests that are sent before earlier ones have responses."""

    async def test_responses_keep_their_order(self) -> None:
        """A response waits for those of earlier requests."""
        reader, writer = await self.connect()
        writer.write(_get('/held', '/second', '/third'))
        await self.until_started(3)
        self.application.release.set()
        bodies = [(await _read_answer(reader))[1] for _each in range(3)]
        self.assertEqual(bodies, [b'/held', b'/second', b'/third'])

    async def test_request_that_must_not_repeat_waits(self) -> None:
        """A request that must run at most once waits for earlier responses.

        If one of these closes the connection, the client sends it again.
        """
        reader, writer = await self.connect()
        writer.write(_get('/held') + _get('/order', method='DELETE'))
        writer.write(_get('/after'))
        await self.until_started(1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.application.started, [b'/held'])
        self.application.release.set()
        bodies = [(await _read_answer(reader))[1] for _each in range(3)]
        self.assertEqual(bodies, [b'/held', b'/order', b'/after'])

    async def test_malformed_request_after_a_valid_one(self) -> None:
        """The valid request keeps its response; status 400 follows."""
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

    async def test_disconnect_cancels_all_requests(self) -> None:
        """Targets must not go on working for a disconnected client."""
        _reader, writer = await self.connect()
        writer.write(_get('/held/1', '/held/2'))
        await self.until_started(2)
        writer.close()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while len(self.application.cancelled) < 2:
                await asyncio.sleep(0.01)

    async def test_concurrency_of_one_connection_is_bounded(self) -> None:
        """One client must not occupy all targets by pipelining."""
        _reader, writer = await self.connect()
        writer.write(_get(*(f'/held/{number}' for number in range(100))))
        await self.until_started(16)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.application.started), 16)


class StopTests(_ServerCase):
    """A planned stop under load must not lose responses."""

    async def test_pipelined_requests_get_responses(self) -> None:
        """Only the last response announces the close."""
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

    async def test_large_response_to_a_slow_client(self) -> None:
        """A server is busy until the last byte of a response is sent."""
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

    async def test_bytes_after_the_last_request_do_not_reset(self) -> None:
        """Closing with unread bytes would reset and lose the response."""
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
    """Bodies that are forwarded while they arrive."""

    async def test_body_of_known_length(self) -> None:
        """The first bytes are sent before the last have arrived."""
        reader, stream = await self._begin('/stream/sized')
        stream.feed(_LARGE[:1000])
        async with asyncio.timeout(_DEADLINE_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'content-length: 30000000', head)
            await reader.readexactly(1000)
            stream.feed(_LARGE[1000:])
            stream.finish()
            await reader.readexactly(len(_LARGE) - 1000)

    async def test_body_of_unknown_length(self) -> None:
        """A body of unknown length is chunked and ends with an empty chunk."""
        reader, stream = await self._begin('/stream')
        stream.feed(b'abc')
        stream.finish()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'transfer-encoding: chunked', head)
            expected = b'3\r\nabc\r\n0\r\n\r\n'
            self.assertEqual(await reader.readexactly(13), expected)

    async def test_truncated_body_does_not_look_complete(self) -> None:
        """A client must detect that a response is truncated."""
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
        """A slow client must not make memory grow with the body."""
        _reader, stream = await self._begin('/stream')
        for _ in range(400):
            stream.feed(bytes(STREAM_BUFFER_BYTES))
            await asyncio.sleep(0)
            if self.application.paused_count > 3:
                break
        self.assertGreater(self.application.paused_count, 3)

    async def test_disconnect_closes_the_stream(self) -> None:
        """A disconnect ends the stream, so that the target can stop."""
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
    """Limits on the memory that clients can use."""

    async def test_bodies_of_all_clients_are_bounded(self) -> None:
        """Many large bodies at once must not exhaust the memory."""
        self.server.limits = ClientLimits(buffered_body_bytes=100_000)
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
    """One request at a time on a connection, as is usual."""

    async def test_route_is_not_looked_up_for_overlap(self) -> None:
        """A single request must not cost a route lookup for pipelining."""
        checked: list[bytes] = []

        def may_overlap(request: Request) -> bool:
            checked.append(request.request_target)
            return True

        reader, writer = await self.connect()
        with patch.object(self.server._state, 'may_overlap', may_overlap):
            for path in ('/first', '/second'):
                writer.write(_get(path))
                await _read_answer(reader)
        self.assertEqual(checked, [])
