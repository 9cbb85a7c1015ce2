"""Guards against memory that a connection keeps after its response."""

import asyncio
import unittest
from contextlib import AsyncExitStack

from plantainstand_core import SystemClock
from plantainstand_http import HttpServer, Request, Response

_PORT = 29_734


class KeptRequestTests(unittest.IsolatedAsyncioTestCase):
    """An idle connection keeps the request answered last for its log line."""

    async def test_body_of_an_answered_request(self) -> None:
        """The body and most headers are not kept until the next request."""
        server = HttpServer(self._respond, SystemClock())
        stack = await self.enterAsyncContext(AsyncExitStack())
        await server.start('127.0.0.1', _PORT, stack)
        reader, writer = await asyncio.open_connection('127.0.0.1', _PORT)
        writer.write(
            b'POST / HTTP/1.1\r\n%scontent-length: 200000\r\n\r\n%s'
            % (b'a:b\r\n' * 500, bytes(200_000))
        )
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(0.05)
        connection = next(iter(server._state.connections))
        kept = connection._pipeline.last_answered  # type: ignore[attr-defined]
        self.assertEqual(kept.body_bytes, 0)
        self.assertLess(len(kept.headers), 100)
        writer.close()

    async def _respond(self, _request: Request) -> Response:
        return Response(200)
