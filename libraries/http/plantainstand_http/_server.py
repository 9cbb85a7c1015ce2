"""HTTP/1.1 server: one asyncio protocol object a connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import structlog
from plantainstand_core import Clock

from plantainstand_http._messages import (
    Request,
    Response,
    encode_response,
)
from plantainstand_http._reader import RequestReader

Handler = Callable[[Request], Awaitable[Response]]
"""Answers a request; it is cancelled when the client leaves."""

_log = structlog.get_logger()

SWEEP_INTERVAL = timedelta(milliseconds=250)
"""How often idle and slow clients are looked for."""

PIPELINE_LIMIT = 16
"""Requests of one connection that may wait before reading is paused."""

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted; a full queue costs seconds."""


@dataclass(frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int = 16_384
    """Longest request head, in bytes."""

    body_bytes: int = 67_108_864
    """Longest request body, in bytes."""

    head_timeout: timedelta = timedelta(seconds=10)
    """Longest time for a request to arrive whole."""

    idle_timeout: timedelta = timedelta(seconds=75)
    """Longest time between two requests."""


class HttpServer:
    """Listens on one address; all connections share one handler."""

    def __init__(self, handler: Handler, clock: Clock):
        """Serve with default limits until :attr:`limits` is set."""
        self.limits = ClientLimits()
        self._handler = handler
        self._clock = clock
        self._connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None
        self._closing = False

    @property
    def closing(self) -> bool:
        """Whether connections end after their current response."""
        return self._closing

    @property
    def busy_count(self) -> int:
        """Number of connections with an unanswered request."""
        return sum(each.busy for each in self._connections)

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until the stack is closed."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self, self._handler, self._clock),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._listener = server
        stack.callback(self._abort_all)
        stack.callback(server.close)
        sweeping = loop.create_task(self._sweep_forever())
        stack.callback(sweeping.cancel)

    def begin_close(self) -> None:
        """Announce with each response that the connection ends."""
        self._closing = True

    def refuse_new(self) -> None:
        """Take no new connections, and close those that wait for a request.

        Clients that connect later are refused before they have sent anything.
        """
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def add(self, connection: '_Connection') -> None:
        """Own a new connection."""
        self._connections.add(connection)

    def discard(self, connection: '_Connection') -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)

    def _abort_all(self) -> None:
        for connection in tuple(self._connections):
            connection.abort()

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            for connection in tuple(self._connections):
                connection.check_time(now)


class _Connection(asyncio.Protocol):
    """Answers one client's requests in order."""

    def __init__(self, server: HttpServer, handler: Handler, clock: Clock):
        self._server = server
        self._handler = handler
        self._clock = clock
        self._reader = RequestReader(clock, self._queue, self._go_on)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._last_activity = clock.monotonic()

    @property
    def busy(self) -> bool:
        """Whether a request is being answered or read."""
        return self._task is not None or self._reader.started

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, _problem: Exception | None) -> None:
        """Cancel what the client no longer waits for."""
        self._server.discard(self)
        self._transport = None
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as one that the client left."""
        return False

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of the client."""
        self._last_activity = self._clock.monotonic()
        limits = self._server.limits
        reader = self._reader
        if not reader.feed(chunk):
            self._refuse(HTTPStatus.BAD_REQUEST)
        elif reader.reading_head and reader.head_bytes > limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif reader.body_bytes > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def check_time(self, now: timedelta) -> None:
        """Close a connection that is idle, or whose request is slow."""
        limits = self._server.limits
        quiet = now - self._last_activity
        if self._task is not None or self._transport is None:
            return
        reading = self._reader.started
        if reading and now - self._reader.begun_at > limits.head_timeout:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not reading and quiet > limits.idle_timeout:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _go_on(self) -> None:
        if self._transport is not None:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _queue(self, request: Request) -> None:
        if request.head_bytes > self._server.limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._waiting.append(request)
        self._start_next()
        if len(self._waiting) > PIPELINE_LIMIT and self._transport:
            self._transport.pause_reading()

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read, and close."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._task is None:
            refusal = Response(status, close=True)
            self._transport.write(
                encode_response(refusal, close=True, head_only=False),
            )
        self._waiting.clear()
        self._transport.close()

    def _start_next(self) -> None:
        if self._task is None and self._waiting:
            request = self._waiting.popleft()
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._answer(request))
            if self._transport is not None:
                self._transport.resume_reading()

    async def _answer(self, request: Request) -> None:
        with suppress(asyncio.CancelledError):
            self._send(request, await self._respond(request))
        self._task = None
        self._last_activity = self._clock.monotonic()
        self._start_next()

    async def _respond(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            # One request must not end the process: the fault is logged with
            # its trace and answered without a promise.
            _log.exception('request handler failed', path=str(request.path))
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR, close=True)

    def _send(self, request: Request, response: Response) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        last = response.close or self._server.closing
        close = last or (not self._reader.keeps_alive and not self._waiting)
        self._transport.write(
            encode_response(
                response,
                close=close,
                head_only=request.method == b'HEAD',
            ),
        )
        if close:
            self._waiting.clear()
            self._transport.close()
