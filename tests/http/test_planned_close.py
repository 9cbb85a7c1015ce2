"""Guards answers that are under way while the server closes connections."""

import asyncio
import socket
import struct
import unittest
from contextlib import AsyncExitStack
from unittest.mock import Mock, patch

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

_DEADLINE_SECONDS = 10
_AFTER_CLOSE_SECONDS = 1.2
_CONNECTION_LOG = 'plantainstand_http._client_connection._log'
_LARGE = bytes(range(250)) * 2_400


class _PlannedCloseCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Serve on a free port; a request for /large gets a large body."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.handled: list[str] = []
        self.cancelled: list[str] = []
        self.released = asyncio.Event()
        self.stream = BodyStream(StreamSource(_nothing, _nothing, _nothing))
        self.server = HttpServer(
            self._handle,
            SystemClock(),
            lambda request: request.method == b'GET',
            log_id=_request_target,
        )
        self.server_stack = await self.stack.enter_async_context(
            AsyncExitStack()
        )
        await self.server.start('127.0.0.1', 0, self.server_stack)
        listener = self.server._listener
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]

    async def connect(
        self, receive_buffer: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a client; a small buffer makes it a slow reader."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, ('127.0.0.1', self.port))
        reader, writer = await asyncio.open_connection(sock=client)
        self.stack.callback(writer.close)
        return reader, writer

    async def until_answered(self, path: str) -> None:
        """Wait until the response has been passed to the kernel."""
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while path not in self.handled:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)

    async def until_handled(self, count: int) -> None:
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while len(self.handled) < count:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)

    async def _handle(self, request: Request) -> Response:
        self.handled.append(_request_target(request))
        if b'held' in request.request_target:
            try:
                await self.released.wait()
            except asyncio.CancelledError:
                self.cancelled.append(_request_target(request))
                raise
        large = request.request_target == b'/large'
        if request.request_target == b'/failed':
            replacement = Response(502)
            return Response(200, rest=self.stream, fallback=replacement)
        return Response(200, (), _LARGE if large else b'small')


class CutLineTests(_PlannedCloseCase):
    """A connection that ends early leaves a line with what was lost."""

    async def test_process_ends(self) -> None:
        """Guards against an answer that is cut and looks whole in the logs."""
        _reader, writer = await self.connect(receive_buffer=4096)
        writer.write(_get('/large'))
        await self.until_handled(1)
        with patch(_CONNECTION_LOG) as log:
            await self.stack.aclose()
        cut = _cut_line(log)
        self.assertEqual(cut['cause'], 'process ends')
        self.assertGreater(_as_int(cut['unsent_bytes']), 0)
        unsent = {cut['last_answered'], *_as_list(cut['unanswered'])}
        self.assertIn('/large', unsent)

    async def test_client_left(self) -> None:
        """Tells a client that resets its connection from a server that cut."""
        _reader, writer = await self.connect(receive_buffer=4096)
        writer.write(_get('/large'))
        await self.until_handled(1)
        with patch(_CONNECTION_LOG) as log:
            writer.transport.abort()
            async with asyncio.timeout(_DEADLINE_SECONDS):
                while not log.info.called:
                    await asyncio.sleep(0.01)
        self.assertEqual(_cut_line(log)['cause'], 'client left')


class LingeringCloseTests(_PlannedCloseCase):
    """The client sends one more request while its last answer is sent."""

    async def test_request_crosses_the_close(self) -> None:
        """Guards against an answer that a reset takes from a slow reader.

        A close with unread input resets the connection, and the kernel drops
        what the client has not acknowledged.
        """
        for receive_buffer in (4096, 4_000_000):
            with self.subTest(receive_buffer=receive_buffer):
                reader, writer = await self.connect(receive_buffer)
                writer.write(_get('/large'))
                self.server.announce_close()
                await self.until_answered('/large')
                writer.write(_get('/crossing'))
                await asyncio.sleep(_AFTER_CLOSE_SECONDS)
                async with asyncio.timeout(_DEADLINE_SECONDS):
                    answer = await reader.read(-1)
                self.assertTrue(answer.endswith(_LARGE))
                self.assertNotIn('/crossing', self.handled)

    async def test_exit_with_unread_input(self) -> None:
        """Guards an answer in the kernel's buffer against the exit's reset."""
        reader, writer = await self.connect(receive_buffer=4096)
        writer.write(_get('/large'))
        self.server.announce_close()
        await self.until_answered('/large')
        writer.write(_get('/crossing'))
        await asyncio.sleep(0.1)
        await self.server_stack.aclose()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.read(-1)
        self.assertTrue(answer.endswith(_LARGE))
        self.assertNotIn('/crossing', self.handled)

    async def test_truncated_answer_follows(self) -> None:
        """Guards a whole answer against the end of a truncated one."""
        reader, writer = await self.connect(receive_buffer=4096)
        writer.write(_get('/large', '/failed'))
        await self.until_handled(2)
        await asyncio.sleep(0.1)
        writer.write(_get('/held'))
        await self.until_handled(3)
        self.stream.feed(bytes(100))
        await asyncio.sleep(0.1)
        self.stream.finish(ExchangeFailure(FailureKind.BROKEN, 'broken'))
        await asyncio.sleep(0.1)
        writer.write(_get('/crossing'))
        await asyncio.sleep(_AFTER_CLOSE_SECONDS)
        self.assertEqual(self.cancelled, ['/held'])
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.read(-1)
        self.assertIn(_LARGE, answer)
        self.assertNotIn('/crossing', self.handled)

    async def test_unacknowledged_answer_is_busy(self) -> None:
        """Guards against a process that ends before its answers have left."""
        reader, writer = await self.connect(receive_buffer=4096)
        writer.write(_get('/large'))
        await self.until_answered('/large')
        self.server.stop_accepting()
        await asyncio.sleep(_AFTER_CLOSE_SECONDS)
        self.assertEqual(self.server.busy_count, 1)
        async with asyncio.timeout(_DEADLINE_SECONDS):
            await reader.read(-1)
            while self.server.busy_count:
                await asyncio.sleep(0.01)


class LateBodyTests(_PlannedCloseCase):
    """A body that waits for its turn on the connection may fail meanwhile."""

    async def test_body_fails_before_its_turn(self) -> None:
        """Guards against a failed body that takes later answers with it.

        Nothing of the response has been sent, so a whole one can replace it.
        """
        reader, writer = await self.connect()
        writer.write(_get('/held', '/failed', '/small'))
        await self.until_handled(3)
        self.stream.feed(bytes(100))
        self.stream.finish(ExchangeFailure(FailureKind.TIMED_OUT, 'late'))
        self.released.set()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.readuntil(b'\r\n\r\nsmall')
            answer += await reader.readuntil(b'\r\n\r\nsmall')
        self.assertEqual(answer.count(b'HTTP/1.1 502'), 1)


class PipelinedCloseTests(_PlannedCloseCase):
    """Requests that one read returns, though not all are parsed at once."""

    async def test_all_received_requests_are_answered(self) -> None:
        """Guards against requests that were read and are then forgotten.

        Requests that must not overlap are parsed in slices of 4 KiB, the next
        one once the earlier ones have their responses.
        """
        reader, writer = await self.connect()
        paths = [f'/held-{number}' for number in range(4)]
        writer.write(b''.join(_post(path, 3000) for path in paths))
        await self.until_handled(1)
        self.server.announce_close()
        self.released.set()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.read(-1)
        self.assertEqual(self.handled, paths)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), len(paths))
        self.assertEqual(answer.count(b'connection: close'), 1)

    async def test_rest_without_a_whole_request(self) -> None:
        """Guards against a connection that waits for the rest of a request."""
        reader, writer = await self.connect()
        whole = [_post('/held-0', 3000), _post('/held-1', 3000)]
        writer.write(b''.join((*whole, _post('/part', 9000)[:5000])))
        await self.until_handled(1)
        self.server.announce_close()
        self.released.set()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.read(-1)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 2)

    async def test_connection_becomes_idle_after_the_stop(self) -> None:
        """Guards against an open connection that the exit resets.

        The response was begun before the close was announced.
        """
        reader, writer = await self.connect()
        writer.write(_post('/held', 0))
        await self.until_handled(1)
        self.server.stop_accepting()
        self.released.set()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.read(-1)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 1)


def _nothing() -> None:
    """Ignore that the source is to pause, resume or end."""


def _post(path: str, size: int) -> bytes:
    head = f'POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n'
    return head.encode() + bytes(size)


def _get(*paths: str) -> bytes:
    return ''.join(
        f'GET {path} HTTP/1.1\r\nhost: a\r\n\r\n' for path in paths
    ).encode()


def _request_target(request: Request) -> str:
    return request.request_target.decode()


def _cut_line(log: Mock) -> dict[str, object]:
    log.info.assert_called_once()
    assert log.info.call_args.args == ('client connection cut',)
    return dict(log.info.call_args.kwargs)


def _as_int(field: object) -> int:
    assert isinstance(field, int)
    return field


def _as_list(field: object) -> list[object]:
    assert isinstance(field, list)
    return field


class IdleCloseTests(_PlannedCloseCase):
    """What the kernel holds at the stop is not known to the loop yet."""

    async def test_reset_connection(self) -> None:
        """Guards against a reset that ends the stop for all connections."""
        clients = [await self._connected() for _client in 'abcd']
        linger = struct.pack('ii', 1, 0)
        clients[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        clients[0].close()
        self.server.stop_accepting()
        loop = asyncio.get_running_loop()
        for client in clients[1:]:
            async with asyncio.timeout(_DEADLINE_SECONDS):
                self.assertEqual(await loop.sock_recv(client, 1), b'')

    async def test_request_that_is_not_read_yet(self) -> None:
        """Guards against a request that gets no answer at the stop."""
        client = await self._connected()
        self.server.announce_close()
        client.send(_get('/late'))
        self.server.stop_accepting()
        reader, _writer = await asyncio.open_connection(sock=client)
        async with asyncio.timeout(_DEADLINE_SECONDS):
            answer = await reader.read()
        self.assertTrue(answer.endswith(b'small'), answer)

    async def _connected(self) -> socket.socket:
        client = socket.socket()
        self.stack.callback(client.close)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, ('127.0.0.1', self.port))
        await loop.sock_sendall(client, _get('/first'))
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while b'small' not in await loop.sock_recv(client, 4096):
                await asyncio.sleep(0)
        return client
