"""Guards against requests of legal size with very many header lines."""

import asyncio
import unittest
from contextlib import AsyncExitStack

from plantainstand_core import SystemClock
from plantainstand_http import ClientLimits, HttpServer, Request, Response

_PORT = 29_731
_LINE = b'a:b\r\n'
_DEADLINE_SECONDS = 5.0


class HeaderLineTests(unittest.IsolatedAsyncioTestCase):
    """Each line takes far more memory than its length."""

    async def asyncSetUp(self) -> None:
        """Start a server with the default limits."""
        self.server = HttpServer(self._respond, SystemClock())
        self.paths: list[bytes] = []
        stack = await self.enterAsyncContext(AsyncExitStack())
        await self.server.start('127.0.0.1', _PORT, stack)

    async def test_lines_of_a_whole_head(self) -> None:
        """One line beyond the limit is rejected and does not run."""
        limit = ClientLimits().header_lines
        answered = await self._send(b'%s\r\n' % (_LINE * limit))
        self.assertIn(b' 200 ', answered)
        rejected = await self._send(b'%s\r\n' % (_LINE * (limit + 1)))
        self.assertIn(b' 431 ', rejected)
        self.assertEqual(self.paths, [b'/'])

    async def test_lines_without_end(self) -> None:
        """The limit holds before the head is whole."""
        status = await self._send(_LINE * 3000)
        self.assertIn(b' 431 ', status)
        self.assertEqual(self.paths, [])

    async def _send(self, lines: bytes) -> bytes:
        reader, writer = await asyncio.open_connection('127.0.0.1', _PORT)
        writer.write(b'GET / HTTP/1.1\r\n%s' % lines)
        async with asyncio.timeout(_DEADLINE_SECONDS):
            status = await reader.readline()
        writer.close()
        return status

    async def _respond(self, request: Request) -> Response:
        self.paths.append(request.path)
        return Response(200)
