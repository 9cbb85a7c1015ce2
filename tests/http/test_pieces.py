"""Guards against peers whose bytes cost more than their number says."""

import asyncio
import time
import tracemalloc
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from plantainstand_core import SystemClock
from plantainstand_http import (
    BodyStream,
    FailureKind,
    HttpServer,
    Request,
    Response,
    StreamSource,
    TargetConnectionPool,
)
from plantainstand_http._answer_reader import ResponseReader
from plantainstand_http._reader import RequestReader

_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_PIECES = b'1\r\na\r\n' * 10_000
_SHARE = 0.1
"""Largest part of the event loop that the pieces may take."""

_PIECE_SECONDS = 2.5e-6
"""Time that one piece may take, three times what was measured."""

_BURST_PIECES = 8_000
_WATCHED_SECONDS = 1.0
_MOST_PIECES = _BURST_PIECES + _WATCHED_SECONDS * _SHARE / _PIECE_SECONDS


def _ignore(*_arguments: object) -> None:
    """Do nothing with an event."""


async def _send_endlessly(
    _reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
) -> None:
    writer.write(head)
    while not writer.is_closing():
        writer.write(_PIECES)
        try:
            await writer.drain()
        except ConnectionError:
            return


class EndlessPiecesTests(unittest.IsolatedAsyncioTestCase):
    """Chunks of one byte without end, from a target or from a client."""

    async def asyncSetUp(self) -> None:
        """Create the owner of servers and connections."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def test_target(self) -> None:
        """They take a bounded share of the event loop.

        Guards against an entry VM that stands still for the requests to other
        services, and against an answer that outlives its deadline.
        """
        server = await asyncio.start_server(
            lambda reader, writer: _send_endlessly(reader, writer, _HEAD),
            '127.0.0.1',
            0,
        )
        self.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = TargetConnectionPool(SystemClock())
        self.stack.callback(pool.close)
        timeout = timedelta(seconds=_WATCHED_SECONDS)
        payload = b'GET / HTTP/1.1\r\n\r\n'
        counts, on_body = _counting(ResponseReader.on_body)
        with patch.object(ResponseReader, 'on_body', on_body):
            exchanged = await pool.exchange(
                f'127.0.0.1:{port}', payload, (b'', None), timeout
            )
            stream = exchanged.unwrap().rest
            assert stream is not None
            began = time.monotonic()
            part = await stream.next_part()
            while part.is_ok():
                part = await stream.next_part()
            took = time.monotonic() - began
        stream.close()
        self.assertIs(part.unwrap_err().kind, FailureKind.TIMED_OUT)
        self.assertLess(took, 2 * _WATCHED_SECONDS)
        self.assertLess(len(counts), _MOST_PIECES)

    async def test_client(self) -> None:
        """They take a bounded share of the event loop."""

        async def respond(_request: Request) -> Response:
            return Response(200)

        server = HttpServer(respond, SystemClock())
        await server.start('127.0.0.1', 0, self.stack)
        listener = server._listener
        assert listener is not None
        port = listener.sockets[0].getsockname()[1]
        head = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        counts, on_body = _counting(RequestReader.on_body)
        with patch.object(RequestReader, 'on_body', on_body):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            sending = asyncio.create_task(_send_endlessly(reader, writer, head))
            await asyncio.sleep(_WATCHED_SECONDS)
            sending.cancel()
            writer.close()
        self.assertLess(len(counts), _MOST_PIECES)


def _counting(
    method: Callable[[Any, bytes], None],
) -> tuple[list[int], Callable[[Any, bytes], None]]:
    """Return a list with an item for each call, and the method to call."""
    counts: list[int] = []

    def counted(reader: Any, part: bytes) -> None:
        counts.append(len(part))
        method(reader, part)

    return counts, counted


class PieceMemoryTests(unittest.TestCase):
    """Guards against memory that grows with the number of pieces."""

    def setUp(self) -> None:
        """Trace the memory of the test."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def test_request_body(self) -> None:
        """A body takes twice its length, whatever its pieces are."""
        reader = RequestReader(SystemClock(), _ignore, _ignore)
        reader.feed(b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n')
        for _ in range(100):
            reader.feed(b'2\r\nab\r\n' * 2_000)
        self.assert_held(reader.body_bytes)

    def test_trailers(self) -> None:
        """Trailers without end are not kept."""
        reader = RequestReader(SystemClock(), _ignore, _ignore)
        reader.feed(
            b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n'
        )
        for _ in range(100):
            reader.feed(b'some: trailer\r\n' * 2_000)
        self.assert_held(0)

    def test_response_headers(self) -> None:
        """Headers without end are a fault before they take memory."""
        source = StreamSource(_ignore, _ignore, _ignore)
        reader = ResponseReader(_ignore, _ignore)
        reader.expect((b'', None), source, head_only=False)
        reader.feed(b'HTTP/1.1 200 OK\r\n')
        fault = reader.feed(b'a:b\r\n' * 10_000)
        self.assertIsNotNone(fault)
        self.assert_held(0)

    def test_unread_stream(self) -> None:
        """Parts that nobody reads take their bytes only."""
        stream = BodyStream(StreamSource(_ignore, _ignore, _ignore))
        for _ in range(100_000):
            stream.feed(b'ab')
        self.assert_held(200_000)

    def assert_held(self, body_bytes: int) -> None:
        """Fail if the body takes more than twice its length."""
        current, _peak = tracemalloc.get_traced_memory()
        self.assertLess(current, 2 * body_bytes + _FIXED_BYTES)


_FIXED_BYTES = 100_000
"""Memory besides bodies: the parser, headers, the test itself."""
