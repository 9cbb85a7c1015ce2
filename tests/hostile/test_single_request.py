"""Guards single requests of the largest legal size without other load."""

import asyncio
import unittest

from review import harness
from tests.hostile._clients import ORDINARY_LINE
from tests.hostile._deployment import HOST, Scene, Watch, running_scene
from tests.soak._programs import installed_packages

MEMORY_MB = 152
"""``memoryMb`` of the smallest machine in docs/accounts-and-load.md."""

LARGEST_BODY_BYTES = 67_108_864
LARGEST_HEAD_BYTES = 16_384
CALL_SECONDS = 30.0


class SingleRequestTests(unittest.IsolatedAsyncioTestCase):
    """The limits on one request hold on the smallest machine."""

    async def asyncSetUp(self) -> None:
        """Start a deployment with the usual limits on requests."""
        self.enterContext(installed_packages())
        self.scene: Scene = await self.enterAsyncContext(
            running_scene(MEMORY_MB, LARGEST_BODY_BYTES)
        )

    async def test_largest_body(self) -> None:
        """Guards against copies of a body: two of them would exceed the
        memory."""
        entry = self.scene.entry
        answer = await harness.call(
            entry.front,
            'POST',
            '/p/x',
            {'Host': HOST, 'X-Request-Id': '1' * 16},
            bytes(LARGEST_BODY_BYTES),
            CALL_SECONDS,
        )
        peak = Watch(entry).peak_megabytes
        self.assertEqual(answer.status, 200)
        self.assertLess(peak, MEMORY_MB)

    async def test_largest_head(self) -> None:
        """Guards against a limit on lines below what the head may hold."""
        start = b'GET /p/x HTTP/1.1\r\nHost: %s\r\n%s\r\n%s\r\n' % (
            HOST.encode(),
            b'X-Request-Id: 2222222222222222',
            b'Connection: close',
        )
        rest = LARGEST_HEAD_BYTES - len(start) - len(b'x-fill: \r\n\r\n')
        lines, fill = divmod(rest, len(ORDINARY_LINE))
        head = b'%s%sx-fill: %s\r\n\r\n' % (
            start,
            ORDINARY_LINE * lines,
            b'f' * fill,
        )
        self.assertEqual(len(head), LARGEST_HEAD_BYTES)
        status = await self._send(head)
        self.assertEqual(status, 200)

    async def _send(self, head: bytes) -> int:
        host, _colon, port = self.scene.entry.front.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(CALL_SECONDS):
            writer.write(head)
            first, _headers = await harness.read_head(reader)
        writer.close()
        return int(first.split(' ')[1])
