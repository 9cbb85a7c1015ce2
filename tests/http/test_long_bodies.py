"""Guards long request bodies: held once, in parts, and sent whole."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import SystemClock
from plantainstand_http import (
    HttpServer,
    Request,
    Response,
    TargetConnectionPool,
    encode_request,
)

_PORT = 29_732
_TARGET_PORT = 29_733
_SIZE = 1_000_003
_BODY = bytes(number % 251 for number in range(_SIZE))


class LongBodyTests(unittest.IsolatedAsyncioTestCase):
    """A server forwards a long body to a target that reads slowly."""

    async def asyncSetUp(self) -> None:
        """Start both."""
        clock = SystemClock()
        self.pool = TargetConnectionPool(clock)
        self.request: Request | None = None
        self.received = bytearray()
        stack = await self.enterAsyncContext(AsyncExitStack())
        stack.callback(self.pool.close)
        server = HttpServer(self._forward, clock)
        await server.start('127.0.0.1', _PORT, stack)
        target = await asyncio.start_server(
            self._receive, '127.0.0.1', _TARGET_PORT
        )
        stack.callback(target.close)

    async def test_body_reaches_the_target(self) -> None:
        """The parts arrive in order and complete, without a joined copy."""
        reader, writer = await asyncio.open_connection('127.0.0.1', _PORT)
        writer.write(b'POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % _SIZE)
        writer.write(_BODY)
        async with asyncio.timeout(10):
            self.assertIn(b' 200 ', await reader.readline())
        writer.close()
        self.assertEqual(bytes(self.received), _BODY)
        assert self.request is not None
        self.assertEqual(self.request.body, b'')
        self.assertEqual(self.request.body_bytes, _SIZE)
        self.assertEqual(self.request.whole_body, _BODY)
        self.assertLess(max(map(len, self.request.long_body)), 70_000)

    async def _forward(self, request: Request) -> Response:
        self.request = request
        outcome = await self.pool.exchange(
            f'127.0.0.1:{_TARGET_PORT}',
            encode_request(request, ()),
            (b'x-request-id', None),
            timedelta(seconds=10),
            long_body=request.long_body,
        )
        return Response(outcome.unwrap().status)

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'content-length: %d\r\n' % _SIZE in head
        while len(self.received) < _SIZE:
            self.received += await reader.read(30_000)
            await asyncio.sleep(0.002)
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        writer.close()
